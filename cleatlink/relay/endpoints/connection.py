"""One HTTP/1.1 connection to an endpoint, on h11 and trio.

The relay's guarantees depend on three things that HTTP client libraries hide: whether any byte
of the request may have been sent, whether extra bytes follow the response, and the request line
exactly as the caller wrote it. h11, on which those libraries are built, exposes all three.
"""

import math
from collections.abc import Callable

import h11
import trio

from cleatlink.core.errors import (
    EndpointTimeoutError,
    OutcomeUnknownError,
    StreamBrokenError,
)
from cleatlink.relay.endpoints.attribution import ResponseAttribution, ResponseOwner
from cleatlink.relay.endpoints.protocol import OutgoingRequest, Protocol, ResponseHead
from cleatlink.relay.endpoints.received_head import ReceivedHead
from cleatlink.relay.endpoints.streams import EndpointStream, TcpConnector, connect_within
from cleatlink.relay.tasks import run_watched
from cleatlink.response_heads import InvalidHeadError, ResponseHeadChecker
from cleatlink.routing.buffered_bytes import BufferedBytes, BufferKind
from cleatlink.routing.uploads import AcceptedBytes, Upload

__all__ = ["EndpointConnection"]

# Far above the longest response head that an endpoint sends.
_MAX_HEAD_BYTES = 65_536
# Most interim responses, of status 1xx, before a response.
_MAX_INTERIM_RESPONSES = 8
# Most parts of received data, such as chunks, that are parsed between two runs of other tasks.
_MAX_PARTS_A_TURN = 32
# Longest body of an extra response that is skipped.
_MAX_EXTRA_BODY_BYTES = 1_048_576
# Longest wait of a response body for memory, and interval between checks, in seconds.
_MEMORY_WAIT_S = 1.0
_MEMORY_CHECK_INTERVAL_S = 0.05
# A body up to this size fits into the socket's buffer, so sending it cannot block for long.
_SMALL_BODY_BYTES = 16_384
# A long body is passed to the kernel in parts of this size.
_PART_BYTES = 16_384
# First and longest interval between checks of how much of a long body the endpoint has accepted;
# the interval doubles after each check.
_FIRST_CHECK_INTERVAL_S = 0.001
_MAX_CHECK_INTERVAL_S = 0.02


class EndpointConnection:
    """A connection that carries one request and its response at a time."""

    def __init__(
        self,
        stream: EndpointStream,
        opened_at: float,
        on_head: Callable[[ReceivedHead], None] | None = None,
        on_send: Callable[[], None] | None = None,
        protocol: Protocol | None = None,
    ) -> None:
        """Create a connection over an open stream.

        Args:
            stream: The stream to the endpoint.
            opened_at: Time at which it was opened.
            on_head: Called with the head of each response, and with trailers after a body.
            on_send: Called before each request is sent.
            protocol: Tells to which request a response belongs; None if responses name none.
        """
        self._on_send = on_send
        self._attribution = ResponseAttribution(protocol)
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._head_checker = ResponseHeadChecker()
        self._is_request_sent = True
        # Bytes of the request that this machine's kernel has accepted.
        self._accepted_bytes = 0
        self._keep_alive_s: float | None = None
        self._on_head = on_head
        self._on_bytes: Callable[[int], None] | None = None
        # Parts of received data that were parsed since other tasks could run.
        self._parts_in_turn = 0
        self._status = 0
        self.idle_since = opened_at

    @classmethod
    async def open(
        cls, address: str, ack_timeout_s: float, timeout_s: float
    ) -> "EndpointConnection":
        """Open a TCP connection.

        Args:
            address: IP address and port.
            ack_timeout_s: Seconds that sent data may stay unacknowledged before the connection
                fails.
            timeout_s: Seconds within which the connection must be established.

        Raises:
            EndpointUnreachableError: The connection was not established.
        """
        stream = await connect_within(TcpConnector(), address, ack_timeout_s, timeout_s)
        return cls(stream, trio.current_time())

    @property
    def is_direct(self) -> bool:
        """Whether the connection to the endpoint is this instance's own."""
        return self._stream.is_direct

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is open and idle, with nothing received on it."""
        return self._http.our_state is h11.IDLE and self.is_open_without_input

    @property
    def is_open_without_input(self) -> bool:
        """Whether the connection is open, with neither data nor its end waiting to be read."""
        return self._stream.is_open_without_input

    def allows_request(self, request_id: str | None) -> bool:
        """Check whether the response to a next request could be told from a copy of the last one.

        Args:
            request_id: ID of the caller's next request; None for one of the relay itself.
        """
        return self._attribution.allows_request(request_id)

    async def wait_readable(self) -> None:
        """Wait until data or the end can be read, or until this side closes the connection."""
        await self._stream.wait_readable()

    def is_within_idle_limit(self, now: float, limit_s: float) -> bool:
        """Check whether the endpoint is expected to still keep the idle connection open."""
        if self._keep_alive_s is not None:
            limit_s = min(limit_s, self._keep_alive_s - 1.0)
        return now - self.idle_since < limit_s

    async def exchange(
        self,
        request: OutgoingRequest,
        on_bytes: Callable[[int], None] | None = None,
        upload: Upload | None = None,
    ) -> ResponseHead:
        """Send a request and read the head of its response.

        Args:
            request: The request.
            on_bytes: Called each time that bytes of the response arrive, including its body, with
                their number.
            upload: Receives the progress of a long body.

        Raises:
            OutcomeUnknownError: No response arrived, or bytes that are not a valid response, or a
                response that does not belong to the request.
        """
        self._on_bytes = on_bytes
        self._attribution.note_sent(request)
        self._head_checker.expect_response()
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
                response_head = await self._read_own_head()
            else:
                response_head = await self._send_and_read(data, upload)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.ProtocolError,
            InvalidHeadError,
            StreamBrokenError,
        ) as error:
            raise OutcomeUnknownError(repr(error)) from error
        self._attribution.check()
        return response_head

    async def _read_own_head(self) -> ResponseHead:
        """Read the head of the response, after an extra response if there is one."""
        head = await self._read_head()
        if self._attribution.owner is not ResponseOwner.PREVIOUS_REQUEST:
            return head
        await self._skip_body(_MAX_EXTRA_BODY_BYTES)
        self._attribution.note_extra_response()
        self._expect_next_response()
        return await self._read_head()

    async def _skip_body(self, max_bytes: int) -> None:
        """Read a response body without keeping it.

        Raises:
            StreamBrokenError: The body ended early, or is longer than ``max_bytes``.
        """
        skipped = 0
        while (chunk := await self.read_chunk()) is not None:
            skipped += len(chunk)
            if skipped > max_bytes:
                raise StreamBrokenError("the body of an extra response exceeds the size limit")

    def _expect_next_response(self) -> None:
        """Parse what follows an extra response as the response to the same request."""
        data, is_closed = self._http.trailing_data
        method = self._attribution.method
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._http.send(h11.Request(method=method, target="/", headers=[("Host", "endpoint")]))
        self._http.send(h11.EndOfMessage())
        self._head_checker.expect_response()
        if data:
            self._head_checker.feed(data)
            self._http.receive_data(data)
        if is_closed:
            self._http.receive_data(b"")

    async def _send_and_read(self, data: bytes, upload: Upload | None) -> ResponseHead:
        """Send a long request while reading, since the response may arrive before its end."""
        self._is_request_sent, self._accepted_bytes = False, 0
        if upload is not None:
            upload.begin(len(data), trio.current_time())
        head = await run_watched(self._read_own_head, lambda _: self._send_in_parts(data, upload))
        assert head is not None, "sending the body must not cancel reading the response"
        return head

    async def _send_in_parts(self, data: bytes, upload: Upload | None) -> None:
        """Send a long request in parts, and track it until the endpoint has all of it."""
        async with trio.open_nursery() as nursery:
            if upload is not None:
                nursery.start_soon(self._track_upload, upload)
            try:
                for begin in range(0, len(data), _PART_BYTES):
                    part = data[begin : begin + _PART_BYTES]
                    await self._stream.send_all(part)
                    self._accepted_bytes += len(part)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # A response that the endpoint has already sent can still be read.
                nursery.cancel_scope.cancel()
                return
            self._is_request_sent = True

    async def _track_upload(self, upload: Upload) -> None:
        """Report the progress of an upload until the endpoint has all of it."""
        interval_s = _FIRST_CHECK_INTERVAL_S
        while not upload.is_accepted:
            await trio.sleep(interval_s)
            upload.note_accepted(self._count_accepted(), trio.current_time())
            interval_s = min(_MAX_CHECK_INTERVAL_S, 2 * interval_s)

    def _count_accepted(self) -> AcceptedBytes:
        """Return how many bytes of the request the endpoint has accepted."""
        unacknowledged = self._stream.count_unacknowledged()
        if unacknowledged is None:
            return AcceptedBytes(self._accepted_bytes, False)
        # The kernel may already buffer some of a part that is not counted as accepted yet.
        return AcceptedBytes(max(0, self._accepted_bytes - unacknowledged), True)

    async def _read_head(self) -> ResponseHead:
        for _ in range(1 + _MAX_INTERIM_RESPONSES):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                return self._record_head(event)
            raise OutcomeUnknownError("the server closed the connection before a response")
        raise OutcomeUnknownError(f"more than {_MAX_INTERIM_RESPONSES} interim responses")

    def _record_head(self, event: h11.Response) -> ResponseHead:
        head = ResponseHead(event.status_code, tuple(event.headers.raw_items()))
        keep_alive = head.get(b"keep-alive") or b""
        for item in keep_alive.split(b","):
            name, _, value = item.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self._keep_alive_s = float(value)
        self._status = head.status
        self._attribution.note_response(head)
        self._report_head(head)
        return head

    def _report_head(self, head: ResponseHead, *, is_trailer: bool = False) -> None:
        if self._on_head is not None:
            attribution = self._attribution
            received = ReceivedHead(
                head,
                attribution.owner,
                attribution.named_request,
                attribution.request_id,
                attribution.exchange_number,
                is_trailer,
            )
            self._on_head(received)

    async def read_chunk(self) -> bytes | None:
        """Read more of the response body.

        Returns:
            The bytes; None at the regular end of the body.

        Raises:
            StreamBrokenError: The connection was closed or reset before the end of the body.
        """
        try:
            event = await self._next_event()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError) as error:
            raise StreamBrokenError(repr(error)) from error
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            if event.headers:
                trailer = ResponseHead(self._status, tuple(event.headers.raw_items()))
                self._report_head(trailer, is_trailer=True)
            return None
        raise StreamBrokenError("the server closed the connection within the response")

    async def read_body(
        self,
        max_bytes: int,
        *,
        silence_timeout_s: float = math.inf,
        memory: BufferedBytes | None = None,
    ) -> bytes:
        """Read the whole response body.

        Args:
            max_bytes: Longest body that is accepted.
            silence_timeout_s: Longest time without any byte of the body.
            memory: Counts the body until all of it is read; None to count it nowhere.

        Raises:
            EndpointTimeoutError: No byte arrived for ``silence_timeout_s``.
            StreamBrokenError: The body ended early, is longer than ``max_bytes``, or found no
                memory for a second.
        """
        body = bytearray()
        counted = 0
        try:
            while (chunk := await self._read_chunk_with_timeout(silence_timeout_s)) is not None:
                if len(body) + len(chunk) > max_bytes:
                    raise StreamBrokenError("the response body exceeds the size limit")
                if memory is not None:
                    if not memory.may_read_answer(counted, len(chunk)):
                        await _wait_for_memory(memory, counted, len(chunk))
                    memory.add(BufferKind.INCOMPLETE_ANSWERS, len(chunk))
                    counted += len(chunk)
                body += chunk
            return bytes(body)
        finally:
            if memory is not None:
                memory.remove(BufferKind.INCOMPLETE_ANSWERS, counted)

    async def _read_chunk_with_timeout(self, silence_timeout_s: float) -> bytes | None:
        try:
            with trio.fail_after(silence_timeout_s):
                return await self.read_chunk()
        except trio.TooSlowError as error:
            raise EndpointTimeoutError(
                f"no byte of the response body for {silence_timeout_s} s"
            ) from error

    async def _next_event(self) -> object:
        self._parts_in_turn += 1
        if self._parts_in_turn > _MAX_PARTS_A_TURN:
            self._parts_in_turn = 0
            await trio.lowlevel.checkpoint()
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._parts_in_turn = 0
            data = await self._stream.receive_some()
            if not data and not self._is_request_sent:
                # The same as a reset: the endpoint no longer takes the rest of the request.
                raise trio.BrokenResourceError("the connection ended within the request")
            if data and self._on_bytes is not None:
                self._on_bytes(len(data))
            self._head_checker.feed(data)
            self._http.receive_data(data)

    def end_exchange(self, now: float) -> bool:
        """End an exchange.

        Returns:
            Whether the connection can be used again.
        """
        extra_bytes = self._http.trailing_data[0]
        is_complete = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if not (is_complete and self._is_request_sent and self._attribution.allows_reuse):
            return False
        if extra_bytes:
            return False
        self._http.start_next_cycle()
        self.idle_since = now
        return True

    def close(self) -> None:
        """Close the connection immediately, without waiting."""
        self._stream.close()


async def _wait_for_memory(memory: BufferedBytes, buffered: int, count: int) -> None:
    """Wait until more of a response body may be buffered.

    Raises:
        StreamBrokenError: There was no memory for it in time.
    """
    with trio.move_on_after(_MEMORY_WAIT_S):
        while not memory.may_read_answer(buffered, count):
            await trio.sleep(_MEMORY_CHECK_INTERVAL_S)
        return
    raise StreamBrokenError("no memory for the rest of the response body")
