"""Measures the cost of the control plane with real entry processes on loopback, without traffic.

For each number of entries, it measures the bytes sent to peers and the processor time of an
entry, the memory of the largest entry, the time until all entries apply a new configuration,
and the time until all of them detect that one was killed.
"""

import signal
import time
from collections.abc import Callable
from typing import Any

import trio

from bench.process_usage import processor_time_s, resident_memory_mb
from demo.cluster import Cluster

__all__ = ["measure_control"]

_CONFIGURATION = """
version: 1
data_centres: { a: { region: r }, b: { region: r }, c: { region: r } }
services: { lm: { kind: model, models: [m] } }
pools: { both: { service: lm, role: both } }
classes: { question: { service: lm } }
"""
_DATA_CENTRES = ("a", "b", "c")
_SETTLE_TIME_S = 3.0
_IDLE_DURATION_S = 10.0
_TIMEOUT_S = 60.0


async def measure_control(entry_count: int, endpoint_count: int) -> dict[str, Any]:
    """Measure one fleet size.

    Args:
        entry_count: Number of entry processes.
        endpoint_count: Number of engine processes; every entry requests reports from each.

    Returns:
        One row. Bytes and processor time are means per entry, the memory is that of the
        largest entry, and the times are until the last entry has applied the configuration or
        detected the failure.
    """
    cluster = Cluster()
    try:
        await _start(cluster, entry_count, endpoint_count)
        row: dict[str, Any] = {"nodes": entry_count, "endpoints": endpoint_count}
        row |= await _measure_idle(cluster)
        row["config_in_force_s"] = await _measure_configuration_rollout(cluster)
        row["death_known_s"] = await _measure_failure_detection(cluster)
        return row
    finally:
        with trio.CancelScope(shield=True):
            await cluster.close()


async def _start(cluster: Cluster, entry_count: int, endpoint_count: int) -> None:
    await cluster.start_platform()
    async with trio.open_nursery() as nursery:
        for number in range(endpoint_count):
            nursery.start_soon(cluster.start_engine, f"m{number}", "a", "both")
        for number in range(entry_count):
            data_centre = _DATA_CENTRES[number % len(_DATA_CENTRES)]
            nursery.start_soon(cluster.start_entry, f"e{number}", data_centre)
    await cluster.publish_configuration(_CONFIGURATION)
    await cluster.publish_fleet()
    await cluster.wait_ready()
    await trio.sleep(_SETTLE_TIME_S)


async def _measure_idle(cluster: Cluster) -> dict[str, float]:
    entries = list(cluster.entries.values())
    before_s = [processor_time_s(entry) for entry in entries]
    bytes_before = await _peer_bytes(cluster)
    await trio.sleep(_IDLE_DURATION_S)
    after_s = [processor_time_s(entry) for entry in entries]
    sent_bytes = await _peer_bytes(cluster) - bytes_before
    core_shares = [
        (after - before) / _IDLE_DURATION_S for before, after in zip(before_s, after_s, strict=True)
    ]
    return {
        "bytes_s": sent_bytes / _IDLE_DURATION_S / len(entries),
        "core_share": sum(core_shares) / len(core_shares),
        "rss_mb": max(resident_memory_mb(entry) for entry in entries),
    }


async def _peer_bytes(cluster: Cluster) -> float:
    """Return the bytes that all entries have sent to peers, from their metrics."""
    total = 0.0
    for entry in cluster.entries.values():
        text = (await cluster.client.get(f"http://{entry.address}/metrics")).text
        lines = [line for line in text.splitlines() if line.startswith("cleatlink_peer_bytes")]
        total += sum(float(line.rpartition(" ")[2]) for line in lines)
    return total


async def _measure_configuration_rollout(cluster: Cluster) -> float:
    started = time.monotonic()
    revision = await cluster.publish_configuration(_CONFIGURATION + "# new\n")
    await _wait_for_all(cluster, lambda status: status["revision"] == revision)
    return time.monotonic() - started


async def _measure_failure_detection(cluster: Cluster) -> float:
    killed = next(iter(cluster.entries))
    started = time.monotonic()
    cluster.send_signal(killed, signal.SIGKILL)
    failed_states = ("dead", "unheard")
    await _wait_for_all(
        cluster, lambda status: status["peers"].get(killed) in failed_states, killed
    )
    return time.monotonic() - started


async def _wait_for_all(
    cluster: Cluster, condition: Callable[[dict[str, Any]], bool], excluded: str = ""
) -> None:
    with trio.fail_after(_TIMEOUT_S):
        for name in cluster.entries:
            while name != excluded and not await _meets_condition(cluster, name, condition):
                await trio.sleep(0.01)


async def _meets_condition(
    cluster: Cluster, name: str, condition: Callable[[dict[str, Any]], bool]
) -> bool:
    status = await cluster.status(name)
    return status is not None and condition(status)
