"""Chooses the peers that are asked to connect to an endpoint on behalf of this instance."""

import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = ["TunnelPeer", "TunnelPeerChoice", "order_tunnel_peers"]


class TunnelPeer(NamedTuple):
    """A live peer that carries tunnels.

    Attributes:
        name: Name of the peer.
        address: IP address and port at which it accepts tunnels.
        data_centre: Its data centre.
        lost_paths: Number of endpoints that it can't connect to itself.
    """

    name: str
    address: str
    data_centre: str
    lost_paths: int


class TunnelPeerChoice(NamedTuple):
    """What the choice of a peer depends on.

    Attributes:
        data_centre: Data centre of this instance.
        endpoint_data_centre: Data centre of the endpoint.
        open_tunnels: Number of this instance's tunnels by peer.
        unresponsive: Peers that did not answer in time just now.
    """

    data_centre: str
    endpoint_data_centre: str
    open_tunnels: Mapping[str, int]
    unresponsive: frozenset[str]


def order_tunnel_peers(
    peers: Iterable[TunnelPeer], choice: TunnelPeerChoice, rng: random.Random
) -> list[TunnelPeer]:
    """Order peers by preference.

    Peers that respond and have all their paths come first, then those of this data centre, those
    of the endpoint's data centre, and those that carry the fewest tunnels of this instance.
    """

    def preference(peer: TunnelPeer) -> tuple[bool, bool, bool, bool, int, float]:
        return (
            peer.name in choice.unresponsive,
            peer.lost_paths > 0,
            peer.data_centre != choice.data_centre,
            peer.data_centre != choice.endpoint_data_centre,
            choice.open_tunnels.get(peer.name, 0),
            rng.random(),
        )

    return sorted(peers, key=preference)
