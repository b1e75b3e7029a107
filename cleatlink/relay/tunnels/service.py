"""Connections from one instance to endpoints, direct or through peers, and those for peers."""

import random
from collections.abc import Callable
from typing import NamedTuple

import trio

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.dialer import Dialer, DirectDialer
from cleatlink.relay.endpoints.path_monitor import PathMonitor
from cleatlink.relay.endpoints.streams import Connector
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.settings import RelaySettings
from cleatlink.relay.sockets import listen
from cleatlink.relay.tasks import Task
from cleatlink.relay.tunnels.client import TunnelClient
from cleatlink.relay.tunnels.dialer import TunnelDialer
from cleatlink.relay.tunnels.prober import PathProber
from cleatlink.relay.tunnels.server import TunnelServer
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.endpoint_paths import EndpointPaths
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.tunnel_peers import TunnelPeer

__all__ = ["TunnelHooks", "TunnelService"]


class TunnelHooks(NamedTuple):
    """Callbacks from the tunnels of an instance into its other components.

    Attributes:
        list_peers: Returns the live peers that carry tunnels and are not leaving.
        is_peer: Checks whether a live peer has a name and sends from an IP address.
        is_stopping: Returns whether a planned stop of this instance has begun.
        on_path_change: Called with an endpoint whose path was lost or works again.
        on_lost_services_change: Called when the lost services change.
    """

    list_peers: Callable[[], list[TunnelPeer]]
    is_peer: Callable[[str, str], bool]
    is_stopping: Callable[[], bool]
    on_path_change: Callable[[RoutedEndpoint], None]
    on_lost_services_change: Callable[[], None]


class TunnelService:
    """The paths from this instance to endpoints, and its tunnels with peers."""

    def __init__(
        self,
        settings: RelaySettings,
        capacity: Capacity,
        metrics: RelayMetrics,
        *,
        connector: Connector,
        rng: random.Random,
        hooks: TunnelHooks,
    ) -> None:
        """Create the components without starting them.

        Args:
            settings: Settings of the instance.
            capacity: The registered endpoints; failures on a lost path are cleared there.
            metrics: Counts connections and tunnels.
            connector: Opens direct connections to endpoints.
            rng: Spreads tunnels over equally good peers.
            hooks: Callbacks into other components.
        """
        is_enabled = capacity.switches.is_enabled(Mechanism.TUNNELS)
        self._listen_address = settings.tunnel_listen if is_enabled else None
        self._capacity = capacity
        self._hooks = hooks
        self._paths = EndpointPaths()
        self._announced_lost_services: tuple[str, ...] = ()
        monitor = PathMonitor(
            self._paths, metrics, self._handle_path_change, own_delay=capacity.own_delay
        )
        direct = DirectDialer(connector, monitor)
        client = TunnelClient(
            settings.name,
            settings.data_centre,
            local_host=settings.peer_listen.host,
            list_peers=hooks.list_peers,
            is_path_lost=self._paths.is_lost,
            rng=rng,
        )
        self._dialer: Dialer = direct
        if self._listen_address is not None:
            self._dialer = TunnelDialer(direct, client, monitor)
        self._server = TunnelServer(
            direct,
            monitor,
            metrics,
            cores=settings.size,
            find_endpoint=self._find_endpoint,
            is_peer=hooks.is_peer,
            is_stopping=hooks.is_stopping,
        )
        self._prober = PathProber(self._dialer, self._paths, self._find_endpoint)
        self._listener: trio.SocketListener | None = None

    @property
    def paths(self) -> EndpointPaths:
        """The paths to endpoints."""
        return self._paths

    @property
    def dialer(self) -> Dialer:
        """Opens connections to endpoints."""
        return self._dialer

    @property
    def port(self) -> int:
        """Port at which peers can ask for tunnels; 0 if tunnels are disabled."""
        return self._listen_address.port if self._listen_address is not None else 0

    @property
    def carried_count(self) -> int:
        """Number of tunnels that are carried for peers now."""
        return self._server.open_count

    @property
    def lost_services(self) -> tuple[str, ...]:
        """Services to a large share of whose endpoints this instance has no path, sorted."""
        endpoints: dict[str, list[str]] = {}
        for endpoint in self._capacity.endpoints.values() if self._paths.lost_count else ():
            endpoints.setdefault(endpoint.service, []).append(endpoint.name)
        return tuple(
            service
            for service, names in sorted(endpoints.items())
            if self._paths.is_cut_off_from(names)
        )

    def is_cut_off(self) -> bool:
        """Check whether this instance has no path to many of the engines of a service."""
        return any(
            self._capacity.in_role(service, role)
            for service in self.lost_services
            for role in (Role.PREFILL, Role.DECODE)
        )

    def listen(self) -> None:
        """Listen for tunnels of peers, unless the settings disable them.

        Raises:
            ListenError: The address can't be bound.
        """
        address = self._listen_address
        if address is not None:
            self._listener = listen(address.host, address.port)

    def start(self, nursery: trio.Nursery, supervise: Callable[[Task], None]) -> None:
        """Start to carry tunnels for peers and to probe paths.

        Args:
            nursery: Runs the server.
            supervise: Runs a task until the instance stops.
        """
        if self._listener is not None:
            nursery.start_soon(self._server.serve, self._listener)
            supervise(self._prober.run)

    def close(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            self._listener.socket.close()

    def track_endpoints(self) -> None:
        """Track the paths to all registered endpoints, and to no others."""
        self._paths.track(self._capacity.endpoints)

    def _find_endpoint(self, incarnation: str) -> RoutedEndpoint | None:
        return self._capacity.endpoints.get(incarnation)

    def _handle_path_change(self, endpoint: RoutedEndpoint) -> None:
        if self._paths.is_lost(endpoint.name):
            self._capacity.clear_failures(endpoint.name)
        self._hooks.on_path_change(endpoint)
        lost_services = self.lost_services
        if lost_services != self._announced_lost_services:
            self._announced_lost_services = lost_services
            self._hooks.on_lost_services_change()
