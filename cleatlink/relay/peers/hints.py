"""Hints among peers: endpoints that were slow, or in one data centre not reached."""

import math
from typing import NamedTuple

from cleatlink.relay.peers.messages import EndpointHint, HintKind
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.shared_hints import SharedHints

__all__ = ["Hints"]

# An endpoint that is still not reached is told of again after so long.
_TELL_AGAIN_S = 0.4
# Reports of peers have to come within so long of each other.
_UNREACHED_S = 1.0
_SLOW_S = 3.0


class _Told(NamedTuple):
    """What was told."""

    endpoint: str
    kind: HintKind


class Hints:
    """What this instance and its peers met at endpoints."""

    def __init__(self, capacity: Capacity) -> None:
        self._capacity = capacity
        self._hints = {
            HintKind.UNREACHED: SharedHints(_UNREACHED_S),
            HintKind.SLOW: SharedHints(_SLOW_S),
        }
        self._told: dict[_Told, float] = {}

    def is_due(self, endpoint: str, kind: HintKind, now: float) -> bool:
        """Tell whether peers should be told, and count them as told then."""
        told = _Told(endpoint, kind)
        if now - self._told.get(told, -math.inf) < _TELL_AGAIN_S:
            return False
        self._told = {item: at for item, at in self._told.items() if now - at < _TELL_AGAIN_S}
        self._told[told] = now
        return True

    def take(self, hint: EndpointHint, now: float) -> None:
        """Take a hint of an instance; enough of them count."""
        if not self._hints[hint.kind].note(hint.endpoint, hint.name, now):
            return
        if hint.kind is HintKind.SLOW:
            self._capacity.note_slow(hint.endpoint, now)
        else:
            self._capacity.note_unreached_by_peers(hint.endpoint, now)
