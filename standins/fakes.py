"""Fakes for the interfaces of an instance: endpoints, platform, peers and callers.

They pass calls to the stand-ins in the same process, in virtual time, and can
simulate failures of connections and processes.
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
    parse_cache_update,
    parse_load_report,
)
from cleatlink.serving.peer_link import Message, PeerLink, decode_message
from cleatlink.serving.peers import Peers
from cleatlink.serving.platform import Document, DocumentKind, Platform
from standins import engine as engines
from standins.engine_app import encode_event_data
from standins.platform import Platform as PlatformStandin
from standins.service import PlainService

# Simulated latency of a call, in seconds.
LATENCY_S = 0.001


class Fleet:
    """Engines and services in this process by address, and their simulated failures.

    Attributes:
        engines: Model engines by address.
        services: Plain services by address.
        dead: Addresses of the endpoints that are dead.
        call_failures: When calls to a service fail, by its address: ``before``, ``during`` or
            ``after`` sending.
        unreported_addresses: Addresses of the endpoints that send no load reports.
        death_events: Events that are set at an endpoint's death, by its address.
        orders: Numbers of prefill and decode orders received, by address.
    """

    def __init__(self) -> None:
        self.engines: dict[str, engines.Engine] = {}
        self.services: dict[str, PlainService] = {}
        self.dead: set[str] = set()
        self.call_failures: dict[str, str] = {}
        self.unreported_addresses: set[str] = set()
        self.death_events: dict[str, trio.Event] = {}
        self.orders: Counter[str] = Counter()

    def engine(self, address: str) -> engines.Engine:
        """Return the engine at an address.

        Raises:
            EndpointUnreachableError: The engine is dead.
        """
        if address in self.dead:
            raise EndpointUnreachableError(f"{address} is dead")
        return self.engines[address]

    def kill(self, address: str) -> None:
        """Kill an endpoint: its work in progress fails and its memory is no longer counted."""
        self.dead.add(address)
        self.death_events.setdefault(address, trio.Event()).set()

    def memory(self) -> dict[str, int]:
        """Return the reserved memory of each running engine, in tokens by address."""
        return {
            name: engine.memory_used
            for name, engine in self.engines.items()
            if name not in self.dead
        }


class FakeClient(EndpointClient):
    """Endpoint client that calls the stand-ins in this process.

    Attributes:
        fleet: The endpoints.
        dead: Whether the instance of this client is dead.
        stale_reports: Whether load reports never show that an endpoint is leaving.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.dead = False
        self.stale_reports = False

    async def _connect(self, address: str) -> engines.Engine:
        if self.dead:
            await trio.sleep_forever()
        await trio.sleep(LATENCY_S)
        return self.fleet.engine(address)

    async def prefill(self, order: Order) -> KvHandle:
        """Have an engine compute and keep a prompt's KV."""
        address = order.endpoint.address
        engine = await self._connect(address)
        self.fleet.orders[address] += 1
        kv = await self._run_until_death(address, engine.prefill(_to_engine_order(order)))
        return KvHandle(kv.engine, address, 0, (kv.attempt,))

    async def decode(self, order: Order, kv: KvHandle) -> EventStream:
        """Have an engine import KV and decode the answer."""
        engine = await self._connect(order.endpoint.address)
        self.fleet.orders[order.endpoint.address] += 1
        handle = engines.KvReference(kv.engine, order.request, kv.blocks[0])
        try:
            chunks = await engine.decode(_to_engine_order(order), handle)
        except engines.OrderRefusedError as error:
            raise EndpointRefusedError(error.code, error.code == "leaving") from error
        return FakeStream(chunks, order, self.fleet)

    async def resume(self, order: Order) -> EventStream:
        """Read a stream again from the order's position."""
        engine = await self._connect(order.endpoint.address)
        try:
            chunks = await engine.resume(order.request, order.attempt, order.position)
        except engines.OrderRefusedError as error:
            raise EndpointRefusedError(error.code) from error
        return FakeStream(chunks, order, self.fleet)

    async def cancel(self, address: str, request: str, attempt: int) -> None:
        """Cancel all work of a request up to an attempt."""
        try:
            (await self._connect(address)).cancel(request, attempt)
        except engines.OrderRefusedError as error:
            raise EndpointError("engine did not accept the cancel") from error

    async def send_command(self, endpoint: Endpoint, order: FencedCommand) -> None:
        """Raise an error, since no scenario sends commands to endpoints."""
        raise NotImplementedError("FakeClient does not support commands to endpoints")

    async def fetch_report(self, endpoint: Endpoint, role: Role, after: int) -> EndpointReport:
        """Return the load and the cache events of an endpoint."""
        address = endpoint.address
        if self.dead or address in self.fleet.dead or address in self.fleet.unreported_addresses:
            raise EndpointError("endpoint sends no load report")
        await trio.sleep(LATENCY_S)
        if address in self.fleet.services:
            data: Mapping[str, Any] = {"leaving": self.fleet.services[address].leaving}
        else:
            engine = self.fleet.engine(address)
            data = engine.report() | engine.cache_events(after)
        report = parse_load_report(endpoint, role, data)
        if self.stale_reports:
            report = report._replace(leaving=False)
        return EndpointReport(report, parse_cache_update(data, after))

    async def call(
        self, endpoint: Endpoint, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> PlainAnswer:
        """Call a plain service."""
        address = endpoint.address
        if self.dead:
            await trio.sleep_forever()
        failure_moment = self.fleet.call_failures.get(address, "")
        if failure_moment == "before" or address in self.fleet.dead:
            raise EndpointUnreachableError("endpoint is unreachable")
        if failure_moment == "during":
            raise OutcomeUnknownError("connection failed while the call was sent")
        key = headers.get("idempotency-key", f"{method} {path}")
        service = self.fleet.services[address]
        answer = await service.execute(method, path, key, body)
        if failure_moment == "after":
            raise OutcomeUnknownError("connection failed after the call ran")
        return PlainAnswer(service.status, {"content-type": "text/plain"}, answer)

    async def _run_until_death(
        self, address: str, work: Awaitable[engines.KvReference]
    ) -> engines.KvReference:
        """Await work at an endpoint until it ends or the endpoint dies."""
        death = self.fleet.death_events.setdefault(address, trio.Event())
        results: list[engines.KvReference | engines.OrderRefusedError] = []

        async def wait_for_work() -> None:
            try:
                results.append(await work)
            except engines.OrderRefusedError as error:
                results.append(error)
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait_for_work)
            await death.wait()
            nursery.cancel_scope.cancel()
        if not results:
            raise OutcomeUnknownError("died")
        if isinstance(results[0], engines.OrderRefusedError):
            error = results[0]
            raise EndpointRefusedError(error.code, error.code == "leaving") from error
        return results[0]


class FakeStream(EventStream):
    """Stream of an engine in this process; breaks when the engine dies."""

    def __init__(self, chunks: AsyncIterator[engines.Chunk], order: Order, fleet: Fleet) -> None:
        self._chunks = chunks
        self._order = order
        self._fleet = fleet
        self._end_event: StreamEvent | None = None

    def take_buffered(self) -> StreamEvent | None:
        """Return the end event if the last chunk has been read."""
        return self._end_event

    async def read(self) -> StreamEvent:
        """Read the next event."""
        address = self._order.endpoint.address
        try:
            chunk = await anext(self._chunks)
        except (StopAsyncIteration, engines.OrderRefusedError) as error:
            raise StreamBrokenError("ended") from error
        if address in self._fleet.dead:
            raise StreamBrokenError("died")
        if chunk.last:
            self._end_event = StreamEvent(chunk.owner, chunk.position + 1, b"[DONE]", True)
        data = encode_event_data(chunk, self._order.is_chat, str(self._order.body["model"]))
        return StreamEvent(chunk.owner, chunk.position, data, False)

    async def close(self) -> None:
        """Close the stream."""
        await self._chunks.aclose()  # type: ignore[attr-defined]


def _to_engine_order(order: Order) -> engines.Order:
    prompt = extract_prompt(order.body, order.is_chat).decode()
    max_tokens = order.body["max_tokens"]
    return engines.Order(
        order.request, order.attempt, prompt, max_tokens, order.position, order.generated_text
    )


class FakePlatform(Platform):
    """Platform stand-in in this process, as seen by one instance.

    Attributes:
        cut: Whether this instance cannot reach the platform.
    """

    def __init__(self, platform: PlatformStandin) -> None:
        self._platform = platform
        self.cut = False

    async def read(self, kind: DocumentKind) -> Document | None:
        """Read the newest revision of a document."""
        await trio.sleep(LATENCY_S)
        self._check_available()
        return _to_document(self._platform.read(kind.value))

    async def watch(self, kind: DocumentKind, after: int) -> Document | None:
        """Wait for a revision other than ``after``."""
        self._check_available()
        document = await self._platform.watch(kind.value, after, 10.0)
        self._check_available()
        return _to_document(document)

    def _check_available(self) -> None:
        self._platform.call_count += 1
        if self._platform.down or self.cut:
            raise PlatformError("down")


def _to_document(data: dict[str, Any] | None) -> Document | None:
    return None if data is None else Document(data["revision"], data["value"])


class Network:
    """Carries messages between the instances in this process.

    Attributes:
        links: Links by address.
        disconnected_pairs: Pairs of addresses that cannot reach each other.
        lost_message_kinds: Kinds of messages that are lost.
    """

    def __init__(self) -> None:
        self.links: dict[str, FakeLink] = {}
        self.disconnected_pairs: set[frozenset[str]] = set()
        self.lost_message_kinds: set[str] = set()

    def disconnect(self, left: list[str], right: list[str]) -> None:
        """Disconnect each address of one side from each address of the other."""
        self.disconnected_pairs |= {frozenset((a, b)) for a in left for b in right}

    def is_connected(self, sender: str, receiver: str) -> bool:
        """Check that both instances are alive and the connection between them works."""
        links = self.links
        alive = all(name in links and not links[name].dead for name in (sender, receiver))
        return alive and frozenset((sender, receiver)) not in self.disconnected_pairs


class FakeLink(PeerLink):
    """Link of an instance to its peers in this process.

    Attributes:
        dead: Whether the instance is dead.
        peers: Answers the requests of peers; set after the entry is created.
    """

    def __init__(self, network: Network, address: str) -> None:
        self._network = network
        self._address = address
        self._inbox_sender, self._inbox_receiver = trio.open_memory_channel[tuple[bytes, str]](1000)
        self.dead = False
        self.peers: Peers | None = None
        network.links[address] = self

    @property
    def address(self) -> str:
        """Address at which this instance receives messages."""
        return self._address

    def send(self, address: str, data: bytes) -> None:
        """Send a message to a peer; it may be lost."""
        message = decode_message(data)
        assert message is not None
        lost = message.kind in self._network.lost_message_kinds
        if not lost and self._network.is_connected(self._address, address):
            link = self._network.links[address]
            link._inbox_sender.send_nowait((data, self._address))

    async def receive(self) -> tuple[Message | None, str]:
        """Receive a message and its sender's address."""
        data, sender = await self._inbox_receiver.receive()
        return decode_message(data), sender

    async def send_request(self, address: str, path: str, body: bytes) -> bytes:
        """Send a request to a peer and wait for the response.

        Raises:
            PeerUnreachableError: The peer cannot be reached.
        """
        await trio.sleep(LATENCY_S)
        if not self._network.is_connected(self._address, address):
            raise PeerUnreachableError("peer is unreachable")
        peers = self._network.links[address].peers
        assert peers is not None
        return await peers.handle_request(path, body)


class Caller:
    """Caller of an ASGI app in this process, which can disconnect at any time.

    Attributes:
        withhold_body: Whether the request's body is never sent.
        receive_delay_s: Delay before each message of the response is received, in seconds.
        response_ended_at: Time at which the response ended; infinite before that.
        sent_at: Time at which the request was sent; infinite before that.
        token_times: Times at which tokens were received.
        status: Status of the response; 0 before it arrives.
        headers: Headers of the response, with names in lower case.
        body: Body received up to now.
        changed: Is set, and replaced by a new event, at each message of the response.
    """

    def __init__(self, app: Any) -> None:
        self._app = app
        self._disconnected = trio.Event()
        self._body_sent = False
        self.withhold_body = False
        self.receive_delay_s = 0.0
        self.response_ended_at = math.inf
        self.sent_at = math.inf
        self.token_times: list[float] = []
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.changed = trio.Event()

    def disconnect(self) -> None:
        """Disconnect."""
        self._disconnected.set()

    async def request(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> "Caller":
        """Send a request and receive its response."""
        encoded_headers = [
            (name.lower().encode(), value.encode()) for name, value in headers.items()
        ]
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
            "headers": [(b"content-length", str(len(body)).encode()), *encoded_headers],
            "client": ("127.0.0.1", 1),
            "server": ("127.0.0.1", 80),
            "state": {},
            "extensions": {},
        }

        async def receive() -> dict[str, Any]:
            if not self._body_sent and not self.withhold_body:
                self._body_sent = True
                return {"type": "http.request", "body": body, "more_body": False}
            await self._disconnected.wait()
            return {"type": "http.disconnect"}

        self.sent_at = trio.current_time()
        await self._app(scope, receive, self._handle_message)
        return self

    async def _handle_message(self, message: dict[str, Any]) -> None:
        await trio.sleep(self.receive_delay_s)
        if message["type"] == "http.response.body" and not message.get("more_body", False):
            self.response_ended_at = trio.current_time()
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = {k.decode().lower(): v.decode() for k, v in message["headers"]}
        elif message["type"] == "http.response.body" and not self._disconnected.is_set():
            self.body += message.get("body", b"")
            self.token_times += [trio.current_time()] * message.get("body", b"").count(b"id: ")
        self.changed.set()
        self.changed = trio.Event()

    @property
    def event_ids(self) -> list[int]:
        """Ids of the events received."""
        lines = self.body.decode().splitlines()
        return [int(line[4:]) for line in lines if line.startswith("id: ")]

    @property
    def end_mark_count(self) -> int:
        """Number of ``[DONE]`` events received."""
        return self.body.count(b"data: [DONE]")

    @property
    def text(self) -> str:
        """Text of the events received."""
        lines = self.body.decode().splitlines()
        data = [msgspec.json.decode(line[6:]) for line in lines if line.startswith("data: {")]
        return "".join(item["choices"][0]["text"] for item in data if "choices" in item)

    @property
    def error(self) -> dict[str, Any]:
        """Error object of a refusal's body."""
        return dict(msgspec.json.decode(self.body)["error"])
