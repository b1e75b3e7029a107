"""Responses without a length that break off, of endpoints, peers and the platform."""

from collections.abc import Awaitable, Callable
from functools import partial

import pytest
import trio

from cleatlink.core.data import Endpoint, Role
from cleatlink.core.errors import CleatlinkError
from cleatlink.serving.endpoints import HttpEndpointClient
from cleatlink.serving.peer_link import HttpPeerLink
from cleatlink.serving.platform import DocumentKind, HttpPlatform
from cleatlink.serving.settings import Address, parse_address
from standins.ports import free_port
from standins.relay.raw_server import reset
from standins.socket_endpoint import build_order, serve_on_socket

# httpx leaves the iterator over a body to the garbage collector where it fails to send the body.
pytestmark = pytest.mark.filterwarnings(
    "ignore:Exception ignored in. <async_generator object ByteStream"
    ":pytest.PytestUnraisableExceptionWarning"
)

Send = Callable[[Endpoint], Awaitable[object]]

_ROUNDS = 12
_TIMEOUT_S = 10.0
# A request body that is longer than the buffers of the kernel.
_UPLOAD = b"x" * 8_000_000
_HEAD = b"HTTP/1.1 200 x\r\n\r\n"
_HANDLE = (
    b'{"kv_transfer_params": {"remote_engine_id": "e", "remote_host": "h",'
    b' "remote_port": 1, "remote_block_ids": []}}'
)


async def call(endpoint: Endpoint) -> object:
    client = HttpEndpointClient(connect_timeout_s=1.0)
    try:
        return await client.call(endpoint, "POST", "/x", {}, _UPLOAD)
    finally:
        await client.close()


async def prefill(endpoint: Endpoint) -> object:
    client = HttpEndpointClient(connect_timeout_s=1.0)
    order = build_order(endpoint, "r1")
    try:
        return await client.prefill(order._replace(body={"prompt": _UPLOAD.decode()}))
    finally:
        await client.close()


async def fetch_report(endpoint: Endpoint) -> object:
    client = HttpEndpointClient(connect_timeout_s=1.0)
    try:
        return await client.fetch_report(endpoint, Role.PREFILL, 0)
    finally:
        await client.close()


async def ask_peer(endpoint: Endpoint, body: bytes) -> object:
    link = HttpPeerLink(Address("127.0.0.1", free_port()))
    try:
        return await link.send_request(endpoint.address, "x", body)
    finally:
        await link.close()


async def read_platform(endpoint: Endpoint) -> object:
    platform = HttpPlatform(parse_address(endpoint.address))
    try:
        return await platform.read(DocumentKind.CONFIG)
    finally:
        await platform.close()


async def check_fails(send: Send, body: bytes, *, closes: bool) -> None:
    """Check that a response whose connection fails after a body is not taken as complete."""

    async def answer(stream: trio.SocketStream) -> None:
        await stream.receive_some(1_000)
        await stream.send_all(_HEAD + body)
        if closes:
            stream.socket.close()
        else:
            reset(stream)

    async with trio.open_nursery() as nursery:
        endpoint = await serve_on_socket(nursery, answer)
        for _ in range(_ROUNDS):
            with trio.fail_after(_TIMEOUT_S), pytest.raises(CleatlinkError):
                await send(endpoint)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("closes", [False, True])
@pytest.mark.parametrize(
    ("send", "body"),
    [(call, b"part"), (prefill, _HANDLE), (partial(ask_peer, body=_UPLOAD), b"part")],
    ids=["call", "prefill", "peer"],
)
async def test_part_of_a_response_to_a_long_request_is_taken_as_complete(
    send: Send, body: bytes, closes: bool
) -> None:
    await check_fails(send, body, closes=closes)


@pytest.mark.parametrize(
    ("send", "body"),
    [
        (fetch_report, b"{}"),
        (read_platform, b'{"revision": 1, "value": {}}'),
        (partial(ask_peer, body=b"x"), b"part"),
    ],
    ids=["report", "platform", "peer"],
)
async def test_reset_response_to_a_short_request_is_not_taken_as_complete(
    send: Send, body: bytes
) -> None:
    await check_fails(send, body, closes=False)


async def test_response_that_ends_with_its_connection_is_complete() -> None:
    async def answer(stream: trio.SocketStream) -> None:
        received = 0
        while received < len(_UPLOAD):
            received += len(await stream.receive_some(65_536))
        await stream.send_all(_HEAD + b"whole")
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        endpoint = await serve_on_socket(nursery, answer)
        assert await ask_peer(endpoint, _UPLOAD) == b"whole"
        nursery.cancel_scope.cancel()
