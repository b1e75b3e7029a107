"""Takes what endpoints say of themselves from every answer, whatever it is an answer to."""

from collections.abc import Callable

import eliot
import trio

from cleatlink.core.notices import NO_NOTICE, EndpointNotice
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.protocol import Protocol, ReplyHead
from cleatlink.relay.logs import LineAllowance
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.routing.endpoint_limits import EndpointLimits
from cleatlink.routing.notices import EndpointNotices, NoticeSource

__all__ = ["AnswerNotices"]

# Lines about rests, and about limits, at the most in so many seconds: an endpoint can say
# something new with each answer.
_LINES = 50
_LINES_S = 10.0


# Fields of answers that are usual in HTTP and say nothing of an endpoint's state.
_USUAL_FIELDS = frozenset(
    {
        b"accept-ranges",
        b"age",
        b"allow",
        b"cache-control",
        b"connection",
        b"content-disposition",
        b"content-encoding",
        b"content-language",
        b"content-length",
        b"content-location",
        b"content-range",
        b"content-type",
        b"date",
        b"etag",
        b"expires",
        b"keep-alive",
        b"last-modified",
        b"link",
        b"location",
        b"server",
        b"set-cookie",
        b"transfer-encoding",
        b"vary",
        b"via",
        b"www-authenticate",
    }
)
# Other fields are told of once each, up to so many: an endpoint may make them up.
_MOST_UNKNOWN_FIELDS = 32


class AnswerNotices:
    """Reads the heads of answers for one instance."""

    def __init__(
        self,
        protocol: Protocol,
        notices: EndpointNotices,
        limits: EndpointLimits,
        *,
        metrics: RelayMetrics,
        on_leaving: Callable[[str], None],
        on_rest: Callable[[str], None],
        on_limit: Callable[[str], None],
    ) -> None:
        """Start without any.

        Args:
            protocol: Reads heads.
            notices: Where it is kept that endpoints leave or want a rest.
            limits: Where the limits are kept that endpoints name.
            metrics: Counts it.
            on_leaving: Told of a life that says for the first time that it leaves.
            on_rest: Told of a life each time that it asks for a rest.
            on_limit: Told of a life whose limit is named anew, changes or ends.
        """
        self._limits = limits
        self._on_limit = on_limit
        self._on_rest = on_rest
        self._on_leaving = on_leaving
        self._protocol = protocol
        self._known_fields = _USUAL_FIELDS | protocol.names.answer_fields
        self._unknown_fields: set[bytes] = set()
        self._notices = notices
        self._metrics = metrics
        self._rest_lines = LineAllowance(_LINES, _LINES_S)
        self._limit_lines = LineAllowance(_LINES, _LINES_S)

    def note_head(self, endpoint: RoutedEndpoint, head: ReplyHead) -> None:
        """Take what an answer of an endpoint says; most say nothing."""
        now = trio.current_time()
        self._note_fields(endpoint, head)
        if self._protocol.takes_work(head):
            self._notices.note_served(endpoint.name, now)
        notice = self._protocol.read_notice(head)
        self._note_limit(endpoint, head, notice, now)
        if notice == NO_NOTICE:
            return
        if notice.leaving:
            self._note_leaving(endpoint, head.status, now)
        if notice.rest_s:
            self._note_rest(endpoint, notice.rest_s, now)

    def _note_fields(self, endpoint: RoutedEndpoint, head: ReplyHead) -> None:
        """Log fields that nothing here reads: an endpoint may say something of itself in them."""
        for name, _ in head.headers:
            field = name.lower()
            if field in self._known_fields or field in self._unknown_fields:
                continue
            if len(self._unknown_fields) >= _MOST_UNKNOWN_FIELDS:
                return
            self._unknown_fields.add(field)
            eliot.log_message(
                message_type="endpoint: answers with a field that is not known",
                endpoint=endpoint.name,
                service=endpoint.service,
                field=field.decode("latin-1"),
            )

    def _note_leaving(self, endpoint: RoutedEndpoint, status: int, now: float) -> None:
        self._metrics.count_notice("leaving")
        if self._notices.note_leaving(endpoint.name, NoticeSource.ANSWER, now):
            self._on_leaving(endpoint.name)
            eliot.log_message(
                message_type="endpoint: says in an answer that it leaves",
                endpoint=endpoint.name,
                service=endpoint.service,
                status=status,
            )

    def _note_rest(self, endpoint: RoutedEndpoint, rest_s: float, now: float) -> None:
        self._metrics.count_notice("rest")
        begins = self._notices.note_rest(endpoint.name, rest_s, now)
        self._on_rest(endpoint.name)
        if begins and self._rest_lines.take(now):
            eliot.log_message(
                message_type="endpoint: asks for a rest",
                endpoint=endpoint.name,
                service=endpoint.service,
                rest_s=rest_s,
            )

    def _note_limit(
        self, endpoint: RoutedEndpoint, head: ReplyHead, notice: EndpointNotice, now: float
    ) -> None:
        """Take a limit over all instances that an endpoint names anew, changes or takes back.

        A limit that can't be read changes nothing. One ends with an answer to a caller, since
        others may not name what an endpoint takes of callers' calls.
        """
        before = self._limits.rate_per_s(endpoint.name)
        if notice.names_rate:
            self._metrics.count_notice("limit")
            if notice.rate_per_s is None:
                return
        elif before is None or not self._protocol.answers_caller(head):
            return
        if not self._limits.note_answer(endpoint.name, notice.rate_per_s, now):
            return
        self._on_limit(endpoint.name)
        if self._limit_lines.take(now):
            eliot.log_message(
                message_type="endpoint: names a limit",
                endpoint=endpoint.name,
                service=endpoint.service,
                per_s=notice.rate_per_s,
                before=before,
            )
