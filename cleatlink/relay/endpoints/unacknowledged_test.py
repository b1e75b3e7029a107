"""What the kernel tells of bytes that the other side has not acknowledged."""

import fcntl
import socket
from typing import Any

import pytest

from cleatlink.relay.endpoints import unacknowledged
from cleatlink.relay.endpoints.unacknowledged import count_unacknowledged


def test_bytes_beyond_a_full_buffer_are_not_acknowledged() -> None:
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
            waiting = count_unacknowledged(sender.fileno())
            assert waiting is not None
            assert 0 < waiting <= accepted


def test_platform_that_does_not_tell_is_asked_once(monkeypatch: pytest.MonkeyPatch) -> None:
    asked = []

    def refuse(*_: Any) -> bytes:
        asked.append(1)
        raise OSError("not served")

    monkeypatch.setattr(unacknowledged, "_support", unacknowledged._Support())
    monkeypatch.setattr(fcntl, "ioctl", refuse)
    assert [count_unacknowledged(0), count_unacknowledged(0)] == [None, None]
    assert len(asked) == 1
