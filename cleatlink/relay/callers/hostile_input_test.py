"""Tests that no input of a caller, a peer or an endpoint ends the instance or other connections."""

import random
from typing import Any

import pytest
import trio

from cleatlink.core.routes import InboundRequest
from cleatlink.relay.endpoints.protocol import Protocol
from standins.relay import RawCall, Worker
from standins.relay.example_fleet import STREAM, engines, start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.raw_server import LAST_CHUNK, answer, chunk

pytestmark = pytest.mark.virtual_time

NUMBER_HEADERS = ("Token-Counts", "Length-Hint", "Last-Event-Id", "Deadline-Milliseconds")
NUMBERS = ("inf", "-inf", "1e999", "9" * 400, "1e16")
SEED = 7
REQUEST_COUNT = 300
HEADER_NAMES = (
    *NUMBER_HEADERS,
    "Prompt-Prefix",
    "Attempt-Id",
    "Host",
    "Content-Length",
    "Transfer-Encoding",
    "Connection",
    "Expect",
    "Tunnel-Timeout-Ms",
    "X",
)
HEADER_VALUES = (
    *NUMBERS,
    "nan",
    "-1",
    "5,inf",
    "inf,inf",
    "a:inf,b:nan",
    ",,,",
    "",
    "\xff\xfe",
    "chunked",
    "0x10",
    "\u0663".encode().decode("latin-1"),
    "close, keep-alive",
    "100-continue",
)
TARGETS = ("/safe/x", "/unsafe/x", "/stream/x", "/resume/x", "//", "*", "/%ff", "/?=", "/tunnel")
METHODS = ("GET", "POST", "HEAD", "OPTIONS", "CONNECT", "X")


async def assert_serves(fleet: Fleet) -> None:
    """Check that the instance runs and serves calls and streams."""
    assert not fleet.end_events[0].is_set()
    for path in ("/safe/x", "/stream/x"):
        reply = await fleet.caller().ask(path, "POST", body=b"p", headers=STREAM)
        assert reply.status == 200


@pytest.mark.parametrize("name", NUMBER_HEADERS)
async def test_number_that_is_not_finite_ended_the_instance(name: str) -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"), *engines())
        for number in (*NUMBERS, "5,inf") if name == "Token-Counts" else NUMBERS:
            for path in ("/safe/x", "/stream/x"):
                headers = {**STREAM, name: number}
                reply = await fleet.caller().ask(path, "POST", body=b"p", headers=headers)
                assert reply.status == 400
                assert name.lower().encode() in reply.body.lower()
        await assert_serves(fleet)


def make_request(rng: random.Random) -> bytes:
    """Return a request with some headers that are odd, or bytes that are no request."""
    lines = [f"{rng.choice(METHODS)} {rng.choice(TARGETS)} HTTP/1.1", "Host: h.example"]
    for _ in range(rng.randrange(5)):
        lines.append(f"{rng.choice(HEADER_NAMES)}: {rng.choice(HEADER_VALUES)}")
    data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + rng.randbytes(rng.randrange(20))
    if rng.random() < 0.3:
        position = rng.randrange(len(data))
        data = data[:position] + rng.randbytes(3) + data[position:]
    return data


async def send_and_close(address: str, data: bytes) -> None:
    """Send bytes on a new connection, and close it after a moment."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    try:
        await stream.send_all(data)
        with trio.move_on_after(0.05):
            while await stream.receive_some():
                pass
    except trio.BrokenResourceError:
        pass
    finally:
        stream.socket.close()


async def test_odd_requests_on_any_listener_ended_the_instance() -> None:
    rng = random.Random(SEED)
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"), *engines())
        settings = fleet._settings[0]
        listeners = (
            settings.listen,
            settings.ready_listen,
            settings.peer_listen,
            settings.tunnel_listen,
        )
        for _ in range(REQUEST_COUNT):
            address = listeners[0] if rng.random() < 0.6 else rng.choice(listeners)
            await send_and_close(str(address), make_request(rng))
        await assert_serves(fleet)


class _LongNumberWorker(Worker):
    """Numbers the events of its streams with thousands of digits."""

    async def _serve_decode(self, call: RawCall, stream: trio.SocketStream, fault: object) -> bool:
        headers = {**self._signed_headers(call), "Transfer-Encoding": "chunked"}
        event = b"id: " + b"9" * 5000 + b"\ndata: x\n\n"
        await self.send(stream, answer(200, headers, has_length=False) + chunk(event) + LAST_CHUNK)
        return True


async def test_event_number_of_thousands_of_digits_ended_the_instance() -> None:
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        await start(fleet, Worker("plain"), prefill, _LongNumberWorker("model", "decode"))
        for path in ("/stream/x", "/resume/x"):
            reply = await fleet.caller().ask(path, "POST", body=b"p", headers=STREAM)
            assert reply.status in (200, 502)
        fleet.unregister(fleet.workers[-1])
        await fleet.add_worker(decode)
        endpoints = fleet.instances[0].capacity.endpoints
        await fleet.wait_until(lambda: decode.name in endpoints)
        await assert_serves(fleet)


async def test_error_in_one_connection_ended_the_instance(monkeypatch: pytest.MonkeyPatch) -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"), *engines())
        read = Protocol.parse_inbound

        def fail(*args: Any, **kwargs: Any) -> InboundRequest:
            if b"/safe/fails" in args:
                raise ZeroDivisionError("an error in the code")
            return read(*args, **kwargs)

        monkeypatch.setattr(Protocol, "parse_inbound", fail)
        reply = await fleet.caller().ask("/safe/fails")
        assert (reply.status, reply.is_complete) == (0, False)
        await assert_serves(fleet)
