"""What instances tell each other of requests that wait, and of plain calls."""

import msgspec

from cleatlink.routing.shared_waiting import WaitingGroup

__all__ = [
    "PlainCalls",
    "WaitItem",
    "WaitNews",
]

# Longer than anything waits.
_MOST_SPARE_S = 3600.0


class WaitItem(msgspec.Struct, array_like=True, frozen=True):
    """Streams of one service and urgency that wait for room at the sender.

    Attributes:
        service: The service.
        urgency: Larger goes first.
        is_late: Whether they will be late even if they have room now.
        streams: How many wait.
        tokens: Memory that they hold at their ends, together.
        oldest_s: Seconds since the first of them came.
        spare_s: Seconds for which one of them can still wait and be in time.
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
        """Describe what waits."""
        spare_s = round(min(_MOST_SPARE_S, group.spare_s), 2)
        oldest_s = round(group.oldest_s, 2)
        return cls(*group._replace(oldest_s=oldest_s, spare_s=spare_s))

    def group(self) -> WaitingGroup:
        """Give it as what waits."""
        return WaitingGroup(*msgspec.structs.astuple(self))


class WaitNews(msgspec.Struct, array_like=True, frozen=True, tag="w"):
    """All that waits for room at the sender; it replaces what the sender told before.

    Attributes:
        name: Sender.
        incarnation: Grows with each start of the sender.
        number: Grows with each message of the sender.
        data_centre: Sender's data centre.
        items: What waits, the most urgent first; bounded.
    """

    name: str
    incarnation: int
    number: int
    data_centre: str
    items: list[WaitItem]


class PlainCalls(msgspec.Struct, array_like=True, frozen=True, tag="f"):
    """The sender's plain calls, as totals since its start; all, or those that changed lately.

    Attributes:
        name: Sender.
        incarnation: Grows with each start of the sender.
        age_s: Seconds since the sender's start.
        arrived: Services, with a rank and the calls of that rank that callers made.
        endpoints: Endpoints' lives, with the calls that ended there, the milliseconds that calls
            were in progress there, and the calls that it refused.
        returns: Requests that were refused just now, with the seconds until they may be back.
    """

    name: str
    incarnation: int
    age_s: float
    arrived: list[tuple[str, int, int]]
    endpoints: list[tuple[str, int, int, int]]
    returns: list[tuple[bytes, float]]
