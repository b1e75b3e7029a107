"""Responses of endpoints, peers and the platform whose head is invalid."""

from collections.abc import Awaitable, Callable

import pytest
import trio

from cleatlink.core.data import Endpoint, KvHandle, Role
from cleatlink.core.errors import CleatlinkError, OutcomeUnknownError
from cleatlink.serving.endpoints import HttpEndpointClient
from cleatlink.serving.peer_link import HttpPeerLink
from cleatlink.serving.platform import DocumentKind, HttpPlatform
from cleatlink.serving.settings import Address, parse_address
from standins.invalid_heads import INVALID_HEADS, invalid_answer
from standins.ports import free_port
from standins.socket_endpoint import build_order, serve_on_socket

_TIMEOUT_S = 5.0
_CASES = pytest.mark.parametrize("case", list(INVALID_HEADS))
_FEW_CASES = pytest.mark.parametrize(
    "case", ["status 000", "status 600", "control byte in a name", "blank before a name"]
)
_HANDLE = KvHandle("e", "h", 1, ())
EndpointCall = Callable[[HttpEndpointClient, Endpoint], Awaitable[object]]


async def call(client: HttpEndpointClient, endpoint: Endpoint) -> object:
    return await client.call(endpoint, "POST", "/x", {}, b"x")


async def prefill(client: HttpEndpointClient, endpoint: Endpoint) -> object:
    return await client.prefill(build_order(endpoint, "r1"))


async def decode(client: HttpEndpointClient, endpoint: Endpoint) -> object:
    return await client.decode(build_order(endpoint, "r1"), _HANDLE)


async def resume(client: HttpEndpointClient, endpoint: Endpoint) -> object:
    return await client.resume(build_order(endpoint, "r1"))


async def cancel(client: HttpEndpointClient, endpoint: Endpoint) -> object:
    return await client.cancel(endpoint.address, "r1", 0)


async def fetch_report(client: HttpEndpointClient, endpoint: Endpoint) -> object:
    return await client.fetch_report(endpoint, Role.PREFILL, 0)


async def serve_invalid(nursery: trio.Nursery, case: str, body: bytes) -> Endpoint:
    """Start a server that answers each request with an invalid head."""

    async def answer(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(invalid_answer(case, {}, body))

    return await serve_on_socket(nursery, answer)


async def send_to_invalid(send: EndpointCall, case: str, body: bytes) -> CleatlinkError:
    """Send to an endpoint whose response has an invalid head, and return the error."""
    client = HttpEndpointClient(connect_timeout_s=1.0)
    async with trio.open_nursery() as nursery:
        endpoint = await serve_invalid(nursery, case, body)
        with trio.fail_after(_TIMEOUT_S), pytest.raises(CleatlinkError) as caught:
            await send(client, endpoint)
        await client.close()
        nursery.cancel_scope.cancel()
    return caught.value


@_CASES
async def test_call_returns_a_response_with_an_invalid_head(case: str) -> None:
    error = await send_to_invalid(call, case, b"served")
    assert isinstance(error, OutcomeUnknownError)


@_FEW_CASES
@pytest.mark.parametrize(
    ("send", "body"),
    [
        (
            prefill,
            b'{"kv_transfer_params": {"remote_engine_id": "e", "remote_host": "h",'
            b' "remote_port": 1, "remote_block_ids": []}}',
        ),
        (decode, b""),
        (resume, b""),
        (cancel, b""),
        (fetch_report, b"{}"),
    ],
)
async def test_order_returns_a_response_with_an_invalid_head(
    send: EndpointCall, body: bytes, case: str
) -> None:
    await send_to_invalid(send, case, body)


@_FEW_CASES
async def test_peer_returns_a_response_with_an_invalid_head(case: str) -> None:
    link = HttpPeerLink(Address("127.0.0.1", free_port()))
    async with trio.open_nursery() as nursery:
        endpoint = await serve_invalid(nursery, case, b"x")
        with trio.fail_after(_TIMEOUT_S), pytest.raises(CleatlinkError):
            await link.send_request(endpoint.address, "x", b"x")
        await link.close()
        nursery.cancel_scope.cancel()


@_FEW_CASES
async def test_platform_returns_a_response_with_an_invalid_head(case: str) -> None:
    async with trio.open_nursery() as nursery:
        endpoint = await serve_invalid(nursery, case, b'{"revision": 1, "value": {}}')
        platform = HttpPlatform(parse_address(endpoint.address))
        with trio.fail_after(_TIMEOUT_S), pytest.raises(CleatlinkError):
            await platform.read(DocumentKind.CONFIG)
        await platform.close()
        nursery.cancel_scope.cancel()
