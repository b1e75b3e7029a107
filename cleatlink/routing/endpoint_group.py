"""Index of the endpoints that a request class may use in one role.

It is built once per configuration and instance list, so that a placement examines only a few
endpoints, however large the fleet is.
"""

import random
from bisect import bisect_left
from collections.abc import Iterator
from typing import NamedTuple

import xxhash

from cleatlink.core.data import Endpoint

__all__ = ["EndpointGroup", "build_endpoint_group", "sample_endpoints"]

# Points of each endpoint on the hash ring; more points make the endpoints' shares more equal.
_POINTS_PER_ENDPOINT = 16


class EndpointGroup(NamedTuple):
    """Eligible endpoints of all data centres or of one, with a consistent-hashing ring.

    Attributes:
        endpoints: The endpoints, in the instance list's order.
        by_name: The endpoints by name.
        ring: Points of the hash ring, in ascending order.
        owners: Index into ``endpoints`` of each point's endpoint.
    """

    endpoints: tuple[Endpoint, ...]
    by_name: dict[str, Endpoint]
    ring: tuple[int, ...]
    owners: tuple[int, ...]

    def iterate_ring(self, key: int) -> Iterator[Endpoint]:
        """Yield each endpoint once, in the order of the hash ring from a key.

        All instances get the same order, and it changes little when one endpoint is added or
        removed.
        """
        seen: set[int] = set()
        start = bisect_left(self.ring, key)
        for offset in range(len(self.ring)):
            owner = self.owners[(start + offset) % len(self.ring)]
            if owner not in seen:
                seen.add(owner)
                yield self.endpoints[owner]


def build_endpoint_group(endpoints: tuple[Endpoint, ...]) -> EndpointGroup:
    """Build a group and its hash ring."""
    points = sorted(
        (xxhash.xxh3_64_intdigest(f"{endpoint.name}/{number}".encode()), index)
        for index, endpoint in enumerate(endpoints)
        for number in range(_POINTS_PER_ENDPOINT)
    )
    return EndpointGroup(
        endpoints,
        {endpoint.name: endpoint for endpoint in endpoints},
        tuple(point for point, _ in points),
        tuple(index for _, index in points),
    )


def sample_endpoints(
    endpoints: tuple[Endpoint, ...], count: int, rng: random.Random
) -> list[Endpoint]:
    """Return up to ``count`` endpoints, drawn at random.

    If there are more than ``count``, they are drawn with replacement: an endpoint may occur twice,
    which callers tolerate.
    """
    size = len(endpoints)
    if size <= count:
        return list(endpoints)
    draw = rng.random
    return [endpoints[int(draw() * size)] for _ in range(count)]
