"""Bound the bytes that an instance buffers for callers that send or read slowly.

An instance has little memory, so buffered request bodies and answers share one limit, also those
answers that are still being read from endpoints. Requests
that are not routed yet are refused first, and their callers learn that they were not executed.
Answers of endpoints are never dropped; while they use most of the memory, nothing more is read
from callers or endpoints.
"""

from enum import StrEnum

__all__ = ["BufferedBytes", "BufferKind"]

# Share of the limit that request bodies may use while they are read. Further bodies wait and are
# then refused, while there is still memory for answers.
_BODIES_SHARE = 0.5
# Share of the remaining memory that the unread answer of one caller may use, so that a few slow
# readers do not take all of it from the others.
_CALLER_SHARE = 0.125


class BufferKind(StrEnum):
    """Kind of the buffered bytes."""

    REQUEST_BODIES = "request_bodies"
    UNREAD_ANSWERS = "unread_answers"
    INCOMPLETE_ANSWERS = "incomplete_answers"


class BufferedBytes:
    """Counts buffered bytes and decides whether more may be buffered."""

    def __init__(self, limit_bytes: int) -> None:
        """Start with nothing buffered.

        Args:
            limit_bytes: Limit of the buffered bytes of all kinds.
        """
        self._limit_bytes = limit_bytes
        self._bytes_by_kind = dict.fromkeys(BufferKind, 0)

    @property
    def limit_bytes(self) -> int:
        """Limit of the buffered bytes of all kinds."""
        return self._limit_bytes

    @property
    def total(self) -> int:
        """Number of bytes that are buffered now."""
        return sum(self._bytes_by_kind.values())

    def buffered(self, kind: BufferKind) -> int:
        """Return the number of buffered bytes of a kind."""
        return self._bytes_by_kind[kind]

    def add(self, kind: BufferKind, count: int) -> None:
        """Count bytes that are buffered from now on."""
        self._bytes_by_kind[kind] += count

    def remove(self, kind: BufferKind, count: int) -> None:
        """Subtract bytes that are no longer buffered."""
        self._bytes_by_kind[kind] -= count

    def may_buffer_body(self, count: int) -> bool:
        """Check whether ``count`` more bytes of a request body may be read now."""
        if self.total + count > self._limit_bytes:
            return False
        bodies = self._bytes_by_kind[BufferKind.REQUEST_BODIES] + count
        return bodies <= _BODIES_SHARE * self._limit_bytes

    def may_read_answer(self, buffered: int, count: int) -> bool:
        """Check whether more of an answer that has to be read completely may be buffered.

        Args:
            buffered: Bytes that are already buffered of the answer; its first part is accepted
                whatever is left.
            count: Bytes that would be added.
        """
        return not buffered or self.total + count <= self._limit_bytes

    def may_buffer_answer(self, buffered: int, count: int) -> bool:
        """Check whether more of an answer may be buffered for a caller that reads slowly.

        Args:
            buffered: Bytes that are already buffered for the caller.
            count: Bytes that would be added.
        """
        remaining = self._limit_bytes - self.total
        return buffered + count <= _CALLER_SHARE * max(0, remaining)
