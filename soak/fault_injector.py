"""Injects the scheduled faults of a run and reverts them."""

import random
import signal
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from typing import NamedTuple

import trio

from soak.crashing_requests import send_crashing_request, send_prompts_with_crashing_part
from soak.fault_schedule import ORGANISATION_KINDS, FaultKind, PlannedFault
from soak.fleet import SoakFleet
from soak.link import Link, LinkFault
from soak.processes import InstanceProcess
from soak.records import (
    AnnouncedWorkerLimit,
    Downtime,
    LostPaths,
    RequestedBackoff,
    SkewedConnections,
    Stop,
    Withdrawal,
    WorkerLeavingNotice,
)
from soak.rejecting_workers import (
    answers_sent_twice,
    bytes_without_end,
    rejections_sent_twice,
    statuses_of_rejections,
)
from soak.workers import SoakWorker, other_build
from standins.relay import Fault, StoreMode
from standins.relay.cut_paths import PathCut

__all__ = ["FaultInjector"]

_EXIT_TIMEOUT_S = 5.0
_RESTART_DELAY_S = 0.3
_MIN_DRAIN_S = 2.4
# Average interval between the signals to a stopping instance, and between stops in turn.
_SIGNAL_INTERVAL_S = 0.4
_ROLL_INTERVAL_S = 0.7
# Retry allowances that a reload chooses from; the retry budget check uses the largest.
_RETRY_ALLOWANCES = (20, 35, 50)
# The checks can only tell two route moves apart if there is enough time between them.
_MIN_ROUTE_MOVE_INTERVAL_S = 3.0
_WORKER_FAULTS = (
    Fault.FULL,
    Fault.ERROR,
    Fault.RESET_BEFORE,
    Fault.RESET_AFTER,
    Fault.NO_RESPONSE,
    Fault.GARBAGE,
    Fault.WRONG_REQUEST_ID,
    Fault.UNSIGNED,
    Fault.EXTRA_RESPONSE,
    Fault.TRUNCATED,
)
_STREAM_FAULTS = (Fault.FULL, Fault.RESET_BEFORE, Fault.NO_RESPONSE, Fault.TRUNCATED)
# Seconds for which a store is unavailable before it is restored from a copy, then the maximum until
# its writers write their entries again, then until entries that no writer renews expire.
_STORE_OUTAGE_S = 0.5
_MAX_REWRITE_DELAY_S = 1.5
_STALE_ENTRY_EXPIRY_S = 2.5
# Limits the number of unrelated writes between the copy and the restore, and after the restore.
_MAX_UNRELATED_WRITES = 80
_UNRELATED_KEY = "elsewhere/x"
# Shortest and longest backoff that a worker requests.
_BACKOFF_RANGE_S = (1.0, 4.0)
# Lowest and highest rate limit that a worker announces, in calls per second, and the shortest time
# for which it announces the limit.
_LIMIT_RANGE_PER_S = (0.5, 3.0)
_MIN_LIMIT_DURATION_S = 7.0
# Seconds by which a suspension appears longer than the pause of the process, and by which a wall
# clock jumps.
_EXTRA_SUSPENSION_RANGE_S = (0.5, 30.0)
_CLOCK_STEP_RANGE_S = (1.0, 4000.0)
_BUSY_POLL_S = 0.05
# Seconds by which lost paths last longer than other faults, so that requests are sent meanwhile.
_EXTRA_CUT_S = 2.0
# Share of the instances that are killed at the same moment.
_HERD_SHARE = 0.7
# Seconds by which the failure of all workers lasts longer than other faults, and the number of
# requests that each of them fails at most.
_EXTRA_FAILURE_S = 3.0
_FAILURE_COUNT = 500
_SERVICE_FAULTS = (Fault.FULL, Fault.ERROR, Fault.RESET_BEFORE)
# Seconds by which wrong answers of the workers of a service last longer than other faults.
_EXTRA_SERVICE_S = 1.0
# Number of parts of prompts that crash workers at the same time.
_MAX_CRASHING_PARTS = 2
# Seconds by which a skew of connections lasts longer than other faults.
_EXTRA_SKEW_S = 5.0
_STORE_MODES = {
    FaultKind.STORE_BUSY: StoreMode.BUSY,
    FaultKind.STORE_SILENT: StoreMode.SILENT,
    FaultKind.STORE_RESET: StoreMode.RESET,
}
_STORE_LINK_FAULTS = {
    FaultKind.STORE_LINK_DELAY: LinkFault.DELAY,
    FaultKind.STORE_LINK_RESET: LinkFault.RESET,
    FaultKind.STORE_LINK_SILENCE: LinkFault.SILENCE,
    FaultKind.STORE_LINK_ONE_WAY: LinkFault.ONE_WAY,
}
_WORKER_LINK_FAULTS = {
    FaultKind.WORKER_LINK_DELAY: LinkFault.DELAY,
    FaultKind.WORKER_LINK_RESET: LinkFault.RESET,
    FaultKind.WORKER_LINK_SILENCE: LinkFault.SILENCE,
    FaultKind.WORKER_LINK_ONE_WAY: LinkFault.ONE_WAY,
}

# How all workers of a service answer for a while.
_SERVICE_ACTIONS: dict[
    FaultKind, Callable[[SoakFleet, str, random.Random], AbstractContextManager[None]]
] = {
    FaultKind.WORKERS_OWN_STATUS: statuses_of_rejections,
    FaultKind.WORKERS_REPEAT: rejections_sent_twice,
    FaultKind.WORKERS_ENDLESS: bytes_without_end,
    FaultKind.WORKERS_COPY: answers_sent_twice,
}

# Kinds that are not recorded as disturbances of their target, during which checks are suspended:
# they must not affect requests, or they record the disturbance themselves.
_UNRECORDED_KINDS = frozenset(
    {
        FaultKind.CONFIGURATION,
        FaultKind.INSTANCE_RELOAD,
        FaultKind.INSTANCE_ROLL,
        FaultKind.INSTANCE_SIGNALS,
        FaultKind.INSTANCE_STOP,
        FaultKind.INSTANCE_CLOCK,
        FaultKind.WORKER_DRAIN,
        FaultKind.WORKER_RELEASE,
        FaultKind.WORKER_WORD,
        FaultKind.WORKER_REST,
        FaultKind.WORKER_LIMIT,
        FaultKind.UPGRADE,
        FaultKind.KEY,
        FaultKind.LIMIT,
        FaultKind.WORKER_UNFRAMED,
        FaultKind.CONNECTIONS_SKEWED,
        *_SERVICE_ACTIONS,
    }
)


class FaultInjector:
    """Injects faults; a fault whose target is under another fault is skipped."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.injected: list[PlannedFault] = []
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._busy_targets: set[str] = set()
        self._route_moved_at = trio.current_time()

    async def run(self, faults: list[PlannedFault]) -> None:
        """Inject the faults at their start times, relative to now; return when all are reverted."""
        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in faults:
                await trio.sleep_until(began_at + fault.at_s)
                nursery.start_soon(self._inject, fault)

    async def _inject(self, fault: PlannedFault) -> None:
        kind = fault.kind
        if kind in _STORE_MODES:
            await self._inject_exclusively("store", fault, self._set_store_mode)
        elif kind in _STORE_LINK_FAULTS:
            instance = self._pick_instance(fault)
            await self._inject_exclusively(instance.name, fault, self._inject_store_link_fault)
        elif kind in _WORKER_LINK_FAULTS:
            await self._inject_exclusively(
                self._pick_worker(fault).name, fault, self._inject_worker_link_fault
            )
        elif kind is FaultKind.INSTANCE_RELOAD:
            # A reload may coincide with any other fault of the instance.
            await self._reload_instance(fault)
        elif kind is FaultKind.INSTANCE_ROLL:
            await self._roll_instances(fault)
        elif kind is FaultKind.INSTANCE_HERD:
            await self._kill_herd(fault)
        elif kind is FaultKind.UPGRADE:
            await self._upgrade_instances(fault)
        elif kind in _SERVICE_ACTIONS:
            service = self._pick_worker(fault).service
            await self._inject_exclusively(f"service {service}", fault, self._change_service)
        elif kind in _NAMED_ACTIONS:
            named = _NAMED_ACTIONS[kind]
            await self._inject_exclusively(named.target_name(fault), fault, named.action(self))
        elif kind in _INSTANCE_ACTIONS:
            await self._inject_exclusively(
                self._pick_instance(fault).name, fault, _INSTANCE_ACTIONS[kind](self)
            )
        elif kind in _WORKER_ACTIONS:
            await self._inject_exclusively(
                self._pick_worker(fault).name, fault, _WORKER_ACTIONS[kind](self)
            )
        else:
            await self._inject_exclusively("store", fault, self._inject_store_fault)

    async def _inject_exclusively(
        self,
        target_name: str,
        fault: PlannedFault,
        action: Callable[[PlannedFault], Awaitable[None]],
    ) -> None:
        """Inject a fault unless its target is under another one, and record the disturbance."""
        if target_name in self._busy_targets:
            return
        self._busy_targets.add(target_name)
        began_at = trio.current_time()
        try:
            await action(fault)
            self.injected.append(fault)
        finally:
            self._busy_targets.discard(target_name)
            if fault.kind not in _UNRECORDED_KINDS:
                self._fleet.note_disturbance(target_name, began_at)

    def _pick_instance(self, fault: PlannedFault) -> InstanceProcess:
        return self._fleet.instances[fault.target % len(self._fleet.instances)]

    def _pick_worker(self, fault: PlannedFault) -> SoakWorker:
        return self._fleet.active_workers[fault.target % len(self._fleet.active_workers)]

    async def _set_store_mode(self, fault: PlannedFault) -> None:
        store = self._fleet.platform.store
        store.mode = _STORE_MODES[fault.kind]
        await trio.sleep(fault.duration_s)
        store.mode = StoreMode.UP

    async def _inject_store_fault(self, fault: PlannedFault) -> None:
        store = self._fleet.platform.store
        if fault.kind is FaultKind.STORE_RESTORE:
            await self._restore_store(fault)
        elif fault.kind is FaultKind.STORE_FORGETS:
            store.drop_history()
        elif fault.kind is FaultKind.STORE_LOSES:
            store.abandon_watches()
        elif fault.kind is FaultKind.STORE_OLD_READ:
            await self._publish_old_configuration(fault)
        elif fault.kind in ORGANISATION_KINDS:
            self._change_organisations(fault)
        elif trio.current_time() - self._route_moved_at >= _MIN_ROUTE_MOVE_INTERVAL_S:
            self._route_moved_at = trio.current_time()
            await self._fleet.move_route()

    async def _restore_store(self, fault: PlannedFault) -> None:
        """Restore the store from an older copy; writers then write the lost entries again."""
        store = self._fleet.platform.store
        copy = store.copy()
        for _ in range(self._rng.randrange(_MAX_UNRELATED_WRITES)):
            store.put(_UNRELATED_KEY, {})
        await trio.sleep(fault.duration_s)
        store.mode = StoreMode.RESET
        store.abandon_watches()
        await trio.sleep(_STORE_OUTAGE_S)
        store.restore(copy)
        # Depending on their number, the revision stays below the one that instances know, or
        # exceeds it.
        for _ in range(self._rng.randrange(_MAX_UNRELATED_WRITES)):
            store.put(_UNRELATED_KEY, {})
        store.mode = StoreMode.UP
        await trio.sleep(self._rng.uniform(0.0, _MAX_REWRITE_DELAY_S))
        self._fleet.rewrite_entries()
        await trio.sleep(_STALE_ENTRY_EXPIRY_S)
        self._fleet.expire_stale_entries()

    def _change_organisations(self, fault: PlannedFault) -> None:
        organisations = self._fleet.organisations
        if organisations is None:
            return
        if fault.kind is FaultKind.KEY:
            organisations.replace_key()
        else:
            organisations.change_limit()
        self._fleet.publish()

    async def _publish_old_configuration(self, fault: PlannedFault) -> None:
        platform = self._fleet.platform
        if len(platform.published) > 1:
            platform.store.put("op/config", platform.published[-2])
            await trio.sleep(fault.duration_s)
            platform.store.put("op/config", platform.published[-1])

    async def _inject_link_fault(self, link: Link, kind: LinkFault, duration_s: float) -> None:
        link.set_fault(kind)
        try:
            await trio.sleep(duration_s)
        finally:
            link.set_fault(None)

    async def _inject_store_link_fault(self, fault: PlannedFault) -> None:
        number = self._pick_instance(fault).number
        link = self._fleet.store_links[number - 1]
        await self._inject_link_fault(link, _STORE_LINK_FAULTS[fault.kind], fault.duration_s)

    async def _inject_worker_link_fault(self, fault: PlannedFault) -> None:
        link = self._fleet.links[self._pick_worker(fault).name]
        await self._inject_link_fault(link, _WORKER_LINK_FAULTS[fault.kind], fault.duration_s)

    async def _stop_instance(self, fault: PlannedFault) -> None:
        await self._stop(self._pick_instance(fault))

    async def _stop_with_signals(self, fault: PlannedFault) -> None:
        """Stop an instance, and send more signals until it exits."""
        instance = self._pick_instance(fault)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_signals, instance)
            await self._stop(instance)
            nursery.cancel_scope.cancel()

    async def _send_signals(self, instance: InstanceProcess) -> None:
        incarnation = instance.incarnation
        while instance.incarnation == incarnation:
            await trio.sleep(_SIGNAL_INTERVAL_S * self._rng.uniform(0.5, 1.5))
            if instance.incarnation == incarnation:
                self._rng.choice((instance.stop, instance.reload))()

    async def _roll_instances(self, fault: PlannedFault) -> None:
        """Stop all instances in turn, with overlapping stops."""
        async with trio.open_nursery() as nursery:
            for number in range(len(self._fleet.instances)):
                instance_fault = fault._replace(target=fault.target + number)
                instance = self._pick_instance(instance_fault)
                nursery.start_soon(
                    self._inject_exclusively, instance.name, instance_fault, self._stop_instance
                )
                await trio.sleep(_ROLL_INTERVAL_S * self._rng.uniform(0.5, 1.5))

    async def _upgrade_instances(self, fault: PlannedFault) -> None:
        """Restart all instances with the other build, one at a time, as an operator does."""
        fleet = self._fleet
        source_folder = (
            fleet.earlier_build_folder if fleet.instances[0].source_folder is None else None
        )
        for instance in fleet.instances:
            while instance.name in self._busy_targets:
                await trio.sleep(_BUSY_POLL_S)
            instance.source_folder = source_folder
            instance_fault = fault._replace(target=instance.number - 1)
            await self._inject_exclusively(instance.name, instance_fault, self._stop_instance)

    async def _stop(self, instance: InstanceProcess) -> None:
        began_at, incarnation = trio.current_time(), instance.incarnation
        is_earlier_build = instance.is_earlier_build
        instance.stop()
        code = await instance.wait_for_exit(_EXIT_TIMEOUT_S)
        ended_at = trio.current_time()
        self._fleet.stops.append(
            Stop(
                instance.number,
                incarnation,
                began_at,
                ended_at,
                -9 if code is None else code,
                is_earlier_build,
            )
        )
        # Checks still apply during the stop itself, but not while the instance restarts.
        await self._restart(instance)
        self._fleet.note_disturbance(instance.name, ended_at)

    async def _kill_instance(self, fault: PlannedFault) -> None:
        instance = self._pick_instance(fault)
        instance.send_signal(signal.SIGKILL)
        await instance.wait_for_exit(_EXIT_TIMEOUT_S)
        await self._restart(instance)

    async def _kill_herd(self, fault: PlannedFault) -> None:
        """Kill most instances at the same moment."""
        instance_count = len(self._fleet.instances)
        async with trio.open_nursery() as nursery:
            for number in range(max(1, round(_HERD_SHARE * instance_count))):
                instance_fault = fault._replace(target=fault.target + number)
                instance = self._pick_instance(instance_fault)
                nursery.start_soon(
                    self._inject_exclusively, instance.name, instance_fault, self._kill_instance
                )

    async def _restart(self, instance: InstanceProcess) -> None:
        began_at = trio.current_time()
        await trio.sleep(_RESTART_DELAY_S)
        instance.kill()
        instance.start()
        if not await instance.wait_ready():
            self._fleet.process_failures.append(
                f"{instance.name} was not ready in time after a restart"
            )
        self._fleet.downtimes.append(Downtime(instance.number, began_at, trio.current_time()))

    async def _pause_instance(self, fault: PlannedFault) -> None:
        instance = self._pick_instance(fault)
        instance.send_signal(signal.SIGSTOP)
        try:
            await trio.sleep(fault.duration_s)
        finally:
            instance.send_signal(signal.SIGCONT)

    async def _suspend_instance(self, fault: PlannedFault) -> None:
        """Pause an instance; its clock shows a longer suspension."""
        instance = self._pick_instance(fault)
        instance.send_signal(signal.SIGSTOP)
        try:
            await trio.sleep(fault.duration_s)
        finally:
            extra_s = self._rng.uniform(*_EXTRA_SUSPENSION_RANGE_S)
            instance.shift_clocks(extra_s, extra_s)
            instance.send_signal(signal.SIGCONT)

    async def _step_clock(self, fault: PlannedFault) -> None:
        """Make an instance's wall clock jump, and jump back later."""
        instance = self._pick_instance(fault)
        step_s = self._rng.choice((-1, 1)) * self._rng.uniform(*_CLOCK_STEP_RANGE_S)
        instance.shift_clocks(0.0, step_s)
        await trio.sleep(fault.duration_s)
        instance.shift_clocks(0.0, -step_s)

    async def _cut_paths(self, fault: PlannedFault) -> None:
        """Cut an instance's paths to all workers, for longer than other faults last."""
        instance = self._pick_instance(fault)
        began_at = trio.current_time()
        instance.cut_paths(self._rng.choice(list(PathCut)))
        try:
            await trio.sleep(_EXTRA_CUT_S + fault.duration_s)
        finally:
            instance.cut_paths(None)
            self._fleet.lost_paths.append(LostPaths(instance.number, began_at, trio.current_time()))

    async def _reload_instance(self, fault: PlannedFault) -> None:
        """Change the settings, sometimes after a moment of invalid ones, and send SIGHUP."""
        instance = self._pick_instance(fault)
        # A busy instance may be restarting; it would exit because of an invalid file, which is
        # correct.
        if self._rng.random() < 0.5 and instance.name not in self._busy_targets:
            instance.write_invalid_settings()
            instance.reload()
            await trio.sleep(0.2)
        self._fleet.write_settings(instance, self._rng.choice(_RETRY_ALLOWANCES))
        instance.reload()
        self.injected.append(fault)

    async def _send_crashing_requests(self, fault: PlannedFault) -> None:
        await send_crashing_request(self._fleet, self._rng, fault.target)

    async def _send_crashing_part(self, fault: PlannedFault) -> None:
        await send_prompts_with_crashing_part(self._fleet, self._rng, fault.target)

    async def _skew_connections(self, fault: PlannedFault) -> None:
        """Make most callers connect to one instance."""
        instance, began_at = self._pick_instance(fault), trio.current_time()
        self._fleet.preferred_instance = instance
        await trio.sleep(_EXTRA_SKEW_S + fault.duration_s)
        self._fleet.preferred_instance = None
        self._fleet.skewed_connections.append(
            SkewedConnections(instance.number, began_at, trio.current_time())
        )

    async def _send_unframed_responses(self, fault: PlannedFault) -> None:
        """Make a worker's responses end with their connection for a while."""
        worker = self._pick_worker(fault)
        worker.ends_with_connection = True
        await trio.sleep(fault.duration_s)
        worker.ends_with_connection = False

    async def _inject_worker_faults(self, fault: PlannedFault) -> None:
        worker = self._pick_worker(fault)
        worker_faults = _STREAM_FAULTS if worker.stage else _WORKER_FAULTS
        worker.faults += self._rng.choices(worker_faults, k=3)
        await trio.sleep(fault.duration_s)
        worker.faults.clear()

    async def _fail_workers(self, fault: PlannedFault) -> None:
        """Make all workers of a service fail most requests."""
        service = self._pick_worker(fault).service
        workers = [worker for worker in self._fleet.active_workers if worker.service == service]
        for worker in workers:
            worker_faults = _STREAM_FAULTS[:2] if worker.stage else _SERVICE_FAULTS
            worker.faults += self._rng.choices(worker_faults, k=_FAILURE_COUNT)
        await trio.sleep(fault.duration_s + _EXTRA_FAILURE_S)
        for worker in workers:
            worker.faults.clear()
            self._fleet.note_disturbance(worker.name, trio.current_time() - fault.duration_s)

    async def _change_service(self, fault: PlannedFault) -> None:
        """Make all workers of a service mishandle requests for a while."""
        service = self._pick_worker(fault).service
        with _SERVICE_ACTIONS[fault.kind](self._fleet, service, self._rng):
            await trio.sleep(_EXTRA_SERVICE_S + fault.duration_s)

    async def _crash_worker(self, fault: PlannedFault) -> None:
        """Crash a worker; another worker of its service starts at its address later."""
        fleet, worker = self._fleet, self._pick_worker(fault)
        fleet.active_workers.remove(worker)
        worker.close()
        await trio.sleep(fault.duration_s)
        fleet.unregister(worker)
        link = fleet.links[worker.name]
        await fleet.add_worker(worker.service, worker.stage, link, build=worker.build)

    async def _announce_leaving_in_responses(self, fault: PlannedFault) -> None:
        """Replace a worker that announces its shutdown in responses but not in its entry.

        This happens when the worker can't reach the store.
        """

        def announce(worker: SoakWorker) -> None:
            worker.announces_leaving = True
            self._fleet.leaving_notices.append(
                WorkerLeavingNotice(worker.name, trio.current_time())
            )

        await self._replace_leaving_worker(fault, announce)

    async def _request_backoff(self, fault: PlannedFault) -> None:
        """Make a worker reject all requests and request a backoff for a while."""
        worker, began_at = self._pick_worker(fault), trio.current_time()
        backoff_s = self._rng.uniform(*_BACKOFF_RANGE_S)
        worker.requested_backoff_s, worker.rejects_work = backoff_s, True
        await trio.sleep(fault.duration_s)
        worker.rejects_work = False
        self._fleet.backoffs.append(
            RequestedBackoff(worker.name, began_at, trio.current_time(), backoff_s)
        )

    async def _announce_limit(self, fault: PlannedFault) -> None:
        """Make a worker announce its rate limit over all instances for a while."""
        worker, began_at = self._pick_worker(fault), trio.current_time()
        rate_per_s = round(self._rng.uniform(*_LIMIT_RANGE_PER_S), 1)
        worker.announced_limit = f"{rate_per_s:g}"
        await trio.sleep(_MIN_LIMIT_DURATION_S + fault.duration_s)
        worker.announced_limit = None
        self._fleet.announced_limits.append(
            AnnouncedWorkerLimit(worker.name, began_at, trio.current_time(), rate_per_s)
        )

    async def _drain_worker(self, fault: PlannedFault) -> None:
        """Replace a worker that sets its entry to draining."""
        await self._replace_leaving_worker(fault, self._announce_draining)

    async def _release_worker(self, fault: PlannedFault) -> None:
        """Replace a worker by one of the other build; it sets its entry to draining."""
        build = other_build(self._pick_worker(fault).build)
        await self._replace_leaving_worker(fault, self._announce_draining, build)

    def _announce_draining(self, worker: SoakWorker) -> None:
        self._fleet.register(worker, "draining")
        self._fleet.withdrawals.append(Withdrawal(worker.name, trio.current_time()))

    async def _replace_leaving_worker(
        self, fault: PlannedFault, announce: Callable[[SoakWorker], None], build: str = ""
    ) -> None:
        """Start a replacement, announce the worker's shutdown, and stop it after a drain."""
        fleet, worker = self._fleet, self._pick_worker(fault)
        await fleet.add_worker(worker.service, worker.stage, build=build or worker.build)
        fleet.active_workers.remove(worker)
        announce(worker)
        await trio.sleep(_MIN_DRAIN_S + fault.duration_s)
        fleet.unregister(worker)
        worker.close()
        fleet.note_disturbance(worker.name, trio.current_time())


_FaultAction = Callable[[PlannedFault], Awaitable[None]]
_INSTANCE_ACTIONS: dict[FaultKind, Callable[[FaultInjector], _FaultAction]] = {
    FaultKind.INSTANCE_STOP: lambda injector: injector._stop_instance,
    FaultKind.INSTANCE_KILL: lambda injector: injector._kill_instance,
    FaultKind.INSTANCE_PAUSE: lambda injector: injector._pause_instance,
    FaultKind.INSTANCE_SUSPEND: lambda injector: injector._suspend_instance,
    FaultKind.INSTANCE_CLOCK: lambda injector: injector._step_clock,
    FaultKind.INSTANCE_SIGNALS: lambda injector: injector._stop_with_signals,
    FaultKind.PATHS_CUT: lambda injector: injector._cut_paths,
}
_WORKER_ACTIONS: dict[FaultKind, Callable[[FaultInjector], _FaultAction]] = {
    FaultKind.WORKER_FAULTS: lambda injector: injector._inject_worker_faults,
    FaultKind.WORKER_CRASH: lambda injector: injector._crash_worker,
    FaultKind.WORKER_DRAIN: lambda injector: injector._drain_worker,
    FaultKind.WORKER_RELEASE: lambda injector: injector._release_worker,
    FaultKind.WORKER_WORD: lambda injector: injector._announce_leaving_in_responses,
    FaultKind.WORKER_REST: lambda injector: injector._request_backoff,
    FaultKind.WORKER_LIMIT: lambda injector: injector._announce_limit,
    FaultKind.WORKER_UNFRAMED: lambda injector: injector._send_unframed_responses,
}


class _NamedAction(NamedTuple):
    """The action of a fault whose target is neither one instance nor one worker.

    Attributes:
        target_name: Returns the name under which faults exclude each other.
        action: Returns the action.
    """

    target_name: Callable[[PlannedFault], str]
    action: Callable[[FaultInjector], _FaultAction]


_NAMED_ACTIONS: dict[FaultKind, _NamedAction] = {
    FaultKind.WORKERS_FAIL: _NamedAction(
        lambda fault: "workers", lambda injector: injector._fail_workers
    ),
    FaultKind.CRASHING_REQUEST: _NamedAction(
        lambda fault: f"request {fault.target}", lambda injector: injector._send_crashing_requests
    ),
    FaultKind.CRASHING_PART: _NamedAction(
        lambda fault: f"part {fault.target % _MAX_CRASHING_PARTS}",
        lambda injector: injector._send_crashing_part,
    ),
    FaultKind.CONNECTIONS_SKEWED: _NamedAction(
        lambda fault: "connections", lambda injector: injector._skew_connections
    ),
}
