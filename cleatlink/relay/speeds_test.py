"""Speeds of endpoints that one instance measures are known to the others.

Of two workers one takes four times as long. An instance that had no calls itself, and one that
was started later, took them for alike.
"""

import pytest
import trio

from standins.relay import Worker
from standins.relay.example import start
from standins.relay.fleet import Fleet, open_fleet

# What is judged are waits of the program, not what else a busy machine does.
pytestmark = pytest.mark.virtual_time

# News of speeds goes out every 3 s.
_TOLD_S = 8.0


async def _ask(fleet: Fleet, count: int) -> None:
    for _ in range(count):
        assert (await fleet.caller().ask("/safe/x")).status == 200


def _speed(fleet: Fleet, instance: int, worker: Worker) -> float:
    """Give a worker's speed as an instance knows it."""
    capacity = fleet.instances[instance].capacity
    life = capacity.life_of(worker.name) or worker.name
    return capacity.speed(life, trio.current_time())


async def test_peers_and_those_that_start_later_know_what_one_measured() -> None:
    async with open_fleet() as fleet:
        quick, slow = Worker("plain"), Worker("plain")
        quick.work_s, slow.work_s = 0.03, 0.12
        await start(fleet, quick, slow)
        fleet.start_instance()
        await fleet.ready()
        await _ask(fleet, 40)
        assert _speed(fleet, 0, slow) < 0.8 < _speed(fleet, 0, quick)
        await fleet.until(lambda: _speed(fleet, 1, slow) < 0.8, _TOLD_S)
        fleet.start_instance()
        await fleet.ready()
        # At the first contact, not with the next news.
        await fleet.until(lambda: _speed(fleet, 2, slow) < 0.8, 1.5)
