"""Free loopback ports for tests, below the range that the system uses for connections."""

import os
import random
import socket
from collections.abc import Sequence

__all__ = ["free_port"]

# The system assigns ports from 32,768 upwards to outgoing connections. Such a port can be free
# when it is checked and in use when an instance listens: two of five starts of six instances
# failed for this reason.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
# The ports are divided into ranges of equal size; each parallel test process uses its own range.
_RANGE_COUNT = 10
_rng = random.Random()
_allocated_ports: set[int] = set()


def free_port(hosts: Sequence[str] = ("127.0.0.1",)) -> int:
    """Return a port that is free for TCP and UDP on all hosts; no port is returned twice.

    Args:
        hosts: IPv4 addresses on which the port must be free.
    """
    range_size = (_LAST_PORT - _FIRST_PORT) // _RANGE_COUNT
    first = _FIRST_PORT + range_size * _range_index()
    while True:
        port = _rng.randrange(first, first + range_size)
        if port not in _allocated_ports and all(_is_free(host, port) for host in hosts):
            _allocated_ports.add(port)
            return port


def _range_index() -> int:
    """Return the index of this process's range; a run without pytest-xdist uses the last range."""
    worker_number = os.environ.get("PYTEST_XDIST_WORKER", "").removeprefix("gw")
    return int(worker_number) % (_RANGE_COUNT - 1) if worker_number.isdigit() else _RANGE_COUNT - 1


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True
