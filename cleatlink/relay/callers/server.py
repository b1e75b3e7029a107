"""Serves HTTP/1.1 connections of callers, on h11 and trio.

Not hypercorn: it writes methods in capitals, loses the ``?`` of an empty query
and takes up upgrades on its own, and a relay has to pass requests as they are.
h11 is hypercorn's own parser, so what is accepted is the same.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable

import h11
import trio

from cleatlink.core.routes import CallerLimits, Headers
from cleatlink.relay.callers.targets import to_origin_form
from cleatlink.relay.callers.unread import UnreadAnswer
from cleatlink.relay.exchange import AnswerStream, Exchange, RawRequest
from cleatlink.relay.sockets import quicken
from cleatlink.routing.held_bytes import HeldBytes, HeldKind

__all__ = ["Handler", "serve_connections"]

# Bytes read at a time: what a socket's buffer usually holds.
_READ_BYTES = 65_536
# Bytes of a caller's next request that are read before its first is answered.
_READ_AHEAD_BYTES = 65_536
# The kernel gives a caller up that acknowledges nothing for so long.
_CALLER_SILENCE_S = 6.0
# Heads up to this size are read even if a table allows less, to answer them properly.
_MIN_HEAD_BYTES = 16_384
# Bytes of a head that its limit does not count: method, version and blanks.
_FRAME_BYTES = 1_024
# What is held for the callers of a listener that has no limit of its own.
_DEFAULT_HELD_BYTES = 33_554_432
# A body that finds no memory waits so long for some: answers are read within that, as a rule.
_MEMORY_WAIT_S = 1.0
_MEMORY_LOOK_S = 0.02
_LINE_ENDS = b"\r\n"
# Status of a request that was not read for want of memory.
_BUSY = 503
# Pause after an accept failed, as when descriptors run out.
_ACCEPT_PAUSE_S = 0.05


class _BadRequestError(Exception):
    """What was sent is no request that can be served."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class Handler(ABC):
    """What serves requests."""

    @property
    @abstractmethod
    def limits(self) -> CallerLimits:
        """Limits in force now."""

    @property
    @abstractmethod
    def closing(self) -> bool:
        """Whether answers ask callers to close their connection."""

    def keeps_body(self, target: bytes, headers: Headers) -> bool:
        """Tell by its head whether a request may be served; otherwise its body is not kept."""
        return True

    @abstractmethod
    async def handle(self, exchange: Exchange) -> None:
        """Serve one request; cancelled when the caller is gone."""

    @abstractmethod
    async def refuse(self, exchange: Exchange, status: int) -> None:
        """Answer what could not be read as a request."""


class CallerConnection(AnswerStream):
    """One connection of a caller."""

    def __init__(self, stream: trio.SocketStream, handler: Handler, held: HeldBytes) -> None:
        self._stream = stream
        self._handler = handler
        self._held = held
        self._body_bytes = 0
        self._unread = UnreadAnswer(stream, held)
        self._spawn: Callable[..., None] | None = None
        self._http = self._open_cycle(b"")
        self._ended = False

    async def run(self) -> None:
        """Serve until either side closes."""
        try:
            while await self._serve_one():
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            return
        finally:
            self._give_body_back()
            self._unread.close()

    def _open_cycle(self, data: bytes) -> h11.Connection:
        """Give the protocol of one request, under the limits in force now.

        Args:
            data: What was received of the request.
        """
        size = max(self._handler.limits.header_bytes, _MIN_HEAD_BYTES) + _FRAME_BYTES
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=size)
        if data:
            http.receive_data(data)
        return http

    def _give_body_back(self) -> None:
        """Note that the request's body is held no longer."""
        self._held.remove(HeldKind.REQUEST_BODIES, self._body_bytes)
        self._body_bytes = 0

    async def _serve_one(self) -> bool:
        """Serve one request; tells whether another may follow."""
        try:
            request = await self._read_request()
        except _BadRequestError as error:
            await self._refuse(error.status)
            return False
        if request is None:
            return False
        exchange = Exchange(self, request)
        await self._handle(exchange)
        self._give_body_back()
        if not exchange.ended or self._ended:
            return False
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    async def _handle(self, exchange: Exchange) -> None:
        """Run the handler; end it when the caller closes."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, nursery.cancel_scope)
            self._spawn = nursery.start_soon
            try:
                await self._handler.handle(exchange)
            except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
                self._ended = True
            finally:
                self._spawn = None
            nursery.cancel_scope.cancel()

    async def _watch(self, scope: trio.CancelScope) -> None:
        """Cancel the handler when the caller closes; keep what it sends ahead."""
        size = 0
        while size < _READ_AHEAD_BYTES:
            try:
                data = await self._stream.receive_some(_READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                self._ended = True
                scope.cancel()
                return
            size += len(data)
            self._http.receive_data(data)

    async def _read_request(self) -> RawRequest | None:
        """Read a request; None when the caller closed or was idle for too long."""
        head = await self._read_head()
        if head is None:
            return None
        size = sum(len(name) + len(value) + 4 for name, value in head.headers)
        if size + len(head.target) > self._handler.limits.header_bytes:
            raise _BadRequestError(431)
        target, headers = to_origin_form(head.target, tuple(head.headers.raw_items()))
        keeps = not self._has_body(head) or self._handler.keeps_body(target, headers)
        body = b""
        if keeps or not self._http.they_are_waiting_for_100_continue:
            body = await self._read_body(keeps)
        return RawRequest(head.method, target, headers, body, is_whole=keeps)

    @staticmethod
    def _has_body(head: h11.Request) -> bool:
        return any(name in (b"content-length", b"transfer-encoding") for name, _ in head.headers)

    async def _read_head(self) -> h11.Request | None:
        """Read a head; None when the caller closed or was idle for too long."""
        data = await self._receive_first()
        if not data:
            return None
        self._http = self._open_cycle(data)
        began_at = trio.current_time()
        while True:
            event = self._next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            more = await self._receive(began_at + self._handler.limits.header_timeout_s)
            if more is None:
                raise _BadRequestError(408)
            self._feed(more)

    async def _receive_first(self) -> bytes | None:
        """Wait for the first bytes of a request; None or empty when the caller was idle or closed.

        Empty lines before a request are none of it: some callers send one after a body.
        """
        idle_from = trio.current_time()
        first = self._http.trailing_data[0].lstrip(_LINE_ENDS)
        while not first:
            data = await self._receive_while_idle(idle_from)
            if not data:
                return data
            first = data.lstrip(_LINE_ENDS)
        return first

    async def _receive_while_idle(self, idle_from: float) -> bytes | None:
        while True:
            limit_s = self._handler.limits.idle_timeout_s
            data = await self._receive(idle_from + limit_s)
            # A new table may have raised the limit meanwhile.
            if data is not None or self._handler.limits.idle_timeout_s <= limit_s:
                return data

    async def _read_body(self, keeps: bool) -> bytes:
        """Read a body; one that is not kept is read past, so that its caller reads the answer."""
        parts: list[bytes] = []
        size = 0
        if self._http.they_are_waiting_for_100_continue:
            await self.send_event(h11.InformationalResponse(status_code=100, headers=[]))
        while True:
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if isinstance(event, h11.Data):
                if keeps:
                    await self._hold_body(len(event.data))
                    parts.append(bytes(event.data))
                size += len(event.data)
                if size > self._handler.limits.body_bytes:
                    raise _BadRequestError(413)
                continue
            if event is not h11.NEED_DATA:
                raise _BadRequestError(400)
            data = await self._receive(trio.current_time() + self._handler.limits.idle_timeout_s)
            if data is None:
                raise _BadRequestError(408)
            self._feed(data)

    async def _hold_body(self, count: int) -> None:
        """Count a part of a body; without memory for it the caller waits, or is refused.

        Raises:
            _BadRequestError: There was no memory in time. The request has not run.
        """
        until = trio.current_time() + _MEMORY_WAIT_S
        while not self._held.admits_body(count):
            if trio.current_time() >= until:
                raise _BadRequestError(_BUSY)
            await trio.sleep(_MEMORY_LOOK_S)
        self._held.add(HeldKind.REQUEST_BODIES, count)
        self._body_bytes += count

    async def _receive(self, until: float) -> bytes | None:
        """Read more; None when nothing came until then."""
        with trio.move_on_at(until):
            return bytes(await self._stream.receive_some(_READ_BYTES))
        return None

    def _feed(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
        except RuntimeError as error:
            raise trio.BrokenResourceError from error

    def _next_event(self) -> object:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise _BadRequestError(error.error_status_hint) from error

    async def _refuse(self, status: int) -> None:
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        exchange = Exchange(self, RawRequest(b"GET", b"/", (), b""))
        self._ended = True
        await self._handler.refuse(exchange, status)

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of an answer."""
        listed = list(headers)
        if self._handler.closing or self._ended:
            listed.append((b"Connection", b"close"))
        await self.send_event(h11.Response(status_code=status, headers=listed))

    async def send_event(self, event: h11.Event) -> None:
        """Send a part of an answer."""
        data = self._http.send(event)
        if data:
            await self._unread.send(data, self._spawn)
        if isinstance(event, h11.EndOfMessage):
            await self._unread.flush()


async def serve_connections(
    listener: trio.SocketListener, handler: Handler, held: HeldBytes | None = None
) -> None:
    """Accept and serve connections until cancelled.

    Args:
        listener: Where callers connect.
        handler: Serves their requests.
        held: Counts what is held for them; by default they have an account of their own.
    """
    held = HeldBytes(_DEFAULT_HELD_BYTES) if held is None else held
    try:
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    stream = await listener.accept()
                except OSError:
                    # Out of descriptors, or a connection that is gone again.
                    await trio.sleep(_ACCEPT_PAUSE_S)
                    continue
                nursery.start_soon(_serve_connection, stream, handler, held)
    finally:
        listener.socket.close()


async def _serve_connection(stream: trio.SocketStream, handler: Handler, held: HeldBytes) -> None:
    try:
        quicken(stream.socket, _CALLER_SILENCE_S)
        await CallerConnection(stream, handler, held).run()
    except OSError:
        return
    finally:
        stream.socket.close()
