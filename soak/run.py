"""One run: a fleet, its traffic and its faults, and the history that they leave."""

import tempfile
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import trio

from soak.builds import extract_build
from soak.checks import Violation, judge
from soak.fleet import SoakFleet
from soak.organisations import SoakOrganisations
from soak.plan import CLOCK_KINDS, FaultKind, PlannedFault, plan_faults
from soak.processes import InstanceProcess
from soak.records import History
from soak.strike import Striker
from soak.traffic import Traffic
from standins.relay.client import Caller

__all__ = ["RunResult", "RunSettings", "run_soak"]

_ALLOWANCE = 50.0
_HEAL_S = 4.0
_TRIES = 20
_LAST_LINES = 12
_FIRST_UPGRADE_S = 2.0


class RunSettings(NamedTuple):
    """What a run is made of.

    Attributes:
        seed: Decides the faults and what callers do.
        seconds: Length of the traffic with faults.
        instances: Processes of the program.
        callers: Connections of callers at a time.
        rate: Faults a second.
        without: A mechanism that is switched off in the program; empty for none.
        kinds: Kinds of faults; all that need no organisations if empty.
        prefills: How many of the five engines begin as prefills.
        organisations: Whether callers have keys of organisations, one of them over its limit.
        older: A commit: instances begin as its build, are replaced in turn by this one, and
            back again; empty for this build alone.
    """

    seed: int
    seconds: float = 12.0
    instances: int = 4
    callers: int = 8
    rate: float = 1.2
    without: str = ""
    kinds: tuple[FaultKind, ...] = ()
    prefills: int = 2
    organisations: bool = False
    older: str = ""


class RunResult(NamedTuple):
    """What a run came to.

    Attributes:
        settings: What it was made of.
        violations: Promises that did not hold.
        requests: How many requests callers made, by kind and status.
        faults: Faults that were done, in order.
        story: Log lines of the requests that a violation names.
    """

    settings: RunSettings
    violations: list[Violation]
    requests: Counter[str]
    faults: list[PlannedFault]
    story: list[str]


async def run_soak(settings: RunSettings) -> RunResult:
    """Run a fleet under the faults of a seed, and judge it."""
    with tempfile.TemporaryDirectory(prefix="soak-") as name:
        folder = Path(name)
        async with trio.open_nursery() as nursery:
            organisations = SoakOrganisations(settings.seed) if settings.organisations else None
            older = extract_build(settings.older, folder) if settings.older else None
            fleet = SoakFleet(
                nursery,
                folder,
                settings.instances,
                settings.without,
                organisations=organisations,
                older=older,
                moves_clocks=bool(set(settings.kinds) & set(CLOCK_KINDS)),
            )
            try:
                await fleet.start(settings.prefills)
                traffic = Traffic(fleet, settings.seed)
                striker = Striker(fleet, settings.seed)
                await _run_traffic(settings, traffic, striker)
                history = await _close_history(settings, fleet, traffic)
            finally:
                fleet.close()
                nursery.cancel_scope.cancel()
        violations = judge(history)
        story = _tell_story(folder, violations)
    counts = Counter(f"{request.kind} {request.status}" for request in history.requests)
    return RunResult(settings, violations, counts, striker.done, story)


async def _run_traffic(settings: RunSettings, traffic: Traffic, striker: Striker) -> None:
    faults = plan_faults(settings.seed, settings.seconds, settings.rate, settings.kinds)
    if settings.older:
        faults = sorted([*faults, *_plan_upgrades(settings)])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, settings.callers)
        async with trio.open_nursery() as both:
            both.start_soon(striker.run, faults)
            both.start_soon(trio.sleep, settings.seconds)
        await trio.sleep(_HEAL_S)
        traffic.stop()


def _plan_upgrades(settings: RunSettings) -> list[PlannedFault]:
    """Plan the way to this build, and back."""
    there_s = _FIRST_UPGRADE_S
    back_s = there_s + (settings.seconds - there_s) / 2
    return [PlannedFault(at_s, 0.0, FaultKind.UPGRADE, 0) for at_s in (there_s, back_s)]


async def _close_history(settings: RunSettings, fleet: SoakFleet, traffic: Traffic) -> History:
    unserved = [item.number for item in fleet.instances if not await _serves(item)]
    ended = [item for item in fleet.instances if item.exit_code() is not None]
    exits = [*fleet.exits, *(f"{item.name} ended by itself" for item in ended)]
    workers = fleet.workers
    return History(
        requests=traffic.requests,
        arrivals=[arrival for worker in workers for arrival in worker.seen],
        runs=[run for worker in workers for run in worker.worker_runs()],
        orders=[order for worker in workers for order in worker.ordered],
        withdrawals=fleet.withdrawals,
        switches=fleet.switches,
        stops=fleet.stops,
        spells=fleet.spells,
        exits=exits,
        unserved=unserved,
        budget=_ALLOWANCE,
        ended_at=trio.current_time(),
        keys=tuple(fleet.organisations.keys) if fleet.organisations is not None else (),
        limits=tuple(fleet.organisations.limits) if fleet.organisations is not None else (),
        crashes=tuple(run for worker in workers for run in worker.crashing_runs()),
        words=tuple(fleet.words),
        rests=tuple(fleet.rests),
        named_limits=tuple(fleet.named_limits),
        store_calls=fleet.platform.store.calls,
        instances=len(fleet.instances),
        seconds=settings.seconds,
    )


async def _serves(instance: InstanceProcess) -> bool:
    """Tell whether an instance serves a call of an old route and of the newest, in a few tries."""
    return await _serves_path(instance, "/safe/x") and await _serves_path(instance, "/switch/x")


async def _serves_path(instance: InstanceProcess, path: str) -> bool:
    headers = {"Authorization": "Bearer steady-0"}
    for _ in range(_TRIES):
        caller = Caller(instance.front)
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


def _tell_story(folder: Path, violations: list[Violation]) -> list[str]:
    """Give what the instances logged of the requests in question, and their last lines."""
    names = {name for violation in violations for name in violation.requests}
    marks = [f'"request":"{name}"' for name in names]
    story: list[str] = []
    for file in sorted(folder.glob("*.log")) if violations else ():
        lines = file.read_text("utf-8", "replace").splitlines()
        found = [line for line in lines if any(mark in line for mark in marks)]
        lives = [line for line in lines if '"message_type":"instance: ' in line]
        beliefs = [line for line in lines if '"request"' not in line][-_LAST_LINES:]
        story += [f"{file.stem} {line}" for line in (*found, *lives, *beliefs)]
    return story
