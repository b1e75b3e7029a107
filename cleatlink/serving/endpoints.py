"""Endpoints' side: what an endpoint protocol must offer, and the one over HTTP.

Errors say what the request's memory needs: was the order never sent, refused,
or is its outcome unknown? Only a connection that was never made counts as
never sent; everything later may have left.
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

__all__ = [
    "EndpointClient",
    "EndpointReport",
    "EventStream",
    "HttpEndpointClient",
    "Order",
    "PlainAnswer",
    "StreamEvent",
    "read_cache_news",
    "read_report",
]

_MAX_CONNECTIONS = 1_000
_KEPT_CONNECTIONS = 32
# Endpoints that are listed are asked for reports all the time; one that is not
# may still be finishing streams, for as long as the longest deadline.
_POOL_LIFETIME_S = 7_200.0
_MAX_EVENT_BYTES = 1_000_000
_REPORT_TIMEOUT_S = 2.0
_DONE = b"[DONE]"
_UNSENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout, httpx.UnsupportedProtocol)
_HOP_HEADERS = frozenset(
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
    """One order to a model engine; ``position`` above 0 continues an answer."""

    endpoint: Endpoint
    request: str
    attempt: int
    body: Mapping[str, Any]
    chat: bool
    position: int
    text: str


class StreamEvent(NamedTuple):
    """One event of an engine's stream; ``owner`` is ``request.attempt``."""

    owner: str
    position: int
    data: bytes
    end: bool


class EndpointReport(NamedTuple):
    """An endpoint's answer to one question for its state."""

    load: LoadReport
    cache: CacheUpdate


class PlainAnswer(NamedTuple):
    """A plain service's answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class EventStream(ABC):
    """An open stream of a decode's events."""

    @abstractmethod
    def take_waiting(self) -> StreamEvent | None:
        """Take an event that has arrived already, without a wait."""

    @abstractmethod
    async def read(self) -> StreamEvent:
        """Read the next event.

        Raises:
            StreamBrokenError: The stream ended, or sent what is no event.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the stream; the engine may go on."""


class EndpointClient(ABC):
    """What the router asks of endpoints; another protocol is another subclass."""

    @abstractmethod
    async def prefill(self, order: Order) -> KvHandle:
        """Have a prompt's KV computed and kept for export."""

    @abstractmethod
    async def decode(self, order: Order, kv: KvHandle) -> EventStream:
        """Have KV imported and the answer decoded."""

    @abstractmethod
    async def resume(self, order: Order) -> EventStream:
        """Read a running decode again from the order's position."""

    @abstractmethod
    async def cancel(self, address: str, request: str, attempt: int) -> None:
        """Have everything of a request dropped up to an attempt."""

    @abstractmethod
    async def report(self, endpoint: Endpoint, role: Role, after: int) -> EndpointReport:
        """Ask for an endpoint's load, and for its cache events after a number."""

    @abstractmethod
    async def give_order(self, endpoint: Endpoint, order: FencedCommand) -> None:
        """Order a desired state.

        Raises:
            StaleFenceError: The endpoint checks fences and knows a higher one.
        """

    async def close_idle(self) -> None:
        """Close what has not been used for long."""
        await trio.lowlevel.checkpoint()

    @abstractmethod
    async def call(
        self, endpoint: Endpoint, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> PlainAnswer:
        """Call a plain service once."""


class HttpEventStream(EventStream):
    """Server-sent events over HTTP, split without parsing their data."""

    def __init__(self, response: httpx.Response) -> None:
        self._response = response
        # The transport's own iterator: the layers above it cost more than they
        # give, since events are neither compressed nor decoded here.
        assert isinstance(response.stream, httpx.AsyncByteStream)
        self._chunks = cast(AsyncGenerator[bytes, None], aiter(response.stream))
        self._buffer = b""
        self._events: deque[StreamEvent] = deque()

    def take_waiting(self) -> StreamEvent | None:
        """Take an event that has arrived already."""
        return self._events.popleft() if self._events else None

    async def read(self) -> StreamEvent:
        """Read the next event."""
        while not self._events:
            try:
                self._feed(await anext(self._chunks))
            except (StopAsyncIteration, httpx.HTTPError) as error:
                raise StreamBrokenError(f"stream ended: {error!r}") from error
        return self._events.popleft()

    async def close(self) -> None:
        """Close the connection."""
        await self._chunks.aclose()
        await self._response.aclose()

    def _feed(self, data: bytes) -> None:
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise StreamBrokenError("event is too large")
        for event in events:
            self._events.append(parse_event(event))


def parse_event(text: bytes) -> StreamEvent:
    """Parse one event of the form ``id: owner:position`` and ``data: ...``.

    Raises:
        StreamBrokenError: It has another form.
    """
    head, separator, data = text.partition(b"\ndata: ")
    owner, _, position = head.removeprefix(b"id: ").rpartition(b":")
    if not separator or not position.isdigit() or not head.startswith(b"id: "):
        raise StreamBrokenError("event has no id and data")
    return StreamEvent(owner.decode("latin-1"), int(position), data, data == _DONE)


class HttpEndpointClient(EndpointClient):
    """Engines in the field's usual JSON forms, and plain services, over HTTP."""

    def __init__(self, connect_timeout_s: float) -> None:
        self._timeout = httpx.Timeout(None, connect=connect_timeout_s, pool=connect_timeout_s)
        # Making a context is slow, and all clients can share one.
        self._ssl_context = ssl.create_default_context()
        # A pool for each endpoint: one that hangs can't use up the others'
        # connections, and a search in a pool stays short.
        self._clients: dict[str, httpx.AsyncClient] = {}
        self._used: dict[str, float] = {}
        # A kept connection may be closed by the endpoint just as a call leaves,
        # and then nobody knows whether it ran: calls get a connection each.
        self._fresh_client = self._make_client(kept=0)

    async def close(self) -> None:
        """Close all connections."""
        for client in (*self._clients.values(), self._fresh_client):
            await client.aclose()

    async def close_idle(self) -> None:
        """Close pools that nothing has used for longer than any request may take."""
        oldest = trio.current_time() - _POOL_LIFETIME_S
        for address in [address for address, at in self._used.items() if at < oldest]:
            del self._used[address]
            await self._clients.pop(address).aclose()

    def _client(self, address: str) -> httpx.AsyncClient:
        self._used[address] = trio.current_time()
        if address not in self._clients:
            self._clients[address] = self._make_client(kept=_KEPT_CONNECTIONS)
        return self._clients[address]

    def _make_client(self, kept: int) -> httpx.AsyncClient:
        limits = httpx.Limits(max_connections=_MAX_CONNECTIONS, max_keepalive_connections=kept)
        return httpx.AsyncClient(
            timeout=self._timeout, limits=limits, trust_env=False, verify=self._ssl_context
        )

    async def prefill(self, order: Order) -> KvHandle:
        """Have a prompt's KV computed and kept for export."""
        transfer = {"do_remote_decode": True, "do_remote_prefill": False}
        response = await self._post(order, transfer, max_tokens=1, stream=False)
        try:
            answer = msgspec.json.decode(await response.aread())
            handle = answer["kv_transfer_params"]
            return KvHandle(
                str(handle["remote_engine_id"]),
                str(handle["remote_host"]),
                int(handle["remote_port"]),
                tuple(int(block) for block in handle["remote_block_ids"]),
            )
        except httpx.HTTPError as error:
            raise OutcomeUnknownError(f"prefill answer lost: {error!r}") from error
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as error:
            raise OutcomeUnknownError(f"prefill answer not understood: {error!r}") from error
        finally:
            await response.aclose()

    async def decode(self, order: Order, kv: KvHandle) -> EventStream:
        """Have KV imported and the answer decoded."""
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
        """Read a running decode again from the order's position."""
        body = {
            "request": order.request,
            "attempt": order.attempt,
            "position": order.position,
            "chat": order.chat,
            "model": order.body.get("model"),
        }
        return HttpEventStream(await self._send(order.endpoint.address, "/v1/resume", body, {}))

    async def cancel(self, address: str, request: str, attempt: int) -> None:
        """Have everything of a request dropped up to an attempt."""
        body = {"request": request, "attempt": attempt}
        response = await self._send(address, "/v1/cancel", body, {})
        await response.aclose()

    async def report(self, endpoint: Endpoint, role: Role, after: int) -> EndpointReport:
        """Ask for an endpoint's load, and for its cache events after a number."""
        try:
            response = await self._client(endpoint.address).get(
                f"http://{endpoint.address}/load?events_after={after}", timeout=_REPORT_TIMEOUT_S
            )
            data = msgspec.json.decode(response.content)
            return EndpointReport(read_report(endpoint, role, data), read_cache_news(data, after))
        except (httpx.HTTPError, msgspec.MsgspecError, TypeError, ValueError) as error:
            raise EndpointError(f"no load report: {error!r}") from error

    async def give_order(self, endpoint: Endpoint, order: FencedCommand) -> None:
        """Order a desired state."""
        try:
            response = await self._send(endpoint.address, "/v1/orders", order._asdict(), {})
        except EndpointRefusedError as error:
            raise StaleFenceError(str(error)) from error
        await response.aclose()

    async def call(
        self, endpoint: Endpoint, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> PlainAnswer:
        """Call a plain service once."""
        kept = {name: value for name, value in headers.items() if name not in _HOP_HEADERS}
        try:
            response = await self._fresh_client.request(
                method, f"http://{endpoint.address}{path}", headers=kept, content=body
            )
        except _UNSENT as error:
            raise EndpointUnreachableError(repr(error)) from error
        except httpx.HTTPError as error:
            raise OutcomeUnknownError(repr(error)) from error
        if response.headers.get("x-ran") == "no":
            raise EndpointRefusedError(f"status {response.status_code}")
        answer_headers = {
            name: value for name, value in response.headers.items() if name not in _HOP_HEADERS
        }
        answer_headers.pop("content-encoding", None)
        return PlainAnswer(response.status_code, answer_headers, response.content)

    async def _post(
        self, order: Order, transfer: Mapping[str, Any], **changes: Any
    ) -> httpx.Response:
        body = {**order.body, **changes, "kv_transfer_params": transfer}
        if order.position:
            body["resume"] = {"position": order.position, "text": order.text}
        headers = {"X-Request-Id": order.request, "X-Attempt": str(order.attempt)}
        path = "/v1/chat/completions" if order.chat else "/v1/completions"
        return await self._send(order.endpoint.address, path, body, headers)

    async def _send(
        self, address: str, path: str, body: Mapping[str, Any], headers: Mapping[str, str]
    ) -> httpx.Response:
        """Send JSON and return once the answer's head is there."""
        client = self._client(address)
        request = client.build_request(
            "POST",
            f"http://{address}{path}",
            content=msgspec.json.encode(body),
            headers={"content-type": "application/json", **headers},
        )
        try:
            response = await client.send(request, stream=True)
        except _UNSENT as error:
            raise EndpointUnreachableError(repr(error)) from error
        except httpx.HTTPError as error:
            raise OutcomeUnknownError(repr(error)) from error
        if response.status_code == httpx.codes.OK:
            return response
        try:
            raise await _read_refusal(response)
        finally:
            await response.aclose()


async def _read_refusal(response: httpx.Response) -> EndpointError:
    """Tell a definite refusal from an answer that proves nothing."""
    try:
        error = msgspec.json.decode(await response.aread())["error"]
        if error["ran"] == "no":
            values = (value.encode() for value in response.headers.get_list("retry-after"))
            leaving = error["code"] == "leaving"
            return EndpointRefusedError(str(error["code"]), leaving, parse_backoff_s(values))
    except (httpx.HTTPError, msgspec.MsgspecError, KeyError, TypeError):
        pass
    return OutcomeUnknownError(f"status {response.status_code}")


def read_report(endpoint: Endpoint, role: Role, data: Mapping[str, Any]) -> LoadReport:
    """Read a report; a plain service gives little more than its leaving."""
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


def read_cache_news(data: Mapping[str, Any], after: int) -> CacheUpdate:
    """Read cache events; an endpoint without them has none.

    Numbers without a hole mean that nothing was lost. An endpoint that counts
    below what it told before was started anew, and its cache with it.
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
