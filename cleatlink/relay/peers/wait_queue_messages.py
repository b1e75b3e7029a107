"""Messages between instances about queued streams and plain calls."""

import msgspec

from cleatlink.routing.shared_wait_queues import WaitingGroup

__all__ = [
    "PlainCallTotals",
    "WaitQueueItem",
    "WaitQueueUpdate",
]

# Upper bound of the slack in a message, in seconds; it is longer than any stream waits.
_MAX_SLACK_S = 3600.0


class WaitQueueItem(msgspec.Struct, array_like=True, frozen=True):
    """Streams of one service and urgency that are queued for capacity at the sender.

    Attributes:
        service: Name of the service.
        urgency: Streams with a larger value are served first.
        is_late: Whether the streams will miss their targets even if they get capacity now.
        streams: Number of queued streams.
        tokens: Memory that the streams hold at their ends, in total.
        oldest_s: Seconds since the oldest of the streams arrived.
        slack_s: Slack: seconds that one of the streams can still wait and meet its target.
    """

    service: str
    urgency: int
    is_late: bool
    streams: int
    tokens: int
    oldest_s: float
    slack_s: float

    @classmethod
    def from_group(cls, group: WaitingGroup) -> "WaitQueueItem":
        """Build an item from a group of queued streams."""
        slack_s = round(min(_MAX_SLACK_S, group.slack_s), 2)
        oldest_s = round(group.oldest_s, 2)
        return cls(*group._replace(oldest_s=oldest_s, slack_s=slack_s))

    def to_group(self) -> WaitingGroup:
        """Return the item as a group of queued streams."""
        return WaitingGroup(*msgspec.structs.astuple(self))


class WaitQueueUpdate(msgspec.Struct, array_like=True, frozen=True, tag="w"):
    """All streams that are queued for capacity at the sender.

    A message replaces the earlier ones of the same sender.

    Attributes:
        name: Name of the sender.
        incarnation: Start number of the sender; it grows with each start.
        number: Sequence number of the sender's messages of this type.
        data_centre: Data centre of the sender.
        groups: Groups of queued streams, the most urgent first; their number is bounded.
    """

    name: str
    incarnation: int
    number: int
    data_centre: str
    groups: list[WaitQueueItem]


class PlainCallTotals(msgspec.Struct, array_like=True, frozen=True, tag="f"):
    """Totals of the sender's plain calls since its start.

    A message has all totals, or those that changed recently.

    Attributes:
        name: Name of the sender.
        incarnation: Start number of the sender; it grows with each start.
        age_s: Seconds since the start of the sender.
        arrivals: Services, each with a rank and the number of calls of that rank from callers.
        endpoint_totals: Endpoint incarnations, each with the number of calls that it completed, the
            milliseconds for which calls were in progress there, summed over the calls, and
            the number of calls that it refused.
        expected_retries: Identities of requests that have just been refused, with the seconds until
            their callers may retry.
    """

    name: str
    incarnation: int
    age_s: float
    arrivals: list[tuple[str, int, int]]
    endpoint_totals: list[tuple[str, int, int, int]]
    expected_retries: list[tuple[bytes, float]]
