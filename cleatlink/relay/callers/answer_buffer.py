"""Buffers answers for callers that read slowly, within a memory limit.

An endpoint cuts off an answer that is not read for some seconds. An answer is therefore read from
its endpoint as fast as the endpoint sends it, and buffered for a caller that reads slowly, as far
as memory allows; beyond that the endpoint has to wait for the caller.
"""

from collections.abc import Callable

import eliot
import trio

from cleatlink.routing.buffered_bytes import BufferedBytes, BufferKind

__all__ = ["AnswerBuffer"]

# A caller that reads nothing for this time is treated as disconnected.
_CALLER_READ_TIMEOUT_S = 6.0
# Largest write to a socket.
_MAX_SEND_BYTES = 65_536


class AnswerBuffer:
    """Data for one caller that its connection has not accepted yet."""

    def __init__(self, stream: trio.SocketStream, memory: BufferedBytes) -> None:
        """Initialise an empty buffer.

        Args:
            stream: The caller's connection.
            memory: Counts the bytes held for all callers of the instance.
        """
        self._stream = stream
        self._memory = memory
        self._buffer = bytearray()
        self._is_writing = False
        self._failure: Exception | None = None
        self._progress = trio.Event()

    async def send(self, data: bytes, start_task: Callable[..., None] | None) -> None:
        """Send some bytes; return once they are sent or buffered.

        Args:
            data: The bytes.
            start_task: Starts the task that sends buffered bytes while the caller's request is
                served; None if no task can be started, so that this call waits until all
                bytes are sent.

        Raises:
            trio.BrokenResourceError: The connection broke, or the caller reads nothing.
        """
        if self._failure is not None:
            raise trio.BrokenResourceError from self._failure
        if not self._buffer:
            data = data[self._send_now(data) :]
        if not data:
            return
        if start_task is None:
            await self._stream.send_all(data)
            return
        while self._buffer and not self._memory.may_buffer_answer(len(self._buffer), len(data)):
            await self._progress.wait()
            if self._failure is not None:
                raise trio.BrokenResourceError from self._failure
        self._buffer += data
        self._memory.add(BufferKind.UNREAD_ANSWERS, len(data))
        if not self._is_writing:
            self._is_writing = True
            start_task(self._write_buffer)

    def _send_now(self, data: bytes) -> int:
        """Send what the kernel accepts without blocking; return the number of bytes."""
        try:
            # Trio's own send yields to the scheduler each time, which costs more than the call.
            return self._stream.socket._sock.send(data)  # type: ignore[attr-defined, no-any-return]
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as error:
            raise trio.BrokenResourceError from error

    async def flush(self) -> None:
        """Wait until all buffered bytes are sent.

        Raises:
            trio.BrokenResourceError: The connection broke, or the caller reads nothing.
        """
        while self._buffer and self._failure is None:
            await self._progress.wait()
        if self._failure is not None:
            raise trio.BrokenResourceError from self._failure

    def close(self) -> None:
        """Discard the buffered bytes and release their memory."""
        self._memory.remove(BufferKind.UNREAD_ANSWERS, len(self._buffer))
        self._buffer.clear()

    async def _write_buffer(self) -> None:
        """Send buffered bytes until the buffer is empty."""
        try:
            while self._buffer:
                await self._write_some()
                self._notify_progress()
        except (OSError, trio.TooSlowError, trio.ClosedResourceError) as error:
            self._record_failure(error)
        except trio.Cancelled:
            # The caller disconnected, or the instance ends. A shielded sender does not learn it.
            self._failure = trio.ClosedResourceError("the task that sends was cancelled")
            raise
        finally:
            self._is_writing = False
            self._notify_progress()

    async def _write_some(self) -> None:
        with trio.fail_after(_CALLER_READ_TIMEOUT_S):
            count = await self._stream.socket.send(bytes(self._buffer[:_MAX_SEND_BYTES]))
        del self._buffer[:count]
        self._memory.remove(BufferKind.UNREAD_ANSWERS, count)

    def _record_failure(self, error: Exception) -> None:
        self._failure = error
        eliot.log_message(
            message_type="caller: can't be sent its answer, gives the connection up",
            unread_bytes=len(self._buffer),
            error=repr(error),
        )

    def _notify_progress(self) -> None:
        self._progress.set()
        self._progress = trio.Event()
