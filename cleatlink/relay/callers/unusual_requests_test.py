"""Valid HTTP/1.1 requests of unusual form reach the endpoint as they were sent."""

from typing import NamedTuple

import pytest
import trio

from cleatlink.core.routes import CallerLimits
from standins.relay import Worker
from standins.relay.example_fleet import start
from standins.relay.fleet import open_fleet
from standins.relay.raw_client import Reply

pytestmark = pytest.mark.virtual_time

_HEADERS = b"Host: h.example\r\nAttempt-Id: r-unusual\r\nDeadline-Milliseconds: 3000\r\n"


class SentRequest(NamedTuple):
    """A request as bytes on a connection, and how the endpoint has to receive it."""

    parts: tuple[bytes, ...]
    method: str = "GET"
    target: str = "/safe/x"
    body: bytes = b""


def request_head(method: bytes = b"GET", target: bytes = b"/safe/x", more: bytes = b"") -> bytes:
    """Return a request's head."""
    return method + b" " + target + b" HTTP/1.1\r\n" + _HEADERS + more + b"\r\n"


def split(data: bytes, size: int) -> tuple[bytes, ...]:
    """Split bytes into parts of a size."""
    return tuple(data[begin : begin + size] for begin in range(0, len(data), size))


_POST_HEAD = request_head(b"POST", more=b"Content-Length: 5\r\n")
_CHUNKED_HEAD = request_head(b"POST", more=b"Transfer-Encoding: chunked\r\n")
_LONG_HEADERS = b"".join(b"X-Field-%d: %s\r\n" % (n, b"v" * 1000) for n in range(15))


def largest_head() -> bytes:
    """Return a head whose fields and target have the largest size allowed."""
    fields = [item.split(b": ") for item in _HEADERS.split(b"\r\n") if item]
    size = sum(len(name) + len(value) + 4 for name, value in fields)
    pad = CallerLimits().header_bytes - size - len(b"/safe/x") - len(b"X-Pad") - 4
    return request_head(more=b"X-Pad: " + pad * b"p" + b"\r\n")


CASES = {
    "the largest head": SentRequest((largest_head(),)),
    "the largest head in parts": SentRequest((largest_head()[:-1], largest_head()[-1:])),
    "a target with percent-encoding": SentRequest(
        (request_head(target=b"/safe/%41%2Fb%25"),), target="/safe/%41%2Fb%25"
    ),
    "a target with double slashes": SentRequest(
        (request_head(target=b"/safe//a//b"),), target="/safe//a//b"
    ),
    "a target with dots": SentRequest(
        (request_head(target=b"/safe/./a/../b"),), target="/safe/./a/../b"
    ),
    "an empty query": SentRequest((request_head(target=b"/safe/x?"),), target="/safe/x?"),
    "a query with slashes and special characters": SentRequest(
        (request_head(target=b"/safe/x?a=/b/?c&&=;'|\"{}"),), target="/safe/x?a=/b/?c&&=;'|\"{}"
    ),
    "a target in absolute form": SentRequest(
        (request_head(target=b"http://h.example/safe/x?a=1"),), target="/safe/x?a=1"
    ),
    "a target in absolute form with a port": SentRequest(
        (request_head(target=b"HTTP://H.example:8080/safe/x"),), target="/safe/x"
    ),
    "a method in lower case": SentRequest((request_head(b"get"),), "get"),
    "a method in mixed case": SentRequest(
        (request_head(b"PoSt", more=b"Content-Length: 5\r\n") + b"hello",), "PoSt", body=b"hello"
    ),
    "a custom method": SentRequest((request_head(b"M-SEARCH!#$"),), "M-SEARCH!#$"),
    "an options request": SentRequest((request_head(b"OPTIONS"),), "OPTIONS"),
    "a body with get": SentRequest(
        (request_head(more=b"Content-Length: 5\r\n") + b"hello",), body=b"hello"
    ),
    "an empty body": SentRequest((request_head(b"POST", more=b"Content-Length: 0\r\n"),), "POST"),
    "two equal content lengths": SentRequest(
        (request_head(b"POST", more=b"Content-Length: 5\r\nContent-Length: 5\r\n") + b"hello",),
        "POST",
        body=b"hello",
    ),
    "a chunked body": SentRequest(
        (_CHUNKED_HEAD + b"5\r\nhello\r\n0\r\n\r\n",), "POST", body=b"hello"
    ),
    "a chunked body with extensions": SentRequest(
        (_CHUNKED_HEAD + b'2;a=b;c="d e"\r\nhe\r\n3;x\r\nllo\r\n0;last\r\n\r\n',),
        "POST",
        body=b"hello",
    ),
    "a chunked body with trailers": SentRequest(
        (_CHUNKED_HEAD + b"0005\r\nhello\r\n0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n",),
        "POST",
        body=b"hello",
    ),
    "chunk sizes with hex digits in both cases": SentRequest(
        (_CHUNKED_HEAD + b"A\r\n0123456789\r\nb\r\n0123456789a\r\n00\r\n\r\n",),
        "POST",
        body=b"01234567890123456789a",
    ),
    "a transfer coding in upper case": SentRequest(
        (
            request_head(b"POST", more=b"TRANSFER-ENCODING: Chunked\r\n")
            + b"5\r\nhello\r\n0\r\n\r\n",
        ),
        "POST",
        body=b"hello",
    ),
    "an empty chunked body": SentRequest((_CHUNKED_HEAD + b"0\r\n\r\n",), "POST"),
    "expects 100 and does not wait": SentRequest(
        (request_head(b"POST", more=b"Expect: 100-continue\r\nContent-Length: 5\r\n") + b"hello",),
        "POST",
        body=b"hello",
    ),
    "expects 100 and waits": SentRequest(
        (request_head(b"POST", more=b"Expect: 100-Continue\r\nContent-Length: 5\r\n"), b"hello"),
        "POST",
        body=b"hello",
    ),
    "a head byte by byte": SentRequest(split(request_head(), 1)),
    "a body byte by byte": SentRequest((_POST_HEAD, *split(b"hello", 1)), "POST", body=b"hello"),
    "chunks byte by byte": SentRequest(
        split(_CHUNKED_HEAD + b"5;a\r\nhello\r\n0\r\nX: 1\r\n\r\n", 1), "POST", body=b"hello"
    ),
    "a long head": SentRequest((request_head(more=_LONG_HEADERS),)),
    "a long head in parts": SentRequest(split(request_head(more=_LONG_HEADERS), 1400)),
    "a long target": SentRequest(
        (request_head(target=b"/safe/" + b"x" * 12_000),), target="/safe/" + "x" * 12_000
    ),
    "many headers": SentRequest(
        (request_head(more=b"".join(b"h%d: v\r\n" % n for n in range(500))),)
    ),
    "header values with non-ASCII bytes": SentRequest(
        (request_head(more=b"X-Name: caf\xe9 \xff\x80\r\n"),)
    ),
    "an empty header value": SentRequest((request_head(more=b"X-Empty:\r\nX-Spaces:   \r\n"),)),
    "a folded header value": SentRequest((request_head(more=b"X-Folded: one\r\n two\r\n"),)),
    "tabs around a header value": SentRequest((request_head(more=b"X-Tabs:\tone\ttwo\t\r\n"),)),
    "a header name with all token characters": SentRequest(
        (request_head(more=b"X!#$%&'*+-.^_`|~9: v\r\n"),)
    ),
    "a host with a port": SentRequest(
        (b"GET /safe/x HTTP/1.1\r\n" + _HEADERS.replace(b"h.example", b"h.example:8080") + b"\r\n",)
    ),
    "a host in upper case": SentRequest(
        (b"GET /safe/x HTTP/1.1\r\n" + _HEADERS.replace(b"h.example", b"H.EXAMPLE") + b"\r\n",)
    ),
    "an empty line before the request": SentRequest((b"\r\n" + request_head(),)),
    "an empty line in parts before the request": SentRequest((b"\r", b"\n", request_head())),
    "lines that end with LF": SentRequest((request_head().replace(b"\r\n", b"\n"),)),
    "an upgrade to h2c that may be ignored": SentRequest(
        (request_head(more=b"Connection: Upgrade\r\nUpgrade: h2c\r\n"),)
    ),
    "a target with delimiters of other URL parts": SentRequest(
        (request_head(target=b"/safe/a:b@c;d=1,2/[e]|^`{f}"),), target="/safe/a:b@c;d=1,2/[e]|^`{f}"
    ),
    "a content length with leading zeros": SentRequest(
        (request_head(b"POST", more=b"Content-Length: 0005\r\n") + b"hello",), "POST", body=b"hello"
    ),
    "expects 100 without a body": SentRequest((request_head(more=b"Expect: 100-continue\r\n"),)),
    "an unknown expectation": SentRequest((request_head(more=b"Expect: something-else\r\n"),)),
    "connection-specific headers": SentRequest(
        (
            request_head(
                more=b"Connection: keep-alive, X-Hop\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\n"
            ),
        )
    ),
    "a websocket upgrade": SentRequest(
        (
            request_head(
                more=b"Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Key: AA==\r\n"
            ),
        )
    ),
    "a repeated header": SentRequest(
        (request_head(more=30 * b"X-Same: v\r\n" + b"Cookie: a\r\ncookie: b\r\n"),)
    ),
    "a large body in parts": SentRequest(
        (request_head(b"PUT", more=b"Content-Length: 300000\r\n"), *split(300_000 * b"b", 20_000)),
        "PUT",
        body=300_000 * b"b",
    ),
    "a request that closes its connection": SentRequest(
        (request_head(more=b"Connection: close\r\n"),)
    ),
    "HTTP/1.0": SentRequest((request_head().replace(b"HTTP/1.1", b"HTTP/1.0"),)),
    "a later minor version": SentRequest((request_head().replace(b"HTTP/1.1", b"HTTP/1.2"),)),
}


class RawCaller:
    """A caller that sends bytes unchanged."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._buffer = b""

    async def send(self, parts: tuple[bytes, ...]) -> None:
        """Send parts with a pause after each."""
        for part in parts:
            await self._stream.send_all(part)
            await trio.sleep(0.0001)

    async def receive(self) -> Reply:
        """Receive one answer, skipping interim answers."""
        while True:
            while b"\r\n\r\n" not in self._buffer:
                data = await self._stream.receive_some(65_536)
                if not data:
                    return Reply(0, {}, self._buffer, False)
                self._buffer += data
            head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
            status = int(head.split(b" ")[1])
            if status == 100:
                continue
            pairs = (item.partition(": ") for item in head.decode("latin-1").split("\r\n")[1:])
            headers = {name.lower(): value for name, _, value in pairs}
            length = int(headers.get("content-length", "0"))
            while len(self._buffer) < length:
                self._buffer += await self._stream.receive_some(65_536)
            body, self._buffer = self._buffer[:length], self._buffer[length:]
            return Reply(status, headers, body, True)


async def connect(address: str) -> trio.SocketStream:
    """Connect to an instance."""
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


@pytest.mark.parametrize("case", list(CASES))
async def test_unusual_request_is_forwarded_unchanged(case: str) -> None:
    """A valid request must not get a 4xx from the relay: its caller would not retry it."""
    sent = CASES[case]
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        async with await connect(str(fleet.instances[0]._settings.listen)) as stream:
            caller = RawCaller(stream)
            await caller.send(sent.parts)
            with trio.fail_after(5.0):
                reply = await caller.receive()
        assert (reply.status, reply.body) == (200, b"served")
        (run,) = worker.runs
        assert run.call.method == sent.method
        assert run.call.target == sent.target
        assert run.call.body == sent.body


async def test_pipelined_requests_are_served_in_order() -> None:
    """Requests sent without waiting for answers, also after an empty line, are all served."""
    sent = (
        _POST_HEAD + b"hello" + b"\r\n",
        _CHUNKED_HEAD + b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
        request_head(target=b"/safe/y?") + request_head(target=b"/safe/z"),
    )
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        async with await connect(str(fleet.instances[0]._settings.listen)) as stream:
            caller = RawCaller(stream)
            for parts in (sent, (b"".join(sent),)):
                await caller.send(parts)
                with trio.fail_after(5.0):
                    replies = [await caller.receive() for _ in range(4)]
                assert [reply.status for reply in replies] == [200] * 4
        calls = [(run.call.method, run.call.target, run.call.body) for run in worker.runs]
        assert calls == 2 * [
            ("POST", "/safe/x", b"hello"),
            ("POST", "/safe/x", b"hello"),
            ("GET", "/safe/y?", b""),
            ("GET", "/safe/z", b""),
        ]


async def test_pipelined_body_above_the_read_ahead_limit_is_read() -> None:
    """Data above the read-ahead limit stays unread until the request is answered.

    It must not become part of another request.
    """
    body = 200_000 * b"b"
    large = request_head(b"POST", more=b"Content-Length: 200000\r\n") + body
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        async with await connect(str(fleet.instances[0]._settings.listen)) as stream:
            caller = RawCaller(stream)
            await caller.send((request_head() + large + large + request_head(),))
            with trio.fail_after(5.0):
                replies = [await caller.receive() for _ in range(4)]
        assert [reply.status for reply in replies] == [200] * 4
        assert [run.call.body for run in worker.runs] == [b"", body, body, b""]


async def test_empty_line_after_a_body_is_ignored() -> None:
    """An empty line must not get a 400: the caller would take it for the next answer."""
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        async with await connect(str(fleet.instances[0]._settings.listen)) as stream:
            caller = RawCaller(stream)
            await caller.send((_POST_HEAD + b"hello\r\n",))
            assert (await caller.receive()).status == 200
            await trio.sleep(0.5)
            await caller.send((request_head(),))
            assert (await caller.receive()).status == 200


async def test_host_of_a_target_in_absolute_form_overrides_the_host_header() -> None:
    """A request whose target names its host must be routed by that host, not get a 404."""
    head = b"GET http://h.example?a=/b HTTP/1.1\r\n" + _HEADERS.replace(b"h.example", b"other")
    async with open_fleet() as fleet:
        worker = Worker("plain")
        fleet.add_route("/", "safe", "plain")
        await start(fleet, worker)
        async with await connect(str(fleet.instances[0]._settings.listen)) as stream:
            caller = RawCaller(stream)
            await caller.send((head + b"\r\n",))
            assert (await caller.receive()).status == 200
        (run,) = worker.runs
        assert (run.call.target, run.call.headers["host"]) == ("/?a=/b", "h.example")
