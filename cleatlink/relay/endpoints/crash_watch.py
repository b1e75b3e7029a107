"""Finds out whether an endpoint that broke an answer off has crashed.

A broken answer alone says little: a connection can be reset, and an endpoint can spoil one
answer and go on. One that has crashed also refuses new connections, or something beside it takes
them and closes them, and no other connection to it is open any more.
"""

from collections.abc import Callable, Mapping

import eliot
import trio

from cleatlink.core.errors import EndpointUnreachableError
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.pool import ConnectionPool
from cleatlink.relay.metrics import RelayMetrics

__all__ = ["CrashWatch"]

# The kernel ends all connections of a process at once, and so do the requests on them; those
# that break within so long of each other are asked about together.
_GATHER_S = 0.01
# The way there and back between data centres, several times.
_ASK_S = 0.15
# An endpoint that takes no answer is asked so often: a lost packet is sent again after 0.2 s.
_MOST_ASKS = 3
_ASK_PAUSE_S = 0.1
# Something that takes connections for an endpoint that is gone closes them at once: within this,
# so often in a row.
_CLOSED_S = 0.03
_MOST_CLOSED = 2
_CLOSED_PAUSE_S = 0.01
# An endpoint that crashed says so in a way there and back; callers don't wait for longer.
_KNOWN_S = 0.05
# Requests whose connections break later than this after a crash was found belong to another.
_SAME_CRASH_S = 1.0


class CrashWatch:
    """Watches the endpoints that this instance's requests are in progress at."""

    def __init__(
        self,
        pool: ConnectionPool,
        metrics: RelayMetrics,
        *,
        spawn: Callable[..., None],
        on_crash: Callable[[RoutedEndpoint, Mapping[bytes, float]], None],
    ) -> None:
        """Start without any in doubt.

        Args:
            pool: Keeps the connections that show an endpoint to be alive.
            metrics: Counts crashes.
            spawn: Runs a task once.
            on_crash: Told of an endpoint that has crashed, with the identities of the requests
                that were in progress there and the seconds for which they had been; again for
                requests that are found out later.
        """
        self._pool = pool
        self._metrics = metrics
        self._spawn = spawn
        self._on_crash = on_crash
        self._broken: dict[str, dict[bytes, float]] = {}
        self._looks: dict[str, trio.Event] = {}
        self._crashed: dict[str, float] = {}

    def note_broken(self, endpoint: RoutedEndpoint, identity: bytes, seconds: float) -> None:
        """Note that an endpoint broke off a request that was in progress there.

        Args:
            endpoint: The endpoint.
            identity: The request's identity.
            seconds: For how long it had been in progress there.
        """
        waiting = self._broken.get(endpoint.name)
        if waiting is not None:
            waiting[identity] = min(seconds, waiting.get(identity, seconds))
            return
        self._broken[endpoint.name] = {identity: seconds}
        self._looks[endpoint.name] = trio.Event()
        self._spawn(self._look, endpoint)

    async def wait(self, endpoint: RoutedEndpoint) -> None:
        """Wait until it is known whether an endpoint crashed, but not for one that is silent."""
        look = self._looks.get(endpoint.name)
        if look is not None:
            with trio.move_on_after(_KNOWN_S):
                await look.wait()

    async def _look(self, endpoint: RoutedEndpoint) -> None:
        try:
            await trio.sleep(_GATHER_S)
            if await self._has_crashed(endpoint):
                self._note_crash(endpoint, self._broken[endpoint.name])
        finally:
            del self._broken[endpoint.name]
            self._looks.pop(endpoint.name).set()

    def _note_crash(self, endpoint: RoutedEndpoint, broken: Mapping[bytes, float]) -> None:
        now = trio.current_time()
        is_new = now - self._crashed.get(endpoint.name, -_SAME_CRASH_S) >= _SAME_CRASH_S
        self._crashed = {name: at for name, at in self._crashed.items() if now - at < _SAME_CRASH_S}
        if is_new:
            self._crashed[endpoint.name] = now
            self._metrics.count_crash(endpoint.service)
        eliot.log_message(
            message_type="endpoint: has crashed with requests in progress",
            endpoint=endpoint.name,
            address=endpoint.address,
            asks=sorted(identity.hex() for identity in broken),
            first=is_new,
        )
        self._on_crash(endpoint, broken)

    async def _has_crashed(self, endpoint: RoutedEndpoint) -> bool:
        """Tell whether an endpoint takes no connection that stays; one that is silent may live.

        One that has as many connections as it takes closes new ones, too, but keeps the others.
        """
        closed = 0
        for _ in range(_MOST_ASKS):
            try:
                connection = await self._pool.open(endpoint, _ASK_S, _ASK_S)
            except EndpointUnreachableError as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    return True
                await trio.sleep(_ASK_PAUSE_S)
            else:
                if await _stays_open(connection):
                    self._pool.keep(endpoint, connection)
                    return False
                connection.close()
                closed += 1
                if self._pool.has_open(endpoint.name):
                    return False
                if closed == _MOST_CLOSED:
                    return True
                await trio.sleep(_CLOSED_PAUSE_S)
        return False


async def _stays_open(connection: EndpointConnection) -> bool:
    """Tell whether a new connection is still there a moment later."""
    try:
        with trio.move_on_after(_CLOSED_S):
            await connection.wait_readable()
    except BaseException:
        connection.close()
        raise
    return connection.usable
