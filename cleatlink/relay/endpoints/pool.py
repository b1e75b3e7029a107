"""Connections to endpoints, kept for as long as the other side keeps them."""

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import NamedTuple
from weakref import WeakSet

import trio

from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.protocol import OutgoingRequest, ReplyHead
from cleatlink.routing.uploads import Upload

__all__ = ["FRESH_LIMIT_S", "IDLE_LIMIT_S", "ConnectionPool", "Reply"]

# The kernel gives a connection up whose data is not acknowledged for so long.
_SILENCE_S = 1.5
# Several times the way between data centres; a lost first packet costs a second anyway.
_CONNECT_S = 0.15
# Endpoints close idle connections after a time; callers' requests must not meet that.
IDLE_LIMIT_S = 4.0
# What may not be repeated goes out on a connection that was in use just now, or a new one.
FRESH_LIMIT_S = 1.0
# Kept at the most to one endpoint: its slots, shared with other instances, need fewer.
_MOST_IDLE = 16
# Share of an endpoint's connections that all instances may leave idle.
_IDLE_SHARE = 0.5


class Reply(NamedTuple):
    """An endpoint's whole answer."""

    head: ReplyHead
    body: bytes


class ConnectionPool:
    """Idle connections by endpoint; an address may change hands, a name does not."""

    def __init__(
        self,
        allowed: Callable[[RoutedEndpoint], float] | None = None,
        on_head: Callable[[RoutedEndpoint, ReplyHead], None] | None = None,
        is_leaving: Callable[[str], bool] = lambda _: False,
        on_send: Callable[[RoutedEndpoint], None] | None = None,
    ) -> None:
        """Start without connections.

        Args:
            allowed: Gives this instance's part of the connections that an endpoint
                takes from all callers together; None for no limit.
            on_head: Told of the head of each answer of an endpoint.
            is_leaving: Tells of a life whether it leaves; nothing is kept open to it.
            on_send: Told of each request that is sent to an endpoint.
        """
        self._on_send = on_send
        self._is_leaving = is_leaving
        self._on_head = on_head
        self._allowed = allowed
        self._idle: dict[str, deque[EndpointConnection]] = {}
        # All connections that somebody still has, by life.
        self._open: dict[str, WeakSet[EndpointConnection]] = {}

    async def take(self, endpoint: RoutedEndpoint, idle_limit_s: float) -> EndpointConnection:
        """Give an idle connection, or open one.

        Raises:
            EndpointUnreachableError: None came up.
        """
        idle = self._idle.get(endpoint.name, deque())
        now = trio.current_time()
        while idle:
            connection = idle.pop()
            if connection.may_be_idle(now, idle_limit_s) and connection.usable:
                return connection
            connection.close()
        return await self.open(endpoint, _SILENCE_S, _CONNECT_S)

    async def open(
        self, endpoint: RoutedEndpoint, silence_s: float, timeout_s: float
    ) -> EndpointConnection:
        """Open a connection to an endpoint.

        Raises:
            EndpointUnreachableError: It did not come up.
        """
        on_head = None if self._on_head is None else partial(self._on_head, endpoint)
        on_send = None if self._on_send is None else partial(self._on_send, endpoint)
        connection = await EndpointConnection.open(
            endpoint.address, silence_s, timeout_s, on_head, on_send
        )
        self._open.setdefault(endpoint.name, WeakSet()).add(connection)
        return connection

    async def call(
        self,
        endpoint: RoutedEndpoint,
        idle_limit_s: float,
        make: Callable[[], OutgoingRequest],
        most_bytes: int,
        on_bytes: Callable[[], None] | None = None,
        *,
        upload: Upload | None = None,
    ) -> Reply:
        """Make one whole exchange.

        Args:
            endpoint: Whom to call.
            idle_limit_s: Longest idle time of a connection that may be used.
            make: Gives the request once the connection is there.
            most_bytes: Longest body that is read.
            on_bytes: Told each time that bytes of the answer came.
            upload: Told how far a long body has come.

        Raises:
            EndpointUnreachableError: No connection came up; nothing left.
            OutcomeUnknownError: No answer came.
            StreamBrokenError: The answer broke off.
        """
        connection = await self.take(endpoint, idle_limit_s)
        try:
            head = await connection.exchange(make(), on_bytes, upload)
            body = await connection.read_body(most_bytes)
        except BaseException:
            connection.close()
            raise
        self.give_back(endpoint, connection)
        return Reply(head, body)

    def keep(self, endpoint: RoutedEndpoint, connection: EndpointConnection) -> None:
        """Keep an idle connection that was taken and is not needed."""
        idle = self._idle.setdefault(endpoint.name, deque())
        if connection.usable and len(idle) < self._most_idle(endpoint):
            idle.append(connection)
        else:
            connection.close()

    def give_back(self, endpoint: RoutedEndpoint, connection: EndpointConnection) -> None:
        """Keep a connection whose exchange has ended, if it can be used again."""
        now = trio.current_time()
        idle = self._idle.setdefault(endpoint.name, deque())
        if connection.finish(now) and len(idle) < self._most_idle(endpoint):
            idle.append(connection)
        else:
            connection.close()

    def _most_idle(self, endpoint: RoutedEndpoint) -> int:
        if self._is_leaving(endpoint.name):
            return 0
        if self._allowed is None:
            return _MOST_IDLE
        return int(max(1.0, min(_MOST_IDLE, _IDLE_SHARE * self._allowed(endpoint))))

    def prune(self) -> None:
        """Close connections that have been idle for too long."""
        now = trio.current_time()
        for name in list(self._idle):
            idle = self._idle[name]
            while idle and not idle[0].may_be_idle(now, IDLE_LIMIT_S):
                idle.popleft().close()
            if not idle:
                del self._idle[name]
        self._open = {name: kept for name, kept in self._open.items() if kept}

    def has_open(self, name: str) -> bool:
        """Tell whether somebody still has a connection to a life that is open."""
        return any(connection.is_quiet for connection in self._open.get(name, ()))

    def break_off(self, name: str) -> None:
        """Close all connections of a life that is over, also those with calls in progress.

        Without it a stream that hangs behind a cut goes on until it has been silent for long.
        """
        for connection in self._open.pop(name, ()):
            connection.close()
        self._idle.pop(name, None)

    def forget(self, name: str) -> None:
        """Close the idle connections of an endpoint that is gone."""
        for connection in self._idle.pop(name, ()):
            connection.close()

    def close(self) -> None:
        """Close everything."""
        for name in list(self._idle):
            self.forget(name)
