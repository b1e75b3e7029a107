"""Decides which peers are told at once of work that an instance places.

A stream goes to a decode of its own data centre while there is room, so that who
places work on an endpoint is mostly of the endpoint's data centre. In a large group
only the peers there, and those of this data centre, are told of changes at once; the
others learn of them by the next heartbeat. A datagram to everybody for each step of
each stream would be most of what instances send.
"""

from collections.abc import Collection, Iterable

from cleatlink.relay.peers.messages import Changes, WorkItem
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.reservation import Reservation

__all__ = ["WorkNews"]

# Up to so many peers all are told at once: a datagram to each costs less than what an
# old view does. In between lie the fleets that were measured, of 7 and 58 instances.
_FEW_PEERS = 16


class WorkNews:
    """Knows which peers were told of which work."""

    def __init__(self, name: str, incarnation: int, data_centre: str, capacity: Capacity) -> None:
        self._name = name
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._capacity = capacity
        # Data centres of the endpoints that own work is placed on, by its key.
        self._places: dict[str, str] = {}

    def changes(
        self, changed: Iterable[str], data_centres: Collection[str], peers: int, now: float
    ) -> dict[str, Changes]:
        """Give what peers are told at once, by their data centre.

        Args:
            changed: Keys of own work that was placed or is over.
            data_centres: Those in which there are peers.
            peers: How many peers there are.
            now: The time.
        """
        own = self._capacity.own
        keys = sorted(changed)
        for key in keys:
            if key in own:
                self._places[key] = self._place_of(own[key])
        told = {}
        for data_centre in data_centres:
            near = [key for key in keys if self._is_near(key, data_centre, peers)]
            placed = [WorkItem.of(key, own[key], now) for key in near if key in own]
            over = [key for key in near if key not in own]
            if near:
                told[data_centre] = Changes(self._name, self._incarnation, placed, over)
        for key in keys:
            if key not in own:
                self._places.pop(key, None)
        return told

    def _is_near(self, key: str, data_centre: str, peers: int) -> bool:
        if peers <= _FEW_PEERS or data_centre == self._data_centre:
            return True
        return self._places.get(key) == data_centre

    def _place_of(self, work: Reservation) -> str:
        """Give the data centre of the endpoint that some work is placed on."""
        endpoint = self._capacity.endpoints.get(work.endpoint)
        return endpoint.data_centre if endpoint is not None else self._data_centre
