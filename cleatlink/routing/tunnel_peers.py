"""Chooses the peers that are asked to connect to an endpoint on behalf of this instance."""

import random
from collections.abc import Iterable, Mapping, Set
from typing import NamedTuple

from cleatlink.core.routes import RoutedEndpoint

__all__ = ["TunnelPeer", "TunnelPeerChoice", "order_tunnel_peers"]


class TunnelPeer(NamedTuple):
    """A live peer that carries tunnels.

    Attributes:
        name: Name of the peer.
        address: IP address and port at which it accepts tunnels.
        data_centre: Its data centre.
        lost_services: Services to a large share of whose endpoints it has no path itself.
    """

    name: str
    address: str
    data_centre: str
    lost_services: frozenset[str]


class TunnelPeerChoice(NamedTuple):
    """What the choice of a peer depends on.

    Attributes:
        data_centre: Data centre of this instance.
        endpoint: The endpoint to connect to.
        open_tunnels: Number of this instance's tunnels by peer.
        unresponsive: Peers that did not answer in time just now.
        without_path: Peers that said just now that they have no path to the endpoint.
    """

    data_centre: str
    endpoint: RoutedEndpoint
    open_tunnels: Mapping[str, int]
    unresponsive: Set[str]
    without_path: Set[str]


def order_tunnel_peers(
    peers: Iterable[TunnelPeer], choice: TunnelPeerChoice, rng: random.Random
) -> list[TunnelPeer]:
    """Order peers by preference.

    Peers that respond and have a path to the endpoint come first, then those of this data centre,
    those of the endpoint's data centre, and those that carry the fewest tunnels of this instance.
    The second peer is the best one of another data centre than the first: instances of one data
    centre often lose their paths together.
    """
    endpoint = choice.endpoint

    def preference(peer: TunnelPeer) -> tuple[bool, bool, bool, bool, int, float]:
        return (
            peer.name in choice.without_path or endpoint.service in peer.lost_services,
            peer.name in choice.unresponsive,
            peer.data_centre != choice.data_centre,
            peer.data_centre != endpoint.data_centre,
            choice.open_tunnels.get(peer.name, 0),
            rng.random(),
        )

    ordered = sorted(peers, key=preference)
    second = next((peer for peer in ordered if peer.data_centre != ordered[0].data_centre), None)
    if second is not None:
        ordered.remove(second)
        ordered.insert(1, second)
    return ordered
