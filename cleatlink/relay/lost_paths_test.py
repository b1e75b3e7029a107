"""Tests of instances that lost their network path to endpoints that their peers still reach."""

import pytest
import trio

from cleatlink.core.data import Role
from cleatlink.core.errors import EndpointUnreachableError
from cleatlink.relay.endpoints.pool import UNREPEATABLE_IDLE_LIMIT_S
from cleatlink.routing.mechanisms import Mechanism
from standins.relay import Run, Worker
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
# Time from the start of a cut after which requests are served, in seconds.
DETECTION_S = 0.5
# Time within which a connection to an endpoint fails, in seconds.
CONNECT_TIMEOUT_S = 0.17
# Time after which connections that hang have failed, in seconds.
ACK_TIMEOUT_S = 1.6
# Time from the end of a cut after which direct connections are used, in seconds.
RETURN_S = 1.0
LONG_STREAM = {**STREAM, "Deadline-Milliseconds": "9000"}
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


@pytest.mark.parametrize("how", list(PathCut))
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


async def test_paths_that_work_again_are_not_used_for_a_second() -> None:
    async with open_fleet() as fleet:
        await start_fleet_with_peers(fleet)
        fleet.connectors[0].cut(PathCut.HANG)
        await ask_all_kinds(fleet)
        assert fleet.instances[0].status()["lost_paths"]
        assert b"cleatlink_relay_lost_paths 0" not in fleet.instances[0].render_metrics()
        fleet.connectors[0].restore()
        await trio.sleep(RETURN_S)
        assert b"cleatlink_relay_lost_paths 0" in fleet.instances[0].render_metrics()
        assert fleet.instances[0].status()["lost_paths"] == []
        others = sum(len(connector.attempts) for connector in fleet.connectors[1:])
        await ask_all_kinds(fleet)
        assert sum(len(connector.attempts) for connector in fleet.connectors[1:]) == others


async def test_instance_cut_off_from_endpoints_and_store_refuses_callers() -> None:
    async with open_fleet() as fleet:
        await start_fleet_with_peers(fleet)
        fleet.refuse_store_access(0)
        fleet.connectors[0].cut(PathCut.HANG)
        await trio.sleep(CUT_AGE_S)
        replacement = await fleet.add_worker(Worker("plain"))
        for worker in fleet.workers[:3]:
            fleet.unregister(worker)
        endpoints = fleet.instances[0].capacity.endpoints
        await fleet.wait_until(lambda: replacement.name in endpoints)
        for _ in range(3):
            await ask_all_kinds(fleet)


async def test_dead_endpoint_is_taken_for_a_lost_path() -> None:
    async with open_fleet() as fleet:
        workers = await start_fleet_with_peers(fleet)
        workers[0].close()
        for _ in range(6):
            assert (await fleet.caller().ask("/safe/x")).status == 200
            await trio.sleep(0.3)
        assert fleet.instances[0].status()["lost_paths"] == []


async def test_silent_endpoint_takes_longer_than_one_connection_attempt() -> None:
    async with open_fleet() as fleet:
        workers = await start_fleet_with_peers(fleet)
        for connector in fleet.connectors:
            connector.cut(PathCut.HANG, frozenset({workers[0].address}))
        endpoint = fleet.instances[0].capacity.endpoints[workers[0].name]
        began_at = trio.current_time()
        with pytest.raises(EndpointUnreachableError):
            await fleet.instances[0]._pool.acquire(endpoint, UNREPEATABLE_IDLE_LIMIT_S)
        assert trio.current_time() - began_at < CONNECT_TIMEOUT_S


async def test_instance_cut_off_from_one_endpoint_uses_peers_for_the_others() -> None:
    async with open_fleet() as fleet:
        workers = await start_fleet_with_peers(fleet)
        fleet.connectors[0].cut(PathCut.RESET, frozenset({workers[0].address}))
        for _ in range(12):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        assert fleet.instances[0].status()["lost_paths"] in ([], [workers[0].name])
        tried = {address for connector in fleet.connectors[1:] for address in connector.attempts}
        assert tried <= {workers[0].address}


async def test_caller_that_leaves_keeps_an_endpoint_at_work_through_a_peer() -> None:
    async with open_fleet() as fleet:
        workers = await start_fleet_with_peers(fleet)
        for worker in workers:
            worker.run_duration_s = 5.0
        fleet.connectors[0].cut(PathCut.HANG)
        caller = fleet.caller()
        request = await caller.send("/unsafe/x", "POST")
        await fleet.wait_until(lambda: find_runs(fleet, request))
        caller.close()
        await fleet.wait_until(lambda: find_runs(fleet, request)[0].connection_closed, 0.2)


async def test_request_through_a_peer_differs_from_what_the_caller_sent() -> None:
    async with open_fleet() as fleet:
        await start_fleet_with_peers(fleet)
        sent = {"X-Part": "a", "Deadline-Milliseconds": "2500"}
        body = bytes(range(256)) * 300
        seen = []
        for is_cut in (False, True):
            if is_cut:
                fleet.connectors[0].cut(PathCut.REFUSE_NEW)
                await trio.sleep(CUT_AGE_S)
            request = await fleet.caller().send(
                "/unsafe/x?a=%20b&", "POST", body=body, headers=sent
            )
            await fleet.wait_until(lambda request=request: find_runs(fleet, request))
            (run,) = find_runs(fleet, request)
            seen.append(run.call)
        direct, tunnelled = seen
        changing = ("attempt-id", "expected-instance", "deadline-milliseconds")
        assert strip(direct.headers, changing) == strip(tunnelled.headers, changing)
        assert (direct.method, direct.target, direct.body) == ("POST", "/unsafe/x?a=%20b&", body)
        assert (tunnelled.method, tunnelled.target, tunnelled.body) == ("POST", direct.target, body)
        assert 1900 < int(tunnelled.headers["deadline-milliseconds"]) <= 2000


async def test_peer_that_stops_or_freezes_fails_the_requests_it_carries() -> None:
    async with open_fleet() as fleet:
        await start_fleet_with_peers(fleet)
        fleet.connectors[0].cut(PathCut.RESET)
        await ask_all_kinds(fleet)
        callers = [fleet.caller() for _ in range(4)]
        for caller in callers:
            await caller.send("/unsafe/x", "POST")
        fleet.stop_events[1].set()
        for caller in callers:
            assert (await caller.receive()).status == 200
        for _ in range(3):
            await ask_all_kinds(fleet)
        await fleet.end_events[1].wait()
        await ask_all_kinds(fleet)


async def test_stream_whose_path_is_lost_ends_early() -> None:
    async with open_fleet() as fleet:
        workers = await start_fleet_with_peers(fleet)
        for worker in workers:
            worker.events, worker.event_interval_s = 20, 0.05
        fleet.add_route("/long/", "streaming", "model", attempts=3, resumable=True, timeout_ms=9000)
        version = fleet.configure()
        await fleet.wait_until(lambda: fleet.instances[0].records.table_revision == version)
        caller = fleet.caller()
        await caller.send("/long/x", "POST", body=b"prompt", headers=LONG_STREAM)
        await trio.sleep(0.3)
        fleet.connectors[0].cut(PathCut.HANG)
        reply = await caller.receive()
        assert (reply.status, reply.is_complete) == (200, True)
        events = [line for line in reply.body.split(b"\n") if line.startswith(b"id: ")]
        assert events == [b"id: %d" % number for number in range(1, 21)]


async def test_cut_off_instance_reports_crashes_and_unreachable_endpoints() -> None:
    async with open_fleet() as fleet:
        workers = await start_fleet_with_peers(fleet)
        for worker in workers:
            worker.run_duration_s = 0.5
        callers = [fleet.caller() for _ in range(3)]
        for caller in callers:
            await caller.send("/unsafe/x", "POST", body=b"same")
        await trio.sleep(0.2)
        fleet.connectors[0].cut(PathCut.RESET)
        for caller in callers:
            assert (await caller.receive()).status == 502
        for worker in workers:
            worker.run_duration_s = 0.01
        for index in range(len(fleet.instances)):
            reply = await fleet.caller(index).ask("/unsafe/x", "POST", body=b"same")
            assert reply.status == 200
            assert fleet.instances[index].status()["quarantine"] == []


async def test_endpoints_are_avoided_for_requests_that_a_lost_path_broke() -> None:
    async with open_fleet() as fleet:
        workers = await start_fleet_with_peers(fleet)
        for worker in workers:
            worker.run_duration_s = 4.0
        requests = [await fleet.caller().send("/unsafe/x", "POST") for _ in range(2)]
        await fleet.wait_until(lambda: all(find_runs(fleet, request) for request in requests))
        for worker in workers:
            worker.run_duration_s = 0.01
        fleet.connectors[0].cut(PathCut.HANG)
        for _ in range(3):
            await ask_all_kinds(fleet)
        await trio.sleep(ACK_TIMEOUT_S)
        capacity = fleet.instances[0].capacity
        usable = capacity.candidates("plain", Role.PLAIN, trio.current_time())
        assert {endpoint.name for endpoint in usable} == {worker.name for worker in workers[:3]}


@pytest.mark.parametrize("how", list(PathCut))
async def test_instances_of_a_data_centre_that_is_cut_off_confirm_each_others_losses(
    how: PathCut,
) -> None:
    async with open_fleet() as fleet:
        workers = [*(Worker("plain") for _ in range(3)), *engines()]
        await start(fleet, *workers)
        for data_centre in "aaabb":
            fleet.start_instance(data_centre)
        await fleet.wait_ready()
        await wait_for_peers(fleet)
        cut_off = range(4)
        for index in cut_off:
            fleet.connectors[index].cut(how)
        await trio.sleep(CUT_AGE_S)
        for index in cut_off:
            await fleet.caller(index).ask("/safe/x")
        await trio.sleep(DETECTION_S)
        for _ in range(3):
            for index in cut_off:
                await ask_all_kinds(fleet, index)


async def test_instance_without_tunnels_is_asked_for_one() -> None:
    async with open_fleet() as fleet:
        await start(fleet, *(Worker("plain") for _ in range(3)))
        fleet.start_instance("a", Mechanism.TUNNELS)
        fleet.start_instance()
        await fleet.wait_ready()
        await wait_for_peers(fleet)
        fleet.connectors[0].cut(PathCut.HANG)
        for _ in range(5):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        assert fleet.connectors[1].attempts == []
        assert fleet.connectors[2].attempts


def find_runs(fleet: Fleet, request: str) -> list[Run]:
    """Return the runs of a request at all workers."""
    return [run for worker in fleet.workers for run in worker.runs if run.request == request]


def strip(headers: dict[str, str], names: tuple[str, ...]) -> dict[str, str]:
    """Return the headers without some of them."""
    return {name: value for name, value in headers.items() if name not in names}
