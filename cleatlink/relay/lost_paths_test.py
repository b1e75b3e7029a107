"""Tests of instances that lost their network path to endpoints that their peers still reach."""

import pytest
import trio

from standins.relay import Worker
from standins.relay.cut_paths import PathCut
from standins.relay.example_fleet import STREAM, engines, start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

PEER_COUNT = 2
# Latency target of the routes, in seconds.
TARGET_S = 0.4
# Time from the start of a cut to the requests that have to be served, in seconds; longer than the
# instances keep idle connections.
CUT_AGE_S = 5.0
# Longest time from a change to the next leader, in seconds.
ELECTION_S = 12.0


async def start_fleet_with_peers(fleet: Fleet) -> list[Worker]:
    """Start plain workers, engines and several instances that know each other."""
    workers = [*(Worker("plain") for _ in range(3)), *engines()]
    await start(fleet, *workers)
    for _ in range(PEER_COUNT):
        fleet.start_instance()
    await fleet.wait_ready()
    await wait_for_peers(fleet)
    return workers


async def wait_for_peers(fleet: Fleet) -> None:
    """Wait until each instance has heard from all others."""
    count = len(fleet.instances)
    await fleet.wait_until(
        lambda: all(item.status()["instances"] == count for item in fleet.instances)
    )


async def ask_all_kinds(fleet: Fleet, instance_index: int = 0) -> None:
    """Send a request of each kind to an instance, and require that it is served in time."""
    for path, method, headers in (
        ("/safe/x", "GET", {}),
        ("/unsafe/x", "POST", {}),
        ("/stream/x", "POST", STREAM),
        ("/resume/x", "POST", STREAM),
    ):
        began_at = trio.current_time()
        reply = await fleet.caller(instance_index).ask(
            path, method, body=b"prompt", headers=headers
        )
        took_s = trio.current_time() - began_at
        assert (path, reply.status, reply.is_complete) == (path, 200, True)
        assert took_s < TARGET_S, path


@pytest.mark.parametrize("how", [PathCut.HANG, PathCut.RESET, PathCut.REFUSE_NEW])
async def test_instance_without_path_to_endpoints_refuses_callers(how: PathCut) -> None:
    async with open_fleet() as fleet:
        await start_fleet_with_peers(fleet)
        await ask_all_kinds(fleet)
        fleet.connectors[0].cut(how)
        await trio.sleep(CUT_AGE_S)
        for _ in range(3):
            await ask_all_kinds(fleet)


async def test_leader_without_path_to_engines_stays_leader() -> None:
    async with open_fleet() as fleet:
        await start_fleet_with_peers(fleet)
        await fleet.wait_until(lambda: fleet.instances[0].is_leader, ELECTION_S)
        fleet.connectors[0].cut(PathCut.HANG)
        await fleet.caller().ask("/stream/x", "POST", body=b"prompt", headers=STREAM)
        await fleet.wait_until(lambda: not fleet.instances[0].is_leader, 1.0)
        await fleet.wait_until(lambda: fleet.instances[1].is_leader, ELECTION_S)
        fleet.connectors[0].restore()
        await fleet.wait_until(lambda: fleet.instances[0].is_leader, ELECTION_S)
        assert not fleet.instances[1].is_leader
