"""The main job in small: a fleet of processes, traffic, failures, promises checked.

Ends with 0 only if all eight promises held.
"""

import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import click
import trio

from demo.cluster import Cluster
from demo.evidence import Evidence, Finding, ModelResult, check_promises
from demo.traffic import Ask, Caller, make_key, pick_ask

__all__ = ["main"]

_CONFIGURATION = Path(__file__).with_name("fleet.yaml")
_TARGETS = {"translation": 0.91, "question": 0.91, "tagging": 10.0, "verdict": 8.0}
_TOKEN_TARGET_S = 0.079
_LEAVING_WAIT_S = 4.0
_MEMORY_WAIT_S = 20.0
# Longer than it takes the peers to hold an entry for dead and cancel its work.
_FREEZE_S = 8.0
_LONG = Ask("question", "conseiller", "A question whose answer is long.", 250)
_TRANSLATION = Ask("translation", "bublina-translate", "A balloon to translate.", 10)
# Longer than the demo: only a cancel frees the memory that such an answer holds.
_ENDLESS = _LONG._replace(max_tokens=8_000)


class Demo:
    """One run of the demo."""

    def __init__(self, requests: int, seed: int, broken: str = "") -> None:
        self._requests = requests
        self._rng = random.Random(seed)
        self._cluster = Cluster(broken)
        self._caller = Caller(self._cluster.client)
        self._open_entries: list[str] = []
        self._revisions: dict[str, list[int]] = {}
        self._work_after_leaving = 0
        self._stop_exit_code: int | None = None
        self._in_force_s = 0.0
        self._wasted = Counter[str]()

    async def run(self) -> Evidence:
        """Run everything and gather the evidence."""
        try:
            await self._start()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_revisions)
                await self._run_traffic()
                await self._wait_for_memory()
                nursery.cancel_scope.cancel()
            return await self._gather()
        finally:
            with trio.CancelScope(shield=True):
                await self._cluster.close()

    async def _start(self) -> None:
        cluster = self._cluster
        await cluster.start_platform()
        plan: list[tuple[Callable[..., Awaitable[None]], tuple[str, ...]]] = [
            (cluster.start_engine, ("p1", "praha-a", "bublina-prefill")),
            (cluster.start_engine, ("p2", "praha-b", "bublina-prefill")),
            (cluster.start_engine, ("d1", "praha-a", "bublina-decode")),
            (cluster.start_engine, ("d2", "praha-a", "bublina-decode")),
            (cluster.start_engine, ("d3", "praha-b", "bublina-decode")),
            (cluster.start_engine, ("c1", "praha-a", "conseiller")),
            (cluster.start_engine, ("c2", "praha-b", "conseiller")),
            (cluster.start_service, ("r1", "praha-a", "reader")),
            (cluster.start_service, ("w1", "praha-a", "travaux")),
            (cluster.start_service, ("w2", "praha-b", "travaux")),
            (cluster.start_entry, ("e1", "praha-a")),
            (cluster.start_entry, ("e2", "praha-a")),
            (cluster.start_entry, ("e3", "praha-b")),
            (cluster.start_entry, ("e4", "praha-b")),
            (cluster.start_entry, ("e5", "praha-a")),
        ]
        async with trio.open_nursery() as nursery:
            for start, arguments in plan:
                nursery.start_soon(start, *arguments)
        await cluster.publish_configuration(_CONFIGURATION.read_text())
        await cluster.publish_fleet()
        await cluster.wait_ready()
        # Ownership of once-only keys is sure only after the view has been quiet.
        await trio.sleep(6.0)
        self._open_entries = ["e1", "e2", "e3", "e4", "e5"]

    async def _run_traffic(self) -> None:
        """Send traffic while things go wrong one after another."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_models, nursery)
            nursery.start_soon(self._send_calls)
            nursery.start_soon(self._cancel_in_each_phase)
            await trio.sleep(1.0)
            await self._spoil_streams()
            nursery.start_soon(self._leave_endpoint, "d1")
            nursery.start_soon(self._freeze_entry, "e4", nursery)
            await trio.sleep(1.0)
            await self._stop_entry("e1", nursery)
            await self._kill_entry("e2")
            await self._change_configuration()

    async def _send_models(self, nursery: trio.Nursery) -> None:
        for number in range(self._requests):
            ask = pick_ask(self._rng, number)
            nursery.start_soon(self._ask, ask)
            await trio.sleep(self._rng.expovariate(30.0))

    async def _ask(self, ask: Ask) -> None:
        """Play the balancer: ask an open entry, and another one if it is stopping."""
        for entry in self._rng.sample(self._open_entries, len(self._open_entries)):
            result = await self._caller.ask(entry, self._cluster.entries[entry].address, ask)
            if result.kind not in ("stopping", "not_ready"):
                return

    async def _send_calls(self) -> None:
        """Send each key to two entries at once, as a nervous caller would."""
        for number in range(40):
            key = make_key(self._rng)
            kind = "work-order" if number % 2 else "tile"
            path = {
                "work-order": "/services/gestion-travaux/work-orders",
                "tile": f"/services/reader-api/tiles/{number}",
            }[kind]
            async with trio.open_nursery() as nursery:
                for entry in self._rng.sample(self._open_entries, 2):
                    address = self._cluster.entries[entry].address
                    nursery.start_soon(self._caller.call, address, kind, path, key)
            await trio.sleep(0.1)

    async def _cancel_in_each_phase(self) -> None:
        """Go away while prefilling, while decoding, and late."""
        await self._cluster.set_faults("c1", slow_prefill_s=0.2)
        async with trio.open_nursery() as nursery:
            for ask in (
                _ENDLESS._replace(cancel_after_s=0.05),
                _ENDLESS._replace(cancel_after_s=0.15),
                _ENDLESS._replace(cancel_after_s=0.3),
                _ENDLESS._replace(cancel_after=1),
                _ENDLESS._replace(cancel_after=50),
            ):
                nursery.start_soon(self._ask, ask)
        await self._cluster.set_faults("c1", slow_prefill_s=0.0)

    async def _spoil_streams(self) -> None:
        """Lose, double, swap and mix up chunks, and cut streams."""
        await self._cluster.set_faults("d2", drop_at=3, double_at=5, foreign_at=6)
        await self._cluster.set_faults("d3", swap_at=4, cut_at=7, lose_cancels=2)
        await self._cluster.set_faults("c2", drop_at=2, cut_at=5)

    async def _leave_endpoint(self, name: str) -> None:
        """Let an endpoint leave by its own report; the list does not say so."""
        await self._cluster.set_faults(name, leaving=True)
        await trio.sleep(_LEAVING_WAIT_S)
        before = await self._count_orders(name)
        await trio.sleep(_FREEZE_S)
        self._work_after_leaving = await self._count_orders(name) - before

    async def _count_orders(self, name: str) -> int:
        counts = (await self._cluster.ledger(name))["counts"]
        return int(counts.get("decodes", 0)) + int(counts.get("refused_leaving", 0))

    async def _stop_entry(self, name: str, nursery: trio.Nursery) -> None:
        """Stop an entry as planned while it has long streams."""
        address = self._cluster.entries[name].address
        for _ in range(5):
            nursery.start_soon(self._caller.ask, name, address, _LONG)
        await trio.sleep(0.5)
        self._cluster.send_signal(name, signal.SIGTERM)
        await trio.sleep(0.2)
        self._open_entries.remove(name)
        self._stop_exit_code = await self._cluster.wait_exit(name)

    async def _kill_entry(self, name: str) -> None:
        """Kill an entry while it has streams in every phase."""
        address = self._cluster.entries[name].address
        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(self._caller.ask, name, address, _ENDLESS)
            await trio.sleep(0.3)
            self._open_entries.remove(name)
            self._cluster.send_signal(name, signal.SIGKILL)

    async def _freeze_entry(self, name: str, nursery: trio.Nursery) -> None:
        """Freeze an entry with streams; it wakes with an old view of the fleet."""
        address = self._cluster.entries[name].address
        for _ in range(3):
            nursery.start_soon(self._caller.ask, name, address, _LONG)
        await trio.sleep(0.5)
        self._open_entries.remove(name)
        self._cluster.send_signal(name, signal.SIGSTOP)
        await trio.sleep(_FREEZE_S)
        self._cluster.send_signal(name, signal.SIGCONT)
        async with trio.open_nursery() as woken:
            for _ in range(5):
                woken.start_soon(self._caller.ask, name, address, _TRANSLATION)
        self._open_entries.append(name)

    async def _change_configuration(self) -> None:
        """Publish a revision, then start an entry beside a platform gone stale."""
        cluster = self._cluster
        await cluster.publish_fleet()
        text = _CONFIGURATION.read_text().replace("max_attempts: 4", "max_attempts: 5")
        started = time.monotonic()
        wanted = await cluster.publish_configuration(text)
        while any(self._revisions.get(name, [])[-1:] != [wanted] for name in self._open_entries):
            await trio.sleep(0.02)
        self._in_force_s = time.monotonic() - started
        await cluster.set_platform_faults(stale=["config"])
        await cluster.start_entry("e6", "praha-b")
        await cluster.wait_ready("e6")
        self._open_entries.append("e6")
        await trio.sleep(0.5)
        await cluster.set_platform_faults(down=True)
        await trio.sleep(0.5)

    async def _watch_revisions(self) -> None:
        """Note the revision in force at every open entry, again and again."""
        while True:
            for name in list(self._open_entries):
                status = await self._cluster.status(name)
                if status is not None and status["ready"]:
                    self._revisions.setdefault(name, []).append(int(status["revision"]))
            await trio.sleep(0.05)

    async def _wait_for_memory(self) -> None:
        """Give the fleet the time that its promises allow to clean up."""
        with trio.move_on_after(_MEMORY_WAIT_S):
            while any((await self._memory()).values()):
                await trio.sleep(0.2)

    async def _memory(self) -> dict[str, int]:
        ledgers = {name: await self._cluster.ledger(name) for name in self._cluster.engines}
        return {name: int(ledger["memory"]) for name, ledger in ledgers.items()}

    async def _gather(self) -> Evidence:
        executions: Counter[str] = Counter()
        for name in self._cluster.services:
            executions.update((await self._cluster.ledger(name))["executions"])
        for name in self._cluster.engines:
            self._wasted.update((await self._cluster.ledger(name))["counts"])
        return Evidence(
            self._caller.models,
            self._caller.calls,
            await self._memory(),
            executions,
            self._work_after_leaving,
            self._stop_exit_code,
            "e1",
            "e2",
            self._revisions,
            2,
            self._in_force_s,
        )

    def wasted_prefill(self) -> float:
        """Share of prefilled tokens that no decode imported."""
        done = self._wasted["prefill_tokens"]
        return (done - self._wasted["kv_used_tokens"]) / max(1, done)


def print_table(evidence: Evidence, wasted: float) -> None:
    """Print requests, answers, refusals by kind and goodput."""
    classes = sorted({result.request_class for result in evidence.models})
    click.echo(f"{'class':<12}{'asked':>7}{'whole':>7}{'refused':>9}{'gone':>6}{'goodput':>9}")
    for name in classes:
        results = [result for result in evidence.models if result.request_class == name]
        whole = [result for result in results if result.outcome == "whole"]
        gone = sum(result.outcome in ("cancelled", "cut") for result in results)
        refused = sum(result.outcome in ("refused", "broken") for result in results)
        good = sum(_is_good(result) for result in whole)
        share = good / max(1, len(results) - gone)
        click.echo(f"{name:<12}{len(results):>7}{len(whole):>7}{refused:>9}{gone:>6}{share:>9.1%}")
    statuses = Counter(f"{call.request_class} {call.kind or 'answered'}" for call in evidence.calls)
    kinds = Counter(result.kind for result in evidence.models if result.kind)
    click.echo(f"calls: {dict(sorted(statuses.items()))}")
    click.echo(f"refusals by kind: {dict(sorted(kinds.items()))}")
    click.echo(f"wasted prefill: {wasted:.1%} of the tokens prefilled")


def _is_good(result: ModelResult) -> bool:
    in_time = result.ttft_s <= _TARGETS[result.request_class]
    return in_time and result.token_s <= _TOKEN_TARGET_S


def print_findings(findings: list[Finding]) -> None:
    """Print each promise and whether it held."""
    for finding in findings:
        click.echo(f"{'held  ' if finding.held else 'BROKEN'} {finding.promise}: {finding.detail}")


@click.command()
@click.option("--requests", default=250, show_default=True, help="Model requests to send.")
@click.option("--seed", default=1, show_default=True, help="Seed of the traffic.")
@click.option("--broken", default="", help="Mechanism to switch off, to see it reported.")
def main(requests: int, seed: int, broken: str) -> None:
    """Run the demo; exit with 0 only if every promise held."""
    demo = Demo(requests, seed, broken)
    started = time.monotonic()
    evidence = trio.run(demo.run)
    print_table(evidence, demo.wasted_prefill())
    findings = check_promises(evidence)
    print_findings(findings)
    click.echo(f"took {time.monotonic() - started:.1f} s")
    sys.exit(0 if all(finding.held for finding in findings) else 1)


if __name__ == "__main__":
    main()
