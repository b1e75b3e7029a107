"""Which instances of a data centre watch the configuration service for the others.

Every instance ranks the same names alike, so that they need not agree by messages: where they
hear different peers, one more or one fewer watches until they hear the same again.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["WATCHERS", "is_watcher"]

# With two, one may fail before the others notice; each more costs a call for each change.
WATCHERS = 2


def is_watcher(name: str, others: Iterable[str], count: int = WATCHERS) -> bool:
    """Tell whether an instance is among those that watch.

    Args:
        name: The instance.
        others: The other instances of its data centre that can watch.
        count: How many watch.
    """
    own = _rank(name)
    return sum(_rank(other) < own for other in others) < count


def _rank(name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(name.encode()), name
