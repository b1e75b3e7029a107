"""Targets of requests: those that name their host are turned into the usual form."""

import re

from cleatlink.core.routes import Headers

__all__ = ["to_origin_form"]

# RFC 9112, section 3.2.2; user information, before an "@", is no part of a host.
_ABSOLUTE_FORM = re.compile(rb"https?://(?:[^/?@]*@)?(?P<host>[^/?@]+)(?P<rest>.*)", re.IGNORECASE)
_HOST = b"host"


def to_origin_form(target: bytes, headers: Headers) -> tuple[bytes, Headers]:
    """Take a target's host for that of the request, and leave its path and query.

    Args:
        target: As sent.
        headers: As sent.

    Returns:
        Target and headers; those of a request that names only a path stay as they are.
    """
    found = _ABSOLUTE_FORM.fullmatch(target)
    if found is None:
        return target, headers
    path = found["rest"]
    if not path.startswith(b"/"):
        path = b"/" + path
    others = tuple(item for item in headers if item[0].lower() != _HOST)
    return path, ((b"Host", found["host"]), *others)
