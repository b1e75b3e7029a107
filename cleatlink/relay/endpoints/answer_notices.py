"""Takes what endpoints say of themselves from every answer, whatever it is an answer to."""

from collections.abc import Callable

import eliot
import trio

from cleatlink.core.notices import NO_NOTICE
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.protocol import Protocol, ReplyHead
from cleatlink.relay.logs import LineAllowance
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.routing.notices import EndpointNotices, NoticeSource

__all__ = ["AnswerNotices"]

# Lines about rests, at the most in so many seconds: an endpoint can begin one with each answer.
_REST_LINES = 50
_REST_LINES_S = 10.0


class AnswerNotices:
    """Reads the heads of answers for one instance."""

    def __init__(
        self,
        protocol: Protocol,
        notices: EndpointNotices,
        metrics: RelayMetrics,
        on_leaving: Callable[[str], None],
        on_rest: Callable[[str], None],
    ) -> None:
        """Start without any.

        Args:
            protocol: Reads heads.
            notices: Where what is read is kept.
            metrics: Counts it.
            on_leaving: Told of a life that says for the first time that it leaves.
            on_rest: Told of a life each time that it asks for a rest.
        """
        self._on_rest = on_rest
        self._on_leaving = on_leaving
        self._protocol = protocol
        self._notices = notices
        self._metrics = metrics
        self._rest_lines = LineAllowance(_REST_LINES, _REST_LINES_S)

    def note_head(self, endpoint: RoutedEndpoint, head: ReplyHead) -> None:
        """Take what an answer of an endpoint says; most say nothing."""
        now = trio.current_time()
        if self._protocol.takes_work(head):
            self._notices.note_served(endpoint.name, now)
        notice = self._protocol.read_notice(head)
        if notice == NO_NOTICE:
            return
        if notice.leaving:
            self._note_leaving(endpoint, head.status, now)
        if notice.rest_s:
            self._note_rest(endpoint, notice.rest_s, now)

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
