"""Connects to endpoints on behalf of peers that lost their own path to them."""

from collections.abc import Callable
from contextlib import suppress

import eliot
import h11
import trio

from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.dialer import DirectDialer
from cleatlink.relay.endpoints.path_monitor import PathMonitor
from cleatlink.relay.endpoints.pool import ACK_TIMEOUT_S
from cleatlink.relay.endpoints.streams import EndpointStream
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.sockets import accept_connections, set_connection_options
from cleatlink.relay.tunnels.channel import TunnelChannel
from cleatlink.relay.tunnels.messages import (
    TUNNEL_METHOD,
    TUNNEL_PATH,
    TunnelRequest,
    TunnelStatus,
)
from cleatlink.relay.tunnels.peer_dial import PeerDial

__all__ = ["TunnelServer"]

# Time in which a peer has to send its request.
_REQUEST_TIMEOUT_S = 1.0
# Longest time in which an endpoint has to be connected, whatever the peer asks for.
_MAX_CONNECT_TIMEOUT_S = 1.0
# Part of the peer's time that is left for the answer, in seconds.
_ANSWER_TIME_S = 0.015
# Tunnels that one core carries for peers at the same time, beside the callers of its own instance.
_MAX_TUNNELS_PER_CORE = 128
_MIN_TUNNELS = 16


class TunnelServer:
    """Accepts tunnels of live peers to registered endpoints."""

    def __init__(
        self,
        direct: DirectDialer,
        monitor: PathMonitor,
        metrics: RelayMetrics,
        *,
        cores: float,
        find_endpoint: Callable[[str], RoutedEndpoint | None],
        is_peer: Callable[[str, str], bool],
        is_stopping: Callable[[], bool],
    ) -> None:
        """Create a server without tunnels.

        Args:
            direct: Connects to endpoints. Tunnels are never used, so no tunnel leads through two
                peers.
            monitor: The paths to endpoints.
            metrics: Counts requests and open tunnels.
            cores: Processor share of this instance, in cores.
            find_endpoint: Returns a registered endpoint by its incarnation.
            is_peer: Checks the name and the IP address of a sender.
            is_stopping: Returns whether a planned stop of this instance has begun.
        """
        self._direct = direct
        self._monitor = monitor
        self._metrics = metrics
        self._max_tunnels = max(_MIN_TUNNELS, int(_MAX_TUNNELS_PER_CORE * cores))
        self._find_endpoint = find_endpoint
        self._is_peer = is_peer
        self._is_stopping = is_stopping
        self._open_count = 0

    @property
    def open_count(self) -> int:
        """Number of tunnels that are open now."""
        return self._open_count

    async def serve(self, listener: trio.SocketListener) -> None:
        """Accept and carry tunnels until cancelled."""
        await accept_connections(listener, self._serve_peer)

    async def _serve_peer(self, stream: trio.SocketStream) -> None:
        channel = TunnelChannel(stream, h11.SERVER)
        try:
            set_connection_options(stream.socket, ACK_TIMEOUT_S)
            with trio.fail_after(_REQUEST_TIMEOUT_S):
                head = await channel.receive_request()
            await self._serve_request(channel, head, stream.socket.getpeername()[0])
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            # The peer disconnected or sent no request; it logs the failure of its tunnel.
            return
        finally:
            channel.close()

    async def _serve_request(self, channel: TunnelChannel, head: h11.Request, host: str) -> None:
        request = TunnelRequest.from_headers(tuple(head.headers.raw_items()))
        if request is None or (head.method, head.target) != (TUNNEL_METHOD, TUNNEL_PATH):
            await self._refuse(channel, TunnelStatus.INVALID, host)
            return
        endpoint = self._find_endpoint(request.endpoint)
        status = self._check(request, endpoint, host)
        if endpoint is None or status is not TunnelStatus.OPEN:
            await self._refuse(channel, status, request.sender, request)
            return
        self._open_count += 1
        self._metrics.set_carried_tunnels(self._open_count)
        try:
            await self._connect_and_carry(channel, endpoint, request)
        finally:
            self._open_count -= 1
            self._metrics.set_carried_tunnels(self._open_count)

    def _check(
        self, request: TunnelRequest, endpoint: RoutedEndpoint | None, host: str
    ) -> TunnelStatus:
        """Return whether a tunnel may be opened, or why not."""
        if not self._is_peer(request.sender, host):
            return TunnelStatus.FORBIDDEN
        if endpoint is None or endpoint.address != request.address:
            return TunnelStatus.UNKNOWN_ENDPOINT
        if self._is_stopping() or self._open_count >= self._max_tunnels:
            return TunnelStatus.UNAVAILABLE
        if self._monitor.paths.is_lost(endpoint.name):
            return TunnelStatus.NO_PATH
        return TunnelStatus.OPEN

    async def _refuse(
        self,
        channel: TunnelChannel,
        status: TunnelStatus,
        sender: str,
        request: TunnelRequest | None = None,
    ) -> None:
        self._metrics.count_tunnel_request(status.name.lower())
        eliot.log_message(
            message_type="tunnels: refused a tunnel of a peer",
            sender=sender,
            endpoint="" if request is None else request.endpoint,
            status=status.name.lower(),
            open=self._open_count,
            most=self._max_tunnels,
        )
        await channel.send_status(status)
        await channel.send_end()

    async def _connect_and_carry(
        self, channel: TunnelChannel, endpoint: RoutedEndpoint, request: TunnelRequest
    ) -> None:
        timeout_s = min(_MAX_CONNECT_TIMEOUT_S, max(0.0, request.timeout_s - _ANSWER_TIME_S))
        dial = PeerDial(endpoint, self._direct, self._monitor, self._find_endpoint)
        stream = await dial.run(timeout_s)
        if isinstance(stream, TunnelStatus):
            await self._refuse(channel, stream, request.sender, request)
            return
        self._metrics.count_tunnel_request(TunnelStatus.OPEN.name.lower())
        try:
            await channel.send_status(TunnelStatus.OPEN)
            await _carry(channel, stream)
        finally:
            stream.close()


async def _carry(channel: TunnelChannel, stream: EndpointStream) -> None:
    """Carry bytes in both directions until the endpoint or the peer closes its connection."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_carry_to_endpoint, channel, stream, nursery.cancel_scope)
        nursery.start_soon(_carry_to_peer, channel, stream, nursery.cancel_scope)


async def _carry_to_endpoint(
    channel: TunnelChannel, stream: EndpointStream, scope: trio.CancelScope
) -> None:
    try:
        while data := await channel.receive_some():
            try:
                await stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # What the endpoint sent before is still carried to the peer.
                return
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # The peer closed the tunnel.
        pass
    scope.cancel()


async def _carry_to_peer(
    channel: TunnelChannel, stream: EndpointStream, scope: trio.CancelScope
) -> None:
    # A failed connection ends the tunnel without its regular end.
    with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        while data := await stream.receive_some():
            await channel.send_all(data)
        await channel.send_end()
    scope.cancel()
