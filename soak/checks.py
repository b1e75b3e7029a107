"""The promises, judged on a run's history alone."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple

from soak.checks_of_words import limits_of_workers_hold, rests_are_kept, words_are_heard
from soak.records import Arrival, History, Request, RequestKind, Switch
from soak.violations import DRAIN_S, SLACK_S, Violation

__all__ = ["CHECKS", "Violation", "judge"]

# What the settings of the soak's instances say.
APPLY_S = 2.0
LEASE_S = 3.0
CONTACT_S = 3.0
WINDOW_S = 10.0
BUDGET_RATIO = 0.2
_GONE_S = 0.5
# A close that crosses a request on the way to the instance is nobody's fault.
_CROSSING_S = 0.2
# What the settings of the soak's instances say of limits.
LIMIT_WINDOW_S = 8.0
LIMIT_OVERSHOOT = 0.25
LIMIT_SLACK = 12.0
# A registration that changed is known to all who watch within this.
_HEARD_S = 1.0
# Calls to the store a second of each instance. Each change ends a wait, and one that is away is
# asked again after 0.05 s to 0.6 s; a loop without a pause made 560.
MOST_STORE_CALLS = 20.0
# Tries of a request that crashed three workers, later than instances take to hear of it.
MOST_LATE_CRASHES = 3
_NOT_RUN = frozenset({408, 421, 429, 503})
_ONCE = frozenset({RequestKind.UNSAFE, RequestKind.STREAM})
_STREAMS = frozenset({RequestKind.STREAM, RequestKind.RESUMABLE})
_EVENTS = 8


def _at_most_once(history: History) -> Iterator[Violation]:
    """What may not be repeated runs at most once."""
    runs = Counter(run.request for run in history.runs)
    for request in history.requests:
        if request.kind in _ONCE and runs[request.name] > 1:
            yield Violation("", f"{request.kind} ran {runs[request.name]} times", (request.name,))


def _not_run_is_true(history: History) -> Iterator[Violation]:
    """What is refused as not run has not run and never does."""
    ran = {run.request for run in history.runs}
    for request in history.requests:
        if request.status in _NOT_RUN and request.kind in _ONCE and request.name in ran:
            yield Violation("", f"{request.status} although it ran", (request.name,))


def _refusals_say_when(history: History) -> Iterator[Violation]:
    """A refusal that promises says when to come back."""
    for request in history.requests:
        if request.status in (429, 503) and not request.retry_after:
            yield Violation("", f"{request.status} without a time", (request.name,))


def _own_answer(history: History) -> Iterator[Violation]:
    """A success is a worker's whole answer to this request, and nothing follows it."""
    for request in history.requests:
        if request.surplus:
            yield Violation("", f"{request.surplus[:40]!r} after the answer", (request.name,))
        if not 200 <= request.status < 300 or request.left:
            continue
        if request.owner != request.name or not request.signed:
            yield Violation("", f"answer of {request.owner!r}", (request.name,))
        elif request.whole and not _is_whole_body(request):
            yield Violation("", f"ends as complete: {request.body[-60:]!r}", (request.name,))


def _is_whole_body(request: Request) -> bool:
    if request.kind not in _STREAMS:
        return request.body == b"served"
    name = request.name.encode()
    events = (
        b"id: %d\ndata: %s %d\n\n" % (number, name, number) for number in range(1, 1 + _EVENTS)
    )
    return request.body == b"".join(events)


def _stream_order(history: History) -> Iterator[Violation]:
    """A stream's events come each once and in order, also when it breaks off."""
    for request in history.requests:
        if request.kind not in _STREAMS or request.status != 200:
            continue
        whole = request.body.split(b"\n\n")[:-1]
        name = request.name.encode()
        wanted = [b"id: %d\ndata: %s %d" % (n, name, n) for n in range(1, 1 + len(whole))]
        if whole != wanted:
            yield Violation("", f"events {whole[-3:]!r}", (request.name,))


class _LateArrival(NamedTuple):
    """What reached a worker later than it may after its entry said that it leaves."""

    arrival: Arrival
    request: Request
    left_at: float

    def violation(self, since_what: str) -> Violation:
        """Give it as a violation of a promise that counts from the worker's word."""
        late_s = self.arrival.at - self.left_at
        detail = f"{self.arrival.worker} got work {late_s:.2f} s after {since_what}"
        return Violation("", detail, (self.request.name,))


def _late_arrivals(history: History) -> Iterator[_LateArrival]:
    """Give what reached workers too long after they said in their entries that they leave."""
    left_at = {item.worker: item.at for item in history.withdrawals}
    senders = {request.name: request for request in history.requests}
    for arrival in history.arrivals:
        at, request = left_at.get(arrival.worker), senders.get(arrival.request)
        if at is None or request is None or arrival.at <= at + DRAIN_S + SLACK_S:
            continue
        yield _LateArrival(arrival, request, at)


def _leaving_gets_nothing(history: History) -> Iterator[Violation]:
    """A worker that leaves gets nothing new after its time to drain."""
    for late in _late_arrivals(history):
        if _in_touch(history, late.request, late.left_at - CONTACT_S, late.arrival.at):
            yield late.violation("it said that it leaves")


def _known_leaving_gets_nothing(history: History) -> Iterator[Violation]:
    """What an instance knows of a worker's leaving holds whatever becomes of the store."""
    for late in _late_arrivals(history):
        since, at = late.left_at - CONTACT_S, late.arrival.at
        if history.is_calm("store", since, at):
            # Then the leaving is judged as such.
            continue
        was_told = history.is_calm("store", since, late.left_at + _HEARD_S)
        if was_told and history.is_calm(f"instance {late.request.instance}", since, at):
            yield late.violation("it was known to leave")


def _store_calls_stay_few(history: History) -> Iterator[Violation]:
    """Calls to the store stay bounded, whatever it answers."""
    bound = MOST_STORE_CALLS * history.instances * history.seconds
    if history.store_calls > bound:
        yield Violation("", f"{history.store_calls} calls, more than {bound:.0f}")


def _in_touch(history: History, request: Request | None, since: float, until: float) -> bool:
    """Tell whether the instance that took a request, and the store, were undisturbed."""
    if request is None:
        return False
    instance = f"instance {request.instance}"
    return history.is_calm("store", since, until) and history.is_calm(instance, since, until)


def _configuration_in_force(history: History) -> Iterator[Violation]:
    """A configuration is in force in time."""
    for arrival, request in _switch_arrivals(history):
        current = _switch_at(history, request.sent_at)
        if current is None or arrival.service == current.service:
            continue
        if request.sent_at < current.at + APPLY_S + SLACK_S:
            continue
        if any(current.at < switch.at <= arrival.at for switch in history.switches):
            continue
        if _in_touch(history, request, current.at - CONTACT_S, arrival.at):
            late_s = request.sent_at - current.at
            yield Violation("", f"old service {late_s:.2f} s after the change", (request.name,))


def _configuration_never_reverts(history: History) -> Iterator[Violation]:
    """Within one life of a process, what a configuration changed does not come back."""
    seen: dict[tuple[int, int], int] = {}
    numbers = {switch.service: number for number, switch in enumerate(history.switches)}
    for arrival, request in sorted(_switch_arrivals(history), key=lambda item: item[1].sent_at):
        life = (request.instance, request.life)
        number = numbers.get(arrival.service, -1)
        if number < seen.get(life, -1):
            yield Violation("", f"{arrival.service} came back", (request.name,))
        seen[life] = max(number, seen.get(life, -1))


def _switch_arrivals(history: History) -> list[tuple[Arrival, Request]]:
    senders = {item.name: item for item in history.requests if item.kind is RequestKind.SWITCH}
    return [
        (arrival, senders[arrival.request])
        for arrival in history.arrivals
        if arrival.request in senders
    ]


def _switch_at(history: History, time: float) -> Switch | None:
    before = [switch for switch in history.switches if switch.at <= time]
    return before[-1] if before else None


def _planned_stop(history: History) -> Iterator[Violation]:
    """A planned stop cuts nothing off and ends with 0."""
    ran = {run.request for run in history.runs}
    for stop in history.stops:
        instance = f"instance {stop.instance}"
        if stop.code != 0:
            build = "an earlier build" if stop.is_earlier_build else "this build"
            yield Violation("", f"{instance}, of {build}, ended with {stop.code}")
        since = stop.began_at - CONTACT_S
        for request in history.requests:
            if (request.instance, request.life) != (stop.instance, stop.life):
                continue
            if request.left or request.whole or request.ended_at < stop.began_at:
                continue
            if not _workers_calm(history, since, request.ended_at):
                continue
            if not history.is_calm(instance, since, request.ended_at):
                continue
            waited_s = request.ended_at - request.sent_at
            if request.name in ran or waited_s > _CROSSING_S:
                yield Violation("", f"{instance} cut it off", (request.name,))


def _workers_calm(history: History, since: float, until: float) -> bool:
    disturbed = {spell.what for spell in history.spells if spell.what.startswith("i-")}
    return all(history.is_calm(worker, since, until) for worker in disturbed)


def _gone_callers_end_work(history: History) -> Iterator[Violation]:
    """No worker goes on for a caller that is gone."""
    gone = {request.name: request for request in history.requests if request.left}
    for run in history.runs:
        request = gone.get(run.request)
        if request is None:
            continue
        instance = f"instance {request.instance}"
        late_s = min(run.ended_at, history.ended_at) - request.ended_at
        since = request.sent_at - CONTACT_S
        until = request.ended_at + _GONE_S + SLACK_S
        if late_s <= _GONE_S + SLACK_S or run.began_at > until:
            continue
        if history.is_calm(instance, since, until) and history.is_calm(run.worker, since, until):
            detail = f"{run.worker} worked on for {late_s:.2f} s after its caller had left"
            yield Violation("", detail, (run.request,))


def _one_gives_orders(history: History) -> Iterator[Violation]:
    """Two instances never give orders within the lease, and fences rise."""
    last = None
    for order in sorted(history.orders, key=lambda item: item.at):
        if last is not None and last.holder != order.holder:
            if order.at - last.at < LEASE_S:
                yield Violation("", f"{last.holder} and {order.holder} within the lease")
            if order.fence <= last.fence:
                yield Violation("", f"{order.holder} has a fence of {last.holder} or an older one")
        last = order


def _retry_budget(history: History) -> Iterator[Violation]:
    """Extra arrivals stay within what all instances share."""
    services: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(history.arrivals, key=lambda item: item.at):
        services[arrival.service].append(arrival)
    for service, arrivals in services.items():
        first: set[tuple[str, bool]] = set()
        extras = []
        for arrival in arrivals:
            key = (arrival.request, arrival.prefill)
            if key in first:
                extras.append(arrival.at)
            first.add(key)
        for at in extras:
            count = sum(at - WINDOW_S < other <= at for other in extras)
            asked = sum(at - 2 * WINDOW_S < item.at <= at for item in arrivals)
            if count > BUDGET_RATIO * asked + history.budget:
                yield Violation("", f"{count} extra arrivals at {service} for {asked}")
                break


def _told_whose_it_is(history: History) -> Iterator[Violation]:
    """A worker is told whose a request is, and never the key."""
    senders = {request.name: request for request in history.requests}
    for arrival in history.arrivals:
        request = senders.get(arrival.request)
        if request is None:
            continue
        if arrival.organisation != request.caller.organisation:
            detail = f"told {arrival.organisation!r} for {request.caller.organisation!r}"
            yield Violation("", detail, (request.name,))
        if arrival.key:
            yield Violation("", "the key reached a worker", (request.name,))


def _keys_in_force(history: History) -> Iterator[Violation]:
    """A key that was taken away is refused in time, and a new one served."""
    taken = {change.old: change.at for change in history.keys}
    given = {change.new: change.at for change in history.keys}
    ran = {run.request for run in history.runs}
    for request in history.requests:
        key, bound_s = request.caller.key, APPLY_S + SLACK_S
        holds = key not in taken
        since = given.get(key, 0.0) if holds else taken[key]
        is_late = request.sent_at > since + bound_s
        if not is_late or not _in_touch(history, request, since - CONTACT_S, request.ended_at):
            continue
        if not holds and request.name in ran:
            late_s = request.sent_at - since
            detail = f"ran with a key {late_s:.2f} s after it was taken away"
            yield Violation("", detail, (request.name,))
        if holds and request.status == 401:
            yield Violation("", "refused with a key that holds", (request.name,))


def _limits_hold(history: History) -> Iterator[Violation]:
    """What runs of an organisation stays within its limit, over all instances."""
    senders = {request.name: request.caller.organisation for request in history.requests}
    for organisation in {limit.organisation for limit in history.limits}:
        times = sorted(
            run.began_at for run in history.runs if senders.get(run.request) == organisation
        )
        for at in times:
            count = sum(at - LIMIT_WINDOW_S < other <= at for other in times)
            bound = _limit_bound(history, organisation, at)
            if count > bound:
                yield Violation("", f"{count} of {organisation} for {bound:.1f}")
                break


def _limit_bound(history: History, organisation: str, at: float) -> float:
    """Give how much may run in the window before a time; a lower limit binds a window later."""
    changes = [change for change in history.limits if change.organisation == organisation]
    since = at - 2 * LIMIT_WINDOW_S - APPLY_S
    before = [change for change in changes if change.at <= since][-1:]
    bounds = [
        change.rate * LIMIT_WINDOW_S + change.burst
        for change in (*before, *changes)
        if change.at > since or change in before
    ]
    return max(bounds) * (1 + LIMIT_OVERSHOOT) + LIMIT_SLACK


def _crashing_requests_stop(history: History) -> Iterator[Violation]:
    """A request that crashed three workers reaches few more."""
    by_body: dict[str, list[float]] = defaultdict(list)
    for run in history.crashes:
        by_body[run.body].append(run.at)
    for body, times in by_body.items():
        times.sort()
        late = [at for at in times if at > times[min(2, len(times) - 1)] + CONTACT_S]
        if len(late) > MOST_LATE_CRASHES:
            yield Violation("", f"{body} crashed {len(times)} workers, {len(late)} of them late")


def _goes_on(history: History) -> Iterator[Violation]:
    """No process ends by itself, and all serve again once everything has healed."""
    for text in history.exits:
        yield Violation("", text)
    for instance in history.unserved:
        yield Violation("", f"instance {instance} serves nothing after all has healed")


CHECKS: dict[str, Callable[[History], Iterator[Violation]]] = {
    "at most once": _at_most_once,
    "'not run' is true": _not_run_is_true,
    "refusals say when to come back": _refusals_say_when,
    "the whole answer to its own request": _own_answer,
    "events in order": _stream_order,
    "a leaving worker gets nothing": _leaving_gets_nothing,
    "what is known to leave gets nothing": _known_leaving_gets_nothing,
    "a worker's word is heard": words_are_heard,
    "rests are kept": rests_are_kept,
    "limits of workers hold": limits_of_workers_hold,
    "calls to the store stay few": _store_calls_stay_few,
    "a configuration is in force": _configuration_in_force,
    "a configuration never reverts": _configuration_never_reverts,
    "a planned stop cuts nothing off": _planned_stop,
    "no work for callers that are gone": _gone_callers_end_work,
    "one gives orders": _one_gives_orders,
    "retries within the budget": _retry_budget,
    "workers are told whose a request is": _told_whose_it_is,
    "keys in force": _keys_in_force,
    "limits hold over all": _limits_hold,
    "requests that crash workers stop": _crashing_requests_stop,
    "it goes on": _goes_on,
}


def judge(history: History) -> list[Violation]:
    """Give every violation in a history."""
    return [
        violation._replace(check=name)
        for name, check in CHECKS.items()
        for violation in check(history)
    ]
