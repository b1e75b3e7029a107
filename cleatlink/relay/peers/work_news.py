"""Decides which peers are told at once of work that an instance places.

A stream goes to a decode of its own data centre while there is room, so that who
places work on an endpoint is mostly of the endpoint's data centre. In a large group
only the peers there, and those of this data centre, are told of changes at once; the
others learn of them by the next heartbeat. A datagram to everybody for each step of
each stream would be most of what instances send.
"""

import math
from collections.abc import Collection, Iterable

from cleatlink.core.data import Role
from cleatlink.relay.peers.messages import Changes, WorkItem, WorkList
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.fleet_sizes import FEW_PEERS
from cleatlink.routing.reservation import Reservation

__all__ = ["WorkNews"]


# All work is told again after so long: a change that was lost heals by it.
_HEAL_S = 3.0


class WorkNews:
    """Knows which peers were told of which work."""

    def __init__(self, name: str, incarnation: int, data_centre: str, capacity: Capacity) -> None:
        self._name = name
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._capacity = capacity
        # Data centres of the endpoints that own work is placed on, by its key.
        self._places: dict[str, str] = {}
        # Data centres that were not told of some change, and when each had the last list.
        self._behind: set[str] = set()
        self._listed_at: dict[str, float] = {}
        self._listed_none: set[str] = set()
        self._number = 0

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
                number = self._next_number()
                told[data_centre] = Changes(self._name, self._incarnation, placed, over, number)
                self._listed_none.discard(data_centre)
            if len(near) < len(keys):
                self._behind.add(data_centre)
        for key in keys:
            if key not in own:
                self._places.pop(key, None)
        return told

    def work(self, now: float) -> list[WorkItem]:
        """Give all own work that peers are told of."""
        own = self._capacity.own.items()
        return [WorkItem.of(key, item, now) for key, item in own if item.role is not Role.PLAIN]

    def list_all(self, now: float) -> WorkList:
        """Give all own work as a message."""
        return WorkList(self._name, self._incarnation, self.work(now), self._next_number())

    def due(self, data_centres: Collection[str], now: float) -> set[str]:
        """Give the data centres that are due to get a list of all work, and count it as told.

        Those that are not told of all changes at once get it with each heartbeat in which
        something changed, the others seldom, so that a change that was lost heals.
        """
        due = {place for place in data_centres if self._is_due(place, now)}
        has_work = any(item.role is not Role.PLAIN for item in self._capacity.own.values())
        for place in due:
            self._behind.discard(place)
            self._listed_at[place] = now
            if has_work:
                self._listed_none.discard(place)
            else:
                self._listed_none.add(place)
        return due

    def _is_due(self, data_centre: str, now: float) -> bool:
        if data_centre in self._behind:
            return True
        is_time = now - self._listed_at.get(data_centre, -math.inf) >= _HEAL_S
        return is_time and data_centre not in self._listed_none

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _is_near(self, key: str, data_centre: str, peers: int) -> bool:
        if peers <= FEW_PEERS or data_centre == self._data_centre:
            return True
        return self._places.get(key) == data_centre

    def _place_of(self, work: Reservation) -> str:
        """Give the data centre of the endpoint that some work is placed on."""
        endpoint = self._capacity.endpoints.get(work.endpoint)
        return endpoint.data_centre if endpoint is not None else self._data_centre
