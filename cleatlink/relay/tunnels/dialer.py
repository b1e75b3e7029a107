"""Opens streams to endpoints, through a peer where this instance lost its own path."""

import math
from collections.abc import Awaitable, Callable

import trio

from cleatlink.core.errors import EndpointUnreachableError
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.dialer import Dialer, DirectDialer
from cleatlink.relay.endpoints.path_monitor import PathMonitor
from cleatlink.relay.endpoints.streams import EndpointStream
from cleatlink.relay.tasks import run_watched, sleep_until_sockets_read
from cleatlink.relay.tunnels.client import PeerFailure, TunnelClient, TunnelFailedError

__all__ = ["TunnelDialer"]

# Longest time for a tunnel where the path is known to be lost, in seconds: it takes a connection of
# the peer besides the own one.
_TUNNEL_TIMEOUT_S = 0.25


_Work = Callable[[], Awaitable[None]]
_Watch = Callable[[trio.CancelScope], Awaitable[None]]


class TunnelDialer(Dialer):
    """Connects directly, and asks peers when that fails or takes unusually long."""

    def __init__(self, direct: DirectDialer, client: TunnelClient, monitor: PathMonitor) -> None:
        self._direct = direct
        self._client = client
        self._monitor = monitor

    async def dial(
        self, endpoint: RoutedEndpoint, ack_timeout_s: float, timeout_s: float
    ) -> EndpointStream:
        """Open the first stream of a direct connection and a tunnel."""
        now = trio.current_time()
        delay_s = self._monitor.paths.tunnel_delay_s(endpoint.name, now)
        if delay_s == math.inf:
            return await self.dial_directly(endpoint, ack_timeout_s, timeout_s)
        allowance_s = self._monitor.own_delay_allowance_s(now)
        race = _DialRace(self, endpoint, ack_timeout_s, timeout_s, allowance_s)
        if self._monitor.paths.is_lost(endpoint.name) and self._client.has_peers:
            return await race.run_without_direct_connection()
        return await race.run(delay_s + allowance_s)

    async def dial_directly(
        self, endpoint: RoutedEndpoint, ack_timeout_s: float, timeout_s: float
    ) -> EndpointStream:
        """Connect to the endpoint."""
        return await self._direct.dial_directly(endpoint, ack_timeout_s, timeout_s)

    async def open_tunnel(
        self, endpoint: RoutedEndpoint, ack_timeout_s: float, timeout_s: float
    ) -> EndpointStream:
        """Open a tunnel, and record what it shows about the path to the endpoint.

        Raises:
            TunnelFailedError: No peer reached the endpoint.
        """
        try:
            stream = await self._client.open(endpoint, ack_timeout_s, timeout_s)
        except TunnelFailedError as error:
            if error.reason in (PeerFailure.REFUSED, PeerFailure.NO_RESPONSE):
                self._monitor.note_unreached_by_peer(endpoint)
            raise
        self._monitor.note_reached_by_peer(endpoint, stream.peer)
        return stream

    def note_overdue(self, endpoint: RoutedEndpoint) -> None:
        """Record that a direct connection takes unusually long."""
        self._monitor.note_overdue(endpoint)


class _DialRace:
    """A direct connection and a tunnel to one endpoint, of which the first is used."""

    def __init__(
        self,
        dialer: TunnelDialer,
        endpoint: RoutedEndpoint,
        ack_timeout_s: float,
        timeout_s: float,
        allowance_s: float,
    ) -> None:
        """Create a race that is not started.

        Args:
            dialer: Opens the connections.
            endpoint: The endpoint.
            ack_timeout_s: Seconds that sent data may stay unacknowledged before a stream fails.
            timeout_s: Seconds within which a stream must be open, without the next ones.
            allowance_s: Seconds by which this instance may delay it.
        """
        self._dialer = dialer
        self._endpoint = endpoint
        self._ack_timeout_s = ack_timeout_s
        self._timeout_s = timeout_s
        self._tunnel_ends_at = trio.current_time() + timeout_s + allowance_s
        self._direct: EndpointStream | None = None
        self._tunnel: EndpointStream | None = None
        self._tunnel_failure: PeerFailure | None = None
        self._direct_error: EndpointUnreachableError | None = None
        self._direct_failed = trio.Event()
        self._tunnel_failed = trio.Event()

    async def run(self, tunnel_delay_s: float) -> EndpointStream:
        """Connect directly, and open a tunnel after a delay or once that has failed.

        Raises:
            EndpointUnreachableError: Neither reached the endpoint.
        """

        async def open_tunnel_later(scope: trio.CancelScope) -> None:
            due_at = trio.current_time() + tunnel_delay_s
            with trio.move_on_at(due_at):
                await self._direct_failed.wait()
            if not self._direct_failed.is_set():
                await sleep_until_sockets_read(due_at)
                self._dialer.note_overdue(self._endpoint)
            await self._open_tunnel(scope)

        return await self._run(self._connect, open_tunnel_later)

    async def run_without_direct_connection(self) -> EndpointStream:
        """Open a tunnel.

        Raises:
            EndpointUnreachableError: No peer reached the endpoint.
        """
        self._tunnel_ends_at = trio.current_time() + _TUNNEL_TIMEOUT_S
        return await self._run(self._tunnel_failed.wait, self._open_tunnel)

    async def _run(self, work: _Work, watch: _Watch) -> EndpointStream:
        try:
            await run_watched(work, watch)
        except BaseException:
            # A connection may be open already, since its task ends before that of the other one.
            if self._direct is not None:
                self._direct.close()
            self._close_tunnel()
            raise
        if self._direct is not None:
            self._close_tunnel()
            return self._direct
        if self._tunnel is not None:
            return self._tunnel
        raise self._error()

    async def _connect(self) -> None:
        """Connect directly; if that fails, wait for the end of the tunnel's attempt."""
        try:
            self._direct = await self._dialer.dial_directly(
                self._endpoint, self._ack_timeout_s, self._timeout_s
            )
        except EndpointUnreachableError as error:
            self._direct_error = error
            self._direct_failed.set()
            await self._tunnel_failed.wait()

    async def _open_tunnel(self, scope: trio.CancelScope) -> None:
        timeout_s = max(0.0, self._tunnel_ends_at - trio.current_time())
        try:
            self._tunnel = await self._dialer.open_tunnel(
                self._endpoint, self._ack_timeout_s, timeout_s
            )
            scope.cancel()
        except TunnelFailedError as error:
            self._tunnel_failure = error.reason
            self._tunnel_failed.set()

    def _close_tunnel(self) -> None:
        if self._tunnel is not None:
            self._tunnel.close()

    def _error(self) -> EndpointUnreachableError:
        """Return the failure, whose cause says whether the endpoint refused connections.

        While the path may be lost, a refused direct connection is no evidence of that.
        """
        reason = self._tunnel_failure or PeerFailure.NO_PEER
        error = EndpointUnreachableError(
            f"{self._endpoint.address}: {self._direct_error!r}, through peers: {reason.value}"
        )
        if reason is PeerFailure.REFUSED:
            error.__cause__ = ConnectionRefusedError("refused a peer")
        elif reason is PeerFailure.NO_RESPONSE:
            error.__cause__ = trio.TooSlowError("did not respond to a peer")
        elif reason is PeerFailure.NO_PEER and self._direct_error is not None:
            error.__cause__ = self._direct_error.__cause__
        return error
