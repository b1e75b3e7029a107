"""Counters of one instance: one for each refusal kind and each retry reason."""

from aioprometheus import Counter, Gauge, Registry, render

from cleatlink.core.errors import ErrorKind

__all__ = ["Metrics"]


class Metrics:
    """The instance's metrics; names and units stand in docs/operators/metrics.md."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._requests = self._counter("cleatlink_requests_total", "Requests taken, by class.")
        self._answers = self._counter("cleatlink_answers_total", "Whole answers, by class.")
        self._good = self._counter(
            "cleatlink_good_answers_total", "Whole answers within both latency targets, by class."
        )
        self._refusals = self._counter("cleatlink_refusals_total", "Refusals, by kind.")
        self._retries = self._counter("cleatlink_retries_total", "Retries, by reason.")
        self._tokens = self._counter("cleatlink_tokens_total", "Tokens passed on.")
        self._prefill = self._counter(
            "cleatlink_prefill_tokens_total", "Prompt tokens sent to prefill, by fate."
        )
        self._cancels = self._counter("cleatlink_cancels_total", "Cancel orders, by outcome.")
        self._peer_messages = self._counter(
            "cleatlink_peer_messages_total", "Messages from peers, by kind or fault."
        )
        self._peer_bytes = self._counter(
            "cleatlink_peer_bytes_total", "Bytes sent to peers, without headers, by way."
        )
        self._adoptions = self._counter(
            "cleatlink_configurations_total", "Configurations offered, by what became of them."
        )
        self._revision = Gauge(
            "cleatlink_configuration_revision", "Revision in force.", registry=self._registry
        )
        self._in_flight = Gauge(
            "cleatlink_requests_in_flight", "Requests in progress.", registry=self._registry
        )
        for kind in ErrorKind:
            self._refusals.set({"kind": kind.value}, 0)

    def count_request(self, request_class: str) -> None:
        """Count a request that was taken."""
        self._requests.inc({"class": request_class})

    def count_answer(self, request_class: str, tokens: int, good: bool) -> None:
        """Count a whole answer."""
        self._answers.inc({"class": request_class})
        self._tokens.add({}, tokens)
        if good:
            self._good.inc({"class": request_class})

    def count_refusal(self, kind: ErrorKind) -> None:
        """Count a refusal."""
        self._refusals.inc({"kind": kind.value})

    def count_retry(self, reason: str) -> None:
        """Count a retry."""
        self._retries.inc({"reason": reason})

    def count_prefill(self, tokens: int) -> None:
        """Count prompt tokens sent to prefill."""
        self._prefill.add({"fate": "ordered"}, tokens)

    def count_wasted(self, tokens: int) -> None:
        """Count prompt tokens whose prefill was for nothing."""
        self._prefill.add({"fate": "wasted"}, tokens)

    def count_cancel(self, outcome: str) -> None:
        """Count a cancel order."""
        self._cancels.inc({"outcome": outcome})

    def count_peer_message(self, kind: str) -> None:
        """Count a message from a peer."""
        self._peer_messages.inc({"kind": kind})

    def count_peer_bytes(self, way: str, count: int) -> None:
        """Count bytes sent to peers."""
        self._peer_bytes.add({"way": way}, count)

    def count_adoption(self, outcome: str, revision: int) -> None:
        """Count an offered configuration and show the revision in force."""
        self._adoptions.inc({"outcome": outcome})
        self._revision.set({}, revision)

    def set_in_flight(self, count: int) -> None:
        """Show the requests in progress."""
        self._in_flight.set({}, count)

    def refusals(self) -> dict[str, int]:
        """Give the refusals so far, by kind."""
        return {kind.value: int(self._refusals.get({"kind": kind.value})) for kind in ErrorKind}

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Render all metrics in the text form, with the headers to send."""
        content, headers = render(self._registry, ["text/plain"])
        return content, dict(headers)

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(name, text, registry=self._registry)
