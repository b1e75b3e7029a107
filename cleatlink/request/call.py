"""One plain service call's life as a state machine.

A call that may not be repeated leaves at most once: only an order that never
left, or that the endpoint refused, is followed by another.
"""

from collections.abc import Mapping
from fnmatch import fnmatchcase
from typing import NamedTuple

from cleatlink.core.data import CallRule, Endpoint, Limits, Ran, Refusal
from cleatlink.core.errors import ErrorKind
from cleatlink.request.budget import RetryBudget
from cleatlink.request.events import (
    Cause,
    DeadlinePassed,
    Failed,
    Finish,
    Place,
    Refuse,
    Retried,
    Unplaced,
)

__all__ = ["Answered", "CallAction", "CallEvent", "CallMachine", "Found", "Send", "is_repeatable"]

_SAFE_TO_REPEAT = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})


class Found(NamedTuple):
    """The call has an endpoint."""

    endpoint: Endpoint


class Answered(NamedTuple):
    """The endpoint answered, whatever the status."""

    attempt: int
    status: int
    headers: Mapping[str, str]
    body: bytes


class Send(NamedTuple):
    """Send the call to an endpoint."""

    attempt: int
    endpoint: Endpoint


CallEvent = Found | Unplaced | Answered | Failed | DeadlinePassed
CallAction = Place | Send | Retried | Finish | Refuse


def is_repeatable(rules: tuple[CallRule, ...], method: str, path: str) -> bool:
    """Tell whether a call may be sent again after an unknown outcome.

    A call that an operator's rule names may not, and neither may a method that
    HTTP does not define as idempotent.
    """
    named = any(rule.method in ("*", method) and fnmatchcase(path, rule.path) for rule in rules)
    return not named and method in _SAFE_TO_REPEAT


class CallMachine:
    """The life of one call."""

    def __init__(self, repeatable: bool, limits: Limits, budget: RetryBudget) -> None:
        self._repeatable = repeatable
        self._limits = limits
        self._budget = budget
        self._attempt = -1
        self._excluded: set[str] = set()
        self._ran = Ran.NO
        self._out = False
        self._done = False
        self._answer: Answered | None = None

    @property
    def answer(self) -> Answered | None:
        """The endpoint's answer, once there is one."""
        return self._answer

    @property
    def ran(self) -> Ran:
        """What is known about whether the call ran."""
        return Ran.UNKNOWN if self._out and self._ran is Ran.NO else self._ran

    def start(self) -> list[CallAction]:
        """Give the first action."""
        return [Place(frozenset())]

    def handle(self, event: CallEvent) -> list[CallAction]:
        """Take one event and give what is to be done, in order."""
        late = isinstance(event, Answered | Failed) and event.attempt != self._attempt
        if self._done or late:
            return []
        match event:
            case Found(endpoint):
                self._attempt += 1
                self._out = True
                return [Send(self._attempt, endpoint)]
            case Unplaced(refusal):
                return self._refuse(refusal if self._ran is Ran.NO else self._failure())
            case Answered():
                return self._finish(event)
            case Failed():
                return self._fail(event)
            case DeadlinePassed():
                return self._refuse(self._deadline_refusal())

    def _finish(self, event: Answered) -> list[CallAction]:
        self._answer = event
        self._ran = Ran.YES
        self._done = True
        return [Finish()]

    def _fail(self, event: Failed) -> list[CallAction]:
        self._out = False
        self._excluded.add(event.endpoint.name)
        if event.cause is Cause.UNKNOWN:
            self._ran = Ran.UNKNOWN
            if not self._repeatable:
                return self._refuse(self._failure())
        if self._attempt + 1 >= self._limits.max_attempts or not self._budget.take():
            return self._refuse(self._failure())
        return [Retried(event.cause.value), Place(frozenset(self._excluded))]

    def _refuse(self, refusal: Refusal) -> list[CallAction]:
        self._done = True
        return [Refuse(refusal)]

    def _failure(self) -> Refusal:
        if self._ran is Ran.NO:
            return Refusal(ErrorKind.ENDPOINT_REFUSED, "no endpoint accepted the call")
        return Refusal(ErrorKind.ENDPOINT_FAILED, "the call left, but no answer came")

    def _deadline_refusal(self) -> Refusal:
        if self.ran is Ran.NO:
            return Refusal(ErrorKind.DEADLINE_NOT_RUN, "deadline passed before the call left")
        return Refusal(ErrorKind.DEADLINE_PASSED, "deadline passed while the call was out")
