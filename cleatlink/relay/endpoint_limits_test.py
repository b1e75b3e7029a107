"""Test the request rate limits that endpoints announce in their answers.

An announced limit is a total for all instances. Guards against ignoring it: from 8.0 s on, two of
three endpoints announced limits of 3.6 and 3 calls per second. Eight instances kept sending nine
calls per second to each: 31 requests in 4 s from instances that had received the limit, where 27
were allowed, and 41 where 23 were allowed. No code read the limit; calls were assigned only by
the work in progress per slot.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from standins.relay import StoreMode, Worker
from standins.relay.example_fleet import STREAM, engines, start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.raw_client import Reply

pytestmark = pytest.mark.virtual_time

# Time from the first answer that announces a limit until every instance must respect it.
LIMIT_PROPAGATION_S = 2.0
# Length of the sliding window in which arrivals are counted.
WINDOW_S = 4.0
RUN_S = 7.0
# Longest time to refuse a caller that cannot be served; a fraction of its deadline.
MAX_REFUSAL_S = 0.3


def max_calls_in_window(worker: Worker) -> int:
    """Return the largest number of calls that arrived in one window once the limit was known."""
    times = [
        arrived_at
        for arrived_at in worker.all_arrival_times
        if arrived_at >= worker.all_arrival_times[0] + LIMIT_PROPAGATION_S
    ]
    return max(
        (
            sum(0 <= arrived_at - window_start < WINDOW_S for arrived_at in times)
            for window_start in times
        ),
        default=0,
    )


def max_allowed_calls(rate_per_s: float) -> float:
    """Return the calls allowed in one window: 50% above the limit, plus five."""
    return 1.5 * rate_per_s * WINDOW_S + 5


async def call_all(
    fleet: Fleet, rate_per_s: float, *instances: int, path: str = "/safe/x", seconds: float = RUN_S
) -> list[Reply]:
    """Send requests to several instances in turn at a constant total rate; return the replies."""
    replies: list[Reply] = []
    headers = STREAM if path.startswith("/stream") else {}

    async def ask(instance: int) -> None:
        replies.append(await fleet.caller(instance).ask(path, headers=headers))

    async with trio.open_nursery() as nursery:
        started_at = trio.current_time()
        for number in range(int(rate_per_s * seconds)):
            await trio.sleep_until(started_at + number / rate_per_s)
            nursery.start_soon(ask, instances[number % len(instances)])
    return replies


def statuses(replies: list[Reply]) -> set[int]:
    return {reply.status for reply in replies}


@asynccontextmanager
async def open_instances(count: int, *workers: Worker) -> AsyncIterator[Fleet]:
    """Open a fleet of several instances that route to the given workers."""
    async with open_fleet() as fleet:
        await start(fleet, *workers)
        for _ in range(count - 1):
            fleet.start_instance()
        await fleet.wait_ready()
        yield fleet


def plain_workers(count: int) -> list[Worker]:
    return [Worker("plain") for _ in range(count)]


async def test_four_instances_together_respect_limit_of_one_endpoint() -> None:
    limited, *others = plain_workers(3)
    async with open_instances(4, limited, *others) as fleet:
        limited.announced_limit = "3"
        fleet.store.mode = StoreMode.SILENT
        replies = await call_all(fleet, 40.0, 0, 1, 2, 3)
        assert statuses(replies) == {200}
        assert max_calls_in_window(limited) <= max_allowed_calls(3.0)


async def test_one_busy_instance_uses_whole_limit_of_endpoint() -> None:
    limited, other = plain_workers(2)
    async with open_instances(8, limited, other) as fleet:
        limited.announced_limit = "6"
        replies = await call_all(fleet, 40.0, 0)
        assert statuses(replies) == {200}
        assert 0.8 * 6.0 * WINDOW_S <= max_calls_in_window(limited) <= max_allowed_calls(6.0)


async def test_excess_calls_are_refused_when_all_endpoints_are_limited() -> None:
    workers = plain_workers(3)
    async with open_instances(4, *workers) as fleet:
        for worker in workers:
            worker.announced_limit = "4"
        replies = await call_all(fleet, 40.0, 0, 1, 2, 3)
        assert statuses(replies) == {200, 503}
        for worker in workers:
            assert 0.8 * 4.0 * WINDOW_S <= max_calls_in_window(worker) <= max_allowed_calls(4.0)


async def test_eight_instances_together_respect_low_limit() -> None:
    limited, *others = plain_workers(3)
    async with open_instances(8, limited, *others) as fleet:
        limited.announced_limit = "2"
        replies = await call_all(fleet, 60.0, *range(8))
        assert statuses(replies) == {200}
        assert max_calls_in_window(limited) <= max_allowed_calls(2.0)


async def test_limit_ends_when_endpoint_stops_announcing_it() -> None:
    limited, other = plain_workers(2)
    async with open_instances(2, limited, other) as fleet:
        limited.announced_limit = "2"
        await call_all(fleet, 40.0, 0, 1, seconds=4.0)
        limited.announced_limit = None
        previous_calls = len(limited.all_arrival_times)
        await call_all(fleet, 40.0, 0, 1, seconds=4.0)
        assert len(limited.all_arrival_times) - previous_calls > 40


async def test_lowered_limit_takes_effect() -> None:
    limited, other = plain_workers(2)
    async with open_instances(3, limited, other) as fleet:
        limited.announced_limit = "20"
        await call_all(fleet, 40.0, 0, 1, 2, seconds=2.0)
        limited.announced_limit = "2"
        limited.all_arrival_times.clear()
        await call_all(fleet, 40.0, 0, 1, 2)
        assert max_calls_in_window(limited) <= max_allowed_calls(2.0)


async def test_starting_and_stopping_instances_do_not_exceed_limit() -> None:
    limited, *others = plain_workers(3)
    async with open_instances(2, limited, *others) as fleet:
        limited.announced_limit = "3"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_all, fleet, 40.0, 1)
            await trio.sleep(2.0)
            fleet.start_instance()
            fleet.start_instance()
            await fleet.wait_ready()
            fleet.stop_events[0].set()
            await call_all(fleet, 40.0, 2, 3, seconds=5.0)
        assert max_calls_in_window(limited) <= max_allowed_calls(3.0)


async def test_instance_respects_limit_received_from_peer() -> None:
    limited, other = plain_workers(2)
    async with open_instances(2, limited, other) as fleet:
        limited.announced_limit = "2"
        while not limited.all_arrival_times:
            await fleet.caller(0).ask("/safe/x")
        limits = fleet.instances[1].capacity.endpoint_limits
        await fleet.wait_until(lambda: limits.rate_per_s(limited.name) == 2.0)
        limited.all_arrival_times.clear()
        await call_all(fleet, 40.0, 1, seconds=3.0)
        assert 2 <= len(limited.all_arrival_times) <= 9


async def test_refusal_names_time_when_limit_allows_next_call() -> None:
    (limited,) = plain_workers(1)
    async with open_instances(1, limited) as fleet:
        limited.announced_limit = "0.5"
        assert (await fleet.caller().ask("/safe/x")).status == 200
        started_at = trio.current_time()
        reply = await fleet.caller().ask("/safe/x")
        assert trio.current_time() - started_at < MAX_REFUSAL_S
        assert reply.status == 503
        retry_after_s = float(reply.headers["retry-after"])
        assert 1.0 < retry_after_s <= 2.1
        await trio.sleep(retry_after_s)
        assert (await fleet.caller().ask("/safe/x")).status == 200


async def test_call_waits_for_rate_limit_within_its_deadline() -> None:
    (limited,) = plain_workers(1)
    async with open_instances(1, limited) as fleet:
        limited.announced_limit = "10"
        replies = await call_all(fleet, 9.0, 0, seconds=3.0)
        assert statuses(replies) == {200}


async def test_status_shows_limits_and_sources_of_leaving_notices() -> None:
    limited, leaving = plain_workers(2)
    async with open_instances(2, limited, leaving) as fleet:
        limited.announced_limit, leaving.announces_leaving = "5", True
        while not (limited.all_arrival_times and leaving.all_arrival_times):
            await fleet.caller(0).ask("/safe/x")
        status = fleet.instances[1].status
        await fleet.wait_until(lambda: status()["leaving"] and status()["limits"])
        for instance, source in zip(fleet.instances, ("answer", "peer"), strict=True):
            assert instance.status()["limits"] == {limited.name: 5.0}
            assert instance.status()["leaving"] == {leaving.name: source}


@pytest.mark.parametrize("invalid_limit", ["-3", "few", "1e9", "", "999999999999"])
async def test_invalid_limit_does_not_take_endpoint_out_of_use(invalid_limit: str) -> None:
    (worker,) = plain_workers(1)
    async with open_instances(1, worker) as fleet:
        worker.announced_limit = invalid_limit
        assert statuses(await call_all(fleet, 50.0, 0, seconds=1.0)) == {200}


async def test_endpoint_with_zero_limit_receives_few_calls() -> None:
    limited, other = plain_workers(2)
    async with open_instances(2, limited, other) as fleet:
        limited.announced_limit = "0"
        assert statuses(await call_all(fleet, 40.0, 0, 1, seconds=3.0)) == {200}
        assert len(limited.all_arrival_times) <= 2


async def test_every_call_to_engine_counts_toward_limit() -> None:
    """Reservations, separate prefill calls and calls that free their results count as calls."""
    prefill, limited, other = engines()
    async with open_instances(4, prefill, limited, other) as fleet:
        fleet.configure({"hold_ms": 500, "slots": 64, "kv_cache_tokens": 100_000})
        await fleet.wait_until(
            lambda: all(item.records.table_revision > 5 for item in fleet.instances)
        )
        limited.announced_limit = "3"
        replies = await call_all(fleet, 30.0, 0, 1, 2, 3, path="/stream/x")
        assert statuses(replies) == {200}
        assert max_calls_in_window(limited) <= max_allowed_calls(3.0)
        assert len(limited.runs) >= 0.7 * 3.0 * RUN_S


async def test_prefill_that_names_a_limit_has_it() -> None:
    prefill, decode, another = engines()
    async with open_instances(4, prefill, decode, another) as fleet:
        fleet.configure({"slots": 64, "kv_cache_tokens": 100_000})
        await fleet.wait_until(
            lambda: all(item.records.table_revision > 5 for item in fleet.instances)
        )
        prefill.announced_limit = "3"
        replies = await call_all(fleet, 30.0, 0, 1, 2, 3, path="/stream/x")
        assert statuses(replies) == {200}
        assert max_calls_in_window(prefill) <= max_allowed_calls(3.0)


async def test_streams_use_limits_when_all_engines_are_limited() -> None:
    decodes = [Worker("model", "decode"), Worker("model", "decode")]
    async with open_instances(4, Worker("model", "prefill"), *decodes) as fleet:
        fleet.configure({"slots": 64, "kv_cache_tokens": 100_000})
        await fleet.wait_until(
            lambda: all(item.records.table_revision > 5 for item in fleet.instances)
        )
        for decode in decodes:
            decode.announced_limit = "4"
        await call_all(fleet, 30.0, 0, 1, 2, 3, path="/stream/x")
        for decode in decodes:
            assert max_calls_in_window(decode) <= max_allowed_calls(4.0)
            assert len(decode.runs) >= 0.7 * 4.0 * RUN_S
