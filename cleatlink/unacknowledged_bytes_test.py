"""Tests of the number of unacknowledged bytes that the kernel reports."""

import fcntl
import socket
from typing import Any

import pytest

from cleatlink import unacknowledged_bytes
from cleatlink.unacknowledged_bytes import count_unacknowledged


def test_bytes_that_the_receiver_has_no_buffer_for_stay_unacknowledged() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        sender = socket.create_connection(server.getsockname())
        receiver, _ = server.accept()
        with sender, receiver:
            assert count_unacknowledged(sender.fileno()) == 0
            sender.setblocking(False)
            accepted = 0
            while True:
                try:
                    accepted += sender.send(bytes(65_536))
                except BlockingIOError:
                    break
            remaining = count_unacknowledged(sender.fileno())
            assert remaining is not None
            assert 0 < remaining <= accepted


def test_unsupported_platform_is_queried_once(monkeypatch: pytest.MonkeyPatch) -> None:
    queries = []

    def fail(*_: Any) -> bytes:
        queries.append(1)
        raise OSError("not supported")

    monkeypatch.setattr(
        unacknowledged_bytes, "_platform_support", unacknowledged_bytes._PlatformSupport()
    )
    monkeypatch.setattr(fcntl, "ioctl", fail)
    assert [count_unacknowledged(0), count_unacknowledged(0)] == [None, None]
    assert len(queries) == 1
