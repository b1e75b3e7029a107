"""Parses callers' API keys and looks up the organisations that own them."""

from collections.abc import Iterable

from cleatlink.core.organisations import Organisation

__all__ = ["KeyTable", "read_key"]

_SCHEME = b"bearer"
# Well above the length of any key; a longer value is rejected before it is hashed.
_MAX_KEY_BYTES = 512


def read_key(credentials: Iterable[bytes]) -> bytes | None:
    """Parse the API key from a request's credentials.

    Args:
        credentials: Values of the request's credentials headers, by default Authorization.

    Returns:
        The key; None if there is no header or more than one, if the scheme is not Bearer, or
        if the value is malformed: such a request can't be attributed to an organisation.
    """
    values = list(credentials)
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip(b" ")
    is_single_token = bool(key) and not any(separator in key for separator in (b" ", b"\t", b","))
    if scheme.lower() != _SCHEME or not is_single_token or len(key) > _MAX_KEY_BYTES:
        return None
    return key


class KeyTable:
    """Maps the key digests of one route table to their organisations."""

    def __init__(self, organisations: Iterable[Organisation]) -> None:
        self._by_digest = {
            digest: organisation
            for organisation in organisations
            for digest in organisation.key_digests
        }

    def __len__(self) -> int:
        return len(self._by_digest)

    def find(self, digest: bytes) -> Organisation | None:
        """Return the organisation that owns the key with this digest; None if there is none."""
        return self._by_digest.get(digest)
