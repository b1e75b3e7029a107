"""Prefix affinity without state: hash a prompt's beginning onto endpoints.

Requests with the same beginning rank the endpoints alike on every instance,
so a cached prefix is found again without anyone keeping a map of caches.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["PREFIX_BYTES", "PREFIX_TOKENS", "hash_prefix", "rank_names"]

# Long enough to hold a system prompt, short enough that one chapter's panels share it.
PREFIX_BYTES = 1024
# About as many tokens are saved where the prefix is cached.
PREFIX_TOKENS = PREFIX_BYTES // 4


def hash_prefix(prompt: bytes) -> int:
    """Hash the beginning of a prompt."""
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_BYTES])


def rank_names(key: int | str, names: Iterable[str]) -> list[str]:
    """Rank names for a key by rendezvous hashing, first choice first.

    When a name goes, only the keys that it was first for get another first.
    """
    return sorted(names, key=lambda name: xxhash.xxh3_64_intdigest(f"{key}/{name}".encode()))
