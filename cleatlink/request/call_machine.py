"""The state machine of one call to a plain service.

A call that is not repeatable is sent at most once, unless it is certain that it did
not run: another attempt follows only if the call was never sent or the endpoint
refused it. An answer whose status says that the call did not run, without being a refusal,
leaves its outcome unknown and is not passed on.
"""

from collections.abc import Mapping
from fnmatch import fnmatchcase
from typing import NamedTuple

from cleatlink.core.data import Endpoint, ExecutionStatus, Limits, Refusal, UnrepeatableCallRule
from cleatlink.core.errors import NOT_RUN_STATUSES, ErrorKind
from cleatlink.request.events import (
    CountRetry,
    DeadlinePassed,
    FailureCause,
    FindPlacement,
    Finish,
    OrderFailed,
    PlacementFailed,
    Refuse,
)
from cleatlink.request.retry_budget import RetryBudget

__all__ = [
    "AnswerReceived",
    "CallAction",
    "CallEvent",
    "CallMachine",
    "EndpointFound",
    "SendCall",
    "is_repeatable",
]

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})


class EndpointFound(NamedTuple):
    """An endpoint was found for the call."""

    endpoint: Endpoint


class AnswerReceived(NamedTuple):
    """The endpoint answered, with any status code."""

    attempt: int
    status: int
    headers: Mapping[str, str]
    body: bytes


class SendCall(NamedTuple):
    """Send the call to an endpoint."""

    attempt: int
    endpoint: Endpoint


CallEvent = EndpointFound | PlacementFailed | AnswerReceived | OrderFailed | DeadlinePassed
CallAction = FindPlacement | SendCall | CountRetry | Finish | Refuse


def is_repeatable(rules: tuple[UnrepeatableCallRule, ...], method: str, path: str) -> bool:
    """Check whether a call may be sent again after an unknown outcome.

    A call is not repeatable if a rule of the operator matches it or if HTTP does
    not define its method as idempotent.
    """
    matches_rule = any(
        rule.method in ("*", method) and fnmatchcase(path, rule.path) for rule in rules
    )
    return not matches_rule and method in _IDEMPOTENT_METHODS


class CallMachine:
    """State machine of one call to a plain service."""

    def __init__(self, repeatable: bool, limits: Limits, budget: RetryBudget) -> None:
        self._repeatable = repeatable
        self._limits = limits
        self._budget = budget
        self._attempt = -1
        self._endpoint: Endpoint | None = None
        self._excluded_names: set[str] = set()
        self._ran = ExecutionStatus.NO
        self._in_flight = False
        self._is_done = False
        self._answer: AnswerReceived | None = None

    @property
    def answer(self) -> AnswerReceived | None:
        """The endpoint's answer, or None if no answer has arrived."""
        return self._answer

    @property
    def ran(self) -> ExecutionStatus:
        """Whether the call ran, as far as is known."""
        return (
            ExecutionStatus.UNKNOWN
            if self._in_flight and self._ran is ExecutionStatus.NO
            else self._ran
        )

    def start(self) -> list[CallAction]:
        """Return the first action."""
        return [FindPlacement(frozenset())]

    def handle(self, event: CallEvent) -> list[CallAction]:
        """Process one event and return the resulting actions, in the order of execution."""
        is_stale = (
            isinstance(event, AnswerReceived | OrderFailed) and event.attempt != self._attempt
        )
        if self._is_done or is_stale:
            return []
        match event:
            case EndpointFound(endpoint):
                self._attempt += 1
                self._endpoint = endpoint
                self._in_flight = True
                return [SendCall(self._attempt, endpoint)]
            case PlacementFailed(refusal):
                return self._refuse(
                    refusal if self._ran is ExecutionStatus.NO else self._failure_refusal()
                )
            case AnswerReceived(_, status) if status in NOT_RUN_STATUSES:
                assert self._endpoint is not None
                return self._fail(OrderFailed(event.attempt, self._endpoint, FailureCause.UNKNOWN))
            case AnswerReceived():
                return self._finish(event)
            case OrderFailed():
                return self._fail(event)
            case DeadlinePassed():
                return self._refuse(self._deadline_refusal())

    def _finish(self, event: AnswerReceived) -> list[CallAction]:
        self._answer = event
        self._ran = ExecutionStatus.YES
        self._is_done = True
        return [Finish()]

    def _fail(self, event: OrderFailed) -> list[CallAction]:
        self._in_flight = False
        self._excluded_names.add(event.endpoint.name)
        if event.cause is FailureCause.UNKNOWN:
            self._ran = ExecutionStatus.UNKNOWN
            if not self._repeatable:
                return self._refuse(self._failure_refusal())
        if self._attempt + 1 >= self._limits.max_attempts or not self._budget.try_spend():
            return self._refuse(self._failure_refusal())
        return [CountRetry(event.cause.value), FindPlacement(frozenset(self._excluded_names))]

    def _refuse(self, refusal: Refusal) -> list[CallAction]:
        self._is_done = True
        return [Refuse(refusal)]

    def _failure_refusal(self) -> Refusal:
        if self._ran is ExecutionStatus.NO:
            return Refusal(ErrorKind.ENDPOINT_REFUSED, "no endpoint accepted the call")
        return Refusal(
            ErrorKind.ENDPOINT_FAILED, "the call left, but no answer shows whether it ran"
        )

    def _deadline_refusal(self) -> Refusal:
        if self.ran is ExecutionStatus.NO:
            return Refusal(ErrorKind.DEADLINE_NOT_RUN, "deadline passed before the call left")
        return Refusal(ErrorKind.DEADLINE_PASSED, "deadline passed while the call was out")
