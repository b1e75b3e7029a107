"""Lets plain calls pass to their service's endpoints, or has them wait or refuses them."""

import trio

from cleatlink.core.data import Refusal, Role
from cleatlink.core.errors import ErrorKind
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.parts import RelayParts
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.plain_admission import (
    WAIT_SHARE,
    AdmissionQueue,
    Ticket,
    retry_after_s,
)
from cleatlink.routing.plain_judge import Applicant, Judgement, PlainJudge

__all__ = ["PlainGate"]


class _Waiter:
    """A call that waits, and whether it may pass."""

    __slots__ = ("decided", "passes")

    def __init__(self) -> None:
        self.decided = trio.Event()
        self.passes = False

    def decide(self, *, passes: bool) -> None:
        """End the wait."""
        self.passes = passes
        self.decided.set()


class _Line:
    """The calls of one service that wait here."""

    def __init__(self, queue: AdmissionQueue) -> None:
        self.queue = queue
        self.waiters: dict[Ticket, _Waiter] = {}

    def settle(self) -> None:
        """Let those pass whose turn it is, and give up those that are too many."""
        while (ticket := self.queue.pass_next()) is not None:
            self.waiters.pop(ticket).decide(passes=True)
        while (ticket := self.queue.drop_last()) is not None:
            self.waiters.pop(ticket).decide(passes=False)

    def open(self) -> None:
        """Let all pass."""
        for ticket in self.queue.clear():
            self.waiters.pop(ticket).decide(passes=True)


class PlainGate:
    """Admits the plain calls of one instance."""

    def __init__(self, parts: RelayParts) -> None:
        self._parts = parts
        self._judge = PlainJudge(parts.capacity, parts.rng)
        self._lines: dict[str, _Line] = {}

    @property
    def _is_used(self) -> bool:
        return self._parts.capacity.switches.uses(Mechanism.PLAIN_ADMISSION)

    async def enter(self, call: Call) -> Refusal | None:
        """Wait until a call may be sent.

        Returns:
            None once it may; why it is refused if it may not.
        """
        if not self._is_used:
            return None
        judged = self._judge.judge(self._applicant(call), trio.current_time())
        if judged.bearing.is_free:
            if call.service.name in self._lines:
                self._lines[call.service.name].open()
            return None
        line = self._line(call.service.name)
        ticket = line.queue.arrive(judged.rank, judged.share)
        waiter = line.waiters[ticket] = _Waiter()
        line.settle()
        began_at = trio.current_time()
        try:
            if not waiter.decided.is_set() and self._should_wait(call, ticket, judged):
                with trio.move_on_after(self._wait_s(call)):
                    await waiter.decided.wait()
        finally:
            # Also for a caller that leaves: its turn goes to another one.
            self._leave(line, ticket)
        if waiter.passes or (not waiter.decided.is_set() and self.has_room(call)):
            waited_s = trio.current_time() - began_at
            self._parts.metrics.count_plain("waited" if waited_s else "passed")
            return None
        return self._refuse(call, judged)

    def has_room(self, call: Call) -> bool:
        """Tell whether a call's service has room for calls that need not be sent."""
        if not self._is_used:
            return True
        return self._judge.bearing(call.service.name, trio.current_time()).is_free

    def retry_after_s(self, call: Call, usual_s: float) -> float:
        """Give when a caller that endpoints refused is to come back.

        Args:
            call: Its call.
            usual_s: The same for all callers, where they are not spread.
        """
        if not self._is_used:
            return usual_s
        spare_s = call.route.heeded_share * call.left_s
        return retry_after_s(spare_s, self._parts.rng.random())

    def _applicant(self, call: Call) -> Applicant:
        """Describe a call; what it asks is worked out only where a refused call is expected."""
        identity = call.identity if len(self._parts.capacity.plain_returns) else b""
        return Applicant(call.service.name, call.priority, identity, call.sends > 0)

    def _wait_s(self, call: Call) -> float:
        return max(0.0, min(WAIT_SHARE * call.route.target_s - call.age_s, call.left_s))

    def _should_wait(self, call: Call, ticket: Ticket, judged: Judgement) -> bool:
        """Tell whether a call should pass within the time for which it can wait."""
        service = call.service.name
        if self._opens_in_s(call) > self._wait_s(call):
            return False
        expected = self._judge.expected(judged, service, self._wait_s(call), trio.current_time())
        return self._judge.queue(service).may_pass_within(ticket, expected)

    def _opens_in_s(self, call: Call) -> float:
        """Give in how many seconds an endpoint takes calls: all may rest, or be at their limits."""
        capacity, now = self._parts.capacity, trio.current_time()
        return capacity.opens_in_s(call.service.name, Role.PLAIN, now) or 0.0

    def _leave(self, line: _Line, ticket: Ticket) -> None:
        line.queue.remove(ticket)
        line.waiters.pop(ticket, None)

    def _line(self, service: str) -> _Line:
        line = self._lines.get(service)
        if line is None:
            line = self._lines[service] = _Line(self._judge.queue(service))
        return line

    def _refuse(self, call: Call, judged: Judgement) -> Refusal:
        parts, now = self._parts, trio.current_time()
        retry_s = max(self.retry_after_s(call, 0.0), self._opens_in_s(call))
        parts.capacity.plain_returns.expect(call.identity, now + retry_s)
        parts.metrics.count_plain("refused")
        heard_ago_s = parts.capacity.plain.heard_ago_s(now)
        call.log(
            "has no place",
            rank=judged.rank,
            share=round(judged.share, 3),
            fill=round(judged.bearing.fill, 2),
            bears_per_s=round(judged.bearing.per_s, 1),
            waiting=len(self._line(call.service.name).queue),
            heard_ago_s=None if heard_ago_s is None else round(heard_ago_s, 3),
            retry_after_s=round(retry_s, 3),
        )
        return Refusal(ErrorKind.NO_ROOM, "the service's endpoints are full", retry_s)
