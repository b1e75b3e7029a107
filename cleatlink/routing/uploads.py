"""How far the body of a request has come on its way to an endpoint, and how long the rest takes.

The sender's kernel tells what the other side's kernel has acknowledged, but not what the endpoint
has read: up to a receive buffer of acknowledged bytes may still wait there. While that buffer is
full, acknowledgements come as the endpoint reads, in steps of up to its size. So an endpoint whose
upload stands still is not silent before it could have read, at its pace, what its kernel took.
"""

from typing import NamedTuple

__all__ = ["UNKNOWN_PACE", "TakenBytes", "Upload", "UploadPace", "UploadPaces"]

# Bytes that an endpoint's kernel takes before the endpoint reads: the usual size of a buffer.
_BUFFER_BYTES = 131_072
# More than this is taken only by an endpoint that reads: a buffer and some first reads.
_SURELY_FULL_BYTES = 163_840
# Less than this is also taken, little by little, into a buffer that is full and not read.
_READ_BYTES = 32_768
# Where more than this share of a measured time may have gone into reading the body, it says
# nothing about the endpoint's work.
_MOST_HIDDEN_SHARE = 0.5
# A body's way that takes no more than this share of a measured time counts as the endpoint's.
_SHORT_WAY_SHARE = 0.25
# A body that was answered so many times sooner than the measured pace allows has refuted it.
_QUICKER = 2.0


class TakenBytes(NamedTuple):
    """What the other side has of a request.

    Attributes:
        size: Bytes from the first one on.
        is_acknowledged: Whether the other side's kernel has them; otherwise some may still wait in
            a buffer of this side.
    """

    size: int
    is_acknowledged: bool


class UploadPace(NamedTuple):
    """How fast an endpoint reads bodies.

    Attributes:
        bytes_a_second: The pace.
        is_measured: Whether acknowledgements showed it; otherwise it is no more than a pace that
            the endpoint has surely kept, or an assumption.
    """

    bytes_a_second: float
    is_measured: bool


# Of a link of which nothing is known: 4 Mbit/s.
UNKNOWN_PACE = UploadPace(500_000.0, False)


class Upload:
    """One request's body on its way to an endpoint."""

    def __init__(self, usual: UploadPace) -> None:
        """Begin without a body.

        Args:
            usual: How fast the endpoint reads, as far as that is known.
        """
        self._usual = usual
        self._size = 0
        self._taken = 0
        self._is_acknowledged = True
        self._began_at = 0.0
        self._moved_at = 0.0
        # What had been taken by the time that the endpoint's buffer was full.
        self._full_bytes = _BUFFER_BYTES
        self._measured_pace = 0.0

    @property
    def size(self) -> int:
        """Bytes of the body; 0 for one that is too short to follow."""
        return self._size

    @property
    def taken(self) -> int:
        """Bytes of it that the other side is known to have."""
        return self._taken

    @property
    def is_whole(self) -> bool:
        """Whether the other side has all of it."""
        return self._taken >= self._size

    @property
    def measured(self) -> UploadPace | None:
        """How fast the endpoint reads by this body alone; None if it does not show that."""
        return UploadPace(self._measured_pace, True) if self._measured_pace else None

    @property
    def pace(self) -> UploadPace:
        """How fast the endpoint reads, by this body or else by earlier ones.

        A kernel that has grown its buffer takes bodies faster than they are read, so a measured
        pace is not raised before an answer has shown it.
        """
        measured = self.measured
        if measured is None or (self._usual.is_measured and self._usual < measured):
            return self._usual
        return measured

    @property
    def read_by(self) -> float:
        """When the endpoint, at its pace, will have read what it has; earlier it is not silent."""
        return max(self._moved_at, self._began_at + self._taken / self.pace.bytes_a_second)

    def begin(self, size: int, now: float) -> None:
        """Begin to follow a body.

        Args:
            size: Its bytes.
            now: The time.
        """
        self._size = size
        self._began_at = self._moved_at = now

    def note_taken(self, taken: TakenBytes, now: float) -> None:
        """Note what has been taken by now."""
        self._is_acknowledged = taken.is_acknowledged
        if taken.size > self._taken:
            self._taken, self._moved_at = taken.size, now
            self._measure()

    def _measure(self) -> None:
        """Learn the pace from what has been taken beyond a full buffer, which has been read.

        The last step may be shorter than what was read for it, so the largest figure counts.
        """
        if not self._is_acknowledged:
            return
        if self._taken <= _SURELY_FULL_BYTES:
            self._full_bytes = max(self._full_bytes, self._taken)
            return
        read, seconds = self._taken - self._full_bytes, self._moved_at - self._began_at
        if read >= _READ_BYTES and seconds > 0:
            self._measured_pace = max(self._measured_pace, read / seconds)

    def served_s(self, began_at: float, now: float) -> float | None:
        """Give for how long an endpoint that answers now has had the request.

        Args:
            began_at: When sending began.
            now: The time.

        Returns:
            Seconds; None if that is not known: it was not seen to have all of the body, or may have
            read it for most of the time.
        """
        if not self._size:
            return now - began_at
        if not self.is_whole:
            return None
        took_s, served_s = now - began_at, now - self._moved_at
        arrived_at = self.read_by if self.pace.is_measured else self._moved_at
        if arrived_at - began_at <= _SHORT_WAY_SHARE * took_s:
            # Looks come up to 20 ms late: taken off, they would make quick endpoints look quicker.
            return took_s
        if arrived_at - self._moved_at > _MOST_HIDDEN_SHARE * served_s:
            return None
        return served_s


class UploadPaces:
    """How fast endpoints have read bodies, as far as this instance has seen."""

    def __init__(self) -> None:
        """Start without anything known."""
        self._paces: dict[str, UploadPace] = {}

    def pace(self, endpoint: str) -> UploadPace:
        """Give an endpoint's pace.

        One that is not known is taken for as slow as the slowest that was measured: often the
        narrow link is this side's.
        """
        known = self._paces.get(endpoint)
        if known is not None:
            return known
        measured = (item for item in self._paces.values() if item.is_measured)
        slowest = min([UNKNOWN_PACE, *measured])
        return slowest._replace(is_measured=False)

    def note_answered(self, endpoint: str, upload: Upload, seconds: float) -> None:
        """Learn from a body that was answered.

        Args:
            endpoint: Who has read it.
            upload: The body.
            seconds: From the start of sending until the answer.
        """
        if not upload.size or not upload.is_whole or seconds <= 0:
            return
        pace, kept = upload.pace, upload.size / seconds
        if kept > pace.bytes_a_second:
            is_measured = pace.is_measured and kept < _QUICKER * pace.bytes_a_second
            self._paces[endpoint] = UploadPace(kept, is_measured)
        elif pace.is_measured:
            self._paces[endpoint] = pace

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint."""
        self._paces.pop(endpoint, None)
