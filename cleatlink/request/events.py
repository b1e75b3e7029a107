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
    "StreamBroken",
    "CallerDisconnected",
    "Cancel",
    "FailureCause",
    "DeadlinePassed",
    "SendDecode",
    "Event",
    "OrderFailed",
    "Finish",
    "StreamOpened",
    "FindPlacement",
    "PlacementFound",
    "SendPrefill",
    "PrefillDone",
    "ReadStreamEvent",
    "StreamEventReceived",
    "Refuse",
    "ForwardEvent",
    "ResumeStream",
    "CountRetry",
    "PlacementFailed",
    "CountWastedPrefill",
]


class FailureCause(StrEnum):
    """Why an order to an endpoint failed.

    The cause shows whether the request may have run: it did not run if the endpoint was
    unreachable or refused the order.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class PlacementFound(NamedTuple):
    """Endpoints were found for the request."""

    placement: Placement


class PlacementFailed(NamedTuple):
    """No endpoint was found for the request."""

    refusal: Refusal


class PrefillDone(NamedTuple):
    """The prefill has finished and its result can be imported."""

    attempt: int
    kv: KvHandle


class OrderFailed(NamedTuple):
    """An order of the attempt failed at an endpoint."""

    attempt: int
    endpoint: Endpoint
    cause: FailureCause


class StreamOpened(NamedTuple):
    """The stream of the decode is open for reading."""

    attempt: int


class StreamEventReceived(NamedTuple):
    """An event of the decode's stream arrived.

    Attributes:
        attempt: Attempt whose stream was read.
        attempt_id: Request and attempt that the event names as its own, ``request.attempt``.
        position: Position of the event in the answer.
        data: Content of the event.
        end: Whether this is the last event of the stream.
    """

    attempt: int
    attempt_id: str
    position: int
    data: bytes
    end: bool


class StreamBroken(NamedTuple):
    """The stream ended early or stalled."""

    attempt: int


class DeadlinePassed(NamedTuple):
    """The request's deadline has passed."""


class CallerDisconnected(NamedTuple):
    """The caller disconnected or gave up."""


class FindPlacement(NamedTuple):
    """Find endpoints for the request, except the excluded ones."""

    excluded: frozenset[str]


class SendPrefill(NamedTuple):
    """Send a prefill order; a position above 0 continues an answer."""

    attempt: int
    placement: Placement
    position: int


class SendDecode(NamedTuple):
    """Send a decode order that imports the prefill result."""

    attempt: int
    placement: Placement
    kv: KvHandle
    position: int


class ReadStreamEvent(NamedTuple):
    """Read the next event of the open stream."""

    attempt: int


class ResumeStream(NamedTuple):
    """Reopen the stream of the same decode at a position."""

    attempt: int
    endpoint: Endpoint
    position: int


class ForwardEvent(NamedTuple):
    """Forward one event to the caller."""

    position: int
    data: bytes


class Cancel(NamedTuple):
    """Cancel the request at an endpoint, up to and including an attempt."""

    endpoint: Endpoint
    attempt: int


class CountRetry(NamedTuple):
    """Count a retry by its reason."""

    reason: str


class CountWastedPrefill(NamedTuple):
    """Count a prefill that ran, or may have run, and whose result is not used."""

    attempt: int


class Finish(NamedTuple):
    """Complete the request: the whole answer has been forwarded."""


class Refuse(NamedTuple):
    """End the request with an error: no result, or no further result, follows."""

    refusal: Refusal


Event = (
    PlacementFound
    | PlacementFailed
    | PrefillDone
    | OrderFailed
    | StreamOpened
    | StreamOpened
    | StreamEventReceived
    | StreamBroken
    | DeadlinePassed
    | CallerDisconnected
)
Action = (
    FindPlacement
    | SendPrefill
    | SendDecode
    | ReadStreamEvent
    | ResumeStream
    | ForwardEvent
    | Cancel
    | CountRetry
    | CountWastedPrefill
    | Finish
    | Refuse
)
