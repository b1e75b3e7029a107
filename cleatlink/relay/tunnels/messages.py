"""The request that opens a tunnel, and the statuses that answer it.

A tunnel is one HTTP/1.1 exchange between two instances. Its request body carries the bytes to the
endpoint and its response body those from the endpoint, both chunked, so that the regular end of
the endpoint's connection differs from the failure of the peer.
"""

import re
from enum import IntEnum
from typing import NamedTuple

from cleatlink.core.routes import Headers

__all__ = ["TUNNEL_METHOD", "TUNNEL_PATH", "TunnelRequest", "TunnelStatus"]

TUNNEL_METHOD = b"POST"
TUNNEL_PATH = b"/tunnel"
_ENDPOINT = b"endpoint"
_ADDRESS = b"endpoint-address"
_SENDER = b"sender"
_TIMEOUT_MS = b"timeout-milliseconds"
# Milliseconds per second.
_MS_PER_S = 1000.0
# A number of milliseconds.
_NUMBER = re.compile("[0-9]{1,9}")


class TunnelStatus(IntEnum):
    """Status of the response to a tunnel request."""

    OPEN = 200
    # The request is not a tunnel request.
    INVALID = 400
    # The sender is not a live peer.
    FORBIDDEN = 403
    # The endpoint is not registered at this address.
    UNKNOWN_ENDPOINT = 404
    # The peer has no path to the endpoint itself.
    NO_PATH = 421
    # The endpoint refused the peer's connection.
    REFUSED = 502
    # The peer carries no more tunnels, or is stopping.
    UNAVAILABLE = 503
    # The endpoint did not respond to the peer.
    NO_RESPONSE = 504


class TunnelRequest(NamedTuple):
    """A request to connect to an endpoint.

    Attributes:
        endpoint: Incarnation of the endpoint.
        address: Its IP address and port, as the sender knows it.
        sender: Name of the instance that asks.
        timeout_s: Seconds within which the endpoint has to be connected.
    """

    endpoint: str
    address: str
    sender: str
    timeout_s: float

    def headers(self) -> Headers:
        """Return the headers of the request."""
        return (
            (b"Host", self.address.encode()),
            (_ENDPOINT, self.endpoint.encode()),
            (_ADDRESS, self.address.encode()),
            (_SENDER, self.sender.encode()),
            (_TIMEOUT_MS, b"%d" % int(_MS_PER_S * self.timeout_s)),
            (b"Transfer-Encoding", b"chunked"),
        )

    @classmethod
    def from_headers(cls, headers: Headers) -> "TunnelRequest | None":
        """Read the headers of a request; return None if they are not those of a tunnel."""
        values = {name.lower(): value.decode(errors="replace") for name, value in headers}
        timeout_ms = values.get(_TIMEOUT_MS, "")
        names = (_ENDPOINT, _ADDRESS, _SENDER)
        if not _NUMBER.fullmatch(timeout_ms) or not all(values.get(name) for name in names):
            return None
        endpoint, address, sender = (values[name] for name in names)
        return cls(endpoint, address, sender, int(timeout_ms) / _MS_PER_S)
