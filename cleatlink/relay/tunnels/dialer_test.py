"""Tests of direct connections and tunnels that are opened side by side."""

from typing import Any, cast

import pytest
import trio

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.streams import EndpointStream
from cleatlink.relay.tunnels.dialer import TunnelDialer, _DialRace

pytestmark = pytest.mark.virtual_time


class _Stream:
    """A stream that records whether it was closed."""

    def __init__(self) -> None:
        self.is_closed = False

    def close(self) -> None:
        self.is_closed = True


class _CancellingDialer:
    """Opens a direct connection, and cancels the caller at that moment."""

    def __init__(self, stream: _Stream, scope: trio.CancelScope) -> None:
        self._stream = stream
        self._scope = scope

    async def dial_directly(self, *_: object) -> EndpointStream:
        self._scope.cancel()
        return cast(EndpointStream, self._stream)


async def test_direct_connection_stayed_open_if_its_call_was_cancelled_at_that_moment() -> None:
    stream, scope = _Stream(), trio.CancelScope()
    dialer: Any = _CancellingDialer(stream, scope)
    endpoint = RoutedEndpoint("i-1", "127.0.0.1:1", "a", "plain", Role.PLAIN, 1)
    with scope:
        await _DialRace(cast(TunnelDialer, dialer), endpoint, 1.0, 1.0, 0.0).run(0.1)
    assert scope.cancelled_caught
    assert stream.is_closed
