"""Endpoint protocols: the interface that each protocol implements, and the protocol over HTTP.

The exceptions show whether an order was not sent, was refused, or has an unknown
outcome; retries and the release of endpoint memory depend on this. An order counts as
not sent only if the connection failed; after that, any byte may have been sent.

A response names no request, so it belongs to the request that its connection carries. Each order
and each call therefore has a connection of its own, on which no late copy of another response can
arrive. Only load reports use connections again.
"""

import ssl
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import AsyncGenerator, Mapping
from typing import Any, NamedTuple, cast

import httpx
import msgspec
import trio

from cleatlink.core.data import CacheUpdate, Endpoint, FencedCommand, KvHandle, LoadReport, Role
from cleatlink.core.errors import (
    EndpointError,
    EndpointRefusedError,
    EndpointUnreachableError,
    OutcomeUnknownError,
    StaleFenceError,
    StreamBrokenError,
)
from cleatlink.core.notices import parse_backoff_s
from cleatlink.serving.http_client import MAX_ANSWER_BYTES, create_client, read_body

__all__ = [
    "EndpointClient",
    "EndpointReport",
    "EventStream",
    "HttpEndpointClient",
    "Order",
    "PlainAnswer",
    "StreamEvent",
    "parse_cache_update",
    "parse_load_report",
]

# Connections per endpoint, and the idle ones among them that are kept open.
_MAX_CONNECTIONS = 1_000
_MAX_IDLE_CONNECTIONS = 32
# Pools of listed endpoints are never idle for long because reports are requested regularly. An
# endpoint that is no longer listed may be completing streams until the longest deadline.
_POOL_IDLE_TIMEOUT_S = 7_200.0
_MAX_EVENT_BYTES = 1_000_000
# Longest body of an error that is read, after decompression.
_MAX_ERROR_BYTES = 65_536
_REPORT_TIMEOUT_S = 2.0
_DONE_MARKER = b"[DONE]"
# Exceptions after which no byte of the request has been sent.
_CONNECT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)
# Exceptions for JSON that has another structure than expected.
_STRUCTURE_ERRORS = (LookupError, OverflowError, TypeError, ValueError)
# Headers that apply to one connection and are not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class Order(NamedTuple):
    """An order to a model engine.

    Attributes:
        endpoint: Endpoint that receives the order.
        request: Name of the request.
        attempt: Number of the attempt.
        body: The caller's request body.
        is_chat: Whether the request uses the chat API.
        position: Position from which the answer continues; 0 for a new answer.
        generated_text: Text of the answer before that position.
    """

    endpoint: Endpoint
    request: str
    attempt: int
    body: Mapping[str, Any]
    is_chat: bool
    position: int
    generated_text: str


class StreamEvent(NamedTuple):
    """One event of an engine's stream.

    Attributes:
        attempt_id: Request and attempt that the event belongs to, as ``request.attempt``.
        position: Position of the event in the answer.
        data: Content of the event.
        end: Whether this is the last event of the stream.
    """

    attempt_id: str
    position: int
    data: bytes
    end: bool


class EndpointReport(NamedTuple):
    """State that an endpoint reported: its load and its recent cache events."""

    load: LoadReport
    cache: CacheUpdate


class PlainAnswer(NamedTuple):
    """Response of a plain service."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class EventStream(ABC):
    """The open event stream of a decode."""

    @abstractmethod
    def take_buffered(self) -> StreamEvent | None:
        """Return the next event if it has already been received, else None; never blocks."""

    @abstractmethod
    async def read(self) -> StreamEvent:
        """Read the next event.

        Raises:
            StreamBrokenError: The stream ended or contains an invalid event.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the stream; the engine may continue to decode."""


class EndpointClient(ABC):
    """Interface to endpoints; each endpoint protocol has its own subclass."""

    @abstractmethod
    async def prefill(self, order: Order) -> KvHandle:
        """Have the engine compute a prompt's KV cache and keep it for export."""

    @abstractmethod
    async def decode(self, order: Order, kv: KvHandle) -> EventStream:
        """Have the engine import a KV cache and decode the answer."""

    @abstractmethod
    async def resume(self, order: Order) -> EventStream:
        """Open the stream of a running decode again, from the order's position."""

    @abstractmethod
    async def cancel(self, address: str, request: str, attempt: int) -> None:
        """Have an endpoint cancel all attempts of a request up to the given one."""

    @abstractmethod
    async def fetch_report(self, endpoint: Endpoint, role: Role, after: int) -> EndpointReport:
        """Request an endpoint's load, and its cache events with numbers above ``after``."""

    @abstractmethod
    async def send_command(self, endpoint: Endpoint, command: FencedCommand) -> None:
        """Order an endpoint to change to a desired state.

        Raises:
            StaleFenceError: The endpoint already accepted a command with a higher fencing token.
        """

    async def close_idle(self) -> None:
        """Close connections that have been idle for a long time."""
        await trio.lowlevel.checkpoint()

    @abstractmethod
    async def call(
        self, endpoint: Endpoint, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> PlainAnswer:
        """Send a call to a plain service, without retries."""


class HttpEventStream(EventStream):
    """Server-sent events over HTTP, separated without decoding their data."""

    def __init__(self, response: httpx.Response) -> None:
        self._response = response
        # Reads from the transport directly: the layers above it cost processor time, and
        # their decompression and decoding are not needed here.
        assert isinstance(response.stream, httpx.AsyncByteStream)
        self._chunks = cast(AsyncGenerator[bytes, None], aiter(response.stream))
        self._buffer = b""
        self._events: deque[StreamEvent] = deque()

    def take_buffered(self) -> StreamEvent | None:
        """Return the next event if it has already been received, else None."""
        return self._events.popleft() if self._events else None

    async def read(self) -> StreamEvent:
        """Read the next event."""
        while not self._events:
            try:
                self._buffer_events(await anext(self._chunks))
            except (StopAsyncIteration, httpx.HTTPError) as error:
                raise StreamBrokenError(
                    f"event stream ended before its last event: {error!r}"
                ) from error
        return self._events.popleft()

    async def close(self) -> None:
        """Close the connection."""
        await self._chunks.aclose()
        await self._response.aclose()

    def _buffer_events(self, data: bytes) -> None:
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise StreamBrokenError("an event of the stream exceeds the maximum size")
        for event in events:
            self._events.append(parse_event(event))


def parse_event(text: bytes) -> StreamEvent:
    """Parse one event, which consists of ``id: attempt_id:position`` and ``data: ...``.

    Raises:
        StreamBrokenError: The event has another structure.
    """
    id_line, separator, data = text.partition(b"\ndata: ")
    attempt_id, _, position = id_line.removeprefix(b"id: ").rpartition(b":")
    if not separator or not position.isdigit() or not id_line.startswith(b"id: "):
        raise StreamBrokenError("event lacks an id with a position, or data")
    return StreamEvent(attempt_id.decode("latin-1"), int(position), data, data == _DONE_MARKER)


class _EndpointPools(NamedTuple):
    """Connections to one endpoint.

    Attributes:
        reports: For load reports; idle connections are used again.
        orders: For everything else; each connection is used once.
    """

    reports: httpx.AsyncClient
    orders: httpx.AsyncClient

    async def close(self) -> None:
        """Close all connections."""
        await self.reports.aclose()
        await self.orders.aclose()


class HttpEndpointClient(EndpointClient):
    """Model engines with an OpenAI-compatible JSON API, and plain services, over HTTP."""

    def __init__(self, connect_timeout_s: float) -> None:
        self._timeout = httpx.Timeout(None, connect=connect_timeout_s, pool=connect_timeout_s)
        # Creating a context is slow, so all clients share this one.
        self._ssl_context = ssl.create_default_context()
        # Each endpoint has its own pools, so that an endpoint that does not answer can't use up
        # the connections of others, and the search for a free connection is short.
        self._pools: dict[str, _EndpointPools] = {}
        self._last_used_at: dict[str, float] = {}
        # Each call of a plain service has a new connection: an endpoint may close an idle
        # connection while a call is being sent, and the outcome of the call is unknown then.
        self._unpooled_client = self._make_client(max_idle_connections=0)

    async def close(self) -> None:
        """Close all connections."""
        for pools in self._pools.values():
            await pools.close()
        await self._unpooled_client.aclose()

    async def close_idle(self) -> None:
        """Close pools that have been idle for longer than the longest request."""
        idle_since = trio.current_time() - _POOL_IDLE_TIMEOUT_S
        for address in [
            address for address, used_at in self._last_used_at.items() if used_at < idle_since
        ]:
            del self._last_used_at[address]
            await self._pools.pop(address).close()

    def _get_pools(self, address: str) -> _EndpointPools:
        self._last_used_at[address] = trio.current_time()
        if address not in self._pools:
            self._pools[address] = _EndpointPools(
                reports=self._make_client(max_idle_connections=_MAX_IDLE_CONNECTIONS),
                orders=self._make_client(max_idle_connections=0),
            )
        return self._pools[address]

    def _make_client(self, max_idle_connections: int) -> httpx.AsyncClient:
        limits = httpx.Limits(
            max_connections=_MAX_CONNECTIONS, max_keepalive_connections=max_idle_connections
        )
        return create_client(self._timeout, limits=limits, ssl_context=self._ssl_context)

    async def prefill(self, order: Order) -> KvHandle:
        """Have the engine compute a prompt's KV cache and keep it for export."""
        transfer = {"do_remote_decode": True, "do_remote_prefill": False}
        response = await self._post(order, transfer, max_tokens=1, stream=False)
        try:
            body = _decode_object(await read_body(response, MAX_ANSWER_BYTES))
            handle = body["kv_transfer_params"]
            return KvHandle(
                str(handle["remote_engine_id"]),
                str(handle["remote_host"]),
                int(handle["remote_port"]),
                tuple(int(block) for block in handle["remote_block_ids"]),
            )
        except httpx.HTTPError as error:
            raise OutcomeUnknownError(f"failed to read the prefill response: {error!r}") from error
        except _STRUCTURE_ERRORS as error:
            raise OutcomeUnknownError(
                f"prefill response has no valid kv_transfer_params: {error!r}"
            ) from error
        finally:
            await response.aclose()

    async def decode(self, order: Order, kv: KvHandle) -> EventStream:
        """Have the engine import a KV cache and decode the answer."""
        transfer = {
            "do_remote_decode": False,
            "do_remote_prefill": True,
            "remote_engine_id": kv.engine,
            "remote_host": kv.host,
            "remote_port": kv.port,
            "remote_block_ids": kv.blocks,
        }
        return HttpEventStream(await self._post(order, transfer, stream=True))

    async def resume(self, order: Order) -> EventStream:
        """Open the stream of a running decode again, from the order's position."""
        body = {
            "request": order.request,
            "attempt": order.attempt,
            "position": order.position,
            "chat": order.is_chat,
            "model": order.body.get("model"),
        }
        return HttpEventStream(await self._send(order.endpoint.address, "/v1/resume", body, {}))

    async def cancel(self, address: str, request: str, attempt: int) -> None:
        """Have an endpoint cancel all attempts of a request up to the given one."""
        body = {"request": request, "attempt": attempt}
        response = await self._send(address, "/v1/cancel", body, {})
        await response.aclose()

    async def fetch_report(self, endpoint: Endpoint, role: Role, after: int) -> EndpointReport:
        """Request an endpoint's load, and its cache events with numbers above ``after``."""
        try:
            async with self._get_pools(endpoint.address).reports.stream(
                "GET",
                f"http://{endpoint.address}/load?events_after={after}",
                timeout=_REPORT_TIMEOUT_S,
            ) as response:
                data = _decode_object(await read_body(response, MAX_ANSWER_BYTES))
            return EndpointReport(
                parse_load_report(endpoint, role, data), parse_cache_update(data, after)
            )
        except (httpx.HTTPError, *_STRUCTURE_ERRORS) as error:
            raise EndpointError(f"failed to read the load report: {error!r}") from error

    async def send_command(self, endpoint: Endpoint, command: FencedCommand) -> None:
        """Order an endpoint to change to a desired state."""
        try:
            response = await self._send(endpoint.address, "/v1/orders", command._asdict(), {})
        except EndpointRefusedError as error:
            raise StaleFenceError(str(error)) from error
        await response.aclose()

    async def call(
        self, endpoint: Endpoint, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> PlainAnswer:
        """Send a call to a plain service, without retries."""
        forwarded = {
            name: value for name, value in headers.items() if name not in _HOP_BY_HOP_HEADERS
        }
        try:
            async with self._unpooled_client.stream(
                method, f"http://{endpoint.address}{path}", headers=forwarded, content=body
            ) as response:
                return await _read_plain_answer(response)
        except _CONNECT_ERRORS as error:
            raise EndpointUnreachableError(repr(error)) from error
        except httpx.HTTPError as error:
            raise OutcomeUnknownError(repr(error)) from error

    async def _post(
        self, order: Order, transfer: Mapping[str, Any], **changes: Any
    ) -> httpx.Response:
        body = {**order.body, **changes, "kv_transfer_params": transfer}
        if order.position:
            body["resume"] = {"position": order.position, "text": order.generated_text}
        headers = {"X-Request-Id": order.request, "X-Attempt": str(order.attempt)}
        path = "/v1/chat/completions" if order.is_chat else "/v1/completions"
        return await self._send(order.endpoint.address, path, body, headers)

    async def _send(
        self, address: str, path: str, body: Mapping[str, Any], headers: Mapping[str, str]
    ) -> httpx.Response:
        """Send a JSON body and return the response as soon as its headers are received."""
        client = self._get_pools(address).orders
        request = client.build_request(
            "POST",
            f"http://{address}{path}",
            content=msgspec.json.encode(body),
            headers={"content-type": "application/json", **headers},
        )
        try:
            response = await client.send(request, stream=True)
        except _CONNECT_ERRORS as error:
            raise EndpointUnreachableError(repr(error)) from error
        except httpx.HTTPError as error:
            raise OutcomeUnknownError(repr(error)) from error
        if response.status_code == httpx.codes.OK:
            return response
        try:
            raise await _parse_error_response(response)
        finally:
            await response.aclose()


def _decode_object(data: bytes) -> dict[str, Any]:
    """Decode a JSON object.

    Raises:
        ValueError: The data isn't a JSON object.
    """
    try:
        return msgspec.json.decode(data, type=dict[str, Any])
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(f"not a JSON object: {error}") from error


async def _read_plain_answer(response: httpx.Response) -> PlainAnswer:
    """Read the answer of a plain service.

    Raises:
        EndpointRefusedError: The service refused the call.
        OutcomeUnknownError: The body is too large.
    """
    if response.headers.get("x-ran") == "no":
        raise EndpointRefusedError(f"endpoint refused the call with status {response.status_code}")
    body = await read_body(response, MAX_ANSWER_BYTES)
    headers = {
        name: value for name, value in response.headers.items() if name not in _HOP_BY_HOP_HEADERS
    }
    headers.pop("content-encoding", None)
    return PlainAnswer(response.status_code, headers, body)


async def _parse_error_response(response: httpx.Response) -> EndpointError:
    """Return the exception for an error response: a refusal, or an unknown outcome."""
    try:
        error = _decode_object(await read_body(response, _MAX_ERROR_BYTES))["error"]
        if error["ran"] == "no":
            values = (value.encode() for value in response.headers.get_list("retry-after"))
            leaving = error["code"] == "leaving"
            return EndpointRefusedError(str(error["code"]), leaving, parse_backoff_s(values))
    except (httpx.HTTPError, *_STRUCTURE_ERRORS):
        pass
    return OutcomeUnknownError(f"endpoint responded with status {response.status_code}")


def parse_load_report(endpoint: Endpoint, role: Role, data: Mapping[str, Any]) -> LoadReport:
    """Parse a load report; a plain service may report only whether it is leaving."""
    return LoadReport(
        endpoint.name,
        str(data.get("incarnation", "")),
        role,
        int(data.get("slots", 1)),
        int(data.get("running", 0)),
        int(data.get("waiting_tokens", 0)),
        int(data.get("memory_tokens", 0)),
        int(data.get("memory_free_tokens", 0)),
        bool(data.get("leaving", False)),
        max(1.0, float(data.get("prefill_tokens_per_s", 1.0))),
        int(data.get("fence", 0)),
    )


def parse_cache_update(data: Mapping[str, Any], after: int) -> CacheUpdate:
    """Parse the cache events of a load report; an endpoint may report none.

    Consecutive numbers show that no event was lost. If the last number is lower than
    ``after``, the endpoint has restarted with an empty cache.
    """
    events = data.get("cache_events", ())
    numbers = [int(event["number"]) for event in events]
    last = int(data.get("last_event", after))
    expected = range(after + 1, max(last, after) + 1)
    return CacheUpdate(
        tuple(int(event["prefix"]) for event in events if event["stored"]),
        tuple(int(event["prefix"]) for event in events if not event["stored"]),
        last,
        last < after or numbers != list(expected),
    )
