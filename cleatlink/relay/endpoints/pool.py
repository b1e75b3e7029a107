"""A pool of connections to endpoints, which are kept open while the endpoint keeps them open."""

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import NamedTuple
from weakref import WeakSet

import trio

from cleatlink.core.errors import StreamBrokenError
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.dialer import Dialer, DirectDialer
from cleatlink.relay.endpoints.protocol import OutgoingRequest, Protocol, ResponseHead
from cleatlink.relay.endpoints.received_head import ReceivedHead
from cleatlink.relay.endpoints.streams import TcpConnector
from cleatlink.routing.buffered_bytes import BufferedBytes
from cleatlink.routing.uploads import Upload

__all__ = [
    "ACK_TIMEOUT_S",
    "UNREPEATABLE_IDLE_LIMIT_S",
    "IDLE_LIMIT_S",
    "ConnectionPool",
    "Response",
]

# The kernel closes a connection whose sent data stays unacknowledged for longer than this.
ACK_TIMEOUT_S = 1.5
# Several times the latency between data centres. After the loss of the first packet a connection
# takes a second in any case.
_CONNECT_TIMEOUT_S = 0.15
# Endpoints close connections that stay idle; a caller's request must not be sent on a connection
# that the endpoint is closing.
IDLE_LIMIT_S = 4.0
# A request that must not be repeated is sent only on a new connection or on one that was in use
# within this time.
UNREPEATABLE_IDLE_LIMIT_S = 1.0
# Most idle connections kept to one endpoint: its slots, shared with other instances, need fewer.
_MAX_IDLE = 16
# Share of an endpoint's connection limit that all instances together may leave idle.
_IDLE_SHARE = 0.5


class Response(NamedTuple):
    """An endpoint's complete response."""

    head: ResponseHead
    body: bytes


class ConnectionPool:
    """Idle connections by incarnation of an endpoint.

    An address may be reused by another endpoint, but the name of an incarnation is not.
    """

    def __init__(
        self,
        connection_limit: Callable[[RoutedEndpoint], float] | None = None,
        on_head: Callable[[RoutedEndpoint, ReceivedHead], None] | None = None,
        is_leaving: Callable[[str], bool] = lambda _: False,
        on_send: Callable[[RoutedEndpoint], None] | None = None,
        *,
        dialer: Dialer | None = None,
        protocol: Protocol | None = None,
        memory: BufferedBytes | None = None,
    ) -> None:
        """Create an empty pool.

        Args:
            connection_limit: Returns this instance's share of the connections that an endpoint
                accepts in total; None for no limit.
            on_head: Called with the head of each response of an endpoint.
            is_leaving: Returns whether an incarnation is shutting down; no idle connections are
                kept to it.
            on_send: Called before each request is sent to an endpoint.
            dialer: Opens streams to endpoints; None for TCP connections.
            protocol: Tells to which request a response belongs; None if responses name none.
            memory: Counts bodies of responses while they are read; None to count them nowhere.
        """
        self._protocol = protocol
        self._memory = memory
        self._dialer = dialer or DirectDialer(TcpConnector())
        self._on_send = on_send
        self._is_leaving = is_leaving
        self._on_head = on_head
        self._connection_limit = connection_limit
        self._idle: dict[str, deque[EndpointConnection]] = {}
        # All connections that still exist, idle or in use, by incarnation.
        self._known_connections: dict[str, WeakSet[EndpointConnection]] = {}

    async def acquire(
        self,
        endpoint: RoutedEndpoint,
        idle_limit_s: float,
        *,
        must_be_direct: bool = False,
        must_be_new: bool = False,
        request_id: str | None = None,
    ) -> EndpointConnection:
        """Return an idle connection, or open one.

        Args:
            endpoint: The endpoint.
            idle_limit_s: Longest idle time of a connection that may be used.
            must_be_direct: Whether no peer may hold the connection on behalf of this instance.
            must_be_new: Whether to open a connection also if there is an idle one.
            request_id: ID of the caller's request that is sent first; None for one of the relay
                itself. A connection is not used if a second response to its last request could not
                be told from the response to this one.

        Raises:
            EndpointUnreachableError: No connection could be established.
        """
        idle = self._idle.get(endpoint.name, deque())
        now = trio.current_time()
        while idle and not must_be_new:
            connection = idle.pop()
            is_usable = connection.is_direct or not must_be_direct
            if (
                is_usable
                and connection.allows_request(request_id)
                and connection.is_within_idle_limit(now, idle_limit_s)
                and connection.is_reusable
            ):
                return connection
            connection.close()
        return await self.open(
            endpoint, ACK_TIMEOUT_S, _CONNECT_TIMEOUT_S, must_be_direct=must_be_direct
        )

    async def open(
        self,
        endpoint: RoutedEndpoint,
        ack_timeout_s: float,
        timeout_s: float,
        *,
        must_be_direct: bool = False,
    ) -> EndpointConnection:
        """Open a connection to an endpoint.

        Raises:
            EndpointUnreachableError: The connection could not be established.
        """
        on_head = None if self._on_head is None else partial(self._on_head, endpoint)
        on_send = None if self._on_send is None else partial(self._on_send, endpoint)
        dial = self._dialer.dial_directly if must_be_direct else self._dialer.dial
        stream = await dial(endpoint, ack_timeout_s, timeout_s)
        connection = EndpointConnection(
            stream, trio.current_time(), on_head, on_send, self._protocol
        )
        self._known_connections.setdefault(endpoint.name, WeakSet()).add(connection)
        return connection

    async def call(
        self,
        endpoint: RoutedEndpoint,
        idle_limit_s: float,
        make_request: Callable[[], OutgoingRequest],
        max_bytes: int,
        on_bytes: Callable[[int], None] | None = None,
        *,
        upload: Upload | None = None,
        must_be_direct: bool = False,
        must_be_new: bool = False,
        request_id: str | None = None,
    ) -> Response:
        """Send one request and read the complete response.

        Args:
            endpoint: The endpoint to call.
            idle_limit_s: Longest idle time of a connection that may be used.
            make_request: Builds the request once a connection is available.
            max_bytes: Longest response body that is accepted.
            on_bytes: Called each time that bytes of the response arrive, with their number.
            upload: Receives the progress of a long body.
            must_be_direct: Whether no peer may hold the connection on behalf of this instance.
            must_be_new: Whether to open a connection also if there is an idle one.
            request_id: ID of the caller's request; None for one of the relay itself.

        Raises:
            EndpointUnreachableError: No connection could be established; nothing was sent.
            OutcomeUnknownError: No response to this request arrived.
            StreamBrokenError: The response ended early.
        """
        connection = await self.acquire(
            endpoint,
            idle_limit_s,
            must_be_direct=must_be_direct,
            must_be_new=must_be_new,
            request_id=request_id,
        )
        try:
            head = await connection.exchange(make_request(), on_bytes, upload)
            body = await self._read_body(connection, head, max_bytes)
        except BaseException:
            connection.close()
            raise
        self.release(endpoint, connection)
        return Response(head, body)

    async def _read_body(
        self, connection: EndpointConnection, head: ResponseHead, max_bytes: int
    ) -> bytes:
        """Read the body of a response; that of a rejection, which is not passed on, may be cut."""
        try:
            return await connection.read_body(max_bytes, memory=self._memory)
        except StreamBrokenError:
            if self._protocol is None or not self._protocol.reports_not_executed(head):
                raise
            return b""

    def return_unused(self, endpoint: RoutedEndpoint, connection: EndpointConnection) -> None:
        """Return to the pool a connection that was acquired but not used."""
        idle = self._idle.setdefault(endpoint.name, deque())
        if connection.is_reusable and len(idle) < self._max_idle(endpoint):
            idle.append(connection)
        else:
            connection.close()

    def release(self, endpoint: RoutedEndpoint, connection: EndpointConnection) -> None:
        """Return a connection to the pool after an exchange, if it can be used again."""
        now = trio.current_time()
        idle = self._idle.setdefault(endpoint.name, deque())
        if connection.end_exchange(now) and len(idle) < self._max_idle(endpoint):
            idle.append(connection)
        else:
            connection.close()

    def _max_idle(self, endpoint: RoutedEndpoint) -> int:
        if self._is_leaving(endpoint.name):
            return 0
        if self._connection_limit is None:
            return _MAX_IDLE
        return int(max(1.0, min(_MAX_IDLE, _IDLE_SHARE * self._connection_limit(endpoint))))

    def close_expired(self) -> None:
        """Close connections that are idle for longer than ``IDLE_LIMIT_S`` or that received data.

        An endpoint may send bytes without end until its connection is closed, and a tunnel that has
        ended keeps its peer from completing a planned stop.
        """
        now = trio.current_time()
        for incarnation in list(self._idle):
            idle = self._idle[incarnation]
            while idle and not idle[0].is_within_idle_limit(now, IDLE_LIMIT_S):
                idle.popleft().close()
            for connection in [item for item in idle if not item.is_reusable]:
                idle.remove(connection)
                connection.close()
            if not idle:
                del self._idle[incarnation]
        self._known_connections = {
            incarnation: connections
            for incarnation, connections in self._known_connections.items()
            if connections
        }

    def has_open_connection(self, incarnation: str) -> bool:
        """Check whether any known connection to an incarnation is still open."""
        return any(
            connection.is_open_without_input
            for connection in self._known_connections.get(incarnation, ())
        )

    def abort_connections(self, incarnation: str) -> None:
        """Close all connections to an incarnation that has ended, including those in use.

        Otherwise a stream that is stuck behind a network partition would last until the
        silence timeout ends it.
        """
        for connection in self._known_connections.pop(incarnation, ()):
            connection.close()
        self._idle.pop(incarnation, None)

    def close_idle(self, incarnation: str) -> None:
        """Close the idle connections to an incarnation that no longer exists."""
        for connection in self._idle.pop(incarnation, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for incarnation in list(self._idle):
            self.close_idle(incarnation)
