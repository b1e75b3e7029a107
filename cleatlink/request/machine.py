"""One model request's life as a state machine: events in, actions out, no I/O.

The machine has one commit point: the first token passed on. Before it, a
failed attempt is replaced by another one; after it, the same answer is
continued from the next position. Every endpoint that may hold memory for the
request is remembered until the endpoint is done with it or told to cancel.
"""

from enum import StrEnum

from cleatlink.core.data import Endpoint, KvHandle, Limits, Placement, Ran, Refusal
from cleatlink.core.errors import ErrorKind
from cleatlink.request.budget import RetryBudget
from cleatlink.request.events import (
    Action,
    Broken,
    CallerGone,
    Cancel,
    Cause,
    DeadlinePassed,
    Decode,
    Event,
    Failed,
    Finish,
    Opened,
    Place,
    Placed,
    Prefill,
    PrefillDone,
    Read,
    Received,
    Refuse,
    Relay,
    Resume,
    Retried,
    Unplaced,
    Wasted,
)

__all__ = ["ModelMachine", "Phase"]

# Reading one decode again is cheap; a stream that needs it more often is sick.
_MAX_RESUMES = 16
# A decode that gives nothing new when read again this often has stalled for good.
_MAX_IDLE_RESUMES = 2


class Phase(StrEnum):
    """Where a request is in its life."""

    PLACING = "placing"
    PREFILLING = "prefilling"
    DECODING = "decoding"
    DONE = "done"


class ModelMachine:
    """The life of one model request."""

    def __init__(self, name: str, limits: Limits, budget: RetryBudget) -> None:
        self._name = name
        self._limits = limits
        self._budget = budget
        self._phase = Phase.PLACING
        self._attempt = -1
        self._placement: Placement | None = None
        self._excluded: set[str] = set()
        self._last_failed = ""
        self._holders: list[tuple[Endpoint, int]] = []
        self._next = 0
        self._resumes = 0
        self._idle_resumes = 0
        self._ran = Ran.NO
        self._prefill_unused = False
        self._foreign = 0

    @property
    def phase(self) -> Phase:
        """Where the request is in its life."""
        return self._phase

    @property
    def attempt(self) -> int:
        """Number of the current attempt, from 0; -1 before the first."""
        return self._attempt

    @property
    def ran(self) -> Ran:
        """What is known about whether the request ran."""
        return self._ran

    @property
    def holders(self) -> tuple[tuple[Endpoint, int], ...]:
        """Endpoints which may hold memory, each with the attempt that holds it."""
        return tuple(self._holders)

    @property
    def foreign(self) -> int:
        """Events received that belonged to another request or attempt."""
        return self._foreign

    def start(self) -> list[Action]:
        """Give the first action."""
        return [Place(frozenset())]

    def handle(self, event: Event) -> list[Action]:
        """Take one event and give what is to be done, in order."""
        if self._phase is Phase.DONE or self._is_late(event):
            return []
        # First, because it comes for each token.
        if isinstance(event, Received):
            return self._receive(event)
        match event:
            case Placed(placement):
                return self._begin_attempt(placement)
            case Unplaced(refusal):
                return self._place_again(refusal)
            case PrefillDone(_, kv):
                return self._begin_decode(kv)
            case Failed():
                return self._retry(event)
            case Opened(attempt):
                return [Read(attempt)]
            case Broken():
                return self._resume()
            case DeadlinePassed():
                return self._give_up(self._deadline_refusal())
            case CallerGone():
                return self._end()

    def _is_late(self, event: Event) -> bool:
        """Tell whether an event belongs to an attempt that was given up."""
        if isinstance(event, PrefillDone | Failed | Opened | Received | Broken):
            return event.attempt != self._attempt
        return False

    def _begin_attempt(self, placement: Placement) -> list[Action]:
        self._attempt += 1
        self._placement = placement
        self._phase = Phase.PREFILLING
        self._holders.append((placement.prefill, self._attempt))
        return [Prefill(self._attempt, placement, self._next)]

    def _begin_decode(self, kv: KvHandle) -> list[Action]:
        assert self._placement is not None
        self._ran = Ran.YES
        self._prefill_unused = True
        self._phase = Phase.DECODING
        if self._placement.decode != self._placement.prefill:
            self._holders.append((self._placement.decode, self._attempt))
        return [Decode(self._attempt, self._placement, kv, self._next)]

    def _receive(self, event: Received) -> list[Action]:
        """Pass an event on only if it is the very next one of this attempt."""
        if event.owner != f"{self._name}.{self._attempt}":
            self._foreign += 1
            return [Read(self._attempt)]
        if event.position < self._next:
            return [Read(self._attempt)]
        if event.position > self._next:
            return self._resume()
        if event.end:
            self._holders.clear()
            self._phase = Phase.DONE
            return [Finish()]
        self._next += 1
        self._idle_resumes = 0
        self._prefill_unused = False
        return [Relay(event.position, event.data), Read(self._attempt)]

    def _resume(self) -> list[Action]:
        """Read the decode again, or start another attempt where that is no use."""
        assert self._placement is not None
        self._resumes += 1
        self._idle_resumes += 1
        if self._resumes > _MAX_RESUMES or self._idle_resumes > _MAX_IDLE_RESUMES:
            failed = Failed(self._attempt, self._placement.decode, Cause.UNKNOWN)
            return self._retry(failed)
        resume = Resume(self._attempt, self._placement.decode, self._next)
        return [Retried("resume"), resume]

    def _retry(self, event: Failed) -> list[Action]:
        """Cancel what the failed attempt holds, then place again if that is allowed."""
        if self._resumes and event.cause is Cause.UNREACHABLE:
            # It had the work before it was out of reach, so it may hold it still.
            event = event._replace(cause=Cause.UNKNOWN)
        if event.cause is Cause.UNKNOWN and self._ran is Ran.NO:
            self._ran = Ran.UNKNOWN
        self._last_failed = event.endpoint.name
        if event.cause is not Cause.REFUSED:
            self._excluded.add(event.endpoint.name)
        actions = self._drop_attempt(event)
        if self._attempt + 1 >= self._limits.max_attempts or not self._budget.take():
            return actions + self._give_up(self._failure_refusal())
        self._phase = Phase.PLACING
        self._resumes = self._idle_resumes = 0
        # What refused may accept later, as when only the hand-over was too slow.
        excluded = frozenset(self._excluded | {event.endpoint.name})
        return [*actions, Retried(event.cause.value), Place(excluded)]

    def _place_again(self, refusal: Refusal) -> list[Action]:
        """Forgive what failed before the last failure if nothing else is left."""
        if self._excluded - {self._last_failed}:
            self._excluded.clear()
            return [Place(frozenset({self._last_failed}))]
        return self._give_up(self._truthful(refusal))

    def _drop_attempt(self, event: Failed) -> list[Action]:
        """Cancel every holder, but for an endpoint that surely holds nothing."""
        actions: list[Action] = []
        if self._prefill_unused or event.cause is Cause.UNKNOWN:
            actions.append(Wasted(self._attempt))
        for endpoint, attempt in self._holders:
            if not self._holds_nothing(endpoint, event):
                actions.append(Cancel(endpoint, attempt))
        self._holders.clear()
        self._prefill_unused = False
        return actions

    def _holds_nothing(self, endpoint: Endpoint, event: Failed) -> bool:
        """Tell whether a failure proves that an endpoint holds nothing."""
        if endpoint.name != event.endpoint.name or event.cause is Cause.UNKNOWN:
            return False
        # One endpoint for both: a refused decode leaves the prefill's result there.
        assert self._placement is not None
        is_prefill = endpoint.name == self._placement.prefill.name
        return self._phase is Phase.PREFILLING or not is_prefill

    def _give_up(self, refusal: Refusal) -> list[Action]:
        return [*self._end(), Refuse(refusal)]

    def _end(self) -> list[Action]:
        """Cancel everything that may hold memory; nothing happens afterwards."""
        actions: list[Action] = []
        if self._prefill_unused and self._next == 0:
            actions.append(Wasted(self._attempt))
        actions += [Cancel(endpoint, attempt) for endpoint, attempt in self._holders]
        self._holders.clear()
        self._phase = Phase.DONE
        return actions

    def _truthful(self, refusal: Refusal) -> Refusal:
        """Keep a refusal from saying ``not run`` when an attempt may have run."""
        if self._next or self._ran is not Ran.NO:
            return self._failure_refusal()
        return refusal

    def _failure_refusal(self) -> Refusal:
        if self._next:
            return Refusal(ErrorKind.STREAM_BROKEN, f"answer broke off after {self._next} tokens")
        if self._ran is Ran.NO:
            return Refusal(ErrorKind.ENDPOINT_REFUSED, "no endpoint accepted the request")
        return Refusal(ErrorKind.ENDPOINT_FAILED, "every attempt failed")

    def _deadline_refusal(self) -> Refusal:
        if self._next:
            return self._failure_refusal()
        # An order that is out when the deadline passes may be running.
        out = self._phase in (Phase.PREFILLING, Phase.DECODING)
        if out or self._ran is not Ran.NO:
            return Refusal(ErrorKind.DEADLINE_PASSED, "deadline passed while the request ran")
        return Refusal(ErrorKind.DEADLINE_NOT_RUN, "deadline passed before the request was placed")
