"""Hashes that every instance computes alike, so that no shared table is needed.

The hash of a prompt's prefix selects the endpoint where the prefix is cached; rendezvous hashing
of instance names selects the owners of keys and the peers that store the notes of a request.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["PREFIX_BYTES", "PREFIX_TOKENS", "hash_prefix", "rank_names"]

# Bytes of a prompt that are hashed: enough for a system prompt, few enough that the panels of one
# chapter have the same prefix.
PREFIX_BYTES = 1024
# Approximate number of prompt tokens that need no computing where the prefix is cached.
PREFIX_TOKENS = PREFIX_BYTES // 4


def hash_prefix(prompt: bytes) -> int:
    """Return the hash of a prompt's first ``PREFIX_BYTES`` bytes."""
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_BYTES])


def rank_names(key: int | str, names: Iterable[str]) -> list[str]:
    """Return names in order of preference for a key, by rendezvous hashing.

    When a name is removed, only the keys that ranked it first get another first name.
    """
    return sorted(names, key=lambda name: xxhash.xxh3_64_intdigest(f"{key}/{name}".encode()))
