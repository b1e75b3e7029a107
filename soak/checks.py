"""Checks of the promises that the program makes, based only on the history of a run."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple

from soak.answer_checks import (
    check_endless_responses,
    check_returned_statuses,
    check_waits_for_endless,
)
from soak.connection_checks import check_skewed_connections
from soak.notice_checks import check_announced_limits, check_backoffs, check_leaving_notices
from soak.prompt_checks import check_crashing_parts, check_sound_prompts
from soak.records import Arrival, History, LostPaths, Request, RequestKind, RouteMove
from soak.violations import DRAIN_S, SLACK_S, Violation
from standins.relay.extra_arrivals import BudgetLimits, SentRequest, find_fullest_window

__all__ = ["CHECKS", "Violation", "check_history"]

# Bounds and ratios that follow from the settings of the soak's instances. A configuration applies
# within `APPLY_S`; an instance is up to date again `CATCH_UP_S` after a fault or an event.
APPLY_S = 2.0
LEASE_S = 3.0
CATCH_UP_S = 3.0
RETRY_WINDOW_S = 10.0
RETRY_RATIO = 0.2
# Work for a caller that has disconnected ends within this time.
_CANCEL_S = 0.5
# An instance that stops may close a connection while a request is in transit to it. A request that
# fails within this time without having run doesn't count as interrupted.
_IN_TRANSIT_S = 0.2
# Limits of organisations, as in the settings of the soak's instances: they hold per window, with
# tolerance while instances can't reach each other.
LIMIT_WINDOW_S = 8.0
LIMIT_OVERSHOOT_SHARE = 0.25
LIMIT_SLACK_REQUESTS = 12.0
# All instances that watch the store know a changed registration within this time.
_REGISTRATION_DELAY_S = 1.0
# Largest number of calls to the store per second and instance. Each change ends a wait for changes,
# and an unavailable store is retried after 0.05 s to 0.6 s; a loop without a pause made 560.
MAX_STORE_CALLS_PER_S = 20.0
# Largest number of workers that a request may crash after its third crash, once all instances have
# had time to learn of that crash.
MAX_LATE_CRASHES = 3
# Instances that lost their paths serve at least this share of what the others serve, apart from a
# few failures; the loss has to be noticed within `_LOSS_DETECTION_S` seconds.
_LOST_PATHS_RATIO = 2 / 3
_TOLERATED_FAILURES = 10
_TOLERATED_FAILURE_SHARE = 1 / 50
_LOSS_DETECTION_S = 1.0
_NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
_UNREPEATABLE_KINDS = frozenset({RequestKind.UNSAFE, RequestKind.STREAM})
_STREAM_KINDS = frozenset({RequestKind.STREAM, RequestKind.RESUMABLE})
_EVENTS_PER_STREAM = 8


def _check_unrepeatable_runs(history: History) -> Iterator[Violation]:
    """Check that requests that must not be repeated run at most once."""
    runs = Counter(run.request_id for run in history.runs)
    for request in history.requests:
        if request.kind in _UNREPEATABLE_KINDS and runs[request.request_id] > 1:
            yield Violation(
                "",
                f"{request.kind} request ran {runs[request.request_id]} times",
                (request.request_id,),
            )


def _check_not_executed_answers(history: History) -> Iterator[Violation]:
    """Check that a request that was rejected as not executed never runs, whatever its kind."""
    executed_ids = {run.request_id for run in history.runs}
    for request in history.requests:
        if request.status in _NOT_EXECUTED_STATUSES and request.request_id in executed_ids:
            yield Violation(
                "", f"status {request.status}, but the request ran", (request.request_id,)
            )


def _check_retry_after(history: History) -> Iterator[Violation]:
    """Check that rejections with a status that allows a retry have a Retry-After header."""
    for request in history.requests:
        if request.status in (429, 503) and not request.retry_after:
            yield Violation(
                "", f"status {request.status} without Retry-After", (request.request_id,)
            )


def _check_answer_contents(history: History) -> Iterator[Violation]:
    """Check that a success is a worker's complete answer to this request, without extra bytes.

    No answer carries the ID of another request, whatever its status.
    """
    for request in history.requests:
        if request.extra_bytes:
            yield Violation(
                "",
                f"extra bytes {request.extra_bytes[:40]!r} on the connection",
                (request.request_id,),
            )
        if request.answer_id not in ("", request.request_id):
            yield Violation(
                "",
                f"answer with status {request.status} has the ID {request.answer_id!r}",
                (request.request_id,),
            )
            continue
        if not 200 <= request.status < 300 or request.caller_left:
            continue
        if request.answer_id != request.request_id or not request.is_signed:
            yield Violation(
                "",
                f"answer has the ID {request.answer_id!r} or no signature",
                (request.request_id,),
            )
        elif request.is_complete and not _is_complete_body(request):
            yield Violation(
                "", f"complete answer with the body {request.body[-60:]!r}", (request.request_id,)
            )


def _is_complete_body(request: Request) -> bool:
    if request.kind not in _STREAM_KINDS:
        return request.body == b"served"
    request_id = request.request_id.encode()
    events = (
        b"id: %d\ndata: %s %d\n\n" % (number, request_id, number)
        for number in range(request.first_event, 1 + _EVENTS_PER_STREAM)
    )
    return request.body == b"".join(events)


def _check_stream_events(history: History) -> Iterator[Violation]:
    """Check that events arrive once each and in order, also in a stream that is interrupted."""
    for request in history.requests:
        if request.kind not in _STREAM_KINDS or request.status != 200:
            continue
        events = request.body.split(b"\n\n")[:-1]
        request_id = request.request_id.encode()
        numbers = range(request.first_event, request.first_event + len(events))
        expected = [b"id: %d\ndata: %s %d" % (n, request_id, n) for n in numbers]
        if events != expected:
            yield Violation(
                "", f"wrong sequence of events, ending with {events[-3:]!r}", (request.request_id,)
            )


def _check_builds(history: History) -> Iterator[Violation]:
    """Check that all events of a stream, over all attempts of its caller, are of one build."""
    builds: dict[str, set[str]] = defaultdict(set)
    requests: dict[str, list[str]] = defaultdict(list)
    for request in history.requests:
        stream = request.resumes or request.request_id
        builds[stream] |= set(request.builds)
        requests[stream].append(request.request_id)
    for stream, names in builds.items():
        if len(names) > 1:
            detail = f"a stream has events of the builds {', '.join(sorted(names))}"
            yield Violation("", detail, tuple(requests[stream]))


class _LateArrival(NamedTuple):
    """A request that reached a worker too late after its registration announced its leaving.

    Attributes:
        arrival: The arrival at the worker.
        request: The request.
        left_at: When the registration announced that the worker was leaving.
    """

    arrival: Arrival
    request: Request
    left_at: float

    def violation(self, event: str) -> Violation:
        """Return the violation; ``event`` names the announcement that preceded the arrival."""
        late_s = self.arrival.at - self.left_at
        detail = f"{self.arrival.worker} received a request {late_s:.2f} s after {event}"
        return Violation("", detail, (self.request.request_id,))


def _find_late_arrivals(history: History) -> Iterator[_LateArrival]:
    """Return requests that reached workers too late after registrations announced leaving."""
    left_at = {item.worker: item.at for item in history.withdrawals}
    requests_by_id = {request.request_id: request for request in history.requests}
    for arrival in history.arrivals:
        at, request = left_at.get(arrival.worker), requests_by_id.get(arrival.request_id)
        if at is None or request is None or arrival.at <= at + DRAIN_S + SLACK_S:
            continue
        yield _LateArrival(arrival, request, at)


def _check_leaving_workers(history: History) -> Iterator[Violation]:
    """Check that a leaving worker gets no new request after the time allowed for that."""
    for late in _find_late_arrivals(history):
        if _store_and_instance_undisturbed(
            history, late.request, late.left_at - CATCH_UP_S, late.arrival.at
        ):
            yield late.violation("its registration announced that it is leaving")


def _check_known_leaving_workers(history: History) -> Iterator[Violation]:
    """Check that an instance that knows of a leaving worker sends it nothing if the store fails."""
    for late in _find_late_arrivals(history):
        since, at = late.left_at - CATCH_UP_S, late.arrival.at
        if history.is_undisturbed("store", since, at):
            # `_check_leaving_workers` covers this case.
            continue
        was_known = history.is_undisturbed("store", since, late.left_at + _REGISTRATION_DELAY_S)
        if was_known and history.is_undisturbed(f"instance {late.request.instance}", since, at):
            yield late.violation("the announcement of its leaving, which the instance had read")


def _check_store_calls(history: History) -> Iterator[Violation]:
    """Check that the number of calls to the store is bounded, whatever the store answers."""
    bound = MAX_STORE_CALLS_PER_S * history.instance_count * history.traffic_s
    if history.store_calls > bound:
        yield Violation(
            "", f"{history.store_calls} calls to the store, above the limit of {bound:.0f}"
        )


def _store_and_instance_undisturbed(
    history: History, request: Request | None, since: float, until: float
) -> bool:
    """Return whether the store and the instance that received a request were undisturbed."""
    if request is None:
        return False
    instance = f"instance {request.instance}"
    return history.is_undisturbed("store", since, until) and history.is_undisturbed(
        instance, since, until
    )


def _check_configuration_applies(history: History) -> Iterator[Violation]:
    """Check that a new configuration applies in time."""
    for arrival, request in _find_moving_route_arrivals(history):
        current = _find_last_route_move(history, request.sent_at)
        if current is None or arrival.service == current.service:
            continue
        if request.sent_at < current.at + APPLY_S + SLACK_S:
            continue
        if any(current.at < move.at <= arrival.at for move in history.route_moves):
            continue
        if _store_and_instance_undisturbed(history, request, current.at - CATCH_UP_S, arrival.at):
            late_s = request.sent_at - current.at
            yield Violation(
                "", f"earlier service {late_s:.2f} s after the route changed", (request.request_id,)
            )


def _check_configuration_order(history: History) -> Iterator[Violation]:
    """Check that a process never returns to a configuration that it has replaced."""
    seen: dict[tuple[int, int], int] = {}
    move_numbers = {move.service: number for number, move in enumerate(history.route_moves)}
    for arrival, request in sorted(
        _find_moving_route_arrivals(history), key=lambda item: item[1].sent_at
    ):
        process = (request.instance, request.incarnation)
        number = move_numbers.get(arrival.service, -1)
        if number < seen.get(process, -1):
            yield Violation(
                "",
                f"{arrival.service} after a newer configuration was in use",
                (request.request_id,),
            )
        seen[process] = max(number, seen.get(process, -1))


def _find_moving_route_arrivals(history: History) -> list[tuple[Arrival, Request]]:
    """Return the requests on the moving route that reached workers, with their arrivals."""
    requests_by_id = {
        item.request_id: item for item in history.requests if item.kind is RequestKind.SWITCH
    }
    return [
        (arrival, requests_by_id[arrival.request_id])
        for arrival in history.arrivals
        if arrival.request_id in requests_by_id
    ]


def _find_last_route_move(history: History, time: float) -> RouteMove | None:
    """Return the last route move up to a time; None if there was none."""
    before = [move for move in history.route_moves if move.at <= time]
    return before[-1] if before else None


def _check_planned_stops(history: History) -> Iterator[Violation]:
    """Check that a planned stop interrupts no request and that its process exits with 0."""
    executed_ids = {run.request_id for run in history.runs}
    endless_ids = {response.request_id for response in history.endless_responses}
    for stop in history.stops:
        instance = f"instance {stop.instance}"
        if stop.code != 0:
            build = "an earlier build" if stop.is_earlier_build else "this build"
            yield Violation("", f"{instance}, running {build}, exited with code {stop.code}")
        since = stop.began_at - CATCH_UP_S
        for request in history.requests:
            if (request.instance, request.incarnation) != (stop.instance, stop.incarnation):
                continue
            if request.caller_left or request.is_complete or request.ended_at < stop.began_at:
                continue
            if request.request_id in endless_ids:
                # Its answer can't be complete; `check_waits_for_endless` bounds its duration.
                continue
            if not _workers_undisturbed(history, since, request.ended_at):
                continue
            if not history.is_undisturbed(instance, since, request.ended_at):
                continue
            waited_s = request.ended_at - request.sent_at
            if request.request_id in executed_ids or waited_s > _IN_TRANSIT_S:
                yield Violation(
                    "",
                    f"{instance} interrupted the request in a planned stop",
                    (request.request_id,),
                )


def _workers_undisturbed(history: History, since: float, until: float) -> bool:
    disturbed = {
        disturbance.component
        for disturbance in history.disturbances
        if disturbance.component.startswith("i-")
    }
    return all(history.is_undisturbed(worker, since, until) for worker in disturbed)


def _check_disconnected_callers(history: History) -> Iterator[Violation]:
    """Check that workers stop running the requests of callers that have disconnected."""
    disconnected = {
        request.request_id: request for request in history.requests if request.caller_left
    }
    for run in history.runs:
        request = disconnected.get(run.request_id)
        if request is None:
            continue
        instance = f"instance {request.instance}"
        late_s = min(run.ended_at, history.ended_at) - request.ended_at
        since = request.sent_at - CATCH_UP_S
        until = request.ended_at + _CANCEL_S + SLACK_S
        if late_s <= _CANCEL_S + SLACK_S or run.began_at > until:
            continue
        if history.is_undisturbed(instance, since, until) and history.is_undisturbed(
            run.worker, since, until
        ):
            detail = f"{run.worker} ran it for {late_s:.2f} s after its caller disconnected"
            yield Violation("", detail, (run.request_id,))


def _check_single_leader(history: History) -> Iterator[Violation]:
    """Check that two instances never give orders within one lease, and that fencing tokens rise."""
    last = None
    for order in sorted(history.orders, key=lambda item: item.at):
        if last is not None and last.holder != order.holder:
            if order.at - last.at < LEASE_S:
                yield Violation(
                    "", f"{last.holder} and {order.holder} gave orders within one lease"
                )
            if order.fence <= last.fence:
                yield Violation(
                    "", f"fencing token of {order.holder} is not above that of {last.holder}"
                )
        last = order


def _check_retry_budget(history: History) -> Iterator[Violation]:
    """Check that extra sends stay within the retry budget that all instances share."""
    limits = BudgetLimits(RETRY_RATIO, history.extra_send_allowance, RETRY_WINDOW_S)
    sent = [SentRequest(service, request.sent_at) for service, request in _find_services(history)]
    for service in sorted({item.service for item in history.arrival_records}):
        use = find_fullest_window(service, history.arrival_records, sent, limits)
        if use is not None and use.excess > 0:
            yield Violation(
                "",
                f"{use.extra_arrivals} extra sends to {service} for {use.requests} requests, "
                f"{use.allowed:.1f} allowed",
            )


def _find_services(history: History) -> Iterator[tuple[str, Request]]:
    """Yield each request with the service that its route leads to."""
    arrived_at = {arrival.request_id: arrival.service for arrival in history.arrivals}
    for request in history.requests:
        by_route = "model" if request.kind in _STREAM_KINDS else "plain"
        is_moving = request.kind is RequestKind.SWITCH
        service = arrived_at.get(request.request_id, "" if is_moving else by_route)
        yield service, request


def _check_organisation_headers(history: History) -> Iterator[Violation]:
    """Check that workers receive the organisation of a request, and never its API key."""
    requests_by_id = {request.request_id: request for request in history.requests}
    for arrival in history.arrivals:
        request = requests_by_id.get(arrival.request_id)
        if request is None:
            continue
        if arrival.organisation != request.caller.organisation:
            detail = f"organisation {arrival.organisation!r}, not {request.caller.organisation!r}"
            yield Violation("", detail, (request.request_id,))
        if arrival.authorization:
            yield Violation("", "the API key reached a worker", (request.request_id,))


def _check_keys(history: History) -> Iterator[Violation]:
    """Check that a revoked API key is rejected in time, and a new one accepted in time."""
    revoked_at = {change.old_key: change.at for change in history.key_changes}
    issued_at = {change.new_key: change.at for change in history.key_changes}
    executed_ids = {run.request_id for run in history.runs}
    for request in history.requests:
        api_key, bound_s = request.caller.api_key, APPLY_S + SLACK_S
        is_valid = api_key not in revoked_at
        since = issued_at.get(api_key, 0.0) if is_valid else revoked_at[api_key]
        is_late = request.sent_at > since + bound_s
        if not is_late or not _store_and_instance_undisturbed(
            history, request, since - CATCH_UP_S, request.ended_at
        ):
            continue
        if not is_valid and request.request_id in executed_ids:
            late_s = request.sent_at - since
            detail = f"request ran with an API key {late_s:.2f} s after the key was revoked"
            yield Violation("", detail, (request.request_id,))
        if is_valid and request.status == 401:
            yield Violation(
                "", "rejected as unauthorised although its API key is valid", (request.request_id,)
            )


def _check_organisation_limits(history: History) -> Iterator[Violation]:
    """Check that the runs of an organisation stay within its limit over all instances."""
    organisation_by_id = {
        request.request_id: request.caller.organisation for request in history.requests
    }
    for organisation in {limit.organisation for limit in history.limit_changes}:
        times = sorted(
            run.began_at
            for run in history.runs
            if organisation_by_id.get(run.request_id) == organisation
        )
        for at in times:
            count = sum(at - LIMIT_WINDOW_S < other <= at for other in times)
            bound = _compute_max_runs(history, organisation, at)
            if count > bound:
                yield Violation(
                    "", f"{count} runs of {organisation}, above the limit of {bound:.1f}"
                )
                break


def _compute_max_runs(history: History, organisation: str, at: float) -> float:
    """Return how many requests may run in the window that ends at a time.

    A lowered limit only binds one window after it applies.
    """
    changes = [change for change in history.limit_changes if change.organisation == organisation]
    since = at - 2 * LIMIT_WINDOW_S - APPLY_S
    before = [change for change in changes if change.at <= since][-1:]
    bounds = [
        change.rate_per_s * LIMIT_WINDOW_S + change.burst
        for change in (*before, *changes)
        if change.at > since or change in before
    ]
    return max(bounds) * (1 + LIMIT_OVERSHOOT_SHARE) + LIMIT_SLACK_REQUESTS


def _check_crashing_requests(history: History) -> Iterator[Violation]:
    """Check that a request that crashed three workers crashes only few more."""
    by_body: dict[str, list[float]] = defaultdict(list)
    for run in history.crashes:
        if run.body:
            by_body[run.body].append(run.at)
    for body, times in by_body.items():
        times.sort()
        late = [at for at in times if at > times[min(2, len(times) - 1)] + CATCH_UP_S]
        if len(late) > MAX_LATE_CRASHES:
            yield Violation(
                "",
                f"{body} crashed {len(times)} workers, {len(late)} after its third crash was known",
            )


class _ServedShare(NamedTuple):
    """How many of some requests were served."""

    served: int
    sent: int

    @property
    def share(self) -> float:
        """Share of the requests that were served."""
        return self.served / self.sent


def _check_lost_paths(history: History) -> Iterator[Violation]:
    """Check that an instance without paths to workers serves nearly as well as the others."""
    cut: list[Request] = []
    others: list[Request] = []
    for request in history.requests:
        periods = [item for item in history.lost_paths if _is_during(request, item)]
        if request.caller_left or not periods:
            continue
        is_cut = any(item.instance == request.instance for item in periods)
        (cut if is_cut else others).append(request)
    if not cut or not others:
        return
    cut_share, other_share = _served_share(cut), _served_share(others)
    failed = cut_share.sent - cut_share.served
    tolerated = _TOLERATED_FAILURES + _TOLERATED_FAILURE_SHARE * cut_share.sent
    if cut_share.share < _LOST_PATHS_RATIO * other_share.share and failed > tolerated:
        detail = (
            f"instances without paths served {cut_share.served} of {cut_share.sent} requests, "
            f"the others {other_share.served} of {other_share.sent}"
        )
        yield Violation("", detail, tuple(item.request_id for item in cut if item.status != 200))


def _is_during(request: Request, lost: LostPaths) -> bool:
    """Check whether a request was sent when the loss of paths should have been noticed."""
    return lost.began_at + _LOSS_DETECTION_S <= request.sent_at <= lost.ended_at


def _served_share(requests: list[Request]) -> _ServedShare:
    return _ServedShare(sum(item.status == 200 for item in requests), len(requests))


def _check_liveness(history: History) -> Iterator[Violation]:
    """Check that no process exits by itself, and that all serve requests after the faults."""
    for text in history.process_failures:
        yield Violation("", text)
    for instance in history.unserving_instances:
        yield Violation("", f"instance {instance} serves no requests after all faults have ended")


CHECKS: dict[str, Callable[[History], Iterator[Violation]]] = {
    "at most once": _check_unrepeatable_runs,
    "'not run' is true": _check_not_executed_answers,
    "refusals say when to come back": _check_retry_after,
    "the whole answer to its own request": _check_answer_contents,
    "a worker's status goes with its signature": check_returned_statuses,
    "bytes without end are cut off": check_endless_responses,
    "no caller waits for bytes without end": check_waits_for_endless,
    "events in order": _check_stream_events,
    "a stream is of one build": _check_builds,
    "a leaving worker gets nothing": _check_leaving_workers,
    "what is known to leave gets nothing": _check_known_leaving_workers,
    "a worker's word is heard": check_leaving_notices,
    "rests are kept": check_backoffs,
    "limits of workers hold": check_announced_limits,
    "calls to the store stay few": _check_store_calls,
    "a configuration is in force": _check_configuration_applies,
    "a configuration never reverts": _check_configuration_order,
    "a planned stop cuts nothing off": _check_planned_stops,
    "no work for callers that are gone": _check_disconnected_callers,
    "one gives orders": _check_single_leader,
    "retries within the budget": _check_retry_budget,
    "workers are told whose a request is": _check_organisation_headers,
    "keys in force": _check_keys,
    "limits hold over all": _check_organisation_limits,
    "requests that crash workers stop": _check_crashing_requests,
    "parts of prompts that crash workers stop": check_crashing_parts,
    "other prompts go on": check_sound_prompts,
    "most connections at one instance cost no answers": check_skewed_connections,
    "a lost path costs no answers": _check_lost_paths,
    "it goes on": _check_liveness,
}


def check_history(history: History) -> list[Violation]:
    """Return all violations in a history."""
    return [
        violation._replace(check=name)
        for name, check in CHECKS.items()
        for violation in check(history)
    ]
