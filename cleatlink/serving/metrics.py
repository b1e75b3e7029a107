"""Metrics of one instance, including refusals by kind and retries by reason."""

from aioprometheus import Counter, Gauge, Registry, render

from cleatlink.core.errors import ErrorKind

__all__ = ["Metrics"]


class Metrics:
    """Metrics of the instance; docs/operators/metrics.md lists their names and units."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._requests = self._counter("cleatlink_requests_total", "Requests taken, by class.")
        self._answers = self._counter("cleatlink_answers_total", "Whole answers, by class.")
        self._answers_within_targets = self._counter(
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
        self._configuration_offers = self._counter(
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
        """Count an accepted request."""
        self._requests.inc({"class": request_class})

    def count_answer(self, request_class: str, tokens: int, met_targets: bool) -> None:
        """Count a complete answer.

        Args:
            request_class: Class of the request.
            tokens: Number of tokens in the answer.
            met_targets: Whether the answer met both latency targets of its class.
        """
        self._answers.inc({"class": request_class})
        self._tokens.add({}, tokens)
        if met_targets:
            self._answers_within_targets.inc({"class": request_class})

    def count_refusal(self, kind: ErrorKind) -> None:
        """Count a refused request."""
        self._refusals.inc({"kind": kind.value})

    def count_retry(self, reason: str) -> None:
        """Count a retry."""
        self._retries.inc({"reason": reason})

    def count_prefill(self, tokens: int) -> None:
        """Count prompt tokens sent to prefill."""
        self._prefill.add({"fate": "ordered"}, tokens)

    def count_wasted_prefill(self, tokens: int) -> None:
        """Count prompt tokens of a prefill whose result was not used."""
        self._prefill.add({"fate": "wasted"}, tokens)

    def count_cancel(self, outcome: str) -> None:
        """Count an outcome of sending a cancellation: acknowledged, retried or given up."""
        self._cancels.inc({"outcome": outcome})

    def count_peer_message(self, kind: str) -> None:
        """Count a message received from a peer."""
        self._peer_messages.inc({"kind": kind})

    def count_peer_bytes(self, message_type: str, byte_count: int) -> None:
        """Count bytes sent to peers, by type of message: question, answer or datagram."""
        self._peer_bytes.add({"way": message_type}, byte_count)

    def count_configuration_offer(self, outcome: str, revision: int) -> None:
        """Count an offered configuration by result, and set the revision in force."""
        self._configuration_offers.inc({"outcome": outcome})
        self._revision.set({}, revision)

    def set_in_flight(self, count: int) -> None:
        """Set the number of requests in progress."""
        self._in_flight.set({}, count)

    def refusal_counts(self) -> dict[str, int]:
        """Return the number of refused requests, by kind."""
        return {kind.value: int(self._refusals.get({"kind": kind.value})) for kind in ErrorKind}

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return all metrics in the text format, and the HTTP headers of the response."""
        content, headers = render(self._registry, ["text/plain"])
        return content, dict(headers)

    def _counter(self, name: str, help_text: str) -> Counter:
        return Counter(name, help_text, registry=self._registry)
