"""One soak run: starts a fleet, sends traffic, injects faults and checks the history."""

import tempfile
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import trio

from soak.checks import Violation, check_history
from soak.earlier_builds import extract_build
from soak.fault_injector import FaultInjector
from soak.fault_schedule import CLOCK_KINDS, FaultKind, PlannedFault, plan_faults
from soak.fleet import SoakFleet
from soak.organisations import SoakOrganisations
from soak.processes import InstanceProcess
from soak.records import History
from soak.traffic import Traffic
from standins.relay.raw_client import Caller

__all__ = ["RunResult", "RunSettings", "run_soak"]

_RECOVERY_S = 4.0
_MAX_SERVE_ATTEMPTS = 20
_LAST_LOG_LINES = 12
_FIRST_UPGRADE_AT_S = 2.0


class RunSettings(NamedTuple):
    """Settings of a run.

    Attributes:
        seed: Seed of the faults and of the callers' choices.
        seconds: Duration of the traffic with faults, in seconds.
        instances: Number of instances, each a process.
        callers: Number of concurrent callers, each with one connection at a time.
        rate: Faults per second.
        without: Mechanism that is disabled in the instances; empty for none.
        kinds: Kinds of faults; if empty, the default kinds.
        prefill_count: Number of engines that start in the prefill role, of five.
        organisations: Whether callers use keys of organisations, one of them over its limit.
        older: Commit of an earlier build. The instances start with it, are upgraded to this build
            in turn, and are downgraded again. Empty to run only this build.
        retry_allowance: Largest retry allowance in the settings of the instances; reloads set lower
            ones.
    """

    seed: int
    seconds: float = 12.0
    instances: int = 4
    callers: int = 8
    rate: float = 1.2
    without: str = ""
    kinds: tuple[FaultKind, ...] = ()
    prefill_count: int = 2
    organisations: bool = False
    older: str = ""
    retry_allowance: int = 50


class RunResult(NamedTuple):
    """Result of a run.

    Attributes:
        settings: Settings of the run.
        violations: Violations that the checks found.
        request_counts: Number of requests, by kind and status.
        faults: Injected faults, in the order in which they ended.
        log_excerpt: If there are violations, log lines of the instances: those of the requests
            involved, those of starts and stops, and the last ones.
    """

    settings: RunSettings
    violations: list[Violation]
    request_counts: Counter[str]
    faults: list[PlannedFault]
    log_excerpt: list[str]


async def run_soak(settings: RunSettings) -> RunResult:
    """Run a fleet under random faults, and check the history."""
    with tempfile.TemporaryDirectory(prefix="soak-") as name:
        folder = Path(name)
        async with trio.open_nursery() as nursery:
            organisations = SoakOrganisations(settings.seed) if settings.organisations else None
            earlier_build_folder = extract_build(settings.older, folder) if settings.older else None
            fleet = SoakFleet(
                nursery,
                folder,
                settings.instances,
                settings.without,
                organisations=organisations,
                earlier_build_folder=earlier_build_folder,
                shifts_clocks=bool(set(settings.kinds) & set(CLOCK_KINDS)),
                cuts_paths=FaultKind.PATHS_CUT in settings.kinds,
                retry_allowance=settings.retry_allowance,
                mixes_builds=FaultKind.WORKER_RELEASE in settings.kinds,
            )
            try:
                await fleet.start(settings.prefill_count)
                traffic = Traffic(fleet, settings.seed)
                injector = FaultInjector(fleet, settings.seed)
                await _run_traffic(settings, traffic, injector)
                history = await _build_history(settings, fleet, traffic)
            finally:
                fleet.close()
                nursery.cancel_scope.cancel()
        violations = check_history(history)
        log_excerpt = _collect_log_excerpt(folder, violations)
    request_counts = Counter(f"{request.kind} {request.status}" for request in history.requests)
    return RunResult(settings, violations, request_counts, injector.injected, log_excerpt)


async def _run_traffic(settings: RunSettings, traffic: Traffic, injector: FaultInjector) -> None:
    faults = plan_faults(settings.seed, settings.seconds, settings.rate, settings.kinds)
    if settings.older:
        faults = sorted([*faults, *_plan_upgrades(settings)])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, settings.callers)
        async with trio.open_nursery() as fault_nursery:
            fault_nursery.start_soon(injector.run, faults)
            fault_nursery.start_soon(trio.sleep, settings.seconds)
        await trio.sleep(_RECOVERY_S)
        traffic.stop()


def _plan_upgrades(settings: RunSettings) -> list[PlannedFault]:
    """Schedule the upgrade to this build and the later downgrade."""
    upgrade_at_s = _FIRST_UPGRADE_AT_S
    downgrade_at_s = upgrade_at_s + (settings.seconds - upgrade_at_s) / 2
    return [
        PlannedFault(at_s, 0.0, FaultKind.UPGRADE, 0) for at_s in (upgrade_at_s, downgrade_at_s)
    ]


async def _build_history(settings: RunSettings, fleet: SoakFleet, traffic: Traffic) -> History:
    unserving_instances = [item.number for item in fleet.instances if not await _serves(item)]
    exited = [item for item in fleet.instances if item.exit_code() is not None]
    process_failures = [
        *fleet.process_failures,
        *(f"{item.name} exited unexpectedly" for item in exited),
    ]
    workers = fleet.workers
    return History(
        requests=traffic.requests,
        arrivals=[arrival for worker in workers for arrival in worker.recorded_arrivals],
        runs=[run for worker in workers for run in worker.worker_runs()],
        arrival_records=tuple(record for worker in workers for record in worker.arrival_records),
        orders=[order for worker in workers for order in worker.recorded_orders],
        withdrawals=fleet.withdrawals,
        route_moves=fleet.route_moves,
        stops=fleet.stops,
        disturbances=fleet.disturbances,
        process_failures=process_failures,
        unserving_instances=unserving_instances,
        extra_send_allowance=float(settings.retry_allowance),
        ended_at=trio.current_time(),
        key_changes=tuple(fleet.organisations.key_changes)
        if fleet.organisations is not None
        else (),
        limit_changes=tuple(fleet.organisations.limit_changes)
        if fleet.organisations is not None
        else (),
        crashes=tuple(run for worker in workers for run in worker.crashing_runs()),
        leaving_notices=tuple(fleet.leaving_notices),
        backoffs=tuple(fleet.backoffs),
        announced_limits=tuple(fleet.announced_limits),
        lost_paths=tuple(fleet.lost_paths),
        downtimes=tuple(fleet.downtimes),
        crashing_parts=tuple(fleet.crashing_parts),
        skewed_connections=tuple(fleet.skewed_connections),
        endless_responses=tuple(
            response for worker in workers for response in worker.endless_responses()
        ),
        store_calls=fleet.platform.store.calls,
        instance_count=len(fleet.instances),
        traffic_s=settings.seconds,
    )


async def _serves(instance: InstanceProcess) -> bool:
    """Check that an instance serves an original route and the last moved one, with retries."""
    return await _serves_path(instance, "/safe/x") and await _serves_path(instance, "/switch/x")


async def _serves_path(instance: InstanceProcess, path: str) -> bool:
    headers = {"Authorization": "Bearer steady-0"}
    for _ in range(_MAX_SERVE_ATTEMPTS):
        caller = Caller(instance.caller_address)
        try:
            with trio.move_on_after(1.0):
                if (await caller.ask(path, headers=headers)).status == 200:
                    return True
        except OSError:
            pass
        finally:
            caller.close()
        await trio.sleep(0.1)
    return False


def _collect_log_excerpt(folder: Path, violations: list[Violation]) -> list[str]:
    """Return log lines of the requests in violations, of starts and stops, and the last ones."""
    request_ids = {request_id for violation in violations for request_id in violation.requests}
    request_marks = [f'"request":"{request_id}"' for request_id in request_ids]
    log_excerpt: list[str] = []
    for file in sorted(folder.glob("*.log")) if violations else ():
        lines = file.read_text("utf-8", "replace").splitlines()
        request_lines = [line for line in lines if any(mark in line for mark in request_marks)]
        lifecycle_lines = [line for line in lines if '"message_type":"instance: ' in line]
        last_lines = [line for line in lines if '"request"' not in line][-_LAST_LOG_LINES:]
        log_excerpt += [
            f"{file.stem} {line}" for line in (*request_lines, *lifecycle_lines, *last_lines)
        ]
    return log_excerpt
