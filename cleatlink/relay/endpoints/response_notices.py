"""Reads the notices that endpoints put into the headers of their responses.

Every response is read. A notice says that the endpoint is shutting down, asks for a back-off, or
names a rate limit. Of a response that belongs to another request only a shutdown still holds.
"""

from collections.abc import Callable

import eliot
import trio

from cleatlink.core.errors import NOT_RUN_STATUSES
from cleatlink.core.notices import EndpointNotice
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.protocol import Protocol, ResponseHead
from cleatlink.relay.endpoints.received_head import ReceivedHead
from cleatlink.relay.logs import LogRateLimit
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.routing.endpoint_limits import EndpointLimits
from cleatlink.routing.notices import EndpointNotices, NoticeSource

__all__ = ["ResponseNoticeReader"]

# Most log lines of a kind within the window in seconds: each response of an endpoint can cause one.
_MAX_LOG_LINES = 50
_LOG_WINDOW_S = 10.0

# Response headers that are common in HTTP and say nothing about an endpoint's state.
_COMMON_HEADERS = frozenset(
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
# Most other headers that are logged, once each: an endpoint may send arbitrary header names.
_MAX_UNKNOWN_HEADERS = 32


class ResponseNoticeReader:
    """Reads the notices in the response heads that one instance receives."""

    def __init__(
        self,
        protocol: Protocol,
        notices: EndpointNotices,
        limits: EndpointLimits,
        *,
        metrics: RelayMetrics,
        on_leaving: Callable[[str], None],
        on_backoff: Callable[[str], None],
        on_limit_changed: Callable[[str], None],
    ) -> None:
        """Create a reader that has received no notices.

        Args:
            protocol: Parses response heads.
            notices: Stores which endpoints are shutting down or have asked for a back-off.
            limits: Stores the rate limits that endpoints name.
            metrics: Counts the notices.
            on_leaving: Called with an incarnation when it first says that it is shutting down.
            on_backoff: Called with an incarnation each time that it asks for a back-off.
            on_limit_changed: Called with an incarnation whose rate limit is set, changed or
                removed.
        """
        self._limits = limits
        self._on_limit_changed = on_limit_changed
        self._on_backoff = on_backoff
        self._on_leaving = on_leaving
        self._protocol = protocol
        self._known_headers = _COMMON_HEADERS | protocol.names.response_headers
        self._unknown_headers: set[bytes] = set()
        self._notices = notices
        self._metrics = metrics
        self._backoff_log_limit = LogRateLimit(_MAX_LOG_LINES, _LOG_WINDOW_S)
        self._limit_change_log_limit = LogRateLimit(_MAX_LOG_LINES, _LOG_WINDOW_S)
        self._rejection_log_limit = LogRateLimit(_MAX_LOG_LINES, _LOG_WINDOW_S)

    def process_head(self, endpoint: RoutedEndpoint, received: ReceivedHead) -> None:
        """Process the notice in a response of an endpoint; most responses carry none."""
        now = trio.current_time()
        head = received.head
        self._log_unknown_headers(endpoint, head)
        if not received.is_trailer:
            self._record_rejection(endpoint, received, now)
        notice = self._protocol.read_notice(head, received.request_id)
        if received.is_own:
            if self._protocol.accepts_work(head):
                self._notices.note_served(endpoint.name, now)
            self._record_limit(endpoint, received, notice, now)
            if notice.backoff_s:
                self._record_backoff(endpoint, notice.backoff_s, now)
        if notice.leaving:
            self._record_leaving(endpoint, head.status, now)

    def _log_unknown_headers(self, endpoint: RoutedEndpoint, head: ResponseHead) -> None:
        """Log headers that the relay does not read, since they may carry an unsupported notice."""
        for name, _ in head.headers:
            field = name.lower()
            if field in self._known_headers or field in self._unknown_headers:
                continue
            if len(self._unknown_headers) >= _MAX_UNKNOWN_HEADERS:
                return
            self._unknown_headers.add(field)
            eliot.log_message(
                message_type="endpoint: response has an unknown header; ignored",
                endpoint=endpoint.name,
                service=endpoint.service,
                field=field.decode("latin-1"),
            )

    def _record_rejection(
        self, endpoint: RoutedEndpoint, received: ReceivedHead, now: float
    ) -> None:
        """Count and log a response that says, or seems to say, that its request did not run."""
        protocol, head = self._protocol, received.head
        is_marked = protocol.is_marked_not_executed(head)
        if not is_marked and head.status not in NOT_RUN_STATUSES:
            return
        named_request = received.named_request.value
        self._metrics.count_endpoint_rejection(named_request, is_marked=is_marked)
        if self._rejection_log_limit.allow(now):
            eliot.log_message(
                message_type="endpoint: response has a status or the mark of a rejection",
                endpoint=endpoint.name,
                service=endpoint.service,
                request=received.request_id,
                status=head.status,
                marked=is_marked,
                names=named_request,
                owner=received.owner.value,
                exchange=received.exchange_number,
            )

    def _record_leaving(self, endpoint: RoutedEndpoint, status: int, now: float) -> None:
        self._metrics.count_endpoint_notice("leaving")
        if self._notices.note_leaving(endpoint.name, NoticeSource.ANSWER, now):
            self._on_leaving(endpoint.name)
            eliot.log_message(
                message_type=(
                    "endpoint: response says that it is shutting down; it gets no new work"
                ),
                endpoint=endpoint.name,
                service=endpoint.service,
                status=status,
            )

    def _record_backoff(self, endpoint: RoutedEndpoint, backoff_s: float, now: float) -> None:
        self._metrics.count_endpoint_notice("rest")
        is_new = self._notices.note_backoff(endpoint.name, backoff_s, now)
        self._on_backoff(endpoint.name)
        if is_new and self._backoff_log_limit.allow(now):
            eliot.log_message(
                message_type="endpoint: asks for a back-off",
                endpoint=endpoint.name,
                service=endpoint.service,
                rest_s=backoff_s,
            )

    def _record_limit(
        self,
        endpoint: RoutedEndpoint,
        received: ReceivedHead,
        notice: EndpointNotice,
        now: float,
    ) -> None:
        """Set, change or remove the rate limit that an endpoint names for all instances together.

        A malformed limit changes nothing. Only a response to a caller's request that names no
        limit removes it, since responses to the relay's own requests may omit the limit on
        callers' requests.
        """
        before = self._limits.rate_per_s(endpoint.name)
        if notice.has_rate_limit:
            self._metrics.count_endpoint_notice("limit")
            if notice.rate_per_s is None:
                return
        elif before is None or received.is_trailer or not received.is_to_caller:
            return
        if not self._limits.note_response(endpoint.name, notice.rate_per_s, now):
            return
        self._on_limit_changed(endpoint.name)
        if self._limit_change_log_limit.allow(now):
            eliot.log_message(
                message_type="endpoint: rate limit changed",
                endpoint=endpoint.name,
                service=endpoint.service,
                per_s=notice.rate_per_s,
                before=before,
            )
