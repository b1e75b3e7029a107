"""Detects whether an endpoint that broke off a response has crashed.

A broken response alone is no proof: a connection can be reset, and an endpoint can send one bad
response and keep running. An endpoint that has crashed also refuses new connections, or a proxy
on its machine accepts and closes them, and no other connection to the endpoint is open any more.
"""

from collections.abc import Callable, Sequence

import eliot
import trio

from cleatlink.core.errors import EndpointUnreachableError
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.quarantine import Suspect
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.pool import ConnectionPool
from cleatlink.relay.metrics import RelayMetrics

__all__ = ["CrashDetector"]

# The kernel closes all connections of a process at once, so its requests fail together. Requests
# that fail within this time after the first one are checked together.
_BATCH_DELAY_S = 0.01
# Several times the round trip between data centres.
_PROBE_TIMEOUT_S = 0.15
# Most connection attempts to an endpoint, and the pause after one that fails: a lost packet is
# sent again after 0.2 s.
_MAX_PROBES = 3
_PROBE_PAUSE_S = 0.1
# A proxy that accepts connections for an endpoint that no longer runs closes them at once. An
# endpoint counts as crashed after this many new connections are each closed within this time.
_CLOSE_DETECTION_S = 0.03
_CLOSED_CONNECTIONS_FOR_CRASH = 2
_CLOSED_RETRY_PAUSE_S = 0.01
# A crash shows within one round trip, so callers wait no longer than this for the result.
_MAX_CALLER_WAIT_S = 0.05
# A request whose connection breaks later than this after a detected crash belongs to a new crash.
_SAME_CRASH_WINDOW_S = 1.0


class CrashDetector:
    """Detects crashes of endpoints on which this instance has requests in progress."""

    def __init__(
        self,
        pool: ConnectionPool,
        metrics: RelayMetrics,
        *,
        spawn: Callable[..., None],
        on_crash: Callable[[RoutedEndpoint, Sequence[Suspect]], None],
    ) -> None:
        """Create a detector with no checks in progress.

        Args:
            pool: The connections; one that is still open shows that its endpoint is alive.
            metrics: Counts crashes.
            spawn: Starts a background task.
            on_crash: Called with an endpoint that has crashed, and the requests that were in
                progress there; called again for requests that turn out later to belong to the
                crash.
        """
        self._pool = pool
        self._metrics = metrics
        self._spawn = spawn
        self._on_crash = on_crash
        # Of several copies of one request, the one that was in progress for the shortest time.
        self._broken_requests: dict[str, dict[bytes, Suspect]] = {}
        self._check_finished: dict[str, trio.Event] = {}
        self._crashed_at: dict[str, float] = {}

    def report_broken_request(self, endpoint: RoutedEndpoint, request: Suspect) -> None:
        """Report that an endpoint broke off a request that was in progress there."""
        batch = self._broken_requests.get(endpoint.name)
        if batch is not None:
            known = batch.get(request.identity)
            if known is None or request.in_progress_s < known.in_progress_s:
                batch[request.identity] = request
            return
        self._broken_requests[endpoint.name] = {request.identity: request}
        self._check_finished[endpoint.name] = trio.Event()
        self._spawn(self._check, endpoint)

    async def wait_for_check(self, endpoint: RoutedEndpoint) -> None:
        """Wait a limited time for the result of a running crash check.

        The check of an endpoint that does not respond takes longer than this wait.
        """
        checked = self._check_finished.get(endpoint.name)
        if checked is not None:
            with trio.move_on_after(_MAX_CALLER_WAIT_S):
                await checked.wait()

    async def _check(self, endpoint: RoutedEndpoint) -> None:
        try:
            await trio.sleep(_BATCH_DELAY_S)
            if await self._has_crashed(endpoint):
                self._report_crash(endpoint, list(self._broken_requests[endpoint.name].values()))
        finally:
            del self._broken_requests[endpoint.name]
            self._check_finished.pop(endpoint.name).set()

    def _report_crash(self, endpoint: RoutedEndpoint, requests: Sequence[Suspect]) -> None:
        now = trio.current_time()
        is_new = (
            now - self._crashed_at.get(endpoint.name, -_SAME_CRASH_WINDOW_S) >= _SAME_CRASH_WINDOW_S
        )
        self._crashed_at = {
            name: at for name, at in self._crashed_at.items() if now - at < _SAME_CRASH_WINDOW_S
        }
        if is_new:
            self._crashed_at[endpoint.name] = now
            self._metrics.count_endpoint_crash(endpoint.service)
        eliot.log_message(
            message_type="endpoint: crashed with requests in progress",
            endpoint=endpoint.name,
            address=endpoint.address,
            asks=sorted(request.identity.hex() for request in requests),
            parts={request.identity.hex(): request.prompt.part_names() for request in requests},
            first=is_new,
        )
        self._on_crash(endpoint, requests)

    async def _has_crashed(self, endpoint: RoutedEndpoint) -> bool:
        """Check whether an endpoint refuses or closes all connections.

        An endpoint that does not respond at all may still be running. An endpoint at its connection
        limit also closes new connections, but keeps the others open.
        """
        closed = 0
        for _ in range(_MAX_PROBES):
            try:
                connection = await self._pool.open(endpoint, _PROBE_TIMEOUT_S, _PROBE_TIMEOUT_S)
            except EndpointUnreachableError as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    return True
                await trio.sleep(_PROBE_PAUSE_S)
            else:
                if await _stays_open(connection):
                    self._pool.return_unused(endpoint, connection)
                    return False
                connection.close()
                closed += 1
                if self._pool.has_open_connection(endpoint.name):
                    return False
                if closed == _CLOSED_CONNECTIONS_FOR_CRASH:
                    return True
                await trio.sleep(_CLOSED_RETRY_PAUSE_S)
        return False


async def _stays_open(connection: EndpointConnection) -> bool:
    """Check whether a new connection stays open for a short time."""
    try:
        with trio.move_on_after(_CLOSE_DETECTION_S):
            await connection.wait_readable()
    except BaseException:
        connection.close()
        raise
    return connection.is_reusable
