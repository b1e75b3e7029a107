"""Runs a small fleet with traffic and injected faults, and checks the router's guarantees.

The exit code is 0 only if all eight guarantees held.
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
from demo.evidence import Evidence, Finding, ModelResult, check_guarantees
from demo.traffic import Caller, ModelRequest, make_key, pick_model_request

__all__ = ["main"]

_CONFIGURATION = Path(__file__).with_name("fleet.yaml")
# Targets for the time to the first token, by request class.
_TTFT_TARGETS_S = {"translation": 0.91, "question": 0.91, "tagging": 10.0, "verdict": 8.0}
_TOKEN_INTERVAL_TARGET_S = 0.079
_LEAVING_WAIT_S = 4.0
# Maximum time after the traffic until no engine holds memory any more.
_MEMORY_RELEASE_TIMEOUT_S = 20.0
# Longer than peers take to mark an entry as dead and to cancel its work.
_FREEZE_S = 8.0
_LONG_REQUEST = ModelRequest("question", "conseiller", "A question whose answer is long.", 250)
_TRANSLATION_REQUEST = ModelRequest(
    "translation", "bublina-translate", "A balloon to translate.", 10
)
# Its answer takes longer than the demo, so only a cancellation releases its memory.
_UNFINISHED_REQUEST = _LONG_REQUEST._replace(max_tokens=8_000)


class Demo:
    """One run of the demo."""

    def __init__(self, requests: int, seed: int, disabled_mechanism: str = "") -> None:
        """Prepare a run.

        Args:
            requests: Number of model requests to send besides those sent with the faults.
            seed: Seed of the traffic.
            disabled_mechanism: Mechanism that entries run without, a key of
                ``standins.ablations.ABLATIONS``; empty for none.
        """
        self._requests = requests
        self._rng = random.Random(seed)
        self._cluster = Cluster(disabled_mechanism)
        self._caller = Caller(self._cluster.client)
        self._open_entries: list[str] = []
        self._revisions: dict[str, list[int]] = {}
        self._orders_after_leaving = 0
        self._stop_exit_code: int | None = None
        self._activation_s = 0.0
        self._engine_counts = Counter[str]()

    async def run(self) -> Evidence:
        """Start the fleet, run the traffic with all faults and collect the evidence."""
        try:
            await self._start()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_revisions)
                await self._run_traffic()
                await self._wait_for_memory_release()
                nursery.cancel_scope.cancel()
            return await self._collect_evidence()
        finally:
            with trio.CancelScope(shield=True):
                await self._cluster.close()

    async def _start(self) -> None:
        cluster = self._cluster
        await cluster.start_platform()
        processes: list[tuple[Callable[..., Awaitable[None]], tuple[str, ...]]] = [
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
            for start, arguments in processes:
                nursery.start_soon(start, *arguments)
        await cluster.publish_configuration(_CONFIGURATION.read_text())
        await cluster.publish_fleet()
        await cluster.wait_ready()
        # Ownership of idempotency keys is confirmed only after a time without membership changes.
        await trio.sleep(6.0)
        self._open_entries = ["e1", "e2", "e3", "e4", "e5"]

    async def _run_traffic(self) -> None:
        """Send traffic and inject the faults one after another."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_model_requests, nursery)
            nursery.start_soon(self._send_calls)
            nursery.start_soon(self._cancel_in_each_phase)
            await trio.sleep(1.0)
            await self._inject_stream_faults()
            nursery.start_soon(self._make_endpoint_leave, "d1")
            nursery.start_soon(self._freeze_entry, "e4", nursery)
            await trio.sleep(1.0)
            await self._stop_entry("e1", nursery)
            await self._kill_entry("e2")
            await self._change_configuration()

    async def _send_model_requests(self, nursery: trio.Nursery) -> None:
        for number in range(self._requests):
            request = pick_model_request(self._rng, number)
            nursery.start_soon(self._send_balanced, request)
            await trio.sleep(self._rng.expovariate(30.0))

    async def _send_balanced(self, request: ModelRequest) -> None:
        """Send a request as a load balancer does, to another entry if one is not accepting."""
        for entry in self._rng.sample(self._open_entries, len(self._open_entries)):
            result = await self._caller.send_model_request(
                entry, self._cluster.entries[entry].address, request
            )
            if result.error_code not in ("stopping", "not_ready"):
                return

    async def _send_calls(self) -> None:
        """Send calls with the same key to two entries at once, as an impatient caller does."""
        for number in range(40):
            key = make_key(self._rng)
            request_class = "work-order" if number % 2 else "tile"
            path = {
                "work-order": "/services/gestion-travaux/work-orders",
                "tile": f"/services/reader-api/tiles/{number}",
            }[request_class]
            async with trio.open_nursery() as nursery:
                for entry in self._rng.sample(self._open_entries, 2):
                    address = self._cluster.entries[entry].address
                    nursery.start_soon(self._caller.send_call, address, request_class, path, key)
            await trio.sleep(0.1)

    async def _cancel_in_each_phase(self) -> None:
        """Disconnect callers during the prefill, during the decode and late in the stream."""
        await self._cluster.set_faults("c1", slow_prefill_s=0.2)
        async with trio.open_nursery() as nursery:
            for request in (
                _UNFINISHED_REQUEST._replace(cancel_after_s=0.05),
                _UNFINISHED_REQUEST._replace(cancel_after_s=0.15),
                _UNFINISHED_REQUEST._replace(cancel_after_s=0.3),
                _UNFINISHED_REQUEST._replace(cancel_after_tokens=1),
                _UNFINISHED_REQUEST._replace(cancel_after_tokens=50),
            ):
                nursery.start_soon(self._send_balanced, request)
        await self._cluster.set_faults("c1", slow_prefill_s=0.0)

    async def _inject_stream_faults(self) -> None:
        """Make engines drop, repeat, swap and mix up chunks, cut streams and lose cancels."""
        await self._cluster.set_faults("d2", drop_at=3, double_at=5, foreign_at=6)
        await self._cluster.set_faults("d3", swap_at=4, cut_at=7, lose_cancels=2)
        await self._cluster.set_faults("c2", drop_at=2, cut_at=5)

    async def _make_endpoint_leave(self, name: str) -> None:
        """Make an endpoint report that it is leaving, while the platform lists it as live."""
        await self._cluster.set_faults(name, leaving=True)
        await trio.sleep(_LEAVING_WAIT_S)
        orders_before = await self._count_orders(name)
        await trio.sleep(_FREEZE_S)
        self._orders_after_leaving = await self._count_orders(name) - orders_before

    async def _count_orders(self, name: str) -> int:
        counts = (await self._cluster.ledger(name))["counts"]
        return int(counts.get("decodes", 0)) + int(counts.get("refused_leaving", 0))

    async def _stop_entry(self, name: str, nursery: trio.Nursery) -> None:
        """Stop an entry as planned while it relays long streams, and record its exit code."""
        address = self._cluster.entries[name].address
        for _ in range(5):
            nursery.start_soon(self._caller.send_model_request, name, address, _LONG_REQUEST)
        await trio.sleep(0.5)
        self._cluster.send_signal(name, signal.SIGTERM)
        await trio.sleep(0.2)
        self._open_entries.remove(name)
        self._stop_exit_code = await self._cluster.wait_exit(name)

    async def _kill_entry(self, name: str) -> None:
        """Kill an entry while it relays streams."""
        address = self._cluster.entries[name].address
        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(
                    self._caller.send_model_request, name, address, _UNFINISHED_REQUEST
                )
            await trio.sleep(0.3)
            self._open_entries.remove(name)
            self._cluster.send_signal(name, signal.SIGKILL)

    async def _freeze_entry(self, name: str, nursery: trio.Nursery) -> None:
        """Suspend an entry that relays streams; it resumes with an outdated view of the fleet."""
        address = self._cluster.entries[name].address
        for _ in range(3):
            nursery.start_soon(self._caller.send_model_request, name, address, _LONG_REQUEST)
        await trio.sleep(0.5)
        self._open_entries.remove(name)
        self._cluster.send_signal(name, signal.SIGSTOP)
        await trio.sleep(_FREEZE_S)
        self._cluster.send_signal(name, signal.SIGCONT)
        async with trio.open_nursery() as after_resume:
            for _ in range(5):
                after_resume.start_soon(
                    self._caller.send_model_request, name, address, _TRANSLATION_REQUEST
                )
        self._open_entries.append(name)

    async def _change_configuration(self) -> None:
        """Publish a revision, then start an entry while the platform returns the old one."""
        cluster = self._cluster
        await cluster.publish_fleet()
        text = _CONFIGURATION.read_text().replace("max_attempts: 4", "max_attempts: 5")
        started_at = time.monotonic()
        revision = await cluster.publish_configuration(text)
        while any(self._revisions.get(name, [])[-1:] != [revision] for name in self._open_entries):
            await trio.sleep(0.02)
        self._activation_s = time.monotonic() - started_at
        await cluster.set_platform_faults(stale=["config"])
        await cluster.start_entry("e6", "praha-b")
        await cluster.wait_ready("e6")
        self._open_entries.append("e6")
        await trio.sleep(0.5)
        await cluster.set_platform_faults(down=True)
        await trio.sleep(0.5)

    async def _watch_revisions(self) -> None:
        """Record the configuration revisions of all open entries periodically."""
        while True:
            for name in list(self._open_entries):
                status = await self._cluster.status(name)
                if status is not None and status["ready"]:
                    self._revisions.setdefault(name, []).append(int(status["revision"]))
            await trio.sleep(0.05)

    async def _wait_for_memory_release(self) -> None:
        """Wait until no engine holds memory, or until the time that the guarantee allows is up."""
        with trio.move_on_after(_MEMORY_RELEASE_TIMEOUT_S):
            while any((await self._read_memory_tokens()).values()):
                await trio.sleep(0.2)

    async def _read_memory_tokens(self) -> dict[str, int]:
        ledgers = {name: await self._cluster.ledger(name) for name in self._cluster.engines}
        return {name: int(ledger["memory"]) for name, ledger in ledgers.items()}

    async def _collect_evidence(self) -> Evidence:
        executions: Counter[str] = Counter()
        for name in self._cluster.services:
            executions.update((await self._cluster.ledger(name))["executions"])
        for name in self._cluster.engines:
            self._engine_counts.update((await self._cluster.ledger(name))["counts"])
        return Evidence(
            self._caller.model_results,
            self._caller.call_results,
            await self._read_memory_tokens(),
            executions,
            self._orders_after_leaving,
            self._stop_exit_code,
            "e1",
            "e2",
            self._revisions,
            2,
            self._activation_s,
        )

    def wasted_prefill_share(self) -> float:
        """Return the share of prefilled tokens whose KV no decode imported."""
        prefilled = self._engine_counts["prefill_tokens"]
        return (prefilled - self._engine_counts["kv_used_tokens"]) / max(1, prefilled)


def print_table(evidence: Evidence, wasted_share: float) -> None:
    """Print requests, answers and goodput by class, refusals by code and wasted prefill."""
    classes = sorted({result.request_class for result in evidence.model_results})
    click.echo(f"{'class':<12}{'asked':>7}{'whole':>7}{'refused':>9}{'gone':>6}{'goodput':>9}")
    for name in classes:
        results = [result for result in evidence.model_results if result.request_class == name]
        complete = [result for result in results if result.outcome == "whole"]
        disconnected = sum(result.outcome in ("cancelled", "cut") for result in results)
        refused = sum(result.outcome in ("refused", "broken") for result in results)
        within_targets = sum(_meets_targets(result) for result in complete)
        goodput = within_targets / max(1, len(results) - disconnected)
        click.echo(
            f"{name:<12}{len(results):>7}{len(complete):>7}"
            f"{refused:>9}{disconnected:>6}{goodput:>9.1%}"
        )
    call_outcomes = Counter(
        f"{call.request_class} {call.error_code or 'answered'}" for call in evidence.call_results
    )
    error_codes = Counter(
        result.error_code for result in evidence.model_results if result.error_code
    )
    click.echo(f"calls: {dict(sorted(call_outcomes.items()))}")
    click.echo(f"refusals by kind: {dict(sorted(error_codes.items()))}")
    click.echo(f"wasted prefill: {wasted_share:.1%} of the tokens prefilled")


def _meets_targets(result: ModelResult) -> bool:
    in_time = result.ttft_s <= _TTFT_TARGETS_S[result.request_class]
    return in_time and result.token_interval_s <= _TOKEN_INTERVAL_TARGET_S


def print_findings(findings: list[Finding]) -> None:
    """Print each guarantee and whether it held."""
    for finding in findings:
        click.echo(
            f"{'held  ' if finding.held else 'BROKEN'} {finding.guarantee}: {finding.detail}"
        )


@click.command()
@click.option("--requests", default=250, show_default=True, help="Model requests to send.")
@click.option("--seed", default=1, show_default=True, help="Seed of the traffic.")
@click.option("--broken", default="", help="Mechanism to disable; the checks must report it.")
def main(requests: int, seed: int, broken: str) -> None:
    """Run the demo; exit with 0 only if every guarantee held."""
    demo = Demo(requests, seed, broken)
    started_at = time.monotonic()
    evidence = trio.run(demo.run)
    print_table(evidence, demo.wasted_prefill_share())
    findings = check_guarantees(evidence)
    print_findings(findings)
    click.echo(f"took {time.monotonic() - started_at:.1f} s")
    sys.exit(0 if all(finding.held for finding in findings) else 1)


if __name__ == "__main__":
    main()
