"""Chooses the instances of a data centre that watch the configuration service for the others.

Every instance ranks the same names in the same order, so no messages are needed to agree. While
instances receive heartbeats from different peers, one more or one fewer instance may watch.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["WATCHER_COUNT", "is_watcher"]

# Number of watchers in a data centre. With two, the watch continues if one fails before the others
# notice. Each additional watcher costs one call for each change.
WATCHER_COUNT = 2


def is_watcher(name: str, others: Iterable[str], count: int = WATCHER_COUNT) -> bool:
    """Check whether an instance is one of the watchers.

    Args:
        name: Name of the instance.
        others: Names of the other instances of its data centre that can watch.
        count: Number of watchers.
    """
    own_key = _rank_key(name)
    return sum(_rank_key(other) < own_key for other in others) < count


def _rank_key(name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(name.encode()), name
