"""Tests of how the end of a connection to an endpoint is told from its failure."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import pytest
import trio

from cleatlink.relay.endpoints.streams import SocketStream, TcpConnector
from standins.relay.raw_server import reset

_ROUNDS = 100
_PART = b"x" * 65_536
_ANSWER = b"part of an answer"


class _Pair(NamedTuple):
    """Both ends of a connection."""

    stream: SocketStream
    endpoint: trio.SocketStream


@asynccontextmanager
async def open_pair() -> AsyncIterator[_Pair]:
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listener.socket.getsockname()[1]
    stream = await TcpConnector().connect(f"127.0.0.1:{port}", 1.0)
    endpoint = await listener.accept()
    assert isinstance(stream, SocketStream)
    try:
        yield _Pair(stream, endpoint)
    finally:
        stream.close()
        endpoint.socket.close()
        listener.socket.close()


async def _send_until_broken(stream: SocketStream) -> None:
    with pytest.raises(trio.BrokenResourceError):
        while True:
            await stream.send_all(_PART)


async def _receive_until_end(stream: SocketStream) -> bytes:
    """Receive until the regular end."""
    data = b""
    while part := await stream.receive_some():
        data += part
    return data


async def test_reset_that_a_send_meets_looks_like_the_regular_end_to_a_receive() -> None:
    for _ in range(_ROUNDS):
        async with open_pair() as (stream, endpoint), trio.open_nursery() as nursery:
            nursery.start_soon(_send_until_broken, stream)
            await endpoint.receive_some(1)
            await endpoint.send_all(_ANSWER)
            reset(endpoint)
            with pytest.raises(trio.BrokenResourceError):
                await _receive_until_end(stream)


async def test_reset_is_found_after_the_send_that_met_it() -> None:
    async with open_pair() as (stream, endpoint):
        await endpoint.send_all(_ANSWER)
        reset(endpoint)
        await trio.sleep(0.05)
        await _send_until_broken(stream)
        assert await stream.receive_some() == _ANSWER
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()


@pytest.mark.parametrize("reads_first", [False, True])
async def test_end_before_the_endpoint_took_all_data_is_regular(reads_first: bool) -> None:
    """The endpoint closes its connection while more data is on its way."""
    for _ in range(_ROUNDS):
        async with open_pair() as (stream, endpoint), trio.open_nursery() as nursery:
            nursery.start_soon(_send_until_broken, stream)
            if reads_first:
                await endpoint.receive_some(len(_PART))
            await endpoint.send_all(_ANSWER)
            endpoint.socket.close()
            with pytest.raises(trio.BrokenResourceError):
                await _receive_until_end(stream)


async def test_end_after_the_endpoint_took_all_data_is_regular() -> None:
    for _ in range(_ROUNDS):
        async with open_pair() as (stream, endpoint):
            await stream.send_all(_ANSWER)
            assert await endpoint.receive_some() == _ANSWER
            await endpoint.send_all(_PART)
            endpoint.socket.close()
            assert await _receive_until_end(stream) == _PART


async def test_end_of_one_direction_is_regular() -> None:
    async with open_pair() as (stream, endpoint):
        await stream.send_all(_PART)
        received = 0
        while received < len(_PART):
            received += len(await endpoint.receive_some())
        await endpoint.send_all(_ANSWER)
        await endpoint.send_eof()
        assert await _receive_until_end(stream) == _ANSWER
        assert await stream.receive_some() == b""
