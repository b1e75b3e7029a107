"""JSON of endpoints with an unexpected structure: the order or the report has failed."""

import pytest
import trio

from cleatlink.core.data import Role
from cleatlink.core.errors import EndpointError, OutcomeUnknownError
from cleatlink.serving.endpoints import HttpEndpointClient
from standins.socket_endpoint import build_order, serve_on_socket

# Deeper than the decoder allows.
_NESTED = 30_000 * b"["
_NO_OBJECTS = [b"[]", b"3", b"null", b"{", b"\xff", b'{"x": "\xff"}', _NESTED]


class Endpoint:
    """Sends one response again and again."""

    def __init__(self, status: int, body: bytes) -> None:
        head = b"HTTP/1.1 %d x\r\ncontent-length: %d\r\n\r\n" % (status, len(body))
        self._response = head + body

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection, which carries one request."""
        await stream.receive_some()
        await stream.send_all(self._response)


@pytest.mark.parametrize(
    "report",
    [
        *_NO_OBJECTS,
        b'{"slots": null}',
        b'{"slots": [1]}',
        b'{"slots": 1e999}',
        b'{"running": "x"}',
        b'{"prefill_tokens_per_s": 1%b}' % (400 * b"0"),
        b'{"cache_events": 1}',
        b'{"cache_events": [1]}',
        b'{"cache_events": [{}]}',
        b'{"cache_events": [{"number": 1}]}',
    ],
)
async def test_invalid_report_ends_the_instance(report: bytes) -> None:
    client = HttpEndpointClient(connect_timeout_s=1.0)
    async with trio.open_nursery() as nursery:
        endpoint = await serve_on_socket(nursery, Endpoint(200, report).serve)
        with pytest.raises(EndpointError):
            await client.fetch_report(endpoint, Role.PREFILL, 0)
        await client.close()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("status", [200, 503])
@pytest.mark.parametrize(
    "body",
    [
        *_NO_OBJECTS,
        b"{}",
        b'{"error": null}',
        b'{"error": "no"}',
        b'{"error": {"ran": "no"}}',
        b'{"kv_transfer_params": {}}',
        b'{"kv_transfer_params": [1]}',
    ],
)
async def test_invalid_answer_ends_the_request(status: int, body: bytes) -> None:
    """Its outcome is unknown, so another attempt may follow."""
    client = HttpEndpointClient(connect_timeout_s=1.0)
    async with trio.open_nursery() as nursery:
        endpoint = await serve_on_socket(nursery, Endpoint(status, body).serve)
        with pytest.raises(OutcomeUnknownError):
            await client.prefill(build_order(endpoint, "r1"))
        await client.close()
        nursery.cancel_scope.cancel()
