"""Endpoints that one class may use in one role, prepared for many placements.

Built once for a configuration and an instance list, so that a placement looks
at a few endpoints only, however large the fleet is.
"""

import random
from bisect import bisect_left
from collections.abc import Iterator
from typing import NamedTuple

import xxhash

from cleatlink.core.data import Endpoint

__all__ = ["Group", "make_group", "sample"]

# Points of each endpoint on the ring; more make the shares more equal.
_POINTS = 16


class Group(NamedTuple):
    """Eligible endpoints, of all data centres or of one.

    Attributes:
        endpoints: All of them, in the instance list's order.
        by_name: The same by name.
        ring: Points of the hash ring, rising.
        owners: Indexes into ``endpoints`` for each point.
    """

    endpoints: tuple[Endpoint, ...]
    by_name: dict[str, Endpoint]
    ring: tuple[int, ...]
    owners: tuple[int, ...]

    def walk(self, key: int) -> Iterator[Endpoint]:
        """Go through the endpoints in the ring's order from a key, each once.

        All instances get the same order, and it changes little when one
        endpoint comes or goes.
        """
        seen: set[int] = set()
        start = bisect_left(self.ring, key)
        for offset in range(len(self.ring)):
            owner = self.owners[(start + offset) % len(self.ring)]
            if owner not in seen:
                seen.add(owner)
                yield self.endpoints[owner]


def make_group(endpoints: tuple[Endpoint, ...]) -> Group:
    """Prepare a group."""
    points = sorted(
        (xxhash.xxh3_64_intdigest(f"{endpoint.name}/{number}".encode()), index)
        for index, endpoint in enumerate(endpoints)
        for number in range(_POINTS)
    )
    return Group(
        endpoints,
        {endpoint.name: endpoint for endpoint in endpoints},
        tuple(point for point, _ in points),
        tuple(index for _, index in points),
    )


def sample(endpoints: tuple[Endpoint, ...], count: int, rng: random.Random) -> list[Endpoint]:
    """Draw up to ``count`` endpoints; of many, one may come twice, which does no harm."""
    size = len(endpoints)
    if size <= count:
        return list(endpoints)
    draw = rng.random
    return [endpoints[int(draw() * size)] for _ in range(count)]
