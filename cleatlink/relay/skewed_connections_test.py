"""Tests that an instance which gets most new connections serves as the instances did before."""

import random

import pytest
import trio

from standins.relay import Fault, Worker
from standins.relay.example_fleet import STREAM, engines, start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

_INSTANCES = 6
_PREFERRED = 2
_PREFERRED_SHARE = 0.95
_CALLS_PER_S = 40.0
_EVEN_S, _SKEWED_S = 6.0, 10.0
# Time from which the instance has to serve as before, and the share of that which is required.
_SETTLED_S = 3.0
_MIN_SHARE_RATIO = 0.75
# All calls use one organisation, whose limit is a fifth above what they need.
_PLAIN_TOKENS = 100
_KEY = {"Authorization": "Bearer k-first"}


async def start_fleet(fleet: Fleet) -> None:
    rate = round(1.2 * _CALLS_PER_S * _PLAIN_TOKENS)
    fleet.organisations = [
        {
            "name": "first",
            "api_keys": ["k-first"],
            "unit": "tokens",
            "plain_tokens": _PLAIN_TOKENS,
            "rate_per_s": rate,
            "burst": rate,
        }
    ]
    await start(fleet, *(Worker("plain") for _ in range(4)), *engines(), *engines())
    for _ in range(_INSTANCES - 1):
        fleet.start_instance()
    await fleet.wait_ready()
    await fleet.wait_for_peers()


async def send_calls(fleet: Fleet, duration_s: float, preferred_share: float) -> list[bool]:
    """Send calls on new connections; return which were served, in the order of sending.

    Args:
        fleet: The fleet.
        duration_s: Seconds for which calls are sent.
        preferred_share: Share of the connections that go to one instance; the others go to all.
    """
    rng = random.Random(3)
    served: dict[int, bool] = {}

    async def send(number: int) -> None:
        is_preferred = rng.random() < preferred_share
        caller = fleet.caller(_PREFERRED if is_preferred else rng.randrange(_INSTANCES))
        is_stream = number % 4 == 0
        path, method = ("/stream/x", "POST") if is_stream else ("/unsafe2/x", "POST")
        headers = {**_KEY, **(STREAM if is_stream else {})}
        reply = await caller.ask(path, method, body=b"%d" % number, headers=headers)
        served[number] = reply.status == 200 and reply.is_complete
        caller.close()

    async with trio.open_nursery() as nursery:
        for number in range(int(_CALLS_PER_S * duration_s)):
            nursery.start_soon(send, number)
            await trio.sleep(1 / _CALLS_PER_S)
    return [served[number] for number in sorted(served)]


@pytest.mark.parametrize("failing_share", [0.0, 0.1], ids=["sound", "failing"])
async def test_most_connections_at_one_instance_cost_no_answers(failing_share: float) -> None:
    """Limits and retries that instances share must not run out at the one that needs them."""
    async with open_fleet() as fleet:
        await start_fleet(fleet)
        faults = random.Random(5)
        for worker in fleet.workers:
            worker.run_duration_s = 0.03
            if not worker.stage:
                worker.faults = [
                    Fault.FULL if faults.random() < failing_share else None for _ in range(2000)
                ]
        even = await send_calls(fleet, _EVEN_S, 0.0)
        skewed = await send_calls(fleet, _SKEWED_S, _PREFERRED_SHARE)
        settled = skewed[int(_SETTLED_S * _CALLS_PER_S) :]
        even_share, settled_share = sum(even) / len(even), sum(settled) / len(settled)
        assert even_share > 0.95
        assert settled_share >= _MIN_SHARE_RATIO * even_share
