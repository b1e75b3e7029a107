"""Small fakes at the instance's interfaces: endpoints, platform, peers, callers.

They carry calls to the stand-ins in process, on virtual time, and can be cut.
"""

import math
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Mapping
from typing import Any

import msgspec
import trio

from cleatlink.core.data import Endpoint, FencedCommand, KvHandle, Role
from cleatlink.core.errors import (
    EndpointError,
    EndpointRefusedError,
    EndpointUnreachableError,
    OutcomeUnknownError,
    PeerUnreachableError,
    PlatformError,
    StreamBrokenError,
)
from cleatlink.request.classify import extract_prompt
from cleatlink.serving.endpoints import (
    EndpointClient,
    EndpointReport,
    EventStream,
    Order,
    PlainAnswer,
    StreamEvent,
    read_cache_news,
    read_report,
)
from cleatlink.serving.peer_link import Message, PeerLink, decode_message
from cleatlink.serving.peers import Peers
from cleatlink.serving.platform import Document, DocumentKind, Platform
from standins import engine as engines
from standins.engine_app import event_data
from standins.platform import Platform as PlatformStandin
from standins.service import PlainService

LATENCY_S = 0.001


class Fleet:
    """Engines and services in process, by address, and how they can be reached."""

    def __init__(self) -> None:
        self.engines: dict[str, engines.Engine] = {}
        self.services: dict[str, PlainService] = {}
        self.dead: set[str] = set()
        self.cut_calls: dict[str, str] = {}
        self.no_reports: set[str] = set()
        self.died: dict[str, trio.Event] = {}
        self.orders: Counter[str] = Counter()

    def engine(self, address: str) -> engines.Engine:
        """Give the engine at an address, if it lives."""
        if address in self.dead:
            raise EndpointUnreachableError(f"{address} is dead")
        return self.engines[address]

    def kill(self, address: str) -> None:
        """Let a process die; its memory goes with it."""
        self.dead.add(address)
        self.died.setdefault(address, trio.Event()).set()

    def memory(self) -> dict[str, int]:
        """Tokens held by each engine that lives."""
        return {
            name: engine.memory_used
            for name, engine in self.engines.items()
            if name not in self.dead
        }


class FakeClient(EndpointClient):
    """Orders that reach the stand-ins in process."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.dead = False
        self.stale_reports = False

    async def _reach(self, address: str) -> engines.Engine:
        if self.dead:
            await trio.sleep_forever()
        await trio.sleep(LATENCY_S)
        return self.fleet.engine(address)

    async def prefill(self, order: Order) -> KvHandle:
        """Have an engine compute a prompt."""
        address = order.endpoint.address
        engine = await self._reach(address)
        self.fleet.orders[address] += 1
        kv = await self._until_death(address, engine.prefill(_engine_order(order)))
        return KvHandle(kv.engine, address, 0, (kv.attempt,))

    async def decode(self, order: Order, kv: KvHandle) -> EventStream:
        """Have an engine stream from KV."""
        engine = await self._reach(order.endpoint.address)
        self.fleet.orders[order.endpoint.address] += 1
        handle = engines.Kv(kv.engine, order.request, kv.blocks[0])
        try:
            chunks = await engine.decode(_engine_order(order), handle)
        except engines.OrderRefusedError as error:
            raise EndpointRefusedError(error.code, error.code == "leaving") from error
        return FakeStream(chunks, order, self.fleet)

    async def resume(self, order: Order) -> EventStream:
        """Read a running stream again."""
        engine = await self._reach(order.endpoint.address)
        try:
            chunks = await engine.resume(order.request, order.attempt, order.position)
        except engines.OrderRefusedError as error:
            raise EndpointRefusedError(error.code) from error
        return FakeStream(chunks, order, self.fleet)

    async def cancel(self, address: str, request: str, attempt: int) -> None:
        """Cancel an attempt."""
        try:
            (await self._reach(address)).cancel(request, attempt)
        except engines.OrderRefusedError as error:
            raise EndpointError("cancel lost") from error

    async def give_order(self, endpoint: Endpoint, order: FencedCommand) -> None:
        """Refuse: no scenario gives orders."""
        raise NotImplementedError("no scenario gives orders")

    async def report(self, endpoint: Endpoint, role: Role, after: int) -> EndpointReport:
        """Give an engine's load report."""
        address = endpoint.address
        if self.dead or address in self.fleet.dead or address in self.fleet.no_reports:
            raise EndpointError("no report")
        await trio.sleep(LATENCY_S)
        if address in self.fleet.services:
            data: Mapping[str, Any] = {"leaving": self.fleet.services[address].leaving}
        else:
            engine = self.fleet.engine(address)
            data = engine.report() | engine.cache_events(after)
        report = read_report(endpoint, role, data)
        if self.stale_reports:
            report = report._replace(leaving=False)
        return EndpointReport(report, read_cache_news(data, after))

    async def call(
        self, endpoint: Endpoint, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> PlainAnswer:
        """Call a plain service."""
        address = endpoint.address
        if self.dead:
            await trio.sleep_forever()
        cut = self.fleet.cut_calls.get(address, "")
        if cut == "before" or address in self.fleet.dead:
            raise EndpointUnreachableError("no connection")
        if cut == "during":
            raise OutcomeUnknownError("cut while sending")
        key = headers.get("idempotency-key", f"{method} {path}")
        answer = await self.fleet.services[address].execute(method, path, key, body)
        if cut == "after":
            raise OutcomeUnknownError("answer lost")
        return PlainAnswer(200, {"content-type": "text/plain"}, answer)

    async def _until_death(self, address: str, work: Awaitable[engines.Kv]) -> engines.Kv:
        """Await work at an endpoint, but no longer than the endpoint lives."""
        died = self.fleet.died.setdefault(address, trio.Event())
        results: list[engines.Kv | engines.OrderRefusedError] = []

        async def wait_for_work() -> None:
            try:
                results.append(await work)
            except engines.OrderRefusedError as error:
                results.append(error)
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait_for_work)
            await died.wait()
            nursery.cancel_scope.cancel()
        if not results:
            raise OutcomeUnknownError("died")
        if isinstance(results[0], engines.OrderRefusedError):
            error = results[0]
            raise EndpointRefusedError(error.code, error.code == "leaving") from error
        return results[0]


class FakeStream(EventStream):
    """An engine's stream in process; it breaks when the engine dies."""

    def __init__(self, chunks: AsyncIterator[engines.Chunk], order: Order, fleet: Fleet) -> None:
        self._chunks = chunks
        self._order = order
        self._fleet = fleet
        self._end: StreamEvent | None = None

    def take_waiting(self) -> StreamEvent | None:
        """Give an end that has arrived already."""
        return self._end

    async def read(self) -> StreamEvent:
        """Read the next item."""
        address = self._order.endpoint.address
        try:
            chunk = await anext(self._chunks)
        except (StopAsyncIteration, engines.OrderRefusedError) as error:
            raise StreamBrokenError("ended") from error
        if address in self._fleet.dead:
            raise StreamBrokenError("died")
        if chunk.last:
            self._end = StreamEvent(chunk.owner, chunk.position + 1, b"[DONE]", True)
        data = event_data(chunk, self._order.chat, str(self._order.body["model"]))
        return StreamEvent(chunk.owner, chunk.position, data, False)

    async def close(self) -> None:
        """Close the stream."""
        await self._chunks.aclose()  # type: ignore[attr-defined]


def _engine_order(order: Order) -> engines.Order:
    prompt = extract_prompt(order.body, order.chat).decode()
    limit = order.body["max_tokens"]
    return engines.Order(order.request, order.attempt, prompt, limit, order.position, order.text)


class FakePlatform(Platform):
    """The platform's stand-in in process; can be cut off for one instance."""

    def __init__(self, platform: PlatformStandin) -> None:
        self._platform = platform
        self.cut = False

    async def read(self, kind: DocumentKind) -> Document | None:
        """Read the next item."""
        await trio.sleep(LATENCY_S)
        self._check()
        return _document(self._platform.read(kind.value))

    async def watch(self, kind: DocumentKind, after: int) -> Document | None:
        """Wait for a newer revision."""
        self._check()
        document = await self._platform.watch(kind.value, after, 10.0)
        self._check()
        return _document(document)

    def _check(self) -> None:
        self._platform.calls += 1
        if self._platform.down or self.cut:
            raise PlatformError("down")


def _document(data: dict[str, Any] | None) -> Document | None:
    return None if data is None else Document(data["revision"], data["value"])


class Network:
    """Peers' messages in process; pairs of addresses can be cut."""

    def __init__(self) -> None:
        self.links: dict[str, FakeLink] = {}
        self.cuts: set[frozenset[str]] = set()
        self.lose_kinds: set[str] = set()

    def cut(self, left: list[str], right: list[str]) -> None:
        """Cut every pair of the two sides."""
        self.cuts |= {frozenset((a, b)) for a in left for b in right}

    def reaches(self, sender: str, receiver: str) -> bool:
        """Tell whether one address reaches another."""
        links = self.links
        alive = all(name in links and not links[name].dead for name in (sender, receiver))
        return alive and frozenset((sender, receiver)) not in self.cuts


class FakeLink(PeerLink):
    """One instance's link to its peers in process."""

    def __init__(self, network: Network, address: str) -> None:
        self._network = network
        self._address = address
        self._send, self._receive = trio.open_memory_channel[tuple[bytes, str]](1000)
        self.dead = False
        self.peers: Peers | None = None
        network.links[address] = self

    @property
    def address(self) -> str:
        """Where peers are heard."""
        return self._address

    def send(self, address: str, data: bytes) -> None:
        """Send a message to a peer."""
        message = decode_message(data)
        assert message is not None
        lost = message.kind in self._network.lose_kinds
        if not lost and self._network.reaches(self._address, address):
            link = self._network.links[address]
            link._send.send_nowait((data, self._address))

    async def receive(self) -> tuple[Message | None, str]:
        """Receive a message."""
        data, sender = await self._receive.receive()
        return decode_message(data), sender

    async def ask(self, address: str, path: str, body: bytes) -> bytes:
        """Ask a peer and wait for its answer."""
        await trio.sleep(LATENCY_S)
        if not self._network.reaches(self._address, address):
            raise PeerUnreachableError("no connection")
        peers = self._network.links[address].peers
        assert peers is not None
        return await peers.answer(path, body)


class Caller:
    """Calls an ASGI app in process and can go away at any time."""

    def __init__(self, app: Any) -> None:
        self._app = app
        self._gone = trio.Event()
        self._sent = False
        self.withhold_body = False
        self.slow_s = 0.0
        self.finished_at = math.inf
        self.asked_at = math.inf
        self.token_times: list[float] = []
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.news = trio.Event()

    def go_away(self) -> None:
        """Disconnect."""
        self._gone.set()

    async def request(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> "Caller":
        """Send one request and take its answer."""
        raw = [(name.lower().encode(), value.encode()) for name, value in headers.items()]
        scope = {
            "type": "http",
            "asgi": {"version": "3.0"},
            "http_version": "1.1",
            "method": method,
            "scheme": "http",
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "root_path": "",
            "headers": [(b"content-length", str(len(body)).encode()), *raw],
            "client": ("127.0.0.1", 1),
            "server": ("127.0.0.1", 80),
            "state": {},
            "extensions": {},
        }

        async def receive() -> dict[str, Any]:
            if not self._sent and not self.withhold_body:
                self._sent = True
                return {"type": "http.request", "body": body, "more_body": False}
            await self._gone.wait()
            return {"type": "http.disconnect"}

        self.asked_at = trio.current_time()
        await self._app(scope, receive, self._take)
        return self

    async def _take(self, message: dict[str, Any]) -> None:
        await trio.sleep(self.slow_s)
        if message["type"] == "http.response.body" and not message.get("more_body", False):
            self.finished_at = trio.current_time()
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = {k.decode().lower(): v.decode() for k, v in message["headers"]}
        elif message["type"] == "http.response.body" and not self._gone.is_set():
            self.body += message.get("body", b"")
            self.token_times += [trio.current_time()] * message.get("body", b"").count(b"id: ")
        self.news.set()
        self.news = trio.Event()

    @property
    def ids(self) -> list[int]:
        """Event ids received."""
        lines = self.body.decode().splitlines()
        return [int(line[4:]) for line in lines if line.startswith("id: ")]

    @property
    def ended(self) -> int:
        """End marks received."""
        return self.body.count(b"data: [DONE]")

    @property
    def text(self) -> str:
        """Text received in events."""
        lines = self.body.decode().splitlines()
        data = [msgspec.json.decode(line[6:]) for line in lines if line.startswith("data: {")]
        return "".join(item["choices"][0]["text"] for item in data if "choices" in item)

    @property
    def error(self) -> dict[str, Any]:
        """The error of a refusal."""
        return dict(msgspec.json.decode(self.body)["error"])
