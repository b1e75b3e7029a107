"""Organisations of a run: their keys and limits, and what was done to them."""

import random
from typing import Any

import trio

from soak.records import Caller, KeyChange, LimitChange

__all__ = ["NOBODY", "SoakOrganisations"]

NOBODY = Caller()
_STEADY, _HOT, _MOVING = "steady", "hot", "moving"
# Requests a second of the hot one, which asks for several times as many.
_LIMITS = (2.0, 1.0, 3.0)
_BURST_S = 2.0
# Shares of the requests, and of those of the moving one that come with an older key.
_HOT_SHARE, _MOVING_SHARE = 0.35, 0.25
_OLD_KEY_SHARE = 0.3


class SoakOrganisations:
    """Three organisations: one without a limit, one over its limit, one whose keys change."""

    def __init__(self, seed: int) -> None:
        # A generator of its own: faults and callers of a seed stay what they are without it.
        self._rng = random.Random(seed)
        self._limit = 0
        self._keys = ["moving-0"]
        self.keys: list[KeyChange] = []
        self.limits: list[LimitChange] = []
        self._note_limit()

    def _note_limit(self) -> None:
        rate = _LIMITS[self._limit % len(_LIMITS)]
        self.limits.append(LimitChange(_HOT, rate, _BURST_S * rate, trio.current_time()))

    def entries(self) -> list[dict[str, Any]]:
        """Give them as the configuration has them."""
        limit = self.limits[-1]
        return [
            {"name": _STEADY, "api_keys": ["steady-0"]},
            {
                "name": _HOT,
                "api_keys": ["hot-0"],
                "priority": 1,
                "rate_per_s": limit.rate,
                "burst": limit.burst,
            },
            {"name": _MOVING, "api_keys": self._keys[-1:], "priority": 0},
        ]

    def move_key(self) -> None:
        """Take the moving one's key away and give it another; to be published by the caller."""
        now = trio.current_time()
        self.keys.append(KeyChange(self._keys[-1], f"moving-{len(self._keys)}", now))
        self._keys.append(self.keys[-1].new)

    def change_limit(self) -> None:
        """Give the hot one another limit; to be published by the caller."""
        self._limit += 1
        self._note_limit()

    def pick(self) -> Caller:
        """Give whose the next request is, and the key that it comes with."""
        draw = self._rng.random()
        if draw < _HOT_SHARE:
            return Caller(_HOT, "hot-0")
        if draw < _HOT_SHARE + _MOVING_SHARE:
            is_old = self._rng.random() < _OLD_KEY_SHARE
            return Caller(_MOVING, self._rng.choice(self._keys) if is_old else self._keys[-1])
        return Caller(_STEADY, "steady-0")
