"""What is sent to a caller, as fast as it reads; the rest is held within bounds.

An endpoint cuts an answer off that goes unread for some seconds. So an answer is taken from its
endpoint at its own pace and held for a caller that reads slowly, as far as memory allows; beyond
that the endpoint waits for the caller.
"""

from collections.abc import Callable

import eliot
import trio

from cleatlink.routing.held_bytes import HeldBytes, HeldKind

__all__ = ["UnreadAnswer"]

# A caller that takes nothing for so long is gone, or as good as that.
_CALLER_READS_NOTHING_S = 6.0
# Bytes that are handed to the kernel at a time.
_SEND_BYTES = 65_536


class UnreadAnswer:
    """What one caller's connection was sent and has not taken yet."""

    def __init__(self, stream: trio.SocketStream, held: HeldBytes) -> None:
        """Start with nothing.

        Args:
            stream: The caller's connection.
            held: Counts what all callers of the instance have not read.
        """
        self._stream = stream
        self._held = held
        self._data = bytearray()
        self._is_writing = False
        self._broken: Exception | None = None
        self._moved = trio.Event()

    async def send(self, data: bytes, spawn: Callable[..., None] | None) -> None:
        """Send some bytes; returns once they are sent, or may be held.

        Args:
            data: The bytes.
            spawn: Runs what sends the rest beside the caller's request; None if there is
                nothing to run it, so that this waits.

        Raises:
            trio.BrokenResourceError: The connection broke, or the caller reads nothing.
        """
        if self._broken is not None:
            raise trio.BrokenResourceError from self._broken
        if not self._data:
            data = data[self._send_now(data) :]
        if not data:
            return
        if spawn is None:
            await self._stream.send_all(data)
            return
        while self._data and not self._held.admits_unread(len(self._data), len(data)):
            await self._moved.wait()
            if self._broken is not None:
                raise trio.BrokenResourceError from self._broken
        self._data += data
        self._held.add(HeldKind.UNREAD_ANSWERS, len(data))
        if not self._is_writing:
            self._is_writing = True
            spawn(self._write)

    def _send_now(self, data: bytes) -> int:
        """Send what the kernel takes without a wait; gives how much that was."""
        try:
            # Trio's own send gives up its turn each time, which costs more than the call.
            return self._stream.socket._sock.send(data)  # type: ignore[attr-defined, no-any-return]
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as error:
            raise trio.BrokenResourceError from error

    async def flush(self) -> None:
        """Wait until the caller was sent everything.

        Raises:
            trio.BrokenResourceError: The connection broke, or the caller reads nothing.
        """
        while self._data and self._broken is None:
            await self._moved.wait()
        if self._broken is not None:
            raise trio.BrokenResourceError from self._broken

    def close(self) -> None:
        """Give up what is held for the caller."""
        self._held.remove(HeldKind.UNREAD_ANSWERS, len(self._data))
        self._data.clear()

    async def _write(self) -> None:
        """Send what is held until nothing is left."""
        try:
            while self._data:
                await self._write_some()
                self._wake()
        except (OSError, trio.TooSlowError, trio.ClosedResourceError) as error:
            self._note_broken(error)
        finally:
            self._is_writing = False
            self._wake()

    async def _write_some(self) -> None:
        with trio.fail_after(_CALLER_READS_NOTHING_S):
            count = await self._stream.socket.send(bytes(self._data[:_SEND_BYTES]))
        del self._data[:count]
        self._held.remove(HeldKind.UNREAD_ANSWERS, count)

    def _note_broken(self, error: Exception) -> None:
        self._broken = error
        eliot.log_message(
            message_type="caller: reads no more",
            unread_bytes=len(self._data),
            error=repr(error),
        )

    def _wake(self) -> None:
        self._moved.set()
        self._moved = trio.Event()
