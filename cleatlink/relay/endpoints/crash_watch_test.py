"""An endpoint that crashed is told apart from one that spoiled an answer."""

from collections.abc import Mapping

import pytest
import trio

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.crash_watch import CrashWatch
from cleatlink.relay.endpoints.pool import ConnectionPool
from cleatlink.relay.metrics import RelayMetrics
from standins.relay import Fault, Worker
from standins.relay.example import start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

Crash = tuple[str, Mapping[bytes, float]]


def watch(fleet: Fleet, monkeypatch: pytest.MonkeyPatch) -> list[Crash]:
    """Note what the first instance finds out."""
    found: list[Crash] = []
    crash_watch = fleet.instances[0]._crash_watch
    monkeypatch.setattr(
        crash_watch, "_on_crash", lambda endpoint, asks: found.append((endpoint.name, asks))
    )
    return found


async def test_crash_is_found_with_all_that_was_in_progress(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        worker.crashes_on, worker.work_s = b"crash", 0.5
        await start(fleet, worker)
        found = watch(fleet, monkeypatch)
        beside, guilty = fleet.caller(), fleet.caller()
        await beside.send("/unsafe/x", "POST", body=b"beside")
        await fleet.until(lambda: worker.runs)
        await guilty.send("/unsafe/x", "POST", body=b"crash")
        assert (await beside.receive()).status == (await guilty.receive()).status == 502
        await fleet.until(lambda: found)
        assert [(name, len(asks)) for name, asks in found] == [(worker.name, 2)]


@pytest.mark.parametrize("fault", [Fault.CUT, Fault.RESET_AFTER, Fault.GARBAGE, Fault.FOREIGN])
async def test_spoiled_answer_is_no_crash(fault: Fault, monkeypatch: pytest.MonkeyPatch) -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        found = watch(fleet, monkeypatch)
        worker.faults = [fault]
        assert (await fleet.caller().ask("/unsafe/x", "POST", body=b"x")).status == 502
        await trio.sleep(0.3)
        assert found == []


async def test_endpoint_that_closes_new_connections_and_keeps_others_lives(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It has as many connections as it takes, and spoils one answer: that is no crash."""
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        found = watch(fleet, monkeypatch)
        worker.work_s = 0.2
        callers = [fleet.caller(), fleet.caller()]
        for caller in callers:
            await caller.send("/unsafe/x", "POST", body=b"x")
        for caller in callers:
            assert (await caller.receive()).status == 200
        worker.takes_connections, worker.work_s = False, 0.8
        await callers[0].send("/unsafe/x", "POST", body=b"beside")
        await fleet.until(lambda: len(worker.runs) == 3)
        worker.faults, worker.work_s = [Fault.CUT], 0.01
        await callers[1].send("/unsafe/x", "POST", body=b"x")
        assert (await callers[1].receive()).status == 502
        assert (await callers[0].receive()).status == 200
        assert found == []


async def test_address_that_closes_connections_is_a_crash(monkeypatch: pytest.MonkeyPatch) -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        worker.crashes_on, worker.is_behind_proxy = b"crash", True
        fleet.keep_restarting(worker, 0.3)
        await start(fleet, worker)
        found = watch(fleet, monkeypatch)
        assert (await fleet.caller().ask("/unsafe/x", "POST", body=b"crash")).status == 502
        await fleet.until(lambda: found, 0.2)
        assert [name for name, _ in found] == [worker.name]


async def test_silent_address_is_no_crash(nursery: trio.Nursery) -> None:
    found: list[Crash] = []
    crash_watch = CrashWatch(
        ConnectionPool(),
        RelayMetrics(),
        spawn=nursery.start_soon,
        on_crash=lambda endpoint, asks: found.append((endpoint.name, asks)),
    )
    # Full backlogs take no connection and say nothing.
    listener = trio.socket.socket()
    await listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    port = listener.getsockname()[1]
    filling = [trio.socket.socket() for _ in range(3)]
    for sock in filling:
        with trio.move_on_after(0.05):
            await sock.connect(("127.0.0.1", port))
    address = f"127.0.0.1:{port}"
    endpoint = RoutedEndpoint("e", address, "a", "plain", Role.PLAIN, slots=1)
    crash_watch.note_broken(endpoint, b"x", 0.1)
    await trio.sleep(0.9)
    assert found == []
    for sock in (*filling, listener):
        sock.close()
