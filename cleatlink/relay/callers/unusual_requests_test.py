"""Proper HTTP/1.1 requests of unusual form reach the endpoint as they were sent."""

from typing import NamedTuple

import pytest
import trio

from cleatlink.core.routes import CallerLimits
from standins.relay import Worker
from standins.relay.client import Reply
from standins.relay.example import start
from standins.relay.fleet import open_fleet

pytestmark = pytest.mark.virtual_time

_HEAD = b"Host: h.example\r\nAttempt-Id: r-unusual\r\nDeadline-Milliseconds: 3000\r\n"


class Sent(NamedTuple):
    """A request as bytes on a connection, and what the endpoint has to get of it."""

    parts: tuple[bytes, ...]
    method: str = "GET"
    target: str = "/safe/x"
    body: bytes = b""


def line(method: bytes = b"GET", target: bytes = b"/safe/x", more: bytes = b"") -> bytes:
    """Give a request's head."""
    return method + b" " + target + b" HTTP/1.1\r\n" + _HEAD + more + b"\r\n"


def cut(data: bytes, size: int) -> tuple[bytes, ...]:
    """Cut bytes into parts of a size."""
    return tuple(data[begin : begin + size] for begin in range(0, len(data), size))


_POST = line(b"POST", more=b"Content-Length: 5\r\n")
_CHUNKED = line(b"POST", more=b"Transfer-Encoding: chunked\r\n")
_LONG = b"".join(b"X-Field-%d: %s\r\n" % (n, b"v" * 1000) for n in range(15))


def largest() -> bytes:
    """Give a head whose fields and target have as many bytes as are allowed."""
    fields = [item.split(b": ") for item in _HEAD.split(b"\r\n") if item]
    size = sum(len(name) + len(value) + 4 for name, value in fields)
    pad = CallerLimits().header_bytes - size - len(b"/safe/x") - len(b"X-Pad") - 4
    return line(more=b"X-Pad: " + pad * b"p" + b"\r\n")


CASES = {
    "the largest head": Sent((largest(),)),
    "the largest head in parts": Sent((largest()[:-1], largest()[-1:])),
    "a target with percent signs": Sent(
        (line(target=b"/safe/%41%2Fb%25"),), target="/safe/%41%2Fb%25"
    ),
    "a target with double slashes": Sent((line(target=b"/safe//a//b"),), target="/safe//a//b"),
    "a target with dots": Sent((line(target=b"/safe/./a/../b"),), target="/safe/./a/../b"),
    "an empty query": Sent((line(target=b"/safe/x?"),), target="/safe/x?"),
    "a query with slashes and marks": Sent(
        (line(target=b"/safe/x?a=/b/?c&&=;'|\"{}"),), target="/safe/x?a=/b/?c&&=;'|\"{}"
    ),
    "a target in absolute form": Sent(
        (line(target=b"http://h.example/safe/x?a=1"),), target="/safe/x?a=1"
    ),
    "a target in absolute form with a port": Sent(
        (line(target=b"HTTP://H.example:8080/safe/x"),), target="/safe/x"
    ),
    "a method in lower case": Sent((line(b"get"),), "get"),
    "a method in mixed case": Sent(
        (line(b"PoSt", more=b"Content-Length: 5\r\n") + b"hello",), "PoSt", body=b"hello"
    ),
    "a method of its own": Sent((line(b"M-SEARCH!#$"),), "M-SEARCH!#$"),
    "an options call": Sent((line(b"OPTIONS"),), "OPTIONS"),
    "a body with get": Sent((line(more=b"Content-Length: 5\r\n") + b"hello",), body=b"hello"),
    "an empty body": Sent((line(b"POST", more=b"Content-Length: 0\r\n"),), "POST"),
    "a length told twice alike": Sent(
        (line(b"POST", more=b"Content-Length: 5\r\nContent-Length: 5\r\n") + b"hello",),
        "POST",
        body=b"hello",
    ),
    "a chunked body": Sent((_CHUNKED + b"5\r\nhello\r\n0\r\n\r\n",), "POST", body=b"hello"),
    "a chunked body with extensions": Sent(
        (_CHUNKED + b'2;a=b;c="d e"\r\nhe\r\n3;x\r\nllo\r\n0;last\r\n\r\n',),
        "POST",
        body=b"hello",
    ),
    "a chunked body with trailers": Sent(
        (_CHUNKED + b"0005\r\nhello\r\n0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n",), "POST", body=b"hello"
    ),
    "chunks with digits in both cases": Sent(
        (_CHUNKED + b"A\r\n0123456789\r\nb\r\n0123456789a\r\n00\r\n\r\n",),
        "POST",
        body=b"01234567890123456789a",
    ),
    "a coding in upper case": Sent(
        (line(b"POST", more=b"TRANSFER-ENCODING: Chunked\r\n") + b"5\r\nhello\r\n0\r\n\r\n",),
        "POST",
        body=b"hello",
    ),
    "an empty chunked body": Sent((_CHUNKED + b"0\r\n\r\n",), "POST"),
    "one that expects 100 and does not wait": Sent(
        (line(b"POST", more=b"Expect: 100-continue\r\nContent-Length: 5\r\n") + b"hello",),
        "POST",
        body=b"hello",
    ),
    "one that expects 100 and waits": Sent(
        (line(b"POST", more=b"Expect: 100-Continue\r\nContent-Length: 5\r\n"), b"hello"),
        "POST",
        body=b"hello",
    ),
    "a head byte by byte": Sent(cut(line(), 1)),
    "a body byte by byte": Sent((_POST, *cut(b"hello", 1)), "POST", body=b"hello"),
    "chunks byte by byte": Sent(
        cut(_CHUNKED + b"5;a\r\nhello\r\n0\r\nX: 1\r\n\r\n", 1), "POST", body=b"hello"
    ),
    "a long head": Sent((line(more=_LONG),)),
    "a long head in parts": Sent(cut(line(more=_LONG), 1400)),
    "a long target": Sent(
        (line(target=b"/safe/" + b"x" * 12_000),), target="/safe/" + "x" * 12_000
    ),
    "many headers": Sent((line(more=b"".join(b"h%d: v\r\n" % n for n in range(500))),)),
    "values with bytes above ASCII": Sent((line(more=b"X-Name: caf\xe9 \xff\x80\r\n"),)),
    "an empty value": Sent((line(more=b"X-Empty:\r\nX-Spaces:   \r\n"),)),
    "a folded value": Sent((line(more=b"X-Folded: one\r\n two\r\n"),)),
    "tabs around a value": Sent((line(more=b"X-Tabs:\tone\ttwo\t\r\n"),)),
    "names with all token signs": Sent((line(more=b"X!#$%&'*+-.^_`|~9: v\r\n"),)),
    "a host with a port": Sent(
        (b"GET /safe/x HTTP/1.1\r\n" + _HEAD.replace(b"h.example", b"h.example:8080") + b"\r\n",)
    ),
    "a host in upper case": Sent(
        (b"GET /safe/x HTTP/1.1\r\n" + _HEAD.replace(b"h.example", b"H.EXAMPLE") + b"\r\n",)
    ),
    "an empty line before it": Sent((b"\r\n" + line(),)),
    "an empty line in parts before it": Sent((b"\r", b"\n", line())),
    "lines that end with LF": Sent((line().replace(b"\r\n", b"\n"),)),
    "an upgrade that need not be taken": Sent(
        (line(more=b"Connection: Upgrade\r\nUpgrade: h2c\r\n"),)
    ),
    "a target with marks of other parts": Sent(
        (line(target=b"/safe/a:b@c;d=1,2/[e]|^`{f}"),), target="/safe/a:b@c;d=1,2/[e]|^`{f}"
    ),
    "a length with zeros before it": Sent(
        (line(b"POST", more=b"Content-Length: 0005\r\n") + b"hello",), "POST", body=b"hello"
    ),
    "one that expects 100 without a body": Sent((line(more=b"Expect: 100-continue\r\n"),)),
    "another expectation": Sent((line(more=b"Expect: something-else\r\n"),)),
    "headers of one connection": Sent(
        (line(more=b"Connection: keep-alive, X-Hop\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\n"),)
    ),
    "a websocket's upgrade": Sent(
        (line(more=b"Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Key: AA==\r\n"),)
    ),
    "a header many times": Sent(
        (line(more=30 * b"X-Same: v\r\n" + b"Cookie: a\r\ncookie: b\r\n"),)
    ),
    "a large body in parts": Sent(
        (line(b"PUT", more=b"Content-Length: 300000\r\n"), *cut(300_000 * b"b", 20_000)),
        "PUT",
        body=300_000 * b"b",
    ),
    "one that ends its connection": Sent((line(more=b"Connection: close\r\n"),)),
    "HTTP/1.0": Sent((line().replace(b"HTTP/1.1", b"HTTP/1.0"),)),
    "a later minor version": Sent((line().replace(b"HTTP/1.1", b"HTTP/1.2"),)),
}


class Raw:
    """A caller that sends bytes as they are."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._buffer = b""

    async def send(self, parts: tuple[bytes, ...]) -> None:
        """Send parts with a pause after each."""
        for part in parts:
            await self._stream.send_all(part)
            await trio.sleep(0.0001)

    async def receive(self) -> Reply:
        """Receive one answer, past interim ones."""
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
async def test_unusual_request_is_not_denied(case: str) -> None:
    """A proper request of unusual form got a 4xx of ours, which its caller never tries again."""
    sent = CASES[case]
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        async with await connect(str(fleet.instances[0]._settings.listen)) as stream:
            caller = Raw(stream)
            await caller.send(sent.parts)
            with trio.fail_after(5.0):
                reply = await caller.receive()
        assert (reply.status, reply.body) == (200, b"served")
        (run,) = worker.runs
        assert run.call.method == sent.method
        assert run.call.target == sent.target
        assert run.call.body == sent.body


async def test_requests_sent_ahead_are_served_in_their_order() -> None:
    """Requests sent without a wait for answers, also after a stray empty line, are all served."""
    sent = (
        _POST + b"hello" + b"\r\n",
        _CHUNKED + b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
        line(target=b"/safe/y?") + line(target=b"/safe/z"),
    )
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        async with await connect(str(fleet.instances[0]._settings.listen)) as stream:
            caller = Raw(stream)
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


async def test_large_body_sent_ahead_is_read() -> None:
    """More than is read ahead of an answer waits, and is no part of another request."""
    body = 200_000 * b"b"
    large = line(b"POST", more=b"Content-Length: 200000\r\n") + body
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        async with await connect(str(fleet.instances[0]._settings.listen)) as stream:
            caller = Raw(stream)
            await caller.send((line() + large + large + line(),))
            with trio.fail_after(5.0):
                replies = [await caller.receive() for _ in range(4)]
        assert [reply.status for reply in replies] == [200] * 4
        assert [run.call.body for run in worker.runs] == [b"", body, body, b""]


async def test_stray_empty_line_after_a_body_is_no_request() -> None:
    """An empty line after a body was answered with 400, on which the next answer would be read."""
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        async with await connect(str(fleet.instances[0]._settings.listen)) as stream:
            caller = Raw(stream)
            await caller.send((_POST + b"hello\r\n",))
            assert (await caller.receive()).status == 200
            await trio.sleep(0.5)
            await caller.send((line(),))
            assert (await caller.receive()).status == 200


async def test_host_of_a_target_in_absolute_form_goes_before_the_host_header() -> None:
    """A request that named its host in its target got 404."""
    head = b"GET http://h.example?a=/b HTTP/1.1\r\n" + _HEAD.replace(b"h.example", b"other")
    async with open_fleet() as fleet:
        worker = Worker("plain")
        fleet.add_route("/", "safe", "plain")
        await start(fleet, worker)
        async with await connect(str(fleet.instances[0]._settings.listen)) as stream:
            caller = Raw(stream)
            await caller.send((head + b"\r\n",))
            assert (await caller.receive()).status == 200
        (run,) = worker.runs
        assert (run.call.target, run.call.headers["host"]) == ("/?a=/b", "h.example")
