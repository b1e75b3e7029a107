"""What belonging together costs: real entry processes on loopback, without traffic.

For each number of entries: bytes to peers and processor time for each, memory,
time until a configuration is in force on all, and until a death is known to all.
"""

import signal
import time
from collections.abc import Callable
from typing import Any

import trio

from bench.processor import processor_s, resident_mb
from demo.cluster import Cluster

__all__ = ["measure_control"]

_CONFIGURATION = """
version: 1
data_centres: { a: { region: r }, b: { region: r }, c: { region: r } }
services: { lm: { kind: model, models: [m] } }
pools: { both: { service: lm, role: both } }
classes: { question: { service: lm } }
"""
_PLACES = ("a", "b", "c")
_SETTLE_S = 3.0
_QUIET_S = 10.0
_TIMEOUT_S = 60.0


async def measure_control(nodes: int, endpoints: int) -> dict[str, Any]:
    """Measure one size.

    Args:
        nodes: Entry processes.
        endpoints: Engine processes, each asked for reports by every entry.

    Returns:
        One row; figures are for each node.
    """
    cluster = Cluster()
    try:
        await _start(cluster, nodes, endpoints)
        row: dict[str, Any] = {"nodes": nodes, "endpoints": endpoints}
        row |= await _measure_quiet(cluster)
        row["config_in_force_s"] = await _measure_configuration(cluster)
        row["death_known_s"] = await _measure_death(cluster)
        return row
    finally:
        with trio.CancelScope(shield=True):
            await cluster.close()


async def _start(cluster: Cluster, nodes: int, endpoints: int) -> None:
    await cluster.start_platform()
    async with trio.open_nursery() as nursery:
        for number in range(endpoints):
            nursery.start_soon(cluster.start_engine, f"m{number}", "a", "both")
        for number in range(nodes):
            place = _PLACES[number % len(_PLACES)]
            nursery.start_soon(cluster.start_entry, f"e{number}", place)
    await cluster.publish_configuration(_CONFIGURATION)
    await cluster.publish_fleet()
    await cluster.wait_ready()
    await trio.sleep(_SETTLE_S)


async def _measure_quiet(cluster: Cluster) -> dict[str, float]:
    entries = list(cluster.entries.values())
    before = [processor_s(entry) for entry in entries]
    sent = await _peer_bytes(cluster)
    await trio.sleep(_QUIET_S)
    after = [processor_s(entry) for entry in entries]
    sent = await _peer_bytes(cluster) - sent
    shares = [(b - a) / _QUIET_S for a, b in zip(before, after, strict=True)]
    return {
        "bytes_s": sent / _QUIET_S / len(entries),
        "core_share": sum(shares) / len(shares),
        "rss_mb": max(resident_mb(entry) for entry in entries),
    }


async def _peer_bytes(cluster: Cluster) -> float:
    """Add up what all entries have sent to peers, by their own counters."""
    total = 0.0
    for entry in cluster.entries.values():
        text = (await cluster.client.get(f"http://{entry.address}/metrics")).text
        lines = [line for line in text.splitlines() if line.startswith("cleatlink_peer_bytes")]
        total += sum(float(line.rpartition(" ")[2]) for line in lines)
    return total


async def _measure_configuration(cluster: Cluster) -> float:
    started = time.monotonic()
    wanted = await cluster.publish_configuration(_CONFIGURATION + "# new\n")
    await _wait_for_all(cluster, lambda status: status["revision"] == wanted)
    return time.monotonic() - started


async def _measure_death(cluster: Cluster) -> float:
    victim = next(iter(cluster.entries))
    started = time.monotonic()
    cluster.send_signal(victim, signal.SIGKILL)
    gone = ("dead", "unheard")
    await _wait_for_all(cluster, lambda status: status["peers"].get(victim) in gone, victim)
    return time.monotonic() - started


async def _wait_for_all(
    cluster: Cluster, holds: Callable[[dict[str, Any]], bool], but: str = ""
) -> None:
    with trio.fail_after(_TIMEOUT_S):
        for name in cluster.entries:
            while name != but and not await _holds(cluster, name, holds):
                await trio.sleep(0.01)


async def _holds(cluster: Cluster, name: str, holds: Callable[[dict[str, Any]], bool]) -> bool:
    status = await cluster.status(name)
    return status is not None and holds(status)
