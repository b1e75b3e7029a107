"""How many bytes an instance may hold for those who read or send slowly.

An instance has little memory, and what it holds for callers counts. What was not routed yet is
given up first: its caller is told that it has not run. Answers that endpoints gave are never
given up; while they take most of the memory, no more is read from anybody.
"""

from enum import StrEnum

__all__ = ["HeldBytes", "HeldKind"]

# Share of the limit that bodies may take which are still being read: they wait, and are refused
# then, while answers still find room.
_BODIES_SHARE = 0.5
# One caller that reads slowly takes up to this share of what is left, so that the first few do
# not take it from all others.
_CALLER_SHARE = 0.125


class HeldKind(StrEnum):
    """What is held."""

    REQUEST_BODIES = "request_bodies"
    UNREAD_ANSWERS = "unread_answers"


class HeldBytes:
    """Counts what is held, and tells who may hold more."""

    def __init__(self, limit_bytes: int) -> None:
        """Start with nothing held.

        Args:
            limit_bytes: What all together should not pass.
        """
        self._limit_bytes = limit_bytes
        self._held = dict.fromkeys(HeldKind, 0)

    @property
    def limit_bytes(self) -> int:
        """What all together should not pass."""
        return self._limit_bytes

    @property
    def total(self) -> int:
        """Bytes that are held now."""
        return sum(self._held.values())

    def held(self, kind: HeldKind) -> int:
        """Give the bytes of a kind that are held now."""
        return self._held[kind]

    def add(self, kind: HeldKind, count: int) -> None:
        """Count bytes that are held from now on."""
        self._held[kind] += count

    def remove(self, kind: HeldKind, count: int) -> None:
        """Count bytes that are held no longer."""
        self._held[kind] -= count

    def admits_body(self, count: int) -> bool:
        """Tell whether so many bytes more of a body may be read now."""
        if self.total + count > self._limit_bytes:
            return False
        bodies = self._held[HeldKind.REQUEST_BODIES] + count
        return bodies <= _BODIES_SHARE * self._limit_bytes

    def admits_unread(self, own: int, count: int) -> bool:
        """Tell whether a caller's answer may be read further though the caller has not read.

        Args:
            own: Bytes that are held for the caller already.
            count: Bytes that come.
        """
        left = self._limit_bytes - self.total
        return own + count <= _CALLER_SHARE * max(0, left)
