"""Responses without an end are read only up to a limit."""

import gzip
from collections.abc import Awaitable, Callable

import pytest
import trio

from cleatlink.core.data import Endpoint, Role
from cleatlink.core.errors import EndpointError, OutcomeUnknownError, PeerError, PlatformError
from cleatlink.serving.endpoints import HttpEndpointClient
from cleatlink.serving.peer_link import HttpPeerLink
from cleatlink.serving.platform import DocumentKind, HttpPlatform
from cleatlink.serving.settings import Address, parse_address
from standins.ports import free_port
from standins.socket_endpoint import build_order, serve_on_socket

Send = Callable[[HttpEndpointClient, Endpoint], Awaitable[object]]

_TIMEOUT_S = 20.0
_CHUNK = b" " * 65_536
# A response that is read to this size is not limited.
_SENT_BYTES = 67_108_864
_MAX_ANSWER_BYTES = 16_777_216
_MAX_ERROR_BYTES = 65_536
# Bytes that the buffers of both sockets and of the client may hold.
_BUFFER_BYTES = 8_388_608


class EndlessEndpoint:
    """Sends the start of a response, then the same bytes again and again.

    Attributes:
        sent_bytes: Number of bytes sent after the start.
    """

    def __init__(self, start: bytes, chunk: bytes = _CHUNK) -> None:
        self._start = start
        self._chunk = chunk
        self.sent_bytes = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        await stream.receive_some()
        try:
            await stream.send_all(self._start)
            while self.sent_bytes < _SENT_BYTES:
                await stream.send_all(self._chunk)
                self.sent_bytes += len(self._chunk)
        except trio.BrokenResourceError:
            pass


async def call(client: HttpEndpointClient, endpoint: Endpoint) -> object:
    return await client.call(endpoint, "POST", "/x", {}, b"")


async def prefill(client: HttpEndpointClient, endpoint: Endpoint) -> object:
    return await client.prefill(build_order(endpoint, "r1"))


async def fetch_report(client: HttpEndpointClient, endpoint: Endpoint) -> object:
    return await client.fetch_report(endpoint, Role.PREFILL, 0)


async def read_endless_response(endpoint: EndlessEndpoint, send: Send) -> EndpointError:
    """Read a response without an end, and return the error."""
    client = HttpEndpointClient(connect_timeout_s=1.0)
    async with trio.open_nursery() as nursery:
        served = await serve_on_socket(nursery, endpoint.serve)
        with trio.fail_after(_TIMEOUT_S), pytest.raises(EndpointError) as caught:
            await send(client, served)
        await client.close()
        nursery.cancel_scope.cancel()
    return caught.value


@pytest.mark.parametrize(
    ("send", "status", "max_bytes"),
    [
        (call, 200, _MAX_ANSWER_BYTES),
        (call, 500, _MAX_ANSWER_BYTES),
        (prefill, 200, _MAX_ANSWER_BYTES),
        (prefill, 503, _MAX_ERROR_BYTES),
        (fetch_report, 200, _MAX_ANSWER_BYTES),
    ],
)
async def test_body_without_end_fills_the_memory(send: Send, status: int, max_bytes: int) -> None:
    endpoint = EndlessEndpoint(b"HTTP/1.1 %d x\r\n\r\n" % status)
    error = await read_endless_response(endpoint, send)
    assert str(max_bytes) in str(error)
    assert endpoint.sent_bytes <= max_bytes + _BUFFER_BYTES


async def test_compressed_body_without_end_fills_the_memory() -> None:
    head = b"HTTP/1.1 200 x\r\ncontent-encoding: gzip\r\n\r\n"
    body = gzip.compress(bytes(_SENT_BYTES))
    endpoint = EndlessEndpoint(head, body)
    error = await read_endless_response(endpoint, call)
    assert str(_MAX_ANSWER_BYTES) in str(error)


@pytest.mark.parametrize("send", [call, prefill, fetch_report])
async def test_head_without_end_is_limited(send: Send) -> None:
    endpoint = EndlessEndpoint(b"HTTP/1.1 200 x\r\nx: ", 65_536 * b"a")
    assert isinstance(await read_endless_response(endpoint, send), EndpointError)
    assert endpoint.sent_bytes <= _BUFFER_BYTES


async def ask_peer(address: str) -> object:
    link = HttpPeerLink(Address("127.0.0.1", free_port()))
    try:
        return await link.send_request(address, "x", b"x")
    finally:
        await link.close()


async def read_platform(address: str) -> object:
    platform = HttpPlatform(parse_address(address))
    try:
        return await platform.read(DocumentKind.CONFIG)
    finally:
        await platform.close()


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("ask", [ask_peer, read_platform])
async def test_body_without_end_of_a_peer_or_the_platform_fills_the_memory(
    ask: Callable[[str], Awaitable[object]], status: int
) -> None:
    endpoint = EndlessEndpoint(b"HTTP/1.1 %d x\r\n\r\n" % status)
    async with trio.open_nursery() as nursery:
        served = await serve_on_socket(nursery, endpoint.serve)
        with trio.fail_after(_TIMEOUT_S), pytest.raises((PeerError, PlatformError)):
            await ask(served.address)
        nursery.cancel_scope.cancel()
    assert endpoint.sent_bytes <= _MAX_ANSWER_BYTES + _BUFFER_BYTES


async def test_outcome_of_a_call_with_an_answer_without_end_is_unknown() -> None:
    endpoint = EndlessEndpoint(b"HTTP/1.1 200 x\r\n\r\n")
    assert isinstance(await read_endless_response(endpoint, call), OutcomeUnknownError)
