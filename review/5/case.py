"""A machine that could not reach the store copies the list of workers from a restarted peer."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet_2 import Case, Client, Machine, Worker, is_troubled, plain_route, run_case

_DRAIN_S = 2.0
_CONTACT_S = 3.0
# Length of the cut; the site's core_cut lasts 5.5 s.
_CUT_S = 5.0
# Time for which a stopped machine is down.
_DOWN_S = 1.2
# How long the worker serves on after its entry has gone.
_SERVES_ON_S = 18.0
_WORK_S = 0.2
_PAUSE_S = 0.03


async def _send_requests(case: Case, machine: Machine, until: float) -> None:
    async with asyncio.TaskGroup() as group:
        while case.now() < until:
            group.create_task(Client().ask(case, machine, "POST", "/pule252/2f"))
            await asyncio.sleep(_PAUSE_S)


async def _play(case: Case) -> str:
    cut_off, face = await case.add_machine("front-hotel-ville-1", "127.0.0.11", "hotel-ville")
    rolled, _ = await case.add_machine("front-garage-nord-1", "127.0.0.12", "garage-nord")
    workers = [Worker(case, "gestion-travaux", _WORK_S, b"w" * 800) for _ in range(4)]
    for worker in workers:
        await worker.start()
    leaving, *staying, newcomer = workers
    case.configure([plain_route("/pule252/", "gestion-travaux")], ["gestion-travaux"])
    for worker in (leaving, *staying):
        case.store.put(worker.key, worker.entry())
    for machine in case.machines:
        await machine.start()
    for machine in case.machines:
        await machine.wait_ready()
    await asyncio.sleep(3.0)

    # Planned work: one machine is stopped and started again, and a worker is replaced meanwhile.
    rolled.signal(signal.SIGTERM)
    await rolled.wait_ended(9.0)
    ended_at = healed_at = case.now()
    if is_troubled():
        case.log("trouble", f"{cut_off.name} is partitioned from the store", for_s=_CUT_S)
        face.cut()
    await asyncio.sleep(0.3)
    case.store.remove(leaving.key)
    removed_at = case.now()
    case.log("worker", f"{leaving.name} leaves and serves on", for_s=_SERVES_ON_S)
    case.store.put(newcomer.key, newcomer.entry())
    await asyncio.sleep(ended_at + _DOWN_S - case.now())
    await rolled.start(first=False)
    await rolled.wait_ready()
    if is_troubled():
        await asyncio.sleep(ended_at + _CUT_S - case.now())
        face.heal()
        healed_at = case.now()
        case.log("trouble", f"{cut_off.name} reaches the store again")

    # The store and the machine count again contact_ms after the cut; then drain_ms are left.
    bound = max(removed_at, healed_at + _CONTACT_S) + _DRAIN_S
    ends_at = removed_at + _SERVES_ON_S
    case.log("case", f"from {bound:.3f} s on, {leaving.name} may get nothing")
    await asyncio.sleep(bound + 0.5 - case.now())
    traffic = asyncio.create_task(_send_requests(case, cut_off, ends_at + 0.5))
    await asyncio.sleep(ends_at - case.now())
    case.log("worker", f"{leaving.name} ends")
    leaving.stop()
    await traffic
    late = [arrival for arrival in leaving.arrivals if arrival.at > bound]
    lost = [arrival for arrival in late if arrival.request_id not in leaving.finished]
    case.log("case", "counted", late=len(late), lost=len(lost))
    if not late:
        return ""
    return (
        f"{len(late)} requests reached a worker from {late[0].at - removed_at:.1f} s after its "
        f"entry had gone; {len(lost)} of them were lost when it ended"
    )


run_case(_play, __file__)
