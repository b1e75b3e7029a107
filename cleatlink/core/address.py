"""IP address and port pairs."""

import ipaddress
from typing import NamedTuple

from cleatlink.core.errors import ConfigurationError

__all__ = ["Address", "parse_address"]

_MAX_PORT = 65_535


class Address(NamedTuple):
    """An IP address and a port; port 0 lets the operating system choose a free port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``IP:port``.

    Raises:
        ConfigurationError: The text is not an IP address followed by a valid port.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ConfigurationError(f"{text!r} is not an IP number and a port") from None
    if not 0 <= number <= _MAX_PORT:
        raise ConfigurationError(f"{text!r} has a port outside the range 0 to {_MAX_PORT}")
    return Address(host, number)
