"""Late second copies of answers, which a server sends in the place of the next answer."""

from collections.abc import Callable

import trio

__all__ = ["LateCopies"]

# Longest answer of which a copy is sent.
_MAX_COPY_BYTES = 65_536
_INTERIM_RESPONSE = b"HTTP/1.1 103 X\r\nX-Filler: y\r\n\r\n"


class LateCopies:
    """Chooses the answers of one server that it sends again.

    A copy is sent when the next request of its connection has come in.
    """

    def __init__(
        self,
        is_chosen: Callable[[str], bool],
        *,
        copies: int = 1,
        part_bytes: int = _MAX_COPY_BYTES,
        follows_interim: bool = False,
    ) -> None:
        """Create a source of copies.

        Args:
            is_chosen: Returns whether the answer to a call of a path is sent again.
            copies: Number of times that it is sent again.
            part_bytes: Size of the parts in which copies are sent.
            follows_interim: Whether an interim response to the next request precedes the copies.
        """
        # Number of answers that were sent again.
        self.sent = 0
        self._is_chosen = is_chosen
        self._copies = copies
        self._part_bytes = part_bytes
        self._follows_interim = follows_interim
        self._answers: dict[trio.SocketStream, bytearray] = {}
        self._due: dict[trio.SocketStream, bytes] = {}

    def record(self, stream: trio.SocketStream, data: bytes) -> None:
        """Record a part of the answer that is sent on a connection."""
        self._answers.setdefault(stream, bytearray()).extend(data)

    def end_answer(self, stream: trio.SocketStream, path: str) -> None:
        """Decide whether the answer that was sent on a connection is sent again."""
        answer = bytes(self._answers.pop(stream, b""))
        if answer and len(answer) <= _MAX_COPY_BYTES and self._is_chosen(path):
            self._due[stream] = answer

    async def send_due(self, stream: trio.SocketStream) -> None:
        """Send the copies that are due on a connection."""
        data = self._copies * self._due.pop(stream, b"")
        if not data:
            return
        self.sent += 1
        if self._follows_interim:
            await stream.send_all(_INTERIM_RESPONSE)
        for begin in range(0, len(data), self._part_bytes):
            await stream.send_all(data[begin : begin + self._part_bytes])
            await trio.lowlevel.checkpoint()
