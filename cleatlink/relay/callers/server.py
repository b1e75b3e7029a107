"""Serves HTTP/1.1 connections of callers, on h11 and trio.

Hypercorn is not used: it converts methods to upper case, drops the ``?`` of an empty query
and accepts protocol upgrades itself, whereas a relay has to forward requests unchanged.
h11 is the parser that hypercorn uses, so the same requests are accepted.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable

import h11
import trio

from cleatlink.core.routes import CallerLimits, Headers
from cleatlink.relay.callers.answer_buffer import AnswerBuffer
from cleatlink.relay.callers.intake import CallerIntake
from cleatlink.relay.callers.targets import to_origin_form
from cleatlink.relay.exchange import AnswerStream, Exchange, RawRequest
from cleatlink.relay.sockets import accept_connections, set_connection_options
from cleatlink.routing.buffered_bytes import BufferedBytes, BufferKind

__all__ = ["Handler", "serve_connections"]

# Largest read from a socket: the usual size of a socket's buffer.
_MAX_READ_BYTES = 65_536
# Bytes of a caller's next requests that are read before the current one is answered.
_READ_AHEAD_BYTES = 65_536
# The kernel closes a connection whose caller acknowledges no data for this time.
_TCP_USER_TIMEOUT_S = 6.0
# Heads up to this size are read even if the limit is lower, so that they get an HTTP answer.
_MIN_HEAD_BYTES = 16_384
# Allowance for the bytes that the limit on heads does not count: method, version and spaces.
_UNCOUNTED_HEAD_BYTES = 1_024
# Memory limit for the callers of a listener that has no limit of its own.
_DEFAULT_MEMORY_LIMIT_BYTES = 33_554_432
# Longest wait of a body for memory: within it callers usually read answers, which frees some.
_MEMORY_WAIT_S = 1.0
# Interval between checks for free memory.
_MEMORY_POLL_S = 0.02
_LINE_ENDS = b"\r\n"
# Status of a request that was not read because memory was short.
_STATUS_BUSY = 503


class _BadRequestError(Exception):
    """The input is not a request that can be served."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class Handler(ABC):
    """Serves the requests of callers' connections."""

    @property
    @abstractmethod
    def limits(self) -> CallerLimits:
        """Limits in force now, for connections and requests."""

    @property
    @abstractmethod
    def asks_to_close(self) -> bool:
        """Whether answers ask callers to close their connection."""

    def should_store_body(self, target: bytes, headers: Headers) -> bool:
        """Check by its head whether a request may be served; if not, its body is discarded."""
        return True

    @abstractmethod
    async def handle(self, exchange: Exchange) -> None:
        """Serve one request; cancelled when the caller disconnects."""

    @abstractmethod
    async def refuse(self, exchange: Exchange, status: int) -> None:
        """Answer input that could not be parsed as a request."""


class CallerConnection(AnswerStream):
    """One connection of a caller."""

    def __init__(
        self,
        stream: trio.SocketStream,
        handler: Handler,
        memory: BufferedBytes,
        intake: CallerIntake | None = None,
    ) -> None:
        """Create a connection that was just accepted.

        Args:
            stream: The connection.
            handler: Serves its requests.
            memory: Counts the bytes held for the caller.
            intake: Records when the first request is read; None to record nothing.
        """
        self._stream = stream
        self._handler = handler
        self._memory = memory
        self._intake = intake
        self._accepted_at = trio.current_time()
        self._reserved_body_bytes = 0
        self._answer_buffer = AnswerBuffer(stream, memory)
        self._start_task: Callable[..., None] | None = None
        self._parser = self._create_parser(b"")
        self._must_close = False

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            while await self._serve_request():
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            return
        finally:
            self._release_body()
            self._answer_buffer.close()

    def _create_parser(self, data: bytes) -> h11.Connection:
        """Create the parser of one request, with the limits in force now.

        Args:
            data: The part of the request that has been received.
        """
        max_bytes = max(self._handler.limits.header_bytes, _MIN_HEAD_BYTES) + _UNCOUNTED_HEAD_BYTES
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=max_bytes)
        if data:
            parser.receive_data(data)
        return parser

    def _release_body(self) -> None:
        """Release the memory reserved for the request's body."""
        self._memory.remove(BufferKind.REQUEST_BODIES, self._reserved_body_bytes)
        self._reserved_body_bytes = 0

    async def _serve_request(self) -> bool:
        """Serve one request; return whether another may follow on the connection."""
        try:
            request = await self._read_request()
        except _BadRequestError as error:
            await self._refuse(error.status)
            return False
        if request is None:
            return False
        exchange = Exchange(self, request)
        await self._handle(exchange)
        self._release_body()
        if not exchange.ended or self._must_close:
            return False
        return self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE

    async def _handle(self, exchange: Exchange) -> None:
        """Run the handler; cancel it when the caller closes the connection."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_close, nursery.cancel_scope)
            self._start_task = nursery.start_soon
            try:
                await self._handler.handle(exchange)
            except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
                self._must_close = True
            finally:
                self._start_task = None
            nursery.cancel_scope.cancel()

    async def _cancel_on_close(self, scope: trio.CancelScope) -> None:
        """Cancel the handler when the caller closes; buffer requests sent ahead."""
        read_ahead_bytes = 0
        while read_ahead_bytes < _READ_AHEAD_BYTES:
            try:
                data = await self._stream.receive_some(_MAX_READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                self._must_close = True
                scope.cancel()
                return
            read_ahead_bytes += len(data)
            self._parser.receive_data(data)

    async def _read_request(self) -> RawRequest | None:
        """Read a request; return None if the caller closed or was idle for too long."""
        head = await self._read_head()
        if head is None:
            return None
        if self._intake is not None:
            self._intake.note_first_read(trio.current_time() - self._accepted_at)
            self._intake = None
        fields_bytes = sum(len(name) + len(value) + 4 for name, value in head.headers)
        if fields_bytes + len(head.target) > self._handler.limits.header_bytes:
            raise _BadRequestError(431)
        target, headers = to_origin_form(head.target, tuple(head.headers.raw_items()))
        is_stored = not self._has_body(head) or self._handler.should_store_body(target, headers)
        body = b""
        if is_stored or not self._parser.they_are_waiting_for_100_continue:
            body = await self._read_body(is_stored)
        return RawRequest(head.method, target, headers, body, is_body_complete=is_stored)

    @staticmethod
    def _has_body(head: h11.Request) -> bool:
        return any(name in (b"content-length", b"transfer-encoding") for name, _ in head.headers)

    async def _read_head(self) -> h11.Request | None:
        """Read a head; return None if the caller closed or was idle for too long."""
        data = await self._receive_request_start()
        if not data:
            return None
        self._parser = self._create_parser(data)
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
            self._feed_parser(more)

    async def _receive_request_start(self) -> bytes | None:
        """Wait for the first bytes of a request.

        Empty lines before a request are skipped: some callers send one after a body.

        Returns:
            The bytes; None if the caller was idle for too long, empty if it closed.
        """
        idle_from = trio.current_time()
        first = self._parser.trailing_data[0].lstrip(_LINE_ENDS)
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
            # A new route table may have raised the limit during the wait.
            if data is not None or self._handler.limits.idle_timeout_s <= limit_s:
                return data

    async def _read_body(self, is_stored: bool) -> bytes:
        """Read a body, or read and discard it so that its caller then reads the answer."""
        parts: list[bytes] = []
        size = 0
        if self._parser.they_are_waiting_for_100_continue:
            await self.send_event(h11.InformationalResponse(status_code=100, headers=[]))
        while True:
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if isinstance(event, h11.Data):
                if is_stored:
                    await self._reserve_body(len(event.data))
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
            self._feed_parser(data)

    async def _reserve_body(self, count: int) -> None:
        """Reserve memory for a part of a body, waiting for free memory if necessary.

        Raises:
            _BadRequestError: No memory was free in time. The request has not run.
        """
        until = trio.current_time() + _MEMORY_WAIT_S
        while not self._memory.may_buffer_body(count):
            if trio.current_time() >= until:
                raise _BadRequestError(_STATUS_BUSY)
            await trio.sleep(_MEMORY_POLL_S)
        self._memory.add(BufferKind.REQUEST_BODIES, count)
        self._reserved_body_bytes += count

    async def _receive(self, until: float) -> bytes | None:
        """Read from the connection; return None if nothing arrived before a time."""
        with trio.move_on_at(until):
            return bytes(await self._stream.receive_some(_MAX_READ_BYTES))
        return None

    def _feed_parser(self, data: bytes) -> None:
        try:
            self._parser.receive_data(data)
        except RuntimeError as error:
            raise trio.BrokenResourceError from error

    def _next_event(self) -> object:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            raise _BadRequestError(error.error_status_hint) from error

    async def _refuse(self, status: int) -> None:
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        exchange = Exchange(self, RawRequest(b"GET", b"/", (), b""))
        self._must_close = True
        await self._handler.refuse(exchange, status)

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of an answer."""
        all_headers = list(headers)
        if self._handler.asks_to_close or self._must_close:
            all_headers.append((b"Connection", b"close"))
        await self.send_event(h11.Response(status_code=status, headers=all_headers))

    async def send_event(self, event: h11.Event) -> None:
        """Send a part of an answer."""
        data = self._parser.send(event)
        if data:
            await self._answer_buffer.send(data, self._start_task)
        if isinstance(event, h11.EndOfMessage):
            await self._answer_buffer.flush()


async def serve_connections(
    listener: trio.SocketListener,
    handler: Handler,
    memory: BufferedBytes | None = None,
    intake: CallerIntake | None = None,
) -> None:
    """Accept and serve connections until cancelled.

    Args:
        listener: Accepts the connections.
        handler: Serves their requests.
        memory: Counts the bytes held for their callers; by default the listener has its own count.
        intake: Decides which connections are served, and counts them; None to serve all.
    """
    memory = BufferedBytes(_DEFAULT_MEMORY_LIMIT_BYTES) if memory is None else memory

    async def serve(stream: trio.SocketStream) -> None:
        connection = CallerConnection(stream, handler, memory, intake)
        if intake is None:
            await _serve_connection(stream, connection)
            return
        intake.note_opened()
        try:
            await _serve_connection(stream, connection)
        finally:
            intake.note_closed()

    admits = (lambda: True) if intake is None else intake.admits
    await accept_connections(listener, serve, admits)


async def _serve_connection(stream: trio.SocketStream, connection: CallerConnection) -> None:
    try:
        set_connection_options(stream.socket, _TCP_USER_TIMEOUT_S)
        await connection.run()
    except OSError:
        return
    finally:
        stream.socket.close()
