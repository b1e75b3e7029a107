"""Events and actions of the request state machines.

A state machine receives events and returns actions. ``attempt`` is the number of
an attempt of one request, starting at 0. An event of an attempt that is no longer
current is late.
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
    """Why an order to an endpoint failed.

    The cause shows whether the request may have run: it did not run if the endpoint was
    unreachable or refused the order.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Placed(NamedTuple):
    """Endpoints were found for the request."""

    placement: Placement


class Unplaced(NamedTuple):
    """No endpoint was found for the request."""

    refusal: Refusal


class PrefillDone(NamedTuple):
    """The prefill has finished and its result can be imported."""

    attempt: int
    kv: KvHandle


class Failed(NamedTuple):
    """An order of the attempt failed at an endpoint."""

    attempt: int
    endpoint: Endpoint
    cause: Cause


class Opened(NamedTuple):
    """The stream of the decode is open for reading."""

    attempt: int


class Received(NamedTuple):
    """An event of the decode's stream arrived.

    Attributes:
        attempt: Attempt whose stream was read.
        owner: Request and attempt that the event names as its own, ``request.attempt``.
        position: Position of the event in the answer.
        data: Content of the event.
        end: Whether this is the last event of the stream.
    """

    attempt: int
    owner: str
    position: int
    data: bytes
    end: bool


class Broken(NamedTuple):
    """The stream ended early or stalled."""

    attempt: int


class DeadlinePassed(NamedTuple):
    """The request's deadline has passed."""


class CallerGone(NamedTuple):
    """The caller disconnected or gave up."""


class Place(NamedTuple):
    """Find endpoints for the request, except the excluded ones."""

    excluded: frozenset[str]


class Prefill(NamedTuple):
    """Send a prefill order; a position above 0 continues an answer."""

    attempt: int
    placement: Placement
    position: int


class Decode(NamedTuple):
    """Send a decode order that imports the prefill result."""

    attempt: int
    placement: Placement
    kv: KvHandle
    position: int


class Read(NamedTuple):
    """Read the next event of the open stream."""

    attempt: int


class Resume(NamedTuple):
    """Reopen the stream of the same decode at a position."""

    attempt: int
    endpoint: Endpoint
    position: int


class Relay(NamedTuple):
    """Forward one event to the caller."""

    position: int
    data: bytes


class Cancel(NamedTuple):
    """Cancel the request at an endpoint, up to and including an attempt."""

    endpoint: Endpoint
    attempt: int


class Retried(NamedTuple):
    """Count a retry by its reason."""

    reason: str


class Wasted(NamedTuple):
    """Count a prefill that ran, or may have run, and whose result is not used."""

    attempt: int


class Finish(NamedTuple):
    """Complete the request: the whole answer has been forwarded."""


class Refuse(NamedTuple):
    """End the request with an error: no result, or no further result, follows."""

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
