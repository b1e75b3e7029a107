"""Each check sees what it is for, and nothing in a history without it."""

import math

import pytest

from soak.checks import CHECKS, judge
from soak.records import (
    Arrival,
    Caller,
    CrashingRun,
    History,
    KeyChange,
    LeavingWord,
    LimitChange,
    NamedLimit,
    Order,
    Request,
    RequestKind,
    Rest,
    Spell,
    Stop,
    Switch,
    Withdrawal,
    WorkerRun,
)

NOTHING = History([], [], [], [], [], [], [], [], [], [], 5.0, 100.0)
SERVED = Request("r1", RequestKind.SAFE, 1, 1, 50.0, 50.1, 200, "r1", True, True, b"served")


def stream(name: str, *numbers: int) -> bytes:
    return b"".join(b"id: %d\ndata: %s %d\n\n" % (n, name.encode(), n) for n in numbers)


def run(name: str, began_at: float = 50.0, ended_at: float = 50.1) -> WorkerRun:
    return WorkerRun(name, "i-1", "plain", began_at, ended_at, False)


def arrival(name: str, at: float, service: str = "plain") -> Arrival:
    return Arrival(name, "i-1", service, at, False)


UNSAFE = SERVED._replace(kind=RequestKind.UNSAFE)
STREAM = SERVED._replace(kind=RequestKind.RESUMABLE, body=stream("r1", *range(1, 9)))
SWITCH = SERVED._replace(kind=RequestKind.SWITCH)
CUT = SERVED._replace(status=0, owner="", signed=False, whole=False, body=b"")
MOVES = [Switch("s0", 10.0), Switch("s1", 40.0)]

BROKEN = {
    "requests that crash workers stop": NOTHING._replace(
        crashes=tuple(CrashingRun("crash-1", f"i-{at}", 10.0 + at) for at in (0, 1, 2, 6, 7, 8, 9))
    ),
    "at most once": NOTHING._replace(requests=[UNSAFE], runs=[run("r1"), run("r1")]),
    "'not run' is true": NOTHING._replace(
        requests=[UNSAFE._replace(status=503, retry_after="1")], runs=[run("r1")]
    ),
    "refusals say when to come back": NOTHING._replace(requests=[SERVED._replace(status=503)]),
    "the whole answer to its own request": NOTHING._replace(requests=[SERVED._replace(owner="r2")]),
    "events in order": NOTHING._replace(
        requests=[STREAM._replace(whole=False, body=stream("r1", 1, 2, 2))]
    ),
    "what is known to leave gets nothing": NOTHING._replace(
        withdrawals=[Withdrawal("i-1", 40.0)],
        requests=[SERVED],
        arrivals=[arrival("r1", 50.0)],
        # The store came back from a copy long after it had told of the leaving.
        spells=[Spell("store", 45.0, 49.0)],
    ),
    "a worker's word is heard": NOTHING._replace(
        words=(LeavingWord("i-1", 40.0),),
        requests=[
            SERVED._replace(name="r0", owner="r0", sent_at=41.0, ended_at=41.1),
            SERVED,
        ],
        runs=[run("r0", 41.0, 41.1)],
        arrivals=[arrival("r0", 41.0), arrival("r1", 50.0)],
    ),
    "rests are kept": NOTHING._replace(
        rests=(Rest("i-1", 40.0, 44.0, 3.0),),
        requests=[
            SERVED._replace(name=f"q{n}", owner=f"q{n}", sent_at=40.0 + n, ended_at=40.1 + n)
            for n in range(1, 5)
        ],
        arrivals=[arrival(f"q{n}", 41.0 + 0.7 * (n - 1)) for n in range(1, 5)],
    ),
    "limits of workers hold": NOTHING._replace(
        named_limits=(NamedLimit("i-1", 40.0, 60.0, 1.0),),
        requests=[
            SERVED._replace(name=f"q{n}", owner=f"q{n}", sent_at=41.0 + n, ended_at=41.1 + n)
            for n in range(13)
        ],
        runs=[run("q0", 41.0, 41.1)],
        arrivals=[arrival(f"q{n}", 43.0 + 0.3 * n) for n in range(13)],
    ),
    "calls to the store stay few": NOTHING._replace(store_calls=3_000, instances=2),
    "a leaving worker gets nothing": NOTHING._replace(
        requests=[SERVED], arrivals=[arrival("r1", 50.0)], withdrawals=[Withdrawal("i-1", 46.0)]
    ),
    "a configuration is in force": NOTHING._replace(
        requests=[SWITCH], arrivals=[arrival("r1", 50.0, "s0")], switches=MOVES
    ),
    "a configuration never reverts": NOTHING._replace(
        requests=[
            SWITCH._replace(sent_at=41.0),
            SWITCH._replace(name="r2", owner="r2", sent_at=41.5),
        ],
        arrivals=[arrival("r1", 41.0, "s1"), arrival("r2", 41.5, "s0")],
        switches=MOVES,
    ),
    "a planned stop cuts nothing off": NOTHING._replace(
        requests=[CUT], runs=[run("r1")], stops=[Stop(1, 1, 49.9, 53.0, 0)]
    ),
    "no work for callers that are gone": NOTHING._replace(
        requests=[CUT._replace(left=True)], runs=[run("r1", ended_at=52.0)]
    ),
    "one gives orders": NOTHING._replace(
        orders=[Order("i-1", "n1", 5, 50.0), Order("i-2", "n2", 6, 52.0)]
    ),
    "retries within the budget": NOTHING._replace(
        arrivals=[arrival("r1", 50.0 + 0.01 * number) for number in range(20)]
    ),
    "workers are told whose a request is": NOTHING._replace(
        requests=[SERVED._replace(caller=Caller("first", "k1"))],
        arrivals=[arrival("r1", 50.0)._replace(organisation="other")],
    ),
    "keys in force": NOTHING._replace(
        requests=[SERVED._replace(caller=Caller("first", "k1"))],
        runs=[run("r1")],
        keys=(KeyChange("k1", "k2", 47.0),),
    ),
    "limits hold over all": NOTHING._replace(
        requests=[
            SERVED._replace(name=f"r{n}", owner=f"r{n}", caller=Caller("first", "k1"))
            for n in range(35)
        ],
        runs=[run(f"r{n}") for n in range(35)],
        limits=(LimitChange("first", 1.0, 2.0, 0.0), LimitChange("first", 0.5, 1.0, 45.0)),
    ),
    "it goes on": NOTHING._replace(unserved=[2]),
}


@pytest.mark.parametrize("name", list(CHECKS))
def test_check_sees_what_it_is_for(name: str) -> None:
    assert {violation.check for violation in judge(BROKEN[name])} == {name}


def test_good_history_passes() -> None:
    requests = [SERVED, UNSAFE._replace(name="r2", owner="r2"), STREAM]
    assert judge(NOTHING._replace(requests=requests, runs=[run("r2")])) == []


@pytest.mark.parametrize(
    ("name", "spell"),
    [
        # An instance that may not have been told; once it was, nothing of the store excuses it.
        ("a leaving worker gets nothing", Spell("store", 45.0, 46.5)),
        ("a configuration is in force", Spell("instance 1", 41.0, 42.0)),
        ("a planned stop cuts nothing off", Spell("i-7", 48.0, 49.0)),
        ("limits of workers hold", Spell("instance 1", 43.5, 44.5)),
        ("no work for callers that are gone", Spell("i-1", 49.0, 51.0)),
    ],
)
def test_disturbance_excuses_what_it_touches_alone(name: str, spell: Spell) -> None:
    history = BROKEN[name]
    assert judge(history._replace(spells=[spell])) == []
    elsewhere = spell._replace(began_at=1.0, ended_at=2.0)
    assert judge(history._replace(spells=[elsewhere])) != []


def test_store_that_is_away_later_excuses_nothing_of_what_was_known() -> None:
    history = BROKEN["a leaving worker gets nothing"]
    later = Spell("store", 47.5, 48.0)
    found = judge(history._replace(spells=[later]))
    assert {violation.check for violation in found} == {"what is known to leave gets nothing"}


def test_answer_that_ends_early_must_not_look_complete() -> None:
    short = STREAM._replace(body=stream("r1", 1, 2, 3))
    assert judge(NOTHING._replace(requests=[short]))
    assert judge(NOTHING._replace(requests=[short._replace(whole=False)])) == []


def test_fences_rise_and_work_that_goes_on_is_judged_by_the_end() -> None:
    orders = [Order("i-1", "n1", 5, 50.0), Order("i-2", "n2", 5, 60.0)]
    assert judge(NOTHING._replace(orders=orders))
    gone = NOTHING._replace(requests=[CUT._replace(left=True)], runs=[run("r1", ended_at=math.inf)])
    assert judge(gone)


def test_key_that_holds_is_served_and_reaches_no_worker() -> None:
    given = (KeyChange("k0", "k1", 40.0),)
    refused = SERVED._replace(status=401, owner="", signed=False, caller=Caller("first", "k1"))
    assert [item.check for item in judge(NOTHING._replace(requests=[refused], keys=given))] == [
        "keys in force"
    ]
    early = refused._replace(sent_at=41.0)
    assert judge(NOTHING._replace(requests=[early], keys=given)) == []
    leaked = arrival("r1", 50.0)._replace(key="Bearer k1")
    assert judge(NOTHING._replace(requests=[SERVED], arrivals=[leaked]))
