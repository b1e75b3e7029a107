"""Organisations: their keys, limits and priorities."""

import hashlib
from typing import NamedTuple

__all__ = ["Organisation", "UsageLimit", "digest_key"]

# With 128 bits, finding two keys with the same digest is not feasible.
_DIGEST_BYTES = 16


def digest_key(key: bytes) -> bytes:
    """Return the digest that represents a key in memory and in messages.

    Keys are compared only by digest, so that the duration of a comparison reveals nothing
    about the key, and no table, message or memory dump of an instance contains a plain key.
    """
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()


class UsageLimit(NamedTuple):
    """Rate limit of an organisation, over all instances together.

    Attributes:
        rate: Units per second.
        burst: Units that may be used at once beyond the rate.
        counts_tokens: Whether a unit is a token; otherwise it is a request.
        default_tokens: Assumed number of tokens for a request that states none.
    """

    rate: float
    burst: float
    counts_tokens: bool = False
    default_tokens: int = 1

    def count_units(self, tokens: int) -> int:
        """Return the number of units that a request uses.

        Args:
            tokens: Tokens of the prompt plus the maximum tokens of the answer; 0 if the
                request states none.
        """
        if not self.counts_tokens:
            return 1
        return tokens or self.default_tokens


class Organisation(NamedTuple):
    """An organisation in a route table.

    Attributes:
        name: Name of the organisation, as sent to endpoints.
        key_digests: Digests of its API keys.
        priority: Priority from 0, the most urgent; overrides the priority of the route.
            None if the organisation has no priority of its own.
        limit: Rate limit; None for no limit.
    """

    name: str
    key_digests: tuple[bytes, ...]
    priority: int | None = None
    limit: UsageLimit | None = None
