"""Leads from a caller's key to its organisation."""

from collections.abc import Iterable

from cleatlink.core.organisations import Organisation

__all__ = ["KeyTable", "read_key"]

_SCHEME = b"bearer"
# Far above any key; a longer one is refused before it is hashed.
_MOST_KEY_BYTES = 512


def read_key(credentials: Iterable[bytes]) -> bytes | None:
    """Read the key out of a request's credentials.

    Args:
        credentials: Values of all its headers of that name.

    Returns:
        The key; None if there is no key, more than one header, another scheme or no
        well-formed value: nobody can tell whose such a request is.
    """
    values = list(credentials)
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip(b" ")
    is_one_word = bool(key) and not any(mark in key for mark in (b" ", b"\t", b","))
    if scheme.lower() != _SCHEME or not is_one_word or len(key) > _MOST_KEY_BYTES:
        return None
    return key


class KeyTable:
    """The keys of one route table."""

    def __init__(self, organisations: Iterable[Organisation]) -> None:
        self._by_digest = {
            digest: organisation
            for organisation in organisations
            for digest in organisation.key_digests
        }

    def __len__(self) -> int:
        return len(self._by_digest)

    def find(self, digest: bytes) -> Organisation | None:
        """Give the organisation that holds a key, by the key's digest."""
        return self._by_digest.get(digest)
