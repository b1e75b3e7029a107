"""What happens to a request, and what is to be done about it.

Events go into a machine, actions come out. ``attempt`` numbers the tries of
one request from 0; an event of an attempt that is no longer current is late.
"""

from enum import StrEnum
from typing import NamedTuple

from cleatlink.core.data import Endpoint, KvHandle, Placement, Refusal

__all__ = [
    "Action",
    "Broken",
    "CallerGone",
    "Cancel",
    "Cause",
    "DeadlinePassed",
    "Decode",
    "Event",
    "Failed",
    "Finish",
    "Opened",
    "Place",
    "Placed",
    "Prefill",
    "PrefillDone",
    "Read",
    "Received",
    "Refuse",
    "Relay",
    "Resume",
    "Retried",
    "Unplaced",
    "Wasted",
]


class Cause(StrEnum):
    """Why an order to an endpoint failed, by what it says about running."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Placed(NamedTuple):
    """The request has a place."""

    placement: Placement


class Unplaced(NamedTuple):
    """The request has no place."""

    refusal: Refusal


class PrefillDone(NamedTuple):
    """The prefill's result waits to be imported."""

    attempt: int
    kv: KvHandle


class Failed(NamedTuple):
    """An order of this attempt failed at an endpoint."""

    attempt: int
    endpoint: Endpoint
    cause: Cause


class Opened(NamedTuple):
    """The decode's stream can be read."""

    attempt: int


class Received(NamedTuple):
    """One event of the decode's stream; ``end`` marks the last one."""

    attempt: int
    owner: str
    position: int
    data: bytes
    end: bool


class Broken(NamedTuple):
    """The stream stopped before its end, or stalled."""

    attempt: int


class DeadlinePassed(NamedTuple):
    """The request's deadline has passed."""


class CallerGone(NamedTuple):
    """The caller disconnected or gave up."""


class Place(NamedTuple):
    """Find a place without the excluded endpoints."""

    excluded: frozenset[str]


class Prefill(NamedTuple):
    """Order a prefill; a position above 0 continues an answer."""

    attempt: int
    placement: Placement
    position: int


class Decode(NamedTuple):
    """Order a decode that imports the prefill's result."""

    attempt: int
    placement: Placement
    kv: KvHandle
    position: int


class Read(NamedTuple):
    """Read the next event of the open stream."""

    attempt: int


class Resume(NamedTuple):
    """Read the same decode again from a position."""

    attempt: int
    endpoint: Endpoint
    position: int


class Relay(NamedTuple):
    """Pass one event on to the caller."""

    position: int
    data: bytes


class Cancel(NamedTuple):
    """Have an endpoint drop this request up to an attempt."""

    endpoint: Endpoint
    attempt: int


class Retried(NamedTuple):
    """Count a retry with its reason."""

    reason: str


class Wasted(NamedTuple):
    """Count prefill that was done, or may have been, for nothing."""

    attempt: int


class Finish(NamedTuple):
    """The whole answer has been passed on."""


class Refuse(NamedTuple):
    """Give the final answer: the request gets no, or no more, result."""

    refusal: Refusal


Event = (
    Placed
    | Unplaced
    | PrefillDone
    | Failed
    | Opened
    | Opened
    | Received
    | Broken
    | DeadlinePassed
    | CallerGone
)
Action = (
    Place | Prefill | Decode | Read | Resume | Relay | Cancel | Retried | Wasted | Finish | Refuse
)
