"""Selects the peers that receive changes of this instance's work at once.

A stream is placed on a decode endpoint of its own data centre while capacity is available
there, so work on an endpoint is mostly placed by instances of the endpoint's data centre. In
a large group only the peers of that data centre and of this instance's data centre receive
changes at once. The others receive them with the next heartbeat: a datagram to every peer for
each step of each stream would be most of the traffic between instances.
"""

import math
from collections.abc import Collection, Iterable

from cleatlink.core.data import Role
from cleatlink.relay.peers.messages import WorkChanges, WorkItem, WorkList
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.fleet_sizes import MAX_DIRECT_PEERS
from cleatlink.routing.reservation import Reservation

__all__ = ["WorkUpdates"]


# Interval between lists of all work, in seconds; a list corrects changes that were lost.
_LIST_INTERVAL_S = 3.0


class WorkUpdates:
    """Tracks which work has been reported to the peers of each data centre."""

    def __init__(self, name: str, incarnation: int, data_centre: str, capacity: Capacity) -> None:
        self._name = name
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._capacity = capacity
        # Data centres of the endpoints on which this instance has placed work, by key of the work.
        self._work_data_centres: dict[str, str] = {}
        # Data centres that did not receive some change, and the time of each one's last list.
        self._incomplete_data_centres: set[str] = set()
        self._listed_at: dict[str, float] = {}
        # Data centres whose last list had no work; they get no further lists until a change.
        self._listed_as_empty: set[str] = set()
        self._last_message_number = 0

    def changes_by_data_centre(
        self, changed: Iterable[str], data_centres: Collection[str], peer_count: int, now: float
    ) -> dict[str, WorkChanges]:
        """Return the changes that peers receive at once, by the data centre of the peers.

        Args:
            changed: Keys of this instance's work that was placed or has ended.
            data_centres: Data centres that have peers.
            peer_count: Number of peers.
            now: Current time.
        """
        own = self._capacity.own_reservations
        keys = sorted(changed)
        for key in keys:
            if key in own:
                self._work_data_centres[key] = self._endpoint_data_centre(own[key])
        messages = {}
        for data_centre in data_centres:
            immediate = [key for key in keys if self._is_immediate(key, data_centre, peer_count)]
            placed = [
                WorkItem.from_reservation(key, own[key], now) for key in immediate if key in own
            ]
            ended = [key for key in immediate if key not in own]
            if immediate:
                number = self._next_message_number()
                messages[data_centre] = WorkChanges(
                    self._name, self._incarnation, placed, ended, number
                )
                self._listed_as_empty.discard(data_centre)
            if len(immediate) < len(keys):
                self._incomplete_data_centres.add(data_centre)
        for key in keys:
            if key not in own:
                self._work_data_centres.pop(key, None)
        return messages

    def work_items(self, now: float) -> list[WorkItem]:
        """Return all work of this instance that is reported to peers; plain calls are not."""
        own = self._capacity.own_reservations.items()
        return [
            WorkItem.from_reservation(key, item, now)
            for key, item in own
            if item.role is not Role.PLAIN
        ]

    def work_list(self, now: float) -> WorkList:
        """Return a message with all work of this instance that is reported to peers."""
        return WorkList(
            self._name, self._incarnation, self.work_items(now), self._next_message_number()
        )

    def take_due_data_centres(self, data_centres: Collection[str], now: float) -> set[str]:
        """Return the data centres that are due for a list of all work, and mark it as sent.

        Data centres that do not receive all changes at once get a list with each heartbeat
        after a change. The others get one at longer intervals, to correct lost changes.
        """
        due = {data_centre for data_centre in data_centres if self._is_due(data_centre, now)}
        has_work = any(
            item.role is not Role.PLAIN for item in self._capacity.own_reservations.values()
        )
        for data_centre in due:
            self._incomplete_data_centres.discard(data_centre)
            self._listed_at[data_centre] = now
            if has_work:
                self._listed_as_empty.discard(data_centre)
            else:
                self._listed_as_empty.add(data_centre)
        return due

    def _is_due(self, data_centre: str, now: float) -> bool:
        if data_centre in self._incomplete_data_centres:
            return True
        interval_is_over = now - self._listed_at.get(data_centre, -math.inf) >= _LIST_INTERVAL_S
        return interval_is_over and data_centre not in self._listed_as_empty

    def _next_message_number(self) -> int:
        self._last_message_number += 1
        return self._last_message_number

    def _is_immediate(self, key: str, data_centre: str, peer_count: int) -> bool:
        if peer_count <= MAX_DIRECT_PEERS or data_centre == self._data_centre:
            return True
        return self._work_data_centres.get(key) == data_centre

    def _endpoint_data_centre(self, work: Reservation) -> str:
        """Return the data centre of the endpoint on which the work is placed."""
        endpoint = self._capacity.endpoints.get(work.endpoint)
        return endpoint.data_centre if endpoint is not None else self._data_centre
