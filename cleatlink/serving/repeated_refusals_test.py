"""Engines that send a refusal twice: the copy is not an answer to the next order."""

import msgspec
import pytest
import trio

from cleatlink.core.data import KvHandle
from cleatlink.core.errors import EndpointRefusedError
from cleatlink.serving.endpoints import HttpEndpointClient
from standins.socket_endpoint import build_order, serve_on_socket

_KV = {
    "remote_engine_id": "p1",
    "remote_host": "127.0.0.1",
    "remote_port": 1,
    "remote_block_ids": [1],
}
_TIMEOUT_S = 5.0


def build_response(status: int, value: object) -> bytes:
    """Build a response with a JSON body."""
    body = msgspec.json.encode(value)
    return b"HTTP/1.1 %d x\r\ncontent-length: %d\r\n\r\n%b" % (status, len(body), body)


_REFUSAL = build_response(503, {"error": {"code": "no_room", "ran": "no"}})
_ANSWER = build_response(200, {"kv_transfer_params": _KV})


class Engine:
    """Refuses its first order, runs the next ones, and sends the refusal once more.

    Attributes:
        run_count: Number of orders that ran.
    """

    def __init__(self, late: bool) -> None:
        self._late = late
        self._order_count = 0
        self.run_count = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        has_refused = False
        while await _receive_order(stream):
            self._order_count += 1
            if self._order_count == 1:
                has_refused = True
                await stream.send_all(_REFUSAL if self._late else 2 * _REFUSAL)
                continue
            self.run_count += 1
            copy = _REFUSAL if has_refused and self._late else b""
            await stream.send_all(copy + _ANSWER)


async def _receive_order(stream: trio.SocketStream) -> bytes:
    """Receive one order; empty if the connection has ended."""
    data = b""
    while not data.endswith(b"}"):
        received = await stream.receive_some()
        if not received:
            return b""
        data += received
    return data


@pytest.mark.parametrize("late", [False, True])
async def test_copy_of_a_refusal_is_taken_for_the_refusal_of_the_next_order(late: bool) -> None:
    engine = Engine(late)
    client = HttpEndpointClient(connect_timeout_s=1.0)
    async with trio.open_nursery() as nursery:
        endpoint = await serve_on_socket(nursery, engine.serve)
        with trio.fail_after(_TIMEOUT_S):
            with pytest.raises(EndpointRefusedError):
                await client.prefill(build_order(endpoint, "r1"))
            assert await client.prefill(build_order(endpoint, "r2")) == KvHandle(
                "p1", "127.0.0.1", 1, (1,)
            )
            assert engine.run_count == 1
            await client.close()
        nursery.cancel_scope.cancel()
