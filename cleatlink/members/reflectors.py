"""Chooses the reflectors: instances that forward peer messages in a large fleet.

A reflector receives the messages for its data centre and forwards them there in bundles. The
instances need not agree on the reflectors: an instance forwards every message that it receives for
forwarding, so instances with different views may choose different reflectors.
"""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

__all__ = ["ReflectorCandidate", "ReflectorSelector", "rank_candidates"]

# Reflectors for each data centre. With two, messages still arrive if one datagram is lost or one
# reflector is dead.
_REFLECTOR_COUNT = 2
# Time without a heartbeat after which an instance can't be a reflector. Heartbeats are sent each
# second and wait up to a quarter of a second in a bundle.
_MAX_SILENCE_S = 1.6
# Time in which a reflector of this data centre must return a message of this instance. It returns
# messages with its next bundle.
_ECHO_TIMEOUT_S = 2.0
# Time after which a reflector that returned nothing is eligible again.
_AVOIDANCE_S = 15.0


class ReflectorCandidate(NamedTuple):
    """An instance that can be chosen as a reflector.

    Attributes:
        name: Name of the instance.
        data_centre: Data centre of the instance.
        cores: Processor share of the instance, in cores; 0 if it does not accept bundles.
        silent_s: Seconds since its last message; 0 for the instance that chooses.
    """

    name: str
    data_centre: str
    cores: float
    silent_s: float


def rank_candidates(candidates: Iterable[ReflectorCandidate]) -> list[ReflectorCandidate]:
    """Sort candidates by size, the largest first, and by a hash of the name for equal sizes."""
    return sorted(
        candidates,
        key=lambda candidate: (-candidate.cores, xxhash.xxh64_intdigest(candidate.name.encode())),
    )


class ReflectorSelector:
    """One instance's choice of reflectors; every method takes the time as an argument."""

    def __init__(self, data_centre: str) -> None:
        """Start without reflectors.

        Args:
            data_centre: This instance's data centre; its reflectors also return the messages
                of this instance.
        """
        self._data_centre = data_centre
        self._chosen: dict[str, list[str]] = {}
        # For each reflector of this data centre, when it was chosen or last returned a message.
        self._echoed_at: dict[str, float] = {}
        self._avoided_until: dict[str, float] = {}

    @property
    def chosen(self) -> dict[str, list[str]]:
        """Names of the reflectors by data centre, in order of preference."""
        return self._chosen

    def choose(self, candidates: Iterable[ReflectorCandidate], now: float) -> bool:
        """Update the choice; return whether any data centre has a reflector that is new."""
        self._avoid_unresponsive(now)
        by_data_centre: dict[str, list[ReflectorCandidate]] = defaultdict(list)
        for candidate in candidates:
            if self._is_eligible(candidate, now):
                by_data_centre[candidate.data_centre].append(candidate)
        chosen = {
            data_centre: [
                candidate.name for candidate in rank_candidates(eligible)[:_REFLECTOR_COUNT]
            ]
            for data_centre, eligible in by_data_centre.items()
        }
        has_new = any(
            set(names) - set(self._chosen.get(data_centre, []))
            for data_centre, names in chosen.items()
        )
        self._chosen = chosen
        local = chosen.get(self._data_centre, [])
        self._echoed_at = {name: self._echoed_at.get(name, now) for name in local}
        return has_new

    def record_echo(self, name: str, now: float) -> None:
        """Record that a reflector returned a message of this instance."""
        self._avoided_until.pop(name, None)
        if name in self._echoed_at:
            self._echoed_at[name] = now

    def _avoid_unresponsive(self, now: float) -> None:
        """Exclude reflectors of this data centre that return no messages, for a limited time."""
        for name, echoed_at in self._echoed_at.items():
            if now - echoed_at > _ECHO_TIMEOUT_S:
                self._avoided_until[name] = now + _AVOIDANCE_S
        self._avoided_until = {
            name: until for name, until in self._avoided_until.items() if now < until
        }

    def _is_eligible(self, candidate: ReflectorCandidate, now: float) -> bool:
        return (
            candidate.cores > 0
            and candidate.silent_s <= _MAX_SILENCE_S
            and candidate.name not in self._avoided_until
        )
