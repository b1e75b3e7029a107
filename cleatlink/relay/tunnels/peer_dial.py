"""Connects to an endpoint for a peer, and tells a dead endpoint from an own lost path."""

from collections.abc import Callable

import trio

from cleatlink.core.errors import EndpointUnreachableError
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.dialer import DirectDialer
from cleatlink.relay.endpoints.path_monitor import PathMonitor
from cleatlink.relay.endpoints.pool import ACK_TIMEOUT_S
from cleatlink.relay.endpoints.streams import EndpointStream
from cleatlink.relay.tasks import run_watched
from cleatlink.relay.tunnels.messages import TunnelStatus

__all__ = ["PeerDial"]

# Time after which a connection is unusually slow, and longest time for the control connection, in
# seconds. Connections within a region open much faster.
_CONTROL_DELAY_S = 0.01
_CONTROL_TIMEOUT_S = 0.03


class PeerDial:
    """One connection to an endpoint for a peer.

    If it fails, a connection to another endpoint is the control: if that fails as well, this
    instance may have lost its paths, and its failure is no evidence against the endpoint.
    """

    def __init__(
        self,
        endpoint: RoutedEndpoint,
        direct: DirectDialer,
        monitor: PathMonitor,
        find_endpoint: Callable[[str], RoutedEndpoint | None],
    ) -> None:
        """Create a connection attempt.

        Args:
            endpoint: The endpoint.
            direct: Connects to endpoints.
            monitor: Knows which other endpoint was connected last.
            find_endpoint: Returns a registered endpoint by its incarnation.
        """
        self._endpoint = endpoint
        self._direct = direct
        self._monitor = monitor
        self._find_endpoint = find_endpoint
        self._failed = trio.Event()
        self._control_done = trio.Event()
        self._is_control_connected = False

    async def run(self, timeout_s: float) -> EndpointStream | TunnelStatus:
        """Connect; return the stream, or what its failure says about the endpoint."""
        result = await run_watched(lambda: self._connect(timeout_s), self._connect_control)
        assert result is not None, "the control does not cancel the connection"
        return result

    async def _connect(self, timeout_s: float) -> EndpointStream | TunnelStatus:
        try:
            return await self._direct.dial_directly(self._endpoint, ACK_TIMEOUT_S, timeout_s)
        except EndpointUnreachableError as error:
            self._failed.set()
            await self._control_done.wait()
            if not self._is_control_connected:
                return TunnelStatus.NO_PATH
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            return TunnelStatus.REFUSED if is_refused else TunnelStatus.NO_RESPONSE

    async def _connect_control(self, _: trio.CancelScope) -> None:
        """Connect to another endpoint once the connection has failed or is unusually slow."""
        with trio.move_on_after(_CONTROL_DELAY_S):
            await self._failed.wait()
        name = self._monitor.paths.find_control(self._endpoint.name)
        control = None if name is None else self._find_endpoint(name)
        if control is not None:
            try:
                stream = await self._direct.dial_directly(
                    control, _CONTROL_TIMEOUT_S, _CONTROL_TIMEOUT_S
                )
                stream.close()
                self._is_control_connected = True
            except EndpointUnreachableError:
                # The monitor has counted the failure.
                self._is_control_connected = False
        self._control_done.set()
