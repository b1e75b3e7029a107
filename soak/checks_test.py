"""Each check reports the violation that it looks for, and none in a history without one."""

import math

import pytest

from soak.answer_checks import (
    check_endless_responses,
    check_returned_statuses,
    check_waits_for_endless,
)
from soak.checks import CHECKS, check_history
from soak.connection_checks import check_skewed_connections
from soak.records import (
    AnnouncedWorkerLimit,
    Arrival,
    CallerIdentity,
    CrashingPart,
    CrashingRun,
    Disturbance,
    Downtime,
    EndlessResponse,
    History,
    KeyChange,
    LimitChange,
    LostPaths,
    Order,
    Request,
    RequestedBackoff,
    RequestKind,
    RouteMove,
    SkewedConnections,
    Stop,
    Withdrawal,
    WorkerLeavingNotice,
    WorkerRun,
)
from standins.relay.endless_answers import EndlessPart
from standins.relay.extra_arrivals import WorkerArrival

EMPTY_HISTORY = History([], [], [], [], [], [], [], [], [], [], 5.0, 100.0)
SUCCESS = Request("r1", RequestKind.SAFE, 1, 1, 50.0, 50.1, 200, "r1", True, True, b"served")


def stream(request_id: str, *numbers: int) -> bytes:
    return b"".join(b"id: %d\ndata: %s %d\n\n" % (n, request_id.encode(), n) for n in numbers)


def run(request_id: str, began_at: float = 50.0, ended_at: float = 50.1) -> WorkerRun:
    return WorkerRun(request_id, "i-1", "plain", began_at, ended_at, False)


def endless(part: EndlessPart, ended_at: float, sent_bytes: int = 70_000) -> EndlessResponse:
    return EndlessResponse("r1", "i-1", part, 50.1, ended_at, sent_bytes)


def arrival(request_id: str, at: float, service: str = "plain") -> Arrival:
    return Arrival(request_id, "i-1", service, at, False)


UNSAFE = SUCCESS._replace(kind=RequestKind.UNSAFE)
STREAM = SUCCESS._replace(kind=RequestKind.RESUMABLE, body=stream("r1", *range(1, 9)))
SWITCH = SUCCESS._replace(kind=RequestKind.SWITCH)
INTERRUPTED = SUCCESS._replace(status=0, answer_id="", is_signed=False, is_complete=False, body=b"")
FAILURE = SUCCESS._replace(status=502, is_signed=False)
ROUTE_MOVES = [RouteMove("s0", 10.0), RouteMove("s1", 40.0)]

VIOLATING_HISTORIES = {
    "a lost path costs no answers": EMPTY_HISTORY._replace(
        requests=[
            *(SUCCESS._replace(status=503, retry_after="1") for _ in range(11)),
            *(SUCCESS._replace(instance=2) for _ in range(20)),
        ],
        lost_paths=(LostPaths(1, 45.0, 55.0),),
    ),
    "requests that crash workers stop": EMPTY_HISTORY._replace(
        crashes=tuple(CrashingRun("crash-1", f"i-{at}", 10.0 + at) for at in (0, 1, 2, 6, 7, 8, 9))
    ),
    "parts of prompts that crash workers stop": EMPTY_HISTORY._replace(
        crashes=tuple(
            CrashingRun("", f"i-{at}", 10.0 + at, "bad1") for at in (0, 1, 2, 3, 4, 8, 9, 10, 11)
        )
    ),
    "other prompts go on": EMPTY_HISTORY._replace(
        crashes=(CrashingRun("", "i-1", 10.0, "bad1"),),
        crashing_parts=(CrashingPart("bad1", 10.0, 30.0),),
        requests=[
            STREAM._replace(sent_at=at, status=status, retry_after="1")
            for at, status in (*((40.0, 200),) * 20, *((17.0, 503),) * 11, *((17.0, 200),) * 9)
        ],
    ),
    "most connections at one instance cost no answers": EMPTY_HISTORY._replace(
        skewed_connections=(SkewedConnections(1, 45.0, 60.0),),
        requests=[
            SUCCESS._replace(sent_at=at, status=status, retry_after="1")
            for at, status in (*((44.0, 200),) * 20, *((50.0, 503),) * 6, *((50.0, 200),) * 14)
        ],
    ),
    "at most once": EMPTY_HISTORY._replace(requests=[UNSAFE], runs=[run("r1"), run("r1")]),
    "'not run' is true": EMPTY_HISTORY._replace(
        requests=[UNSAFE._replace(status=503, retry_after="1")], runs=[run("r1")]
    ),
    "refusals say when to come back": EMPTY_HISTORY._replace(
        requests=[SUCCESS._replace(status=503)]
    ),
    "the whole answer to its own request": EMPTY_HISTORY._replace(
        requests=[SUCCESS._replace(answer_id="r2")]
    ),
    "a worker's status goes with its signature": EMPTY_HISTORY._replace(
        requests=[SUCCESS._replace(status=500, signed_by="i-1")],
        runs=[run("r1")._replace(status=200)],
    ),
    "bytes without end are cut off": EMPTY_HISTORY._replace(
        requests=[FAILURE], endless_responses=(endless(EndlessPart.BODY, 56.0),)
    ),
    "no caller waits for bytes without end": EMPTY_HISTORY._replace(
        requests=[FAILURE._replace(ended_at=56.0)],
        endless_responses=(endless(EndlessPart.BODY, 52.0),),
    ),
    "events in order": EMPTY_HISTORY._replace(
        requests=[STREAM._replace(is_complete=False, body=stream("r1", 1, 2, 2))]
    ),
    "what is known to leave gets nothing": EMPTY_HISTORY._replace(
        withdrawals=[Withdrawal("i-1", 40.0)],
        requests=[SUCCESS],
        arrivals=[arrival("r1", 50.0)],
        # The store was restored from a copy long after the instances had read of the leaving.
        disturbances=[Disturbance("store", 45.0, 49.0)],
    ),
    "a worker's word is heard": EMPTY_HISTORY._replace(
        leaving_notices=(WorkerLeavingNotice("i-1", 40.0),),
        requests=[
            SUCCESS._replace(request_id="r0", answer_id="r0", sent_at=41.0, ended_at=41.1),
            SUCCESS,
        ],
        runs=[run("r0", 41.0, 41.1)],
        arrivals=[arrival("r0", 41.0), arrival("r1", 50.0)],
    ),
    "rests are kept": EMPTY_HISTORY._replace(
        backoffs=(RequestedBackoff("i-1", 40.0, 44.0, 3.0),),
        requests=[
            SUCCESS._replace(
                request_id=f"q{n}", answer_id=f"q{n}", sent_at=40.0 + n, ended_at=40.1 + n
            )
            for n in range(1, 5)
        ],
        arrivals=[arrival(f"q{n}", 41.0 + 0.7 * (n - 1)) for n in range(1, 5)],
    ),
    "limits of workers hold": EMPTY_HISTORY._replace(
        announced_limits=(AnnouncedWorkerLimit("i-1", 40.0, 60.0, 1.0),),
        requests=[
            SUCCESS._replace(
                request_id=f"q{n}", answer_id=f"q{n}", sent_at=41.0 + n, ended_at=41.1 + n
            )
            for n in range(13)
        ],
        runs=[run("q0", 41.0, 41.1)],
        arrivals=[arrival(f"q{n}", 43.0 + 0.3 * n) for n in range(13)],
    ),
    "a stream is of one build": EMPTY_HISTORY._replace(
        requests=[
            INTERRUPTED._replace(kind=RequestKind.RESUMABLE, builds=("v1",)),
            STREAM._replace(
                request_id="r2",
                answer_id="r2",
                resumes="r1",
                first_event=2,
                body=stream("r2", *range(2, 9)),
                builds=("v2",),
            ),
        ]
    ),
    "calls to the store stay few": EMPTY_HISTORY._replace(store_calls=3_000, instance_count=2),
    "a leaving worker gets nothing": EMPTY_HISTORY._replace(
        requests=[SUCCESS], arrivals=[arrival("r1", 50.0)], withdrawals=[Withdrawal("i-1", 46.0)]
    ),
    "a configuration is in force": EMPTY_HISTORY._replace(
        requests=[SWITCH], arrivals=[arrival("r1", 50.0, "s0")], route_moves=ROUTE_MOVES
    ),
    "a configuration never reverts": EMPTY_HISTORY._replace(
        requests=[
            SWITCH._replace(sent_at=41.0),
            SWITCH._replace(request_id="r2", answer_id="r2", sent_at=41.5),
        ],
        arrivals=[arrival("r1", 41.0, "s1"), arrival("r2", 41.5, "s0")],
        route_moves=ROUTE_MOVES,
    ),
    "a planned stop cuts nothing off": EMPTY_HISTORY._replace(
        requests=[INTERRUPTED], runs=[run("r1")], stops=[Stop(1, 1, 49.9, 53.0, 0)]
    ),
    "no work for callers that are gone": EMPTY_HISTORY._replace(
        requests=[INTERRUPTED._replace(caller_left=True)], runs=[run("r1", ended_at=52.0)]
    ),
    "one gives orders": EMPTY_HISTORY._replace(
        orders=[Order("i-1", "n1", 5, 50.0), Order("i-2", "n2", 6, 52.0)]
    ),
    "retries within the budget": EMPTY_HISTORY._replace(
        arrival_records=tuple(
            WorkerArrival("r1", "plain", 50.0 + 0.01 * number) for number in range(7)
        )
    ),
    "workers are told whose a request is": EMPTY_HISTORY._replace(
        requests=[SUCCESS._replace(caller=CallerIdentity("first", "k1"))],
        arrivals=[arrival("r1", 50.0)._replace(organisation="other")],
    ),
    "keys in force": EMPTY_HISTORY._replace(
        requests=[SUCCESS._replace(caller=CallerIdentity("first", "k1"))],
        runs=[run("r1")],
        key_changes=(KeyChange("k1", "k2", 47.0),),
    ),
    "limits hold over all": EMPTY_HISTORY._replace(
        requests=[
            SUCCESS._replace(
                request_id=f"r{n}", answer_id=f"r{n}", caller=CallerIdentity("first", "k1")
            )
            for n in range(35)
        ],
        runs=[run(f"r{n}") for n in range(35)],
        limit_changes=(LimitChange("first", 1.0, 2.0, 0.0), LimitChange("first", 0.5, 1.0, 45.0)),
    ),
    "it goes on": EMPTY_HISTORY._replace(unserving_instances=[2]),
}


@pytest.mark.parametrize("name", list(CHECKS))
def test_only_the_expected_check_reports_its_violation(name: str) -> None:
    assert {violation.check for violation in check_history(VIOLATING_HISTORIES[name])} == {name}


def test_history_without_violations_passes() -> None:
    requests = [SUCCESS, UNSAFE._replace(request_id="r2", answer_id="r2"), STREAM]
    assert check_history(EMPTY_HISTORY._replace(requests=requests, runs=[run("r2")])) == []


@pytest.mark.parametrize(
    ("name", "disturbance"),
    [
        # The instance may not have read the registration before the store failed. Once it has read
        # it, an unavailable store is no excuse.
        ("a leaving worker gets nothing", Disturbance("store", 45.0, 46.5)),
        ("a configuration is in force", Disturbance("instance 1", 41.0, 42.0)),
        ("a planned stop cuts nothing off", Disturbance("i-7", 48.0, 49.0)),
        ("limits of workers hold", Disturbance("instance 1", 43.5, 44.5)),
        ("no work for callers that are gone", Disturbance("i-1", 49.0, 51.0)),
        ("bytes without end are cut off", Disturbance("instance 1", 49.0, 51.0)),
        ("no caller waits for bytes without end", Disturbance("i-1", 49.0, 51.0)),
    ],
)
def test_disturbance_excuses_only_the_component_and_time_it_affects(
    name: str, disturbance: Disturbance
) -> None:
    history = VIOLATING_HISTORIES[name]
    assert check_history(history._replace(disturbances=[disturbance])) == []
    earlier = disturbance._replace(began_at=1.0, ended_at=2.0)
    assert check_history(history._replace(disturbances=[earlier])) != []


def test_later_store_outage_does_not_excuse_sends_to_a_worker_known_to_leave() -> None:
    history = VIOLATING_HISTORIES["a leaving worker gets nothing"]
    later = Disturbance("store", 47.5, 48.0)
    violations = check_history(history._replace(disturbances=[later]))
    assert {violation.check for violation in violations} == {"what is known to leave gets nothing"}


def test_truncated_answer_must_not_end_as_complete() -> None:
    truncated = STREAM._replace(body=stream("r1", 1, 2, 3))
    assert check_history(EMPTY_HISTORY._replace(requests=[truncated]))
    assert (
        check_history(EMPTY_HISTORY._replace(requests=[truncated._replace(is_complete=False)]))
        == []
    )


def test_equal_fencing_token_and_unfinished_run_are_reported() -> None:
    orders = [Order("i-1", "n1", 5, 50.0), Order("i-2", "n2", 5, 60.0)]
    assert check_history(EMPTY_HISTORY._replace(orders=orders))
    unfinished = EMPTY_HISTORY._replace(
        requests=[INTERRUPTED._replace(caller_left=True)], runs=[run("r1", ended_at=math.inf)]
    )
    assert check_history(unfinished)


def test_valid_key_is_accepted_and_never_reaches_a_worker() -> None:
    changes = (KeyChange("k0", "k1", 40.0),)
    rejected = SUCCESS._replace(
        status=401, answer_id="", is_signed=False, caller=CallerIdentity("first", "k1")
    )
    assert [
        item.check
        for item in check_history(EMPTY_HISTORY._replace(requests=[rejected], key_changes=changes))
    ] == ["keys in force"]
    early = rejected._replace(sent_at=41.0)
    assert check_history(EMPTY_HISTORY._replace(requests=[early], key_changes=changes)) == []
    leaked = arrival("r1", 50.0)._replace(authorization="Bearer k1")
    assert check_history(EMPTY_HISTORY._replace(requests=[SUCCESS], arrivals=[leaked]))


def test_lost_evidence_excuses_crashes_only_if_all_instances_were_down_at_once() -> None:
    history = VIOLATING_HISTORIES["parts of prompts that crash workers stop"]
    first, second = Downtime(1, 15.0, 17.0), Downtime(2, 16.0, 18.0)
    both_down = history._replace(instance_count=2, downtimes=(first, second))
    assert check_history(both_down) == []
    one_up = history._replace(instance_count=2, downtimes=(first, Downtime(2, 17.5, 18.0)))
    assert check_history(one_up) != []
    # All are down for the time of the first crashes; the later ones are as many as without that.
    early = history._replace(
        instance_count=2, downtimes=(Downtime(1, 9.0, 9.9), Downtime(2, 9.0, 9.9))
    )
    assert check_history(early) != []


def skewed_history(*requests: Request, disturbed: tuple[str, ...] = ()) -> History:
    """Return a history in which most connections went to instance 1 from 45 s to 60 s."""
    return EMPTY_HISTORY._replace(
        skewed_connections=(SkewedConnections(1, 45.0, 60.0),),
        requests=list(requests),
        disturbances=[Disturbance(name, 50.0, 52.0) for name in disturbed],
    )


def skewed_request(at: float, took_s: float, instance: int = 1, status: int = 200) -> Request:
    return SUCCESS._replace(
        sent_at=at, ended_at=at + took_s, instance=instance, status=status, retry_after="1"
    )


def test_late_answers_at_the_instance_with_most_connections_are_reported() -> None:
    before = [skewed_request(44.0, 0.05)] * 20
    late, in_time = [skewed_request(50.0, 1.0)] * 10, [skewed_request(50.0, 0.1)] * 10
    assert list(check_skewed_connections(skewed_history(*before, *late, *in_time)))
    assert not list(check_skewed_connections(skewed_history(*before, *in_time, *in_time)))


def test_skew_beside_other_faults_is_compared_with_the_other_instances() -> None:
    failed = [skewed_request(50.0, 0.1, status=503)] * 10
    served = [skewed_request(50.0, 0.1)] * 10
    others = [skewed_request(50.0, 0.1, instance=2)] * 20
    disturbed = ("store", "instance 3")
    history = skewed_history(*failed, *served, *others, disturbed=disturbed)
    assert list(check_skewed_connections(history))
    history = skewed_history(*served, *served, *others, disturbed=disturbed)
    assert not list(check_skewed_connections(history))
    history = skewed_history(*failed, *served, *others, disturbed=("instance 1",))
    assert not list(check_skewed_connections(history))


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("kind", list(RequestKind))
def test_each_status_of_rejections_promises_that_the_request_never_runs(
    kind: RequestKind, status: int
) -> None:
    rejected = FAILURE._replace(kind=kind, status=status, retry_after="1")
    history = EMPTY_HISTORY._replace(requests=[rejected])
    assert check_history(history) == []
    later = history._replace(runs=[run("r1", 60.0, 60.1)])
    assert [item.check for item in check_history(later)] == ["'not run' is true"]
    for other_status in (0, 502, 504):
        other = later._replace(requests=[rejected._replace(status=other_status)])
        assert check_history(other) == []


@pytest.mark.parametrize("status", [404, 500, 502, 503])
def test_failure_with_the_id_of_another_request_is_reported(status: int) -> None:
    failure = FAILURE._replace(status=status, retry_after="1")
    assert check_history(EMPTY_HISTORY._replace(requests=[failure])) == []
    assert check_history(EMPTY_HISTORY._replace(requests=[failure._replace(answer_id="")])) == []
    other = EMPTY_HISTORY._replace(requests=[failure._replace(answer_id="r2")])
    assert [item.check for item in check_history(other)] == ["the whole answer to its own request"]


def test_signature_belongs_to_the_worker_that_returned_the_status() -> None:
    signed = SUCCESS._replace(status=500, signed_by="i-1")
    history = EMPTY_HISTORY._replace(requests=[signed], runs=[run("r1")._replace(status=500)])
    assert not list(check_returned_statuses(history))
    of_other_worker = signed._replace(signed_by="i-2")
    assert list(check_returned_statuses(history._replace(requests=[of_other_worker])))
    of_other_request = signed._replace(request_id="r2")
    assert list(check_returned_statuses(history._replace(requests=[of_other_request])))
    unanswered = run("r1")._replace(status=None)
    assert list(check_returned_statuses(history._replace(runs=[unanswered])))
    again = run("r1", 51.0, 51.1)._replace(worker="i-2", status=200)
    assert not list(check_returned_statuses(history._replace(runs=[*history.runs, again])))


@pytest.mark.parametrize(
    ("part", "kind", "closes_at", "max_bytes"),
    [
        (EndlessPart.HEAD, RequestKind.UNSAFE, 51.5, 16_000_000),
        (EndlessPart.GARBAGE, RequestKind.STREAM, 51.5, 16_000_000),
        (EndlessPart.BODY, RequestKind.UNSAFE, 53.4, 33_000_000),
        (EndlessPart.UNFRAMED_BODY, RequestKind.SAFE, 53.4, 33_000_000),
        (EndlessPart.UNFRAMED_BODY, RequestKind.RESUMABLE, 58.4, 17_000_000),
        (EndlessPart.INTERIM, RequestKind.UNSAFE, 53.4, 33_000_000),
        (EndlessPart.EVENTS, RequestKind.STREAM, 58.4, 33_000_000),
    ],
)
def test_endless_bytes_are_bounded_by_time_and_size(
    part: EndlessPart, kind: RequestKind, closes_at: float, max_bytes: int
) -> None:
    history = EMPTY_HISTORY._replace(requests=[FAILURE._replace(kind=kind)])

    def is_reported(response: EndlessResponse) -> bool:
        return bool(list(check_endless_responses(history._replace(endless_responses=(response,)))))

    assert not is_reported(endless(part, closes_at, max_bytes))
    assert is_reported(endless(part, closes_at + 0.2, max_bytes))
    assert is_reported(endless(part, closes_at, max_bytes + 2_000_000))
    assert is_reported(endless(part, math.inf))


def test_endless_bytes_end_soon_after_their_caller_has_left() -> None:
    left = FAILURE._replace(kind=RequestKind.STREAM, status=0, caller_left=True)
    history = EMPTY_HISTORY._replace(requests=[left])
    soon = endless(EndlessPart.EVENTS, 51.0)
    assert not list(check_endless_responses(history._replace(endless_responses=(soon,))))
    late = endless(EndlessPart.EVENTS, 51.2)
    assert list(check_endless_responses(history._replace(endless_responses=(late,))))


def test_answer_by_the_deadline_is_late_for_no_caller() -> None:
    body = endless(EndlessPart.BODY, 52.0)
    for kind, in_time, late in ((RequestKind.SAFE, 53.4, 53.6), (RequestKind.STREAM, 58.4, 58.6)):
        request = FAILURE._replace(kind=kind)
        for ended_at, is_late in ((in_time, False), (late, True)):
            requests = [request._replace(ended_at=ended_at)]
            history = EMPTY_HISTORY._replace(requests=requests, endless_responses=(body,))
            assert bool(list(check_waits_for_endless(history))) is is_late
            assert not list(check_waits_for_endless(history._replace(endless_responses=())))
