"""Opens streams to endpoints."""

from abc import ABC, abstractmethod

import trio

from cleatlink.core.errors import EndpointUnreachableError
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.path_monitor import PathMonitor
from cleatlink.relay.endpoints.streams import Connector, EndpointStream, connect_within

__all__ = ["Dialer", "DirectDialer"]


class Dialer(ABC):
    """Opens streams to endpoints."""

    @abstractmethod
    async def dial(
        self, endpoint: RoutedEndpoint, ack_timeout_s: float, timeout_s: float
    ) -> EndpointStream:
        """Open a stream to an endpoint.

        Args:
            endpoint: The endpoint.
            ack_timeout_s: Seconds that sent data may stay unacknowledged before the stream fails.
            timeout_s: Seconds within which the stream must be open.

        Raises:
            EndpointUnreachableError: No stream could be opened; nothing was sent.
        """

    @abstractmethod
    async def dial_directly(
        self, endpoint: RoutedEndpoint, ack_timeout_s: float, timeout_s: float
    ) -> EndpointStream:
        """Open a stream whose connection to the endpoint is this instance's own.

        Args:
            endpoint: The endpoint.
            ack_timeout_s: Seconds that sent data may stay unacknowledged before the stream fails.
            timeout_s: Seconds within which the stream must be open.

        Raises:
            EndpointUnreachableError: No stream could be opened; nothing was sent.
        """


class DirectDialer(Dialer):
    """Connects to endpoints from this instance only."""

    def __init__(self, connector: Connector, monitor: PathMonitor | None = None) -> None:
        """Create a dialer.

        Args:
            connector: Opens the connections.
            monitor: Records their outcomes; None to record nothing.
        """
        self._connector = connector
        self._monitor = monitor

    async def dial(
        self, endpoint: RoutedEndpoint, ack_timeout_s: float, timeout_s: float
    ) -> EndpointStream:
        """Connect to the endpoint."""
        return await self.dial_directly(endpoint, ack_timeout_s, timeout_s)

    async def dial_directly(
        self, endpoint: RoutedEndpoint, ack_timeout_s: float, timeout_s: float
    ) -> EndpointStream:
        """Connect to the endpoint."""
        began_at = trio.current_time()
        if self._monitor is not None:
            timeout_s += self._monitor.own_delay_allowance_s(began_at)
        try:
            stream = await connect_within(
                self._connector, endpoint.address, ack_timeout_s, timeout_s
            )
        except EndpointUnreachableError:
            if self._monitor is not None:
                self._monitor.note_failed(endpoint)
            raise
        if self._monitor is not None:
            self._monitor.note_connected(endpoint, trio.current_time() - began_at)
        return stream
