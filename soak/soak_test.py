"""Tests of the soak test: fault schedule, links, short runs, disabled mechanisms."""

import contextlib
import socket

import pytest
import trio

from soak.ablations import ABLATIONS
from soak.earlier_builds import RELEASED_COMMITS
from soak.fault_schedule import (
    BUDGET_KINDS,
    BUILD_KINDS,
    CLOCK_KINDS,
    CONNECTION_KINDS,
    COPY_KINDS,
    CRASH_KINDS,
    CRASHING_PART_KINDS,
    MIXED_BUILD_KINDS,
    MOVING_CLOCK_KINDS,
    NOTICE_KINDS,
    ORGANISATION_KINDS,
    PATH_KINDS,
    REJECTION_KINDS,
    RESTORE_KINDS,
    UNFRAMED_KINDS,
    WORKER_LIMIT_KINDS,
    FaultKind,
    plan_faults,
)
from soak.link import Link, LinkFault
from soak.regressions import STOPS_IN_SERIES
from soak.run import RunSettings, run_soak
from standins.relay import Worker
from standins.relay.raw_client import Caller

CI_SEED = 7
# On a busy machine, the faults of one seed may affect too few requests to be detected.
MAX_SEEDS = 5


def test_schedule_depends_on_seed_alone_and_has_overlapping_faults() -> None:
    plans = [plan_faults(seed, 30.0, 2.0) for seed in (1, 1, 2)]
    assert plans[0] == plans[1] != plans[2]
    default_kinds = {fault.kind for seed in range(40) for fault in plan_faults(seed, 30.0, 2.0)}
    opt_in_kinds = {
        *ORGANISATION_KINDS,
        *NOTICE_KINDS,
        *CLOCK_KINDS,
        FaultKind.WORKER_LIMIT,
        FaultKind.STORE_RESTORE,
        FaultKind.UPGRADE,
        FaultKind.CRASHING_REQUEST,
        FaultKind.PATHS_CUT,
        FaultKind.INSTANCE_HERD,
        FaultKind.WORKERS_FAIL,
        FaultKind.WORKER_RELEASE,
        FaultKind.CRASHING_PART,
        FaultKind.WORKER_UNFRAMED,
        FaultKind.CONNECTIONS_SKEWED,
        FaultKind.WORKERS_OWN_STATUS,
        FaultKind.WORKERS_REPEAT,
        FaultKind.WORKERS_ENDLESS,
        FaultKind.WORKERS_COPY,
    }
    assert default_kinds == set(FaultKind) - opt_in_kinds
    kinds = tuple(FaultKind)
    all_kinds = {fault.kind for seed in range(40) for fault in plan_faults(seed, 30.0, 2.0, kinds)}
    assert all_kinds == set(FaultKind)
    assert any(
        later.at_s < fault.at_s + fault.duration_s
        for fault, later in zip(plans[0], plans[0][1:], strict=False)
    )
    assert {fault.kind for fault in plan_faults(1, 30.0, 2.0, (FaultKind.STORE_BUSY,))} == {
        FaultKind.STORE_BUSY
    }


@pytest.mark.parametrize("fault", list(LinkFault))
async def test_link_injects_each_fault_and_recovers(fault: LinkFault) -> None:
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


async def test_link_keeps_its_port_while_it_refuses_connections() -> None:
    """Guards against an outgoing connection that takes the port before the link is back."""
    async with trio.open_nursery() as nursery:
        worker = Worker("plain")
        await worker.start(nursery)
        link = Link(worker.address)
        await link.start(nursery)
        host, _, port = link.address.rpartition(":")
        link.stop_accepting()
        with pytest.raises(OSError, match="in use"), socket.socket() as other:
            other.bind((host, int(port)))
        with pytest.raises(OSError, match="failed"):
            await trio.open_tcp_stream(host, int(port))
        await link.resume_accepting(nursery)
        caller = Caller(link.address)
        headers = {"Expected-Instance": worker.name}
        assert (await caller.ask("/a", headers=headers)).status == 200
        caller.close()
        worker.close()
        link.close()
        nursery.cancel_scope.cancel()


@pytest.mark.alone
async def test_short_run_has_no_violations() -> None:
    result = await run_soak(RunSettings(CI_SEED, seconds=10.0, instances=3, rate=2.0))
    assert result.violations == []
    assert len(result.faults) > 5
    assert sum(result.request_counts.values()) > 200


@pytest.mark.alone
async def test_short_run_with_organisations_has_no_violations() -> None:
    settings = RunSettings(CI_SEED, seconds=14.0, instances=3, rate=2.0, organisations=True)
    result = await run_soak(settings._replace(kinds=tuple(FaultKind)))
    assert result.violations == []
    assert len(result.faults) > 5
    assert sum(count for key, count in result.request_counts.items() if key.endswith(" 429")) > 20


@pytest.mark.alone
async def test_consecutive_stops_interrupt_no_request() -> None:
    result = await run_soak(STOPS_IN_SERIES._replace(seed=CI_SEED))
    assert result.violations == []
    # If faults of two kinds select the same instance, timing decides which one is injected.
    stops = {FaultKind.INSTANCE_STOP, FaultKind.INSTANCE_ROLL, FaultKind.INSTANCE_SIGNALS}
    assert sum(fault.kind in stops for fault in result.faults) > 5
    assert any(fault.kind is FaultKind.INSTANCE_ROLL for fault in result.faults)
    assert result.request_counts["stream 200"] > 50


@pytest.mark.alone
async def test_crashing_requests_are_quarantined_under_other_faults() -> None:
    settings = RunSettings(CI_SEED, seconds=20.0, instances=3, rate=1.0, kinds=CRASH_KINDS)
    result = await run_soak(settings)
    assert result.violations == []
    kinds = {fault.kind for fault in result.faults}
    assert FaultKind.CRASHING_REQUEST in kinds
    assert len(kinds) > 2


@pytest.mark.alone
async def test_restored_store_and_worker_notices_cause_no_violations() -> None:
    settings = RunSettings(CI_SEED, seconds=25.0, instances=3, rate=1.2, kinds=RESTORE_KINDS)
    result = await run_soak(settings._replace(organisations=True))
    assert result.violations == []
    kinds = {fault.kind for fault in result.faults}
    assert FaultKind.STORE_RESTORE in kinds
    assert kinds & set(NOTICE_KINDS)


@pytest.mark.alone
async def test_limits_announced_by_workers_hold_under_other_faults() -> None:
    settings = RunSettings(
        CI_SEED, seconds=20.0, instances=4, callers=12, rate=0.8, kinds=WORKER_LIMIT_KINDS
    )
    result = await run_soak(settings)
    assert result.violations == []
    kinds = {fault.kind for fault in result.faults}
    assert FaultKind.WORKER_LIMIT in kinds
    assert len(kinds) > 2


@pytest.mark.alone
async def test_shifted_clocks_cause_no_violations() -> None:
    settings = RunSettings(
        CI_SEED, seconds=20.0, instances=3, rate=1.2, kinds=MOVING_CLOCK_KINDS, prefill_count=0
    )
    result = await run_soak(settings)
    assert result.violations == []
    kinds = {fault.kind for fault in result.faults}
    assert kinds & set(CLOCK_KINDS)
    assert len(kinds) > 3


@pytest.mark.alone
async def test_two_builds_side_by_side_hold_every_promise() -> None:
    settings = RunSettings(CI_SEED, seconds=36.0, instances=3, rate=0.7, kinds=MIXED_BUILD_KINDS)
    result = await run_soak(settings._replace(organisations=True, older=RELEASED_COMMITS[-1]))
    assert result.violations == []
    upgrades = sum(fault.kind is FaultKind.UPGRADE for fault in result.faults)
    assert upgrades == 2 * settings.instances


# Ablations that need organisations and the separate ones form their own groups, so that a new one
# changes no other group.
_ORGANISATION_ABLATIONS = ["key-table", "key-withheld", "shared-limits"]
_SEPARATE_ABLATIONS = [
    "leaving-words",
    "rests",
    "eras",
    "quarantine",
    "endpoint-limits",
    "stream-builds",
    "prompt-parts",
    "rejected-request",
]
_OTHER_ABLATIONS = sorted(ABLATIONS.keys() - {*_ORGANISATION_ABLATIONS, *_SEPARATE_ABLATIONS})


@pytest.mark.parametrize(
    "names",
    [
        ["leaving-words", "rests", "eras"],
        _OTHER_ABLATIONS[:4],
        _OTHER_ABLATIONS[4:8],
        _OTHER_ABLATIONS[8:],
        _ORGANISATION_ABLATIONS[:2],
        ["quarantine"],
        pytest.param(["endpoint-limits"], marks=pytest.mark.alone),
        pytest.param(_ORGANISATION_ABLATIONS[2:], marks=pytest.mark.alone),
        ["stream-builds"],
        ["prompt-parts"],
        ["rejected-request"],
    ],
)
async def test_disabled_mechanism_is_detected(names: list[str]) -> None:
    """Each ablation runs with its own fleet until a seed detects it; a group runs concurrently."""
    reported: dict[str, set[str]] = {name: set() for name in names}

    async def run_until_reported(name: str) -> None:
        ablation = ABLATIONS[name]
        settings = RunSettings(
            CI_SEED,
            seconds=11.0,
            instances=2,
            rate=3.0,
            without=name,
            kinds=ablation.fault_kinds,
            prefill_count=ablation.prefill_count,
            organisations=name in _ORGANISATION_ABLATIONS,
        )
        for number in range(MAX_SEEDS):
            result = await run_soak(settings._replace(seed=CI_SEED + number))
            reported[name] |= {violation.check for violation in result.violations}
            if ablation.expected_check in reported[name]:
                return

    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(run_until_reported, name)
    for name in names:
        assert ABLATIONS[name].expected_check in reported[name]


@pytest.mark.alone
async def test_instances_without_paths_to_workers_refuse_callers() -> None:
    settings = RunSettings(
        CI_SEED, seconds=14.0, instances=4, callers=12, rate=2.5, kinds=(FaultKind.PATHS_CUT,)
    )
    result = await run_soak(settings)
    assert result.violations == []
    assert len(result.faults) > 3


@pytest.mark.alone
async def test_lost_paths_beside_other_faults_break_promises() -> None:
    settings = RunSettings(CI_SEED, seconds=14.0, instances=4, rate=2.0, kinds=PATH_KINDS)
    result = await run_soak(settings)
    assert result.violations == []
    assert any(fault.kind is FaultKind.PATHS_CUT for fault in result.faults)


@pytest.mark.alone
async def test_killed_instances_stay_within_the_retry_budget() -> None:
    settings = RunSettings(
        CI_SEED, seconds=20.0, instances=4, callers=12, rate=1.5, kinds=BUDGET_KINDS
    )
    result = await run_soak(settings._replace(retry_allowance=12))
    assert result.violations == []
    kinds = {fault.kind for fault in result.faults}
    assert {FaultKind.INSTANCE_HERD, FaultKind.WORKERS_FAIL} <= kinds


@pytest.mark.alone
async def test_streams_stay_at_their_build_under_other_faults() -> None:
    settings = RunSettings(
        CI_SEED, seconds=16.0, instances=4, callers=12, rate=1.5, kinds=BUILD_KINDS
    )
    result = await run_soak(settings)
    assert result.violations == []
    assert any(fault.kind is FaultKind.WORKER_RELEASE for fault in result.faults)


@pytest.mark.alone
async def test_prompt_parts_that_crash_workers_are_quarantined_under_other_faults() -> None:
    settings = RunSettings(
        CI_SEED, seconds=26.0, instances=4, callers=12, rate=0.8, kinds=CRASHING_PART_KINDS
    )
    result = await run_soak(settings)
    assert result.violations == []
    kinds = {fault.kind for fault in result.faults}
    assert FaultKind.CRASHING_PART in kinds
    assert len(kinds) > 2


@pytest.mark.alone
async def test_answers_that_end_with_their_connection_cause_no_violations() -> None:
    settings = RunSettings(
        CI_SEED, seconds=16.0, instances=3, callers=12, rate=2.0, kinds=UNFRAMED_KINDS
    )
    result = await run_soak(settings)
    assert result.violations == []
    assert any(fault.kind is FaultKind.WORKER_UNFRAMED for fault in result.faults)


@pytest.mark.alone
async def test_most_connections_at_one_instance_cause_no_violations() -> None:
    settings = RunSettings(
        CI_SEED, seconds=22.0, instances=4, callers=24, rate=0.6, kinds=CONNECTION_KINDS
    )
    result = await run_soak(settings)
    assert result.violations == []
    assert any(fault.kind is FaultKind.CONNECTIONS_SKEWED for fault in result.faults)


@pytest.mark.alone
async def test_requests_that_ran_are_not_reported_as_rejected_under_other_faults() -> None:
    settings = RunSettings(
        CI_SEED, seconds=15.0, instances=4, callers=16, rate=2.0, kinds=REJECTION_KINDS
    )
    result = await run_soak(settings)
    assert result.violations == []
    kinds = {fault.kind for fault in result.faults}
    assert {
        FaultKind.WORKERS_OWN_STATUS,
        FaultKind.WORKERS_REPEAT,
        FaultKind.WORKERS_ENDLESS,
    } <= kinds
    assert len(kinds) > 4


@pytest.mark.alone
async def test_late_copies_of_answers_are_not_taken_for_others_under_other_faults() -> None:
    settings = RunSettings(
        CI_SEED, seconds=12.0, instances=4, callers=16, rate=1.2, kinds=COPY_KINDS
    )
    result = await run_soak(settings)
    assert result.violations == []
    assert FaultKind.WORKERS_COPY in {fault.kind for fault in result.faults}
