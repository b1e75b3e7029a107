"""Measures the processor time of one entry per request and per token.

One run alternates between batches of streams through the entry and batches read directly from
the engine. The entry's processor time is the overhead that it adds. It is compared with the
engine's own time for the same work, since absolute times drift.
"""

import statistics
from typing import Any, NamedTuple

import httpx
import trio

from bench.process_usage import processor_time_s
from demo.cluster import Cluster

__all__ = ["measure_path"]

_CONFIGURATION = """
version: 1
data_centres: { a: { region: r } }
services: { lm: { kind: model, models: [m] } }
pools: { both: { service: lm, role: both } }
classes: { question: { service: lm, deadline_s: 300, max_wait_s: 10 } }
limits: { requests_in_flight: 5000 }
"""
_SHORT_TOKENS, _LONG_TOKENS = 1, 200
_TOKEN_INTERVAL_S = 0.02
# Interval between arrivals: 50 requests per second, fewer than one core can handle.
_ARRIVAL_INTERVAL_S = 0.02


class BatchCost(NamedTuple):
    """The size of one batch of streams and the processor time that it took.

    Attributes:
        requests: Number of requests.
        tokens: Number of streamed tokens.
        entry_s: Processor time of the entry, in seconds.
        engine_s: Processor time of the engine, in seconds.
    """

    requests: int
    tokens: int
    entry_s: float
    engine_s: float


async def measure_path(rounds: int, stream_count: int) -> list[dict[str, Any]]:
    """Measure requests through an entry.

    Args:
        rounds: Number of runs of each batch; the results are medians.
        stream_count: Number of streams in a batch.

    Returns:
        One row: milliseconds of processor time per request and per token, and the entry's time
        per token as a ratio of the engine's.
    """
    cluster = Cluster()
    try:
        await cluster.start_platform()
        await cluster.start_engine(
            "m1", "a", "both", "--token-s", str(_TOKEN_INTERVAL_S), "--slots", "500"
        )
        await cluster.start_entry("e1", "a")
        await cluster.publish_configuration(_CONFIGURATION)
        await cluster.publish_fleet()
        await cluster.wait_ready()
        short, long, direct = [], [], []
        for _ in range(rounds):
            short.append(await _run(cluster, stream_count, _SHORT_TOKENS))
            long.append(await _run(cluster, stream_count, _LONG_TOKENS))
            direct.append(await _run_direct(cluster, stream_count, _LONG_TOKENS))
        return [_summarise(short, long, direct)]
    finally:
        with trio.CancelScope(shield=True):
            await cluster.close()


def _summarise(
    short: list[BatchCost], long: list[BatchCost], direct: list[BatchCost]
) -> dict[str, Any]:
    """Divide the cost into requests and tokens; a short stream counts as request cost only."""
    request_ms = statistics.median(1000 * batch.entry_s / batch.requests for batch in short)
    token_ms = statistics.median(
        (1000 * batch.entry_s - request_ms * batch.requests) / batch.tokens for batch in long
    )
    engine_ms = statistics.median(1000 * batch.engine_s / batch.tokens for batch in direct)
    return {
        "path": "entry",
        "request_ms": request_ms,
        "token_ms": token_ms,
        "engine_token_ms": engine_ms,
        "token_ratio": token_ms / engine_ms,
        "requests": sum(batch.requests for batch in short),
        "tokens": sum(batch.tokens for batch in long),
    }


async def _run(cluster: Cluster, stream_count: int, tokens: int) -> BatchCost:
    address = cluster.entries["e1"].address
    body = {"model": "m", "prompt": "What is next?", "max_tokens": tokens, "stream": True}
    return await _measure(
        cluster, stream_count, tokens, lambda number: _read_stream(cluster, address, body, {})
    )


async def _run_direct(cluster: Cluster, stream_count: int, tokens: int) -> BatchCost:
    return await _measure(
        cluster, stream_count, tokens, lambda number: _request_directly(cluster, number, tokens)
    )


async def _measure(
    cluster: Cluster, stream_count: int, tokens: int, send_request: Any
) -> BatchCost:
    entry, engine = cluster.entries["e1"], cluster.engines["m1"]
    before_s = processor_time_s(entry), processor_time_s(engine)
    async with trio.open_nursery() as nursery:
        for number in range(stream_count):
            nursery.start_soon(send_request, number)
            await trio.sleep(_ARRIVAL_INTERVAL_S)
    after_s = processor_time_s(entry), processor_time_s(engine)
    return BatchCost(
        stream_count, stream_count * tokens, after_s[0] - before_s[0], after_s[1] - before_s[1]
    )


_direct_request_numbers = iter(range(1_000_000_000))


async def _request_directly(cluster: Cluster, number: int, tokens: int) -> None:
    """Send the engine the calls that an entry would make: a prefill, then a streamed decode."""
    address = cluster.engines["m1"].address
    request_id = f"direct-{next(_direct_request_numbers)}"
    headers = {"X-Request-Id": request_id, "X-Attempt": "0"}
    body: dict[str, Any] = {"model": "m", "prompt": "What is next?", "max_tokens": 1}
    body["kv_transfer_params"] = {"do_remote_decode": True}
    url = f"http://{address}/v1/completions"
    response = (await cluster.client.post(url, json=body, headers=headers)).json()
    body |= {"max_tokens": tokens, "stream": True, **response}
    await _read_stream(cluster, address, body, headers)


async def _read_stream(
    cluster: Cluster, address: str, body: dict[str, Any], headers: dict[str, str]
) -> None:
    url = f"http://{address}/v1/completions"
    async with cluster.client.stream("POST", url, json=body, headers=headers) as response:
        if response.status_code != httpx.codes.OK:
            raise RuntimeError(f"completion request was rejected: {await response.aread()!r}")
        is_complete = False
        async for chunk in response.aiter_raw():
            is_complete = is_complete or b"[DONE]" in chunk
        if not is_complete:
            raise RuntimeError("completion stream ended before its [DONE] event")
