"""Test that instances share the endpoint speeds that they measure.

One of two workers takes four times as long. Guards against an instance without calls of its own,
or one started later, treating both workers as equally fast.
"""

import pytest
import trio

from standins.relay import Worker
from standins.relay.example_fleet import start
from standins.relay.fleet import Fleet, open_fleet

# Virtual time keeps the load of the machine out of the measured speeds.
pytestmark = pytest.mark.virtual_time

# Instances send speed updates every 3 s.
_PROPAGATION_S = 8.0


async def _send_calls(fleet: Fleet, count: int) -> None:
    for _ in range(count):
        assert (await fleet.caller().ask("/safe/x")).status == 200


def _speed(fleet: Fleet, instance: int, worker: Worker) -> float:
    """Return the speed of a worker as an instance knows it."""
    capacity = fleet.instances[instance].capacity
    incarnation = capacity.current_incarnation(worker.name) or worker.name
    return capacity.relative_speed(incarnation, trio.current_time())


async def test_running_and_new_peers_learn_measured_speeds() -> None:
    async with open_fleet() as fleet:
        quick, slow = Worker("plain"), Worker("plain")
        quick.run_duration_s, slow.run_duration_s = 0.03, 0.12
        await start(fleet, quick, slow)
        fleet.start_instance()
        await fleet.wait_ready()
        await _send_calls(fleet, 40)
        assert _speed(fleet, 0, slow) < 0.8 < _speed(fleet, 0, quick)
        await fleet.wait_until(lambda: _speed(fleet, 1, slow) < 0.8, _PROPAGATION_S)
        fleet.start_instance()
        await fleet.wait_ready()
        # The first contact must pass on the speed, not only the next update.
        await fleet.wait_until(lambda: _speed(fleet, 2, slow) < 0.8, 1.5)
