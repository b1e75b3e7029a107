"""Organisations: who may call, how much, and how urgent their calls are."""

import hashlib
from typing import NamedTuple

__all__ = ["Organisation", "TokenLimit", "digest_key"]

# 128 bits: two keys with one digest are not to be found.
_DIGEST_BYTES = 16


def digest_key(key: bytes) -> bytes:
    """Give what stands for a key wherever it is kept or told.

    A key is only ever compared by its digest, so that the time of a comparison says nothing
    of the key, and no table, message or dump of an instance holds one in the clear.
    """
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()


class TokenLimit(NamedTuple):
    """How much an organisation may ask for, over all instances together.

    Attributes:
        rate: Units a second.
        burst: Units on top of that.
        counts_tokens: Whether a unit is a token; otherwise it is a request.
        default_tokens: Tokens of a request that tells none.
    """

    rate: float
    burst: float
    counts_tokens: bool = False
    default_tokens: int = 1

    def cost(self, tokens: int) -> int:
        """Give the units of a request.

        Args:
            tokens: Tokens of its prompt and the most of its answer; 0 if it tells none.
        """
        if not self.counts_tokens:
            return 1
        return tokens or self.default_tokens


class Organisation(NamedTuple):
    """One organisation of a route table.

    Attributes:
        name: Its name, as endpoints are told it.
        key_digests: Digests of its keys.
        priority: From 0, the most urgent; it goes before that of routes. None for none.
        limit: What it may ask for; None for no limit.
    """

    name: str
    key_digests: tuple[bytes, ...]
    priority: int | None = None
    limit: TokenLimit | None = None
