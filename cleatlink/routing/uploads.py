"""Progress of request bodies on their way to endpoints, and the rate at which endpoints read them.

The kernel of this side reports how many bytes the kernel of the other side has acknowledged, but
not how many the endpoint has read: acknowledged bytes, up to the size of a receive buffer, may
still wait there. While that buffer is full, acknowledgements arrive as the endpoint reads, in steps
of up to the buffer's size. So an endpoint whose upload makes no progress does not count as silent
before it could have read, at its read rate, all bytes that its kernel has accepted.
"""

from typing import NamedTuple

__all__ = ["DEFAULT_READ_RATE", "ReadRate", "AcceptedBytes", "Upload", "ReadRates"]

# Usual size of a receive buffer: bytes that an endpoint's kernel accepts before the endpoint reads.
_BUFFER_BYTES = 131_072
# More bytes than this are acknowledged only if the endpoint reads: a buffer and a few first reads.
_MAX_UNREAD_BYTES = 163_840
# Fewer bytes than this may also be acknowledged without any read: a full buffer still accepts a few
# bytes at a time.
_MIN_READ_BYTES = 32_768
# If reading the body may account for more than this share of a measured time, the time says nothing
# about how long the endpoint worked on the request.
_MAX_READING_SHARE = 0.5
# A transfer of the body that takes at most this share of a measured time is not subtracted from it.
_SHORT_TRANSFER_SHARE = 0.25
# A response that arrives sooner than the measured rate allows, by this factor, disproves the rate.
_DISPROOF_FACTOR = 2.0


class AcceptedBytes(NamedTuple):
    """Bytes of a request that the kernel of either side has accepted.

    Attributes:
        size: Number of bytes.
        is_acknowledged: Whether the kernel of the other side has acknowledged them; otherwise some
            may still wait in a buffer of this side.
    """

    size: int
    is_acknowledged: bool


class ReadRate(NamedTuple):
    """Rate at which an endpoint reads request bodies.

    Attributes:
        bytes_a_second: The rate.
        is_measured: Whether the rate was measured by acknowledgements; otherwise it is a lower
            bound or an assumption.
    """

    bytes_a_second: float
    is_measured: bool


# Assumed for a link that was not measured: 4 Mbit/s.
DEFAULT_READ_RATE = ReadRate(500_000.0, False)


class Upload:
    """Upload of one request body to an endpoint."""

    def __init__(self, usual_rate: ReadRate) -> None:
        """Start without a body.

        Args:
            usual_rate: Read rate of the endpoint by earlier bodies, or an assumption.
        """
        self._usual_rate = usual_rate
        self._size = 0
        self._accepted_bytes = 0
        self._is_acknowledged = True
        self._began_at = 0.0
        self._progress_at = 0.0
        # Bytes that had been accepted when the endpoint's receive buffer was full.
        self._full_buffer_bytes = _BUFFER_BYTES
        self._measured_rate = 0.0

    @property
    def size(self) -> int:
        """Size of the body in bytes; 0 for a body that is too short to track."""
        return self._size

    @property
    def accepted_bytes(self) -> int:
        """Bytes of the body that are known to have been accepted."""
        return self._accepted_bytes

    @property
    def is_accepted(self) -> bool:
        """Whether all of the body has been accepted."""
        return self._accepted_bytes >= self._size

    @property
    def measured_rate(self) -> ReadRate | None:
        """Read rate by this body alone; None if it could not be measured."""
        return ReadRate(self._measured_rate, True) if self._measured_rate else None

    @property
    def read_rate(self) -> ReadRate:
        """Read rate by this body or else by earlier ones.

        A kernel that has enlarged its buffer accepts bytes faster than they are read, so a measured
        rate is not raised before a response confirms the higher rate.
        """
        measured = self.measured_rate
        if measured is None or (self._usual_rate.is_measured and self._usual_rate < measured):
            return self._usual_rate
        return measured

    @property
    def read_by(self) -> float:
        """Time by which the endpoint will have read the accepted bytes.

        An endpoint does not count as silent before this time.
        """
        return max(
            self._progress_at, self._began_at + self._accepted_bytes / self.read_rate.bytes_a_second
        )

    def begin(self, size: int, now: float) -> None:
        """Start to track a body.

        Args:
            size: Its size in bytes.
            now: The time.
        """
        self._size = size
        self._began_at = self._progress_at = now

    def note_accepted(self, accepted: AcceptedBytes, now: float) -> None:
        """Record the bytes that have been accepted by now."""
        self._is_acknowledged = accepted.is_acknowledged
        if accepted.size > self._accepted_bytes:
            self._accepted_bytes, self._progress_at = accepted.size, now
            self._measure()

    def _measure(self) -> None:
        """Measure the read rate by the bytes accepted beyond a full buffer, which have been read.

        The last acknowledged step may be smaller than the bytes read for it, so the largest rate
        counts.
        """
        if not self._is_acknowledged:
            return
        if self._accepted_bytes <= _MAX_UNREAD_BYTES:
            self._full_buffer_bytes = max(self._full_buffer_bytes, self._accepted_bytes)
            return
        read_bytes, seconds = (
            self._accepted_bytes - self._full_buffer_bytes,
            self._progress_at - self._began_at,
        )
        if read_bytes >= _MIN_READ_BYTES and seconds > 0:
            self._measured_rate = max(self._measured_rate, read_bytes / seconds)

    def processing_s(self, began_at: float, now: float) -> float | None:
        """Return for how long an endpoint that responds now has worked on the request.

        Args:
            began_at: When sending began.
            now: The time.

        Returns:
            Seconds; None if that is unknown: not all of the body is known to have been accepted, or
            the endpoint may have spent most of the time on reading it.
        """
        if not self._size:
            return now - began_at
        if not self.is_accepted:
            return None
        total_s, served_s = now - began_at, now - self._progress_at
        read_at = self.read_by if self.read_rate.is_measured else self._progress_at
        if read_at - began_at <= _SHORT_TRANSFER_SHARE * total_s:
            # The progress is checked up to 20 ms late. Subtracting the transfer would make fast
            # endpoints appear faster than they are.
            return total_s
        if read_at - self._progress_at > _MAX_READING_SHARE * served_s:
            return None
        return served_s


class ReadRates:
    """Read rates of endpoints, as measured by this instance."""

    def __init__(self) -> None:
        """Start without known rates."""
        self._rates: dict[str, ReadRate] = {}

    def read_rate(self, endpoint: str) -> ReadRate:
        """Return the read rate of an endpoint.

        An unknown endpoint is assumed to be as slow as the slowest measured one: often the
        bottleneck is the network link of this instance.
        """
        known = self._rates.get(endpoint)
        if known is not None:
            return known
        measured = (item for item in self._rates.values() if item.is_measured)
        slowest = min([DEFAULT_READ_RATE, *measured])
        return slowest._replace(is_measured=False)

    def note_answered(self, endpoint: str, upload: Upload, seconds: float) -> None:
        """Record the upload of a request that was answered.

        Args:
            endpoint: The endpoint that read the body.
            upload: The upload.
            seconds: Time from the start of sending until the response.
        """
        if not upload.size or not upload.is_accepted or seconds <= 0:
            return
        rate, min_rate = upload.read_rate, upload.size / seconds
        if min_rate > rate.bytes_a_second:
            is_measured = rate.is_measured and min_rate < _DISPROOF_FACTOR * rate.bytes_a_second
            self._rates[endpoint] = ReadRate(min_rate, is_measured)
        elif rate.is_measured:
            self._rates[endpoint] = rate

    def forget(self, endpoint: str) -> None:
        """Drop the rate of an endpoint."""
        self._rates.pop(endpoint, None)
