"""Which instances pass on what instances of a large fleet tell each other.

A reflector gets what others tell its data centre and passes it on there in bundles. Nothing is
decided by who reflects: an instance that is handed something passes it on, so that instances
whose views differ may choose different ones.
"""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

__all__ = ["Candidate", "ReflectorChoice", "rank"]

# Two, so that one lost datagram or one dead reflector keeps nothing from anybody.
_REFLECTORS = 2
# Heartbeats come each second, and wait up to a quarter of one in a bundle.
_SILENT_S = 1.6
# A reflector of this data centre brings back what it is handed with its next bundle.
_NO_ECHO_S = 2.0
# One that brought nothing back is tried again after so long.
_AVOIDED_S = 15.0


class Candidate(NamedTuple):
    """An instance that may reflect.

    Attributes:
        name: Its name.
        data_centre: Where it runs.
        size: Its part of processors, in cores.
        silent_s: Seconds since it was heard; 0 for the instance that chooses.
    """

    name: str
    data_centre: str
    size: float
    silent_s: float


def rank(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Order candidates: the largest first, and like ones spread by their names."""
    return sorted(
        candidates, key=lambda item: (-item.size, xxhash.xxh64_intdigest(item.name.encode()))
    )


class ReflectorChoice:
    """One instance's choice; every method takes the time as an argument."""

    def __init__(self, data_centre: str) -> None:
        """Start without any.

        Args:
            data_centre: This instance's data centre, whose reflectors bring back what they get.
        """
        self._data_centre = data_centre
        self._chosen: dict[str, list[str]] = {}
        # When reflectors of this data centre were first handed something, or brought it back.
        self._echoed_at: dict[str, float] = {}
        self._avoided_until: dict[str, float] = {}

    @property
    def chosen(self) -> dict[str, list[str]]:
        """Names of the reflectors by data centre, the first one first."""
        return self._chosen

    def choose(self, candidates: Iterable[Candidate], now: float) -> bool:
        """Choose anew; tells whether a data centre has another reflector than before."""
        self._avoid_mute(now)
        by_place: dict[str, list[Candidate]] = defaultdict(list)
        for item in candidates:
            if self._is_fit(item, now):
                by_place[item.data_centre].append(item)
        chosen = {
            place: [item.name for item in rank(found)[:_REFLECTORS]]
            for place, found in by_place.items()
        }
        is_new = any(
            set(names) - set(self._chosen.get(place, [])) for place, names in chosen.items()
        )
        self._chosen = chosen
        near = chosen.get(self._data_centre, [])
        self._echoed_at = {name: self._echoed_at.get(name, now) for name in near}
        return is_new

    def note_echo(self, name: str, now: float) -> None:
        """Note that an instance brought back what this one told."""
        self._avoided_until.pop(name, None)
        if name in self._echoed_at:
            self._echoed_at[name] = now

    def _avoid_mute(self, now: float) -> None:
        """Leave reflectors of this data centre that bring nothing back."""
        for name, echoed_at in self._echoed_at.items():
            if now - echoed_at > _NO_ECHO_S:
                self._avoided_until[name] = now + _AVOIDED_S
        self._avoided_until = {
            name: until for name, until in self._avoided_until.items() if now < until
        }

    def _is_fit(self, item: Candidate, now: float) -> bool:
        return item.size > 0 and item.silent_s <= _SILENT_S and item.name not in self._avoided_until
