"""Measures goodput and wasted prefill under load, compared with round robin and least load.

Complete entries run in process and in virtual time, with stand-in engines. The same seed gives
every policy the same requests, and repeated runs give the same results.
"""

import random
import statistics
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

import trio

from bench.baselines import RoundRobin, place_least_load
from cleatlink.routing import place_request
from cleatlink.serving.model_request_driver import PlaceRequest
from standins.fakes import Caller
from standins.world import World

__all__ = ["FAULTS", "POLICIES", "WORKLOADS", "Cell", "measure_policy"]

POLICIES: dict[str, Callable[[], PlaceRequest]] = {
    "cleatlink": lambda: place_request,
    "round-robin": RoundRobin,
    "least-load": lambda: place_least_load,
}
FAULTS = ("none", "old-reports", "cancels", "endpoint-dies")

_SLOTS_PER_ENGINE = 12
_TOKEN_INTERVAL_S = 0.04
_PREFILL_TOKENS_PER_S = 20_000.0
_LOAD_DURATION_S = 20.0
_COMPLETION_TIME_S = 25.0
_CANCEL_SHARE = 0.2
_BYTES_PER_TOKEN = 4
# Pool of each engine.
_POOLS = {"p1": "prefill", "p2": "prefill", "d1": "decode", "d2": "decode", "d3": "decode"}


class WorkloadClass(NamedTuple):
    """One request class of a workload.

    Attributes:
        name: Name of the class.
        share: Share of the requests.
        prompt_tokens: Smallest and largest number of prompt tokens.
        output_tokens: Smallest and largest number of output tokens.
        priority: Priority of the class.
        ttft_target_s: Target for the time to the first token, in seconds.
        token_target_s: Target for the mean time between tokens, in seconds.
        max_wait_s: Maximum time in the wait queue, in seconds.
        prefix_count: Number of different prompt prefixes.
    """

    name: str
    share: float
    prompt_tokens: tuple[int, int]
    output_tokens: tuple[int, int]
    priority: int
    ttft_target_s: float
    token_target_s: float
    max_wait_s: float
    prefix_count: int


WORKLOADS = {
    "release-evening": (
        WorkloadClass("translation", 0.8, (200, 600), (20, 50), 100, 0.91, 0.079, 0.6, 40),
        WorkloadClass("tagging", 0.2, (4_000, 12_000), (10, 30), 10, 10.0, 0.5, 8.0, 8),
    ),
    "lease-files": (
        WorkloadClass("question", 0.7, (100, 400), (20, 60), 80, 0.91, 0.079, 0.6, 40),
        WorkloadClass("verdict", 0.3, (6_000, 20_000), (30, 80), 60, 8.0, 0.079, 5.0, 400),
    ),
}


class SentRequest(NamedTuple):
    """One request of the benchmark.

    Attributes:
        workload_class: Class of the request.
        caller: Caller that sent the request.
        will_cancel: Whether the caller cancels the request early, if it has not ended by then.
    """

    workload_class: WorkloadClass
    caller: Caller
    will_cancel: bool


class Cell(NamedTuple):
    """One combination of parameters to measure.

    Attributes:
        policy: One of ``POLICIES``.
        workload: One of ``WORKLOADS``.
        load: Request rate as a share of the fleet's capacity.
        faults: One of ``FAULTS``.
        entries: Number of entries.
    """

    policy: str
    workload: str
    load: float
    faults: str
    entries: int = 1


def measure_policy(cell: Cell, seed: int) -> list[dict[str, Any]]:
    """Measure one combination of parameters.

    Args:
        cell: The combination of parameters.
        seed: Seed of the requests.

    Returns:
        One row for each class of the workload.
    """
    world = World()
    world.placement_function = POLICIES[cell.policy]()
    world.pools = _POOLS
    world.configuration = _write_configuration(WORKLOADS[cell.workload])
    world.engine_settings = {
        "slots": _SLOTS_PER_ENGINE,
        "token_s": _TOKEN_INTERVAL_S,
        "prefill_rate": _PREFILL_TOKENS_PER_S,
        "memory_tokens": 120_000,
        "report_lag_s": 5.0 if cell.faults == "old-reports" else 0.2,
    }
    sent: list[SentRequest] = []

    async def run_load(world: World) -> None:
        sent.extend(await _send_requests(world, cell, random.Random(seed)))

    world.run(run_load, *(f"{name}/a" for name in _entry_names(cell)))
    wasted_share = _wasted_prefill_share(world)
    return [
        cell._asdict()
        | {"class": workload_class.name, "wasted_prefill": wasted_share}
        | _summarise(workload_class, sent)
        for workload_class in WORKLOADS[cell.workload]
    ]


async def _send_requests(world: World, cell: Cell, rng: random.Random) -> list[SentRequest]:
    """Send requests at random times, then wait long enough for all of them to end."""
    classes, sent = WORKLOADS[cell.workload], []
    rate_per_s = cell.load * _capacity_per_s(classes)
    ends_at = trio.current_time() + _LOAD_DURATION_S
    dies_at = trio.current_time() + _LOAD_DURATION_S / 3 if cell.faults == "endpoint-dies" else None
    while trio.current_time() < ends_at:
        await trio.sleep(rng.expovariate(rate_per_s))
        if dies_at is not None and trio.current_time() > dies_at:
            world.fleet.kill("d1")
            dies_at = None
        sent.append(_send_request(world, cell, rng))
    await trio.sleep(_COMPLETION_TIME_S)
    return sent


def _entry_names(cell: Cell) -> list[str]:
    return [f"e{number}" for number in range(1, cell.entries + 1)]


def _send_request(world: World, cell: Cell, rng: random.Random) -> SentRequest:
    classes = WORKLOADS[cell.workload]
    workload_class = rng.choices(classes, [workload_class.share for workload_class in classes])[0]
    prompt_bytes = rng.randint(*workload_class.prompt_tokens) * _BYTES_PER_TOKEN
    prompt = f"{workload_class.name} {rng.randrange(workload_class.prefix_count)} ".ljust(1024, "x")
    prompt = (prompt + f" {rng.random()} ").ljust(prompt_bytes, "y")[:prompt_bytes]
    tokens = rng.randint(*workload_class.output_tokens)
    entry = rng.choice(_entry_names(cell))
    caller = world.start_model_request(
        entry, tokens, prompt, {"x-request-class": workload_class.name}
    )
    will_cancel = cell.faults == "cancels" and rng.random() < _CANCEL_SHARE
    if will_cancel:
        world.nursery.start_soon(_cancel, caller, rng.uniform(0.0, 0.1))
    return SentRequest(workload_class, caller, will_cancel)


async def _cancel(caller: Caller, after_s: float) -> None:
    await trio.sleep(after_s)
    caller.disconnect()


def _capacity_per_s(classes: tuple[WorkloadClass, ...]) -> float:
    """Return the requests per second at which the prefills or the decodes are fully used."""
    mean_prompt_tokens = sum(
        workload_class.share * statistics.mean(workload_class.prompt_tokens)
        for workload_class in classes
    )
    mean_output_tokens = sum(
        workload_class.share * statistics.mean(workload_class.output_tokens)
        for workload_class in classes
    )
    prefill_count = sum(pool == "prefill" for pool in _POOLS.values())
    decode_count = len(_POOLS) - prefill_count
    return min(
        prefill_count * _PREFILL_TOKENS_PER_S / mean_prompt_tokens,
        decode_count * _SLOTS_PER_ENGINE / (mean_output_tokens * _TOKEN_INTERVAL_S),
    )


def _summarise(workload_class: WorkloadClass, sent: list[SentRequest]) -> dict[str, Any]:
    """Summarise one class as seen by its callers; requests to be cancelled are not counted."""
    callers = [
        item.caller
        for item in sent
        if item.workload_class is workload_class and not item.will_cancel
    ]
    completed = [caller for caller in callers if caller.end_mark_count]
    rejections = Counter(caller.error["code"] for caller in callers if caller.status >= 400)
    ttfts_s = sorted(caller.token_times[0] - caller.sent_at for caller in completed)
    token_times_s = sorted(_mean_token_time_s(caller) for caller in completed)
    within_targets = sum(
        caller.token_times[0] - caller.sent_at <= workload_class.ttft_target_s
        and _mean_token_time_s(caller) <= workload_class.token_target_s
        for caller in completed
    )
    return {
        "requests": len(callers),
        "goodput": round(within_targets / max(1, len(callers)), 4),
        "whole": len(completed),
        "refused": dict(sorted(rejections.items())),
        "ttft_p50_s": _quantile(ttfts_s, 0.5),
        "ttft_p95_s": _quantile(ttfts_s, 0.95),
        "token_p95_s": _quantile(token_times_s, 0.95),
    }


def _mean_token_time_s(caller: Caller) -> float:
    """Return the mean time between tokens, in seconds."""
    times_s = caller.token_times
    return (times_s[-1] - times_s[0]) / max(1, len(times_s) - 1)


def _quantile(values: list[float], share: float) -> float | None:
    return round(values[min(len(values) - 1, int(share * len(values)))], 4) if values else None


def _wasted_prefill_share(world: World) -> float:
    """Return the share of prefilled tokens that no decode imported, by the engines' counters."""
    counts: Counter[str] = Counter()
    for engine in world.fleet.engines.values():
        counts.update(engine.counts)
    prefilled = counts["prefill_tokens"]
    return round((prefilled - counts["kv_used_tokens"]) / max(1, prefilled), 4)


def _write_configuration(classes: tuple[WorkloadClass, ...]) -> str:
    classes_text = "".join(
        f"  {workload_class.name}: {{ service: lm, priority: {workload_class.priority}, "
        f"deadline_s: 30, ttft_target_s: {workload_class.ttft_target_s}, "
        f"token_target_s: {workload_class.token_target_s}, "
        f"max_wait_s: {workload_class.max_wait_s} }}\n"
        for workload_class in classes
    )
    return (
        "version: 1\ndata_centres: { a: { region: r } }\n"
        "services: { lm: { kind: model, models: [m] } }\n"
        "pools:\n  prefill: { service: lm, role: prefill }\n"
        "  decode: { service: lm, role: decode }\n"
        f"classes:\n{classes_text}"
    )
