"""Tests that a crash of an endpoint is distinguished from a single bad response."""

from collections.abc import Sequence

import pytest
import trio

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.quarantine import NO_PROMPT, Suspect
from cleatlink.relay.endpoints.crash_detector import CrashDetector
from cleatlink.relay.endpoints.pool import ConnectionPool
from cleatlink.relay.metrics import RelayMetrics
from standins.relay import Fault, Worker
from standins.relay.example_fleet import start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

Crash = tuple[str, Sequence[Suspect]]


def record_crashes(fleet: Fleet, monkeypatch: pytest.MonkeyPatch) -> list[Crash]:
    """Record the crashes that the first instance reports."""
    reported: list[Crash] = []
    crash_detector = fleet.instances[0]._crash_detector
    monkeypatch.setattr(
        crash_detector,
        "_on_crash",
        lambda endpoint, requests: reported.append((endpoint.name, requests)),
    )
    return reported


async def test_crash_is_reported_with_all_requests_in_progress(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        worker.crash_marker, worker.run_duration_s = b"crash", 0.5
        await start(fleet, worker)
        reported = record_crashes(fleet, monkeypatch)
        bystander, crashing = fleet.caller(), fleet.caller()
        await bystander.send("/unsafe/x", "POST", body=b"beside")
        await fleet.wait_until(lambda: worker.runs)
        await crashing.send("/unsafe/x", "POST", body=b"crash")
        assert (await bystander.receive()).status == (await crashing.receive()).status == 502
        await fleet.wait_until(lambda: reported)
        assert [(name, len(requests)) for name, requests in reported] == [(worker.name, 2)]


@pytest.mark.parametrize(
    "fault", [Fault.TRUNCATED, Fault.RESET_AFTER, Fault.GARBAGE, Fault.WRONG_REQUEST_ID]
)
async def test_single_bad_response_is_not_a_crash(
    fault: Fault, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        reported = record_crashes(fleet, monkeypatch)
        worker.faults = [fault]
        assert (await fleet.caller().ask("/unsafe/x", "POST", body=b"x")).status == 502
        await trio.sleep(0.3)
        assert reported == []


async def test_endpoint_at_its_connection_limit_is_not_a_crash(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An endpoint at its connection limit closes new connections, and sends one bad response."""
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        reported = record_crashes(fleet, monkeypatch)
        worker.run_duration_s = 0.2
        callers = [fleet.caller(), fleet.caller()]
        for caller in callers:
            await caller.send("/unsafe/x", "POST", body=b"x")
        for caller in callers:
            assert (await caller.receive()).status == 200
        worker.accepts_connections, worker.run_duration_s = False, 0.8
        await callers[0].send("/unsafe/x", "POST", body=b"beside")
        await fleet.wait_until(lambda: len(worker.runs) == 3)
        worker.faults, worker.run_duration_s = [Fault.TRUNCATED], 0.01
        await callers[1].send("/unsafe/x", "POST", body=b"x")
        assert (await callers[1].receive()).status == 502
        assert (await callers[0].receive()).status == 200
        assert reported == []


async def test_proxy_that_closes_connections_is_a_crash(monkeypatch: pytest.MonkeyPatch) -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        worker.crash_marker, worker.is_behind_proxy = b"crash", True
        fleet.restart_after_crashes(worker, 0.3)
        await start(fleet, worker)
        reported = record_crashes(fleet, monkeypatch)
        assert (await fleet.caller().ask("/unsafe/x", "POST", body=b"crash")).status == 502
        await fleet.wait_until(lambda: reported, 0.2)
        assert [name for name, _ in reported] == [worker.name]


async def test_silent_address_is_not_a_crash(nursery: trio.Nursery) -> None:
    reported: list[Crash] = []
    crash_detector = CrashDetector(
        ConnectionPool(),
        RelayMetrics(),
        spawn=nursery.start_soon,
        on_crash=lambda endpoint, requests: reported.append((endpoint.name, requests)),
    )
    # A listener with a full backlog neither accepts nor refuses a connection.
    listener = trio.socket.socket()
    await listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    port = listener.getsockname()[1]
    backlog = [trio.socket.socket() for _ in range(3)]
    for sock in backlog:
        with trio.move_on_after(0.05):
            await sock.connect(("127.0.0.1", port))
    address = f"127.0.0.1:{port}"
    endpoint = RoutedEndpoint("e", address, "a", "plain", Role.PLAIN, slots=1)
    crash_detector.report_broken_request(endpoint, Suspect(b"x", NO_PROMPT, 0.1))
    await trio.sleep(0.9)
    assert reported == []
    for sock in (*backlog, listener):
        sock.close()


async def test_crash_is_missed_while_the_only_peer_does_not_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"), Worker("plain"))
        peer = fleet.start_instance()
        await fleet.wait_ready()
        await fleet.wait_until(
            lambda: all(item.status()["instances"] == 2 for item in fleet.instances)
        )
        for worker in fleet.workers:
            worker.crash_marker = b"crash"
        reported = record_crashes(fleet, monkeypatch)
        monkeypatch.setattr(peer._tunnels._server, "_serve_request", _never_answer)
        assert (await fleet.caller().ask("/unsafe/x", "POST", body=b"crash")).status == 502
        await fleet.wait_until(lambda: reported, 1.5)


async def _never_answer(*_: object) -> None:
    await trio.sleep_forever()
