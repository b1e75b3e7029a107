"""One HTTP/1.1 connection to an endpoint, on h11 and trio.

A client library hides three things that the promises need: whether a byte of
the request can have left, whether bytes follow the answer, and the request
line as the caller wrote it. h11, which those libraries use, shows all three.
"""

import math
from collections.abc import Callable

import h11
import trio

from cleatlink.core.errors import (
    EndpointSilentError,
    EndpointUnreachableError,
    OutcomeUnknownError,
    StreamBrokenError,
)
from cleatlink.relay.endpoints.protocol import OutgoingRequest, ReplyHead
from cleatlink.relay.endpoints.unacknowledged import count_unacknowledged
from cleatlink.relay.sockets import connect
from cleatlink.relay.tasks import run_watched
from cleatlink.routing.uploads import TakenBytes, Upload

__all__ = ["EndpointConnection"]

# Bytes read at a time: what a socket's buffer usually holds.
_READ_BYTES = 65_536
# Far above the longest head that an endpoint writes.
_MAX_HEAD_BYTES = 65_536
# A body up to this size fits the socket's buffer, so that sending it cannot block for long.
_SMALL_BODY_BYTES = 16_384
# A long body is handed to the kernel in parts of this size.
_PART_BYTES = 16_384
# How soon it is looked at whether a long body has been taken, doubled each time up to the longest.
_FIRST_LOOK_S = 0.001
_LONGEST_LOOK_S = 0.02


class EndpointConnection:
    """A connection that carries one exchange at a time."""

    def __init__(
        self,
        stream: trio.SocketStream,
        opened_at: float,
        on_head: Callable[[ReplyHead], None] | None = None,
        on_send: Callable[[], None] | None = None,
    ) -> None:
        self._on_send = on_send
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._sent_whole = True
        # Bytes of the request that the kernel has accepted.
        self._accepted = 0
        self._keep_alive_s: float | None = None
        self._on_head = on_head
        self._on_bytes: Callable[[], None] | None = None
        self._status = 0
        self.idle_since = opened_at

    @classmethod
    async def open(
        cls,
        address: str,
        silence_s: float,
        timeout_s: float,
        on_head: Callable[[ReplyHead], None] | None = None,
        on_send: Callable[[], None] | None = None,
    ) -> "EndpointConnection":
        """Open a connection.

        Args:
            address: IP number and port.
            silence_s: Seconds after which data that is not acknowledged breaks it.
            timeout_s: Seconds in which it has to come up.
            on_head: Told of the head of each answer, and of headers that follow a body.
            on_send: Told of each request that is sent.

        Raises:
            EndpointUnreachableError: It did not come up.
        """
        host, _, port = address.rpartition(":")
        try:
            with trio.fail_after(timeout_s):
                stream = await connect(host, int(port), silence_s)
        except (OSError, trio.TooSlowError) as error:
            raise EndpointUnreachableError(f"{address}: {error!r}") from error
        return cls(stream, trio.current_time(), on_head, on_send)

    @property
    def usable(self) -> bool:
        """Whether the connection is idle and nothing has arrived on it."""
        return self._http.our_state is h11.IDLE and self.is_quiet

    @property
    def is_quiet(self) -> bool:
        """Whether the connection is open, and nothing waits to be read from it, nor its end."""
        try:
            return not self._stream.socket.is_readable()
        except (OSError, ValueError):
            return False

    async def wait_readable(self) -> None:
        """Wait until something, or the end, can be read; also when it is closed meanwhile."""
        try:
            await trio.lowlevel.wait_readable(self._stream.socket.fileno())
        except (OSError, ValueError, trio.ClosedResourceError):
            return

    def may_be_idle(self, now: float, limit_s: float) -> bool:
        """Tell whether the other side still keeps the connection open."""
        if self._keep_alive_s is not None:
            limit_s = min(limit_s, self._keep_alive_s - 1.0)
        return now - self.idle_since < limit_s

    async def exchange(
        self,
        request: OutgoingRequest,
        on_bytes: Callable[[], None] | None = None,
        upload: Upload | None = None,
    ) -> ReplyHead:
        """Send a request and read the head of its answer.

        Args:
            request: The request.
            on_bytes: Told each time that bytes of the answer came, also of its body.
            upload: Told how far a long body has come.

        Raises:
            OutcomeUnknownError: No answer came, or bytes that are none.
        """
        self._on_bytes = on_bytes
        if self._on_send is not None:
            self._on_send()
        try:
            head = self._http.send(
                h11.Request(
                    method=request.method,
                    target=request.target,
                    headers=list(request.headers),
                )
            )
            body = self._http.send(h11.Data(data=request.body)) if request.body else b""
            end = self._http.send(h11.EndOfMessage())
            data = (head or b"") + (body or b"") + (end or b"")
            if len(request.body) <= _SMALL_BODY_BYTES:
                await self._stream.send_all(data)
                return await self._read_head()
            return await self._send_and_read(data, upload)
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError) as error:
            raise OutcomeUnknownError(repr(error)) from error

    async def _send_and_read(self, data: bytes, upload: Upload | None) -> ReplyHead:
        """Send a long request while reading: the answer may come before its end."""
        self._sent_whole, self._accepted = False, 0
        if upload is not None:
            upload.begin(len(data), trio.current_time())
        head = await run_watched(self._read_head, lambda _: self._send_long(data, upload))
        assert head is not None, "sending does not end the reading"
        return head

    async def _send_long(self, data: bytes, upload: Upload | None) -> None:
        """Send a long request, and follow it until the other side has all of it."""
        async with trio.open_nursery() as nursery:
            if upload is not None:
                nursery.start_soon(self._follow, upload)
            try:
                for begin in range(0, len(data), _PART_BYTES):
                    part = data[begin : begin + _PART_BYTES]
                    await self._stream.send_all(part)
                    self._accepted += len(part)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # The answer, if there is one, can still be read.
                nursery.cancel_scope.cancel()
                return
            self._sent_whole = True

    async def _follow(self, upload: Upload) -> None:
        """Have an upload know how far it has come, until the other side has all of it."""
        pause_s = _FIRST_LOOK_S
        while not upload.is_whole:
            await trio.sleep(pause_s)
            upload.note_taken(self._count_taken(), trio.current_time())
            pause_s = min(_LONGEST_LOOK_S, 2 * pause_s)

    def _count_taken(self) -> TakenBytes:
        """Give what the other side has of the request."""
        file_number = self._stream.socket.fileno()
        waiting = count_unacknowledged(file_number) if file_number >= 0 else None
        if waiting is None:
            return TakenBytes(self._accepted, False)
        # The kernel may hold a part of what it has not accepted in full yet.
        return TakenBytes(max(0, self._accepted - waiting), True)

    async def _read_head(self) -> ReplyHead:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                return self._note_head(event)
            raise OutcomeUnknownError("the connection ended before an answer")

    def _note_head(self, event: h11.Response) -> ReplyHead:
        head = ReplyHead(event.status_code, tuple(event.headers.raw_items()))
        keep_alive = head.get(b"keep-alive") or b""
        for item in keep_alive.split(b","):
            name, _, value = item.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self._keep_alive_s = float(value)
        self._status = head.status
        self._tell(head)
        return head

    def _tell(self, head: ReplyHead) -> None:
        if self._on_head is not None:
            self._on_head(head)

    async def read_chunk(self) -> bytes | None:
        """Read more of the answer's body; None at its proper end.

        Raises:
            StreamBrokenError: The connection ended or reset before that.
        """
        try:
            event = await self._next_event()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError) as error:
            raise StreamBrokenError(repr(error)) from error
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            if event.headers:
                self._tell(ReplyHead(self._status, tuple(event.headers.raw_items())))
            return None
        raise StreamBrokenError("the connection ended within the answer")

    async def read_body(self, most_bytes: int, *, silence_s: float = math.inf) -> bytes:
        """Read the whole body.

        Args:
            most_bytes: Longest body that is read.
            silence_s: Longest time without any byte of it.

        Raises:
            EndpointSilentError: Nothing came for ``silence_s``.
            StreamBrokenError: It broke off, or is longer than ``most_bytes``.
        """
        parts: list[bytes] = []
        size = 0
        while (chunk := await self._read_chunk_within(silence_s)) is not None:
            parts.append(chunk)
            size += len(chunk)
            if size > most_bytes:
                raise StreamBrokenError("the body is too long")
        return b"".join(parts)

    async def _read_chunk_within(self, silence_s: float) -> bytes | None:
        try:
            with trio.fail_after(silence_s):
                return await self.read_chunk()
        except trio.TooSlowError as error:
            raise EndpointSilentError(f"no byte of the answer for {silence_s} s") from error

    async def _next_event(self) -> object:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._stream.receive_some(_READ_BYTES)
            if data and self._on_bytes is not None:
                self._on_bytes()
            self._http.receive_data(data)

    def finish(self, now: float) -> bool:
        """End an exchange; tells whether the connection can be used again."""
        leftover = self._http.trailing_data[0]
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if not (done and self._sent_whole) or leftover:
            return False
        self._http.start_next_cycle()
        self.idle_since = now
        return True

    def close(self) -> None:
        """Close at once, without a wait."""
        self._stream.socket.close()
