"""The soak itself: its plan, its links, a short run, and each check on a broken program."""

import contextlib

import pytest
import trio

from soak.broken import ABLATIONS
from soak.builds import LANDED
from soak.link import Link, LinkFault
from soak.plan import (
    CLOCK_KINDS,
    CRASH_KINDS,
    MIXED_KINDS,
    MOVING_CLOCK_KINDS,
    ORGANISATION_KINDS,
    RESTORE_KINDS,
    WORD_KINDS,
    WORKER_LIMIT_KINDS,
    FaultKind,
    plan_faults,
)
from soak.regressions import STOPS_IN_SERIES
from soak.run import RunSettings, run_soak
from standins.relay import Worker
from standins.relay.client import Caller

CI_SEED = 7
# On a busy machine a seed's faults may meet few requests.
MOST_SEEDS = 5


def test_plan_follows_from_its_seed_and_overlaps() -> None:
    plans = [plan_faults(seed, 30.0, 2.0) for seed in (1, 1, 2)]
    assert plans[0] == plans[1] != plans[2]
    usual = {fault.kind for seed in range(40) for fault in plan_faults(seed, 30.0, 2.0)}
    special = {
        *ORGANISATION_KINDS,
        *WORD_KINDS,
        *CLOCK_KINDS,
        FaultKind.WORKER_LIMIT,
        FaultKind.STORE_RESTORE,
        FaultKind.UPGRADE,
        FaultKind.CRASHING_REQUEST,
    }
    assert usual == set(FaultKind) - special
    kinds = tuple(FaultKind)
    every = {fault.kind for seed in range(40) for fault in plan_faults(seed, 30.0, 2.0, kinds)}
    assert every == set(FaultKind)
    assert any(
        later.at_s < fault.at_s + fault.for_s
        for fault, later in zip(plans[0], plans[0][1:], strict=False)
    )
    assert {fault.kind for fault in plan_faults(1, 30.0, 2.0, (FaultKind.STORE_BUSY,))} == {
        FaultKind.STORE_BUSY
    }


@pytest.mark.parametrize("fault", list(LinkFault))
async def test_link_does_what_its_fault_says_and_heals(fault: LinkFault) -> None:
    async with trio.open_nursery() as nursery:
        worker = Worker("plain")
        await worker.start(nursery)
        link = Link(worker.address)
        await link.start(nursery)
        caller = Caller(link.address)
        headers = {"Expected-Instance": worker.name}
        assert (await caller.ask("/a", headers=headers)).status == 200
        link.set_fault(fault)
        began_at = trio.current_time()
        with trio.move_on_after(0.6) as scope:
            status = 0
            with contextlib.suppress(trio.BrokenResourceError):
                status = (await caller.ask("/b", headers=headers)).status
        if fault is LinkFault.DELAY:
            assert status == 200
            assert trio.current_time() - began_at > 0.4
        elif fault is LinkFault.RESET:
            assert status == 0
            assert not scope.cancelled_caught
        else:
            assert scope.cancelled_caught
            assert len(worker.runs) == (2 if fault is LinkFault.ONE_WAY else 1)
        link.set_fault(None)
        caller.close()
        assert (await caller.ask("/c", headers=headers)).status == 200
        caller.close()
        worker.close()
        link.close()
        nursery.cancel_scope.cancel()


@pytest.mark.alone
async def test_short_run_holds_every_promise() -> None:
    result = await run_soak(RunSettings(CI_SEED, seconds=10.0, instances=3, rate=2.0))
    assert result.violations == []
    assert len(result.faults) > 5
    assert sum(result.requests.values()) > 200


@pytest.mark.alone
async def test_short_run_with_organisations_holds_every_promise() -> None:
    settings = RunSettings(CI_SEED, seconds=14.0, instances=3, rate=2.0, organisations=True)
    result = await run_soak(settings._replace(kinds=tuple(FaultKind)))
    assert result.violations == []
    assert len(result.faults) > 5
    assert sum(count for what, count in result.requests.items() if what.endswith(" 429")) > 20


@pytest.mark.alone
async def test_stops_in_series_cut_off_nothing() -> None:
    result = await run_soak(STOPS_IN_SERIES._replace(seed=CI_SEED))
    assert result.violations == []
    # Which kind stops an instance that two of them want depends on the moment.
    stops = {FaultKind.INSTANCE_STOP, FaultKind.INSTANCE_ROLL, FaultKind.INSTANCE_SIGNALS}
    assert sum(fault.kind in stops for fault in result.faults) > 5
    assert any(fault.kind is FaultKind.INSTANCE_ROLL for fault in result.faults)
    assert result.requests["stream 200"] > 50


@pytest.mark.alone
async def test_requests_that_crash_workers_stop_whatever_else_happens() -> None:
    settings = RunSettings(CI_SEED, seconds=20.0, instances=3, rate=1.0, kinds=CRASH_KINDS)
    result = await run_soak(settings)
    assert result.violations == []
    kinds = {fault.kind for fault in result.faults}
    assert FaultKind.CRASHING_REQUEST in kinds
    assert len(kinds) > 2


@pytest.mark.alone
async def test_store_that_comes_back_older_and_words_of_workers_break_nothing() -> None:
    settings = RunSettings(CI_SEED, seconds=25.0, instances=3, rate=1.2, kinds=RESTORE_KINDS)
    result = await run_soak(settings._replace(organisations=True))
    assert result.violations == []
    kinds = {fault.kind for fault in result.faults}
    assert FaultKind.STORE_RESTORE in kinds
    assert kinds & set(WORD_KINDS)


@pytest.mark.alone
async def test_limits_that_workers_name_hold_whatever_else_happens() -> None:
    settings = RunSettings(
        CI_SEED, seconds=20.0, instances=4, callers=12, rate=0.8, kinds=WORKER_LIMIT_KINDS
    )
    result = await run_soak(settings)
    assert result.violations == []
    kinds = {fault.kind for fault in result.faults}
    assert FaultKind.WORKER_LIMIT in kinds
    assert len(kinds) > 2


@pytest.mark.alone
async def test_clocks_that_move_break_nothing() -> None:
    settings = RunSettings(
        CI_SEED, seconds=20.0, instances=3, rate=1.2, kinds=MOVING_CLOCK_KINDS, prefills=0
    )
    result = await run_soak(settings)
    assert result.violations == []
    kinds = {fault.kind for fault in result.faults}
    assert kinds & set(CLOCK_KINDS)
    assert len(kinds) > 3


@pytest.mark.alone
async def test_two_builds_side_by_side_hold_every_promise() -> None:
    settings = RunSettings(CI_SEED, seconds=36.0, instances=3, rate=0.7, kinds=MIXED_KINDS)
    result = await run_soak(settings._replace(organisations=True, older=LANDED[-1]))
    assert result.violations == []
    upgrades = sum(fault.kind is FaultKind.UPGRADE for fault in result.faults)
    assert upgrades == 2 * settings.instances


# What needs organisations comes last, so that the groups of the others stay what they were.
_OF_ORGANISATIONS = ["key-table", "key-withheld", "shared-limits"]
_LATER = ["leaving-words", "rests", "eras", "quarantine", "endpoint-limits"]
_NAMES = sorted(ABLATIONS.keys() - {*_OF_ORGANISATIONS, *_LATER})


@pytest.mark.parametrize(
    "names",
    [
        ["leaving-words", "rests", "eras"],
        _NAMES[:4],
        _NAMES[4:8],
        _NAMES[8:],
        _OF_ORGANISATIONS[:2],
        ["quarantine"],
        pytest.param(["endpoint-limits"], marks=pytest.mark.alone),
        pytest.param(_OF_ORGANISATIONS[2:], marks=pytest.mark.alone),
    ],
)
async def test_broken_program_is_reported(names: list[str]) -> None:
    """A few at a time, each on a fleet of its own, by the first seeds that show it."""
    reported: dict[str, set[str]] = {name: set() for name in names}

    async def play(name: str) -> None:
        ablation = ABLATIONS[name]
        settings = RunSettings(
            CI_SEED,
            seconds=11.0,
            instances=2,
            rate=3.0,
            without=name,
            kinds=ablation.kinds,
            prefills=ablation.prefills,
            organisations=name in _OF_ORGANISATIONS,
        )
        for number in range(MOST_SEEDS):
            result = await run_soak(settings._replace(seed=CI_SEED + number))
            reported[name] |= {violation.check for violation in result.violations}
            if ablation.check in reported[name]:
                return

    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(play, name)
    for name in names:
        assert ABLATIONS[name].check in reported[name]
