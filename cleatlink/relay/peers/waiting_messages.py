"""Messages between instances about queued streams and plain calls."""

import msgspec

from cleatlink.routing.shared_waiting import WaitingGroup

__all__ = [
    "PlainCalls",
    "WaitItem",
    "WaitNews",
]

# Upper bound of the slack in a message, in seconds; it is longer than any stream waits.
_MAX_SLACK_S = 3600.0


class WaitItem(msgspec.Struct, array_like=True, frozen=True):
    """Streams of one service and urgency that are queued for capacity at the sender.

    Attributes:
        service: Name of the service.
        urgency: Streams with a larger value are served first.
        is_late: Whether the streams will miss their targets even if they get capacity now.
        streams: Number of queued streams.
        tokens: Memory that the streams hold at their ends, in total.
        oldest_s: Seconds since the oldest of the streams arrived.
        spare_s: Slack: seconds that one of the streams can still wait and meet its target.
    """

    service: str
    urgency: int
    is_late: bool
    streams: int
    tokens: int
    oldest_s: float
    spare_s: float

    @classmethod
    def of(cls, group: WaitingGroup) -> "WaitItem":
        """Build an item from a group of queued streams."""
        spare_s = round(min(_MAX_SLACK_S, group.spare_s), 2)
        oldest_s = round(group.oldest_s, 2)
        return cls(*group._replace(oldest_s=oldest_s, spare_s=spare_s))

    def group(self) -> WaitingGroup:
        """Return the item as a group of queued streams."""
        return WaitingGroup(*msgspec.structs.astuple(self))


class WaitNews(msgspec.Struct, array_like=True, frozen=True, tag="w"):
    """All streams that are queued for capacity at the sender.

    A message replaces the earlier ones of the same sender.

    Attributes:
        name: Name of the sender.
        incarnation: Start number of the sender; it grows with each start.
        number: Sequence number of the sender's messages of this type.
        data_centre: Data centre of the sender.
        items: Groups of queued streams, the most urgent first; their number is bounded.
    """

    name: str
    incarnation: int
    number: int
    data_centre: str
    items: list[WaitItem]


class PlainCalls(msgspec.Struct, array_like=True, frozen=True, tag="f"):
    """Totals of the sender's plain calls since its start.

    A message has all totals, or those that changed recently.

    Attributes:
        name: Name of the sender.
        incarnation: Start number of the sender; it grows with each start.
        age_s: Seconds since the start of the sender.
        arrived: Services, each with a rank and the number of calls of that rank from callers.
        endpoints: Endpoint incarnations, each with the number of calls that it completed, the
            milliseconds for which calls were in progress there, summed over the calls, and
            the number of calls that it refused.
        returns: Identities of requests that have just been refused, with the seconds until their
            callers may retry.
    """

    name: str
    incarnation: int
    age_s: float
    arrived: list[tuple[str, int, int]]
    endpoints: list[tuple[str, int, int, int]]
    returns: list[tuple[bytes, float]]
