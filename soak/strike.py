"""How each planned fault is done and undone."""

import random
import signal
from collections.abc import Awaitable, Callable

import trio

from soak.fleet import SoakFleet
from soak.link import Link, LinkFault
from soak.plan import ORGANISATION_KINDS, FaultKind, PlannedFault
from soak.processes import InstanceProcess
from soak.records import LeavingWord, NamedLimit, Rest, Stop, Withdrawal
from soak.traffic import STREAM_HEADERS
from soak.workers import CRASHING, SoakWorker
from standins.relay import Fault, StoreMode
from standins.relay.client import Caller

__all__ = ["Striker"]

_GRACE_S = 5.0
_RESTART_S = 0.3
_KEEPS_SERVING_S = 2.4
# Pauses between the signals of a series, and between the stops of one.
_SIGNALS_EVERY_S = 0.4
_ROLL_GAP_S = 0.7
# Allowances that a reload may bring; the checks go by the largest.
_ALLOWANCES = (20, 35, 50)
# Changes that callers check need time to be told apart.
_BETWEEN_SWITCHES_S = 3.0
_WORKER_FAULTS = (
    Fault.FULL,
    Fault.ERROR,
    Fault.RESET_BEFORE,
    Fault.RESET_AFTER,
    Fault.MUTE,
    Fault.GARBAGE,
    Fault.FOREIGN,
    Fault.UNSIGNED,
    Fault.EXTRA,
    Fault.CUT,
)
_STREAM_FAULTS = (Fault.FULL, Fault.RESET_BEFORE, Fault.MUTE, Fault.CUT)
# A store is away so long before it comes back from a copy; its writers write again within the
# second time, and what nobody renews lapses after the third.
_AWAY_S = 0.5
_WRITTEN_AGAIN_S = 1.5
_LAPSE_S = 2.5
# Other writers have written so often between the copy and the return, and since.
_MOST_LOST = 80
_ELSEWHERE = "elsewhere/x"
# Shortest and longest rest that a worker asks for.
_RESTS_S = (1.0, 4.0)
# Lowest and highest limit that a worker names, in calls a second, and for how long at the least.
_LIMITS_PER_S = (0.5, 3.0)
_LIMIT_S = 7.0
# Seconds by which a machine was suspended beyond its pause, and by which a time of day steps.
_SUSPENDED_S = (0.5, 30.0)
_STEPS_S = (1.0, 4000.0)
_BUSY_POLL_S = 0.05
# A request that crashes workers comes so often, for longer than it takes to be held back.
_CRASHING_TRIES = 20
_CRASHING_PAUSE_S = 0.4
_CRASHING_WAIT_S = 3.0
_CRASHING_PATHS: tuple[tuple[str, dict[str, str]], ...] = (
    ("/unsafe/x", {}),
    ("/stream/x", STREAM_HEADERS),
    ("/resume/x", STREAM_HEADERS),
)
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

# What these do excuses nothing, or they note themselves what it excuses.
_NO_EXCUSE = frozenset(
    {
        FaultKind.CONFIGURATION,
        FaultKind.INSTANCE_RELOAD,
        FaultKind.INSTANCE_ROLL,
        FaultKind.INSTANCE_SIGNALS,
        FaultKind.INSTANCE_STOP,
        FaultKind.INSTANCE_CLOCK,
        FaultKind.WORKER_DRAIN,
        FaultKind.WORKER_WORD,
        FaultKind.WORKER_REST,
        FaultKind.WORKER_LIMIT,
        FaultKind.UPGRADE,
        FaultKind.KEY,
        FaultKind.LIMIT,
    }
)


class Striker:
    """Carries a plan out; a fault whose target is busy with another one is left out."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.done: list[PlannedFault] = []
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._busy: set[str] = set()
        self._switched_at = trio.current_time()

    async def run(self, faults: list[PlannedFault]) -> None:
        """Strike as planned, from now on, and return when all is healed."""
        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in faults:
                await trio.sleep_until(began_at + fault.at_s)
                nursery.start_soon(self._strike, fault)

    async def _strike(self, fault: PlannedFault) -> None:
        kind = fault.kind
        if kind in _STORE_MODES:
            await self._hold("store", fault, self._set_store_mode)
        elif kind in _STORE_LINK_FAULTS:
            instance = self._pick_instance(fault)
            await self._hold(instance.name, fault, self._cut_store_link)
        elif kind in _WORKER_LINK_FAULTS:
            await self._hold(self._pick_worker(fault).name, fault, self._cut_worker_link)
        elif kind is FaultKind.INSTANCE_RELOAD:
            # Whatever else happens to the instance.
            await self._reload_instance(fault)
        elif kind is FaultKind.INSTANCE_ROLL:
            await self._roll_instances(fault)
        elif kind is FaultKind.UPGRADE:
            await self._upgrade_instances(fault)
        elif kind is FaultKind.CRASHING_REQUEST:
            await self._hold(f"request {fault.target}", fault, self._send_crashing)
        elif kind in _INSTANCE_FAULTS:
            await self._hold(self._pick_instance(fault).name, fault, _INSTANCE_FAULTS[kind](self))
        elif kind in _WORKER_CHANGES:
            await self._hold(self._pick_worker(fault).name, fault, _WORKER_CHANGES[kind](self))
        else:
            await self._hold("store", fault, self._do_to_store)

    async def _hold(
        self, what: str, fault: PlannedFault, act: Callable[[PlannedFault], Awaitable[None]]
    ) -> None:
        """Do something to a target that nothing else is done to, and note the time of it."""
        if what in self._busy:
            return
        self._busy.add(what)
        began_at = trio.current_time()
        try:
            await act(fault)
            self.done.append(fault)
        finally:
            self._busy.discard(what)
            if fault.kind not in _NO_EXCUSE:
                self._fleet.note_spell(what, began_at)

    def _pick_instance(self, fault: PlannedFault) -> InstanceProcess:
        return self._fleet.instances[fault.target % len(self._fleet.instances)]

    def _pick_worker(self, fault: PlannedFault) -> SoakWorker:
        return self._fleet.present[fault.target % len(self._fleet.present)]

    async def _set_store_mode(self, fault: PlannedFault) -> None:
        store = self._fleet.platform.store
        store.mode = _STORE_MODES[fault.kind]
        await trio.sleep(fault.for_s)
        store.mode = StoreMode.UP

    async def _do_to_store(self, fault: PlannedFault) -> None:
        store = self._fleet.platform.store
        if fault.kind is FaultKind.STORE_RESTORE:
            await self._restore_store(fault)
        elif fault.kind is FaultKind.STORE_FORGETS:
            store.forget_history()
        elif fault.kind is FaultKind.STORE_LOSES:
            store.forget_watches()
        elif fault.kind is FaultKind.STORE_OLD_READ:
            await self._show_old_configuration(fault)
        elif fault.kind in ORGANISATION_KINDS:
            self._change_organisations(fault)
        elif trio.current_time() - self._switched_at >= _BETWEEN_SWITCHES_S:
            self._switched_at = trio.current_time()
            await self._fleet.move_switch()

    async def _restore_store(self, fault: PlannedFault) -> None:
        """Have the store lose what is written in a while; those who wrote it write it again."""
        store = self._fleet.platform.store
        copy = store.copy()
        for _ in range(self._rng.randrange(_MOST_LOST)):
            store.put(_ELSEWHERE, {})
        await trio.sleep(fault.for_s)
        store.mode = StoreMode.RESET
        store.forget_watches()
        await trio.sleep(_AWAY_S)
        store.restore(copy)
        # Revisions stay below those that are known, or are past them again.
        for _ in range(self._rng.randrange(_MOST_LOST)):
            store.put(_ELSEWHERE, {})
        store.mode = StoreMode.UP
        await trio.sleep(self._rng.uniform(0.0, _WRITTEN_AGAIN_S))
        self._fleet.write_again()
        await trio.sleep(_LAPSE_S)
        self._fleet.let_lapse()

    def _change_organisations(self, fault: PlannedFault) -> None:
        organisations = self._fleet.organisations
        if organisations is None:
            return
        if fault.kind is FaultKind.KEY:
            organisations.move_key()
        else:
            organisations.change_limit()
        self._fleet.publish()

    async def _show_old_configuration(self, fault: PlannedFault) -> None:
        platform = self._fleet.platform
        if len(platform.published) > 1:
            platform.store.put("op/config", platform.published[-2])
            await trio.sleep(fault.for_s)
            platform.store.put("op/config", platform.published[-1])

    async def _cut(self, link: Link, kind: LinkFault, for_s: float) -> None:
        link.set_fault(kind)
        try:
            await trio.sleep(for_s)
        finally:
            link.set_fault(None)

    async def _cut_store_link(self, fault: PlannedFault) -> None:
        number = self._pick_instance(fault).number
        link = self._fleet.store_links[number - 1]
        await self._cut(link, _STORE_LINK_FAULTS[fault.kind], fault.for_s)

    async def _cut_worker_link(self, fault: PlannedFault) -> None:
        link = self._fleet.links[self._pick_worker(fault).name]
        await self._cut(link, _WORKER_LINK_FAULTS[fault.kind], fault.for_s)

    async def _stop_instance(self, fault: PlannedFault) -> None:
        await self._stop(self._pick_instance(fault))

    async def _stop_with_signals(self, fault: PlannedFault) -> None:
        """Stop an instance, and go on with signals until it is gone."""
        instance = self._pick_instance(fault)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_always, instance)
            await self._stop(instance)
            nursery.cancel_scope.cancel()

    async def _send_always(self, instance: InstanceProcess) -> None:
        life = instance.life
        while instance.life == life:
            await trio.sleep(_SIGNALS_EVERY_S * self._rng.uniform(0.5, 1.5))
            if instance.life == life:
                self._rng.choice((instance.stop, instance.reload))()

    async def _roll_instances(self, fault: PlannedFault) -> None:
        """Stop all in turn; several are stopping at a time."""
        async with trio.open_nursery() as nursery:
            for number in range(len(self._fleet.instances)):
                turn = fault._replace(target=fault.target + number)
                instance = self._pick_instance(turn)
                nursery.start_soon(self._hold, instance.name, turn, self._stop_instance)
                await trio.sleep(_ROLL_GAP_S * self._rng.uniform(0.5, 1.5))

    async def _upgrade_instances(self, fault: PlannedFault) -> None:
        """Replace all in turn by instances of the other build, as an operator does."""
        fleet = self._fleet
        tree = fleet.older if fleet.instances[0].tree is None else None
        for instance in fleet.instances:
            while instance.name in self._busy:
                await trio.sleep(_BUSY_POLL_S)
            instance.tree = tree
            turn = fault._replace(target=instance.number - 1)
            await self._hold(instance.name, turn, self._stop_instance)

    async def _stop(self, instance: InstanceProcess) -> None:
        began_at, life = trio.current_time(), instance.life
        is_earlier_build = instance.is_earlier_build
        instance.stop()
        code = await instance.wait(_GRACE_S)
        ended_at = trio.current_time()
        self._fleet.stops.append(
            Stop(
                instance.number,
                life,
                began_at,
                ended_at,
                -9 if code is None else code,
                is_earlier_build,
            )
        )
        # The stop itself excuses nothing; what follows it does.
        await self._restart(instance)
        self._fleet.note_spell(instance.name, ended_at)

    async def _kill_instance(self, fault: PlannedFault) -> None:
        instance = self._pick_instance(fault)
        instance.send(signal.SIGKILL)
        await instance.wait(_GRACE_S)
        await self._restart(instance)

    async def _restart(self, instance: InstanceProcess) -> None:
        await trio.sleep(_RESTART_S)
        instance.end()
        instance.start()
        if not await instance.wait_ready():
            self._fleet.exits.append(f"{instance.name} was not ready in time after a restart")

    async def _pause_instance(self, fault: PlannedFault) -> None:
        instance = self._pick_instance(fault)
        instance.send(signal.SIGSTOP)
        try:
            await trio.sleep(fault.for_s)
        finally:
            instance.send(signal.SIGCONT)

    async def _suspend_instance(self, fault: PlannedFault) -> None:
        """Pause an instance; by its clock it was away for longer."""
        instance = self._pick_instance(fault)
        instance.send(signal.SIGSTOP)
        try:
            await trio.sleep(fault.for_s)
        finally:
            away_s = self._rng.uniform(*_SUSPENDED_S)
            instance.move_clocks(away_s, away_s)
            instance.send(signal.SIGCONT)

    async def _step_clock(self, fault: PlannedFault) -> None:
        """Have an instance's time of day step, and back after a while."""
        instance = self._pick_instance(fault)
        step_s = self._rng.choice((-1, 1)) * self._rng.uniform(*_STEPS_S)
        instance.move_clocks(0.0, step_s)
        await trio.sleep(fault.for_s)
        instance.move_clocks(0.0, -step_s)

    async def _reload_instance(self, fault: PlannedFault) -> None:
        """Change the settings file, or spoil it for a moment, and signal that it changed."""
        instance = self._pick_instance(fault)
        # One that is being started anew would rightly end by such a file.
        if self._rng.random() < 0.5 and instance.name not in self._busy:
            instance.break_settings()
            instance.reload()
            await trio.sleep(0.2)
        self._fleet.write_settings(instance, self._rng.choice(_ALLOWANCES))
        instance.reload()
        self.done.append(fault)

    async def _send_crashing(self, fault: PlannedFault) -> None:
        """Send a request that crashes workers again and again, through any instance."""
        path, headers = _CRASHING_PATHS[fault.target % len(_CRASHING_PATHS)]
        body = CRASHING + str(fault.target).encode()
        for _ in range(_CRASHING_TRIES):
            caller = Caller(self._rng.choice(self._fleet.instances).front)
            try:
                with trio.move_on_after(_CRASHING_WAIT_S):
                    await caller.ask(path, "POST", body=body, headers=headers)
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                # The instance is not there just now; its caller tries another one.
                pass
            finally:
                caller.close()
            await trio.sleep(_CRASHING_PAUSE_S)

    async def _make_worker_fail(self, fault: PlannedFault) -> None:
        worker = self._pick_worker(fault)
        kinds = _STREAM_FAULTS if worker.stage else _WORKER_FAULTS
        worker.faults += self._rng.choices(kinds, k=3)
        await trio.sleep(fault.for_s)
        worker.faults.clear()

    async def _crash_worker(self, fault: PlannedFault) -> None:
        """Crash a worker; one of its service comes later at its address, or another's."""
        fleet, worker = self._fleet, self._pick_worker(fault)
        fleet.present.remove(worker)
        worker.close()
        await trio.sleep(fault.for_s)
        fleet.unregister(worker)
        await fleet.add_worker(worker.service, worker.stage, fleet.links[worker.name])

    async def _say_in_answers(self, fault: PlannedFault) -> None:
        """Let a worker leave whose entry says nothing of it, as where the store is away."""

        def say(worker: SoakWorker) -> None:
            worker.says_leaving = True
            self._fleet.words.append(LeavingWord(worker.name, trio.current_time()))

        await self._let_leave(fault, say)

    async def _ask_for_rest(self, fault: PlannedFault) -> None:
        """Have a worker turn everything away for a while."""
        worker, began_at = self._pick_worker(fault), trio.current_time()
        rest_s = self._rng.uniform(*_RESTS_S)
        worker.asks_rest_s, worker.sheds = rest_s, True
        await trio.sleep(fault.for_s)
        worker.sheds = False
        self._fleet.rests.append(Rest(worker.name, began_at, trio.current_time(), rest_s))

    async def _name_limit(self, fault: PlannedFault) -> None:
        """Have a worker name the calls a second that it takes of all instances, for a while."""
        worker, began_at = self._pick_worker(fault), trio.current_time()
        rate = round(self._rng.uniform(*_LIMITS_PER_S), 1)
        worker.names_limit = f"{rate:g}"
        await trio.sleep(_LIMIT_S + fault.for_s)
        worker.names_limit = None
        self._fleet.named_limits.append(
            NamedLimit(worker.name, began_at, trio.current_time(), rate)
        )

    async def _drain_worker(self, fault: PlannedFault) -> None:
        """Let a worker drain and leave."""

        def say(worker: SoakWorker) -> None:
            self._fleet.register(worker, "draining")
            self._fleet.withdrawals.append(Withdrawal(worker.name, trio.current_time()))

        await self._let_leave(fault, say)

    async def _let_leave(self, fault: PlannedFault, say: Callable[[SoakWorker], None]) -> None:
        """Have a worker say that it leaves, serve on and end; its successor is there before."""
        fleet, worker = self._fleet, self._pick_worker(fault)
        await fleet.add_worker(worker.service, worker.stage)
        fleet.present.remove(worker)
        say(worker)
        await trio.sleep(_KEEPS_SERVING_S + fault.for_s)
        fleet.unregister(worker)
        worker.close()
        fleet.note_spell(worker.name, trio.current_time())


_Act = Callable[[PlannedFault], Awaitable[None]]
_INSTANCE_FAULTS: dict[FaultKind, Callable[[Striker], _Act]] = {
    FaultKind.INSTANCE_STOP: lambda striker: striker._stop_instance,
    FaultKind.INSTANCE_KILL: lambda striker: striker._kill_instance,
    FaultKind.INSTANCE_PAUSE: lambda striker: striker._pause_instance,
    FaultKind.INSTANCE_SUSPEND: lambda striker: striker._suspend_instance,
    FaultKind.INSTANCE_CLOCK: lambda striker: striker._step_clock,
    FaultKind.INSTANCE_SIGNALS: lambda striker: striker._stop_with_signals,
}
_WORKER_CHANGES: dict[FaultKind, Callable[[Striker], _Act]] = {
    FaultKind.WORKER_FAULTS: lambda striker: striker._make_worker_fail,
    FaultKind.WORKER_CRASH: lambda striker: striker._crash_worker,
    FaultKind.WORKER_DRAIN: lambda striker: striker._drain_worker,
    FaultKind.WORKER_WORD: lambda striker: striker._say_in_answers,
    FaultKind.WORKER_REST: lambda striker: striker._ask_for_rest,
    FaultKind.WORKER_LIMIT: lambda striker: striker._name_limit,
}
