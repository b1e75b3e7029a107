"""Opens streams to endpoints."""

from abc import ABC, abstractmethod

from cleatlink.core.routes import RoutedEndpoint
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


class DirectDialer(Dialer):
    """Connects to endpoints from this instance only."""

    def __init__(self, connector: Connector) -> None:
        self._connector = connector

    async def dial(
        self, endpoint: RoutedEndpoint, ack_timeout_s: float, timeout_s: float
    ) -> EndpointStream:
        """Connect to the endpoint."""
        return await connect_within(self._connector, endpoint.address, ack_timeout_s, timeout_s)
