"""Ports of loopback for tests, below those that the system gives to outgoing connections."""

import os
import random
import socket
from collections.abc import Sequence

__all__ = ["free_port"]

# From 32,768 on the system takes ports for outgoing connections: one that was free when it was
# looked for could be taken by the time an instance listened, two of five starts of six
# instances ended so.
_FIRST = 10_000
_LAST = 32_000
# Test runs beside each other take ports of a part of their own.
_PARTS = 10
_rng = random.Random()
_given: set[int] = set()


def free_port(hosts: Sequence[str] = ("127.0.0.1",)) -> int:
    """Give a port that is free for TCP and UDP at some addresses; none is given twice."""
    size = (_LAST - _FIRST) // _PARTS
    first = _FIRST + size * _part()
    while True:
        port = _rng.randrange(first, first + size)
        if port not in _given and all(_is_free(host, port) for host in hosts):
            _given.add(port)
            return port


def _part() -> int:
    """Give which part of the ports this process has; runs by themselves have the last one."""
    number = os.environ.get("PYTEST_XDIST_WORKER", "").removeprefix("gw")
    return int(number) % (_PARTS - 1) if number.isdigit() else _PARTS - 1


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True
