"""Organisations of a run: their API keys and rate limits, and the changes of both."""

import random
from typing import Any

import trio

from soak.records import CallerIdentity, KeyChange, LimitChange

__all__ = ["ANONYMOUS", "SoakOrganisations"]

ANONYMOUS = CallerIdentity()
_UNLIMITED, _LIMITED, _ROTATING = "steady", "hot", "moving"
# Limits of the limited organisation, in turn; it sends several times as many requests per second.
_LIMITS_PER_S = (2.0, 1.0, 3.0)
# Size of its burst, in seconds of its limit.
_BURST_S = 2.0
# Shares of all requests that belong to these two organisations.
_LIMITED_SHARE, _ROTATING_SHARE = 0.35, 0.25
# Share of the requests of the organisation with changing keys that use one of its keys at random,
# possibly a revoked one.
_ANY_KEY_SHARE = 0.3


class SoakOrganisations:
    """Three organisations: one without a limit, one over its limit, one whose keys change."""

    def __init__(self, seed: int) -> None:
        # A separate generator: the faults and callers of a seed are the same without organisations.
        self._rng = random.Random(seed)
        self._limit_changes = 0
        self._issued_keys = ["moving-0"]
        self.key_changes: list[KeyChange] = []
        self.limit_changes: list[LimitChange] = []
        self._record_limit()

    def _record_limit(self) -> None:
        rate_per_s = _LIMITS_PER_S[self._limit_changes % len(_LIMITS_PER_S)]
        self.limit_changes.append(
            LimitChange(_LIMITED, rate_per_s, _BURST_S * rate_per_s, trio.current_time())
        )

    def entries(self) -> list[dict[str, Any]]:
        """Return the organisations in the form that the configuration contains."""
        limit = self.limit_changes[-1]
        return [
            {"name": _UNLIMITED, "api_keys": ["steady-0"]},
            {
                "name": _LIMITED,
                "api_keys": ["hot-0"],
                "priority": 1,
                "rate_per_s": limit.rate_per_s,
                "burst": limit.burst,
            },
            {"name": _ROTATING, "api_keys": self._issued_keys[-1:], "priority": 0},
        ]

    def replace_key(self) -> None:
        """Replace the key of the organisation with changing keys; the caller must publish it."""
        now = trio.current_time()
        self.key_changes.append(
            KeyChange(self._issued_keys[-1], f"moving-{len(self._issued_keys)}", now)
        )
        self._issued_keys.append(self.key_changes[-1].new_key)

    def change_limit(self) -> None:
        """Change the limit of the limited organisation; the caller must publish it."""
        self._limit_changes += 1
        self._record_limit()

    def pick_caller(self) -> CallerIdentity:
        """Choose the organisation and the API key of the next request."""
        draw = self._rng.random()
        if draw < _LIMITED_SHARE:
            return CallerIdentity(_LIMITED, "hot-0")
        if draw < _LIMITED_SHARE + _ROTATING_SHARE:
            uses_any_key = self._rng.random() < _ANY_KEY_SHARE
            return CallerIdentity(
                _ROTATING,
                self._rng.choice(self._issued_keys) if uses_any_key else self._issued_keys[-1],
            )
        return CallerIdentity(_UNLIMITED, "steady-0")
