"""Hashes that every instance works out alike, without anyone keeping a map.

The hash of a prompt's beginning leads to the endpoint where it comes to be
cached; rendezvous hashing of names finds owners of keys and keepers of notes.
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
