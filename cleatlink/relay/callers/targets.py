"""Converts request targets in absolute form (with scheme and host) to origin form."""

import re

from cleatlink.core.routes import Headers

__all__ = ["to_origin_form"]

# RFC 9112, section 3.2.2; user information, before an "@", is not part of the host.
_ABSOLUTE_FORM = re.compile(rb"https?://(?:[^/?@]*@)?(?P<host>[^/?@]+)(?P<rest>.*)", re.IGNORECASE)
_HOST = b"host"


def to_origin_form(target: bytes, headers: Headers) -> tuple[bytes, Headers]:
    """Move the host of a target in absolute form into the Host header.

    Args:
        target: Target of the request, as sent.
        headers: Headers of the request, as sent.

    Returns:
        Target (path and query) and headers; unchanged if the target is not in absolute form.
    """
    match = _ABSOLUTE_FORM.fullmatch(target)
    if match is None:
        return target, headers
    path = match["rest"]
    if not path.startswith(b"/"):
        path = b"/" + path
    other_headers = tuple(item for item in headers if item[0].lower() != _HOST)
    return path, ((b"Host", match["host"]), *other_headers)
