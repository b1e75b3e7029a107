"""Test that a request which crashes its endpoints is quarantined in the whole fleet.

Guards against this failure: one request crashed each engine that began to run it, and its caller
retried it through seven of eight instances. No instance remembered the request, so each treated
it as new: eleven engines crashed in 13 seconds, and 60 streams on these engines broke off. Each
of these log lines came from a different instance than the one before:

    {"age_ms":109,"endpoint":"engine-4","error":"StreamBrokenError(...)"}
    {"age_ms":975,"endpoint":"engine-5","error":"StreamBrokenError(...)"}
    {"age_ms":1904,"endpoint":"engine-6","error":"StreamBrokenError(...)"}

The prompt had 1,454 tokens in all of them, and no other request was in progress at more than two
of the engines that crashed.
"""

import itertools
import json
from typing import NamedTuple

import pytest
import trio

from cleatlink.relay.callers.internal_pages import MetricsHandler
from cleatlink.relay.callers.server import serve_connections
from cleatlink.relay.sockets import listen
from standins.relay import Worker
from standins.relay.example_fleet import STREAM, start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.raw_client import Caller, Reply

pytestmark = pytest.mark.virtual_time

# Crashed endpoints restart soon, so that the request can always find another one to crash.
_RESTART_S = 0.15
_INSTANCES = 3
_ATTEMPTS = 14
_RETRY_PAUSE_S = 0.2
# Crashes after which no instance may forward the request.
_MAX_CRASHES = 3
_CRASH_MARKER = b"crash"
# Callers that send harmless requests meanwhile, and the number of their answers to check.
_CALLERS = 6
_ANSWERS = 100


class RequestKind(NamedTuple):
    """Path, method and headers of one kind of request."""

    path: str
    method: str
    headers: dict[str, str]


STREAMING = RequestKind("/stream/x", "POST", STREAM)
RESUMABLE = RequestKind("/resume/x", "POST", STREAM)
UNSAFE = RequestKind("/unsafe/x", "POST", {})
SAFE = RequestKind("/safe/crash", "GET", {})
REQUEST_KINDS = (STREAMING, RESUMABLE, UNSAFE, SAFE)


async def start_crashing_fleet(fleet: Fleet, *, behind_proxies: bool = False) -> None:
    """Start instances, and endpoints that crash on one request."""
    workers = [Worker("model", "prefill"), Worker("model", "prefill")]
    workers += [Worker("model", "decode") for _ in range(4)]
    workers += [Worker("plain") for _ in range(4)]
    for worker in workers:
        worker.crash_marker, worker.is_behind_proxy = _CRASH_MARKER, behind_proxies
        fleet.restart_after_crashes(worker, _RESTART_S)
    await start(fleet, *workers)
    for _ in range(_INSTANCES - 1):
        fleet.start_instance()
    await fleet.wait_ready()
    # Instances that have just started don't know each other yet.
    await fleet.wait_for_peers()


def count_crashes(fleet: Fleet) -> int:
    """Count endpoints that have crashed."""
    return sum(worker.crashed.is_set() for worker in fleet.workers)


def count_runs(fleet: Fleet, body: bytes) -> int:
    """Count the runs of requests whose body or path contains the given bytes."""
    return sum(
        body in run.call.body + run.call.target.encode()
        for worker in fleet.workers
        for run in worker.runs
    )


async def ask(fleet: Fleet, kind: RequestKind, instance: int, body: bytes = _CRASH_MARKER) -> Reply:
    """Send a request through an instance."""
    caller = fleet.caller(instance)
    request_body = body if kind.method == "POST" else b""
    reply = await caller.ask(kind.path, kind.method, body=request_body, headers=kind.headers)
    caller.close()
    return reply


@pytest.mark.parametrize("kind", REQUEST_KINDS, ids=lambda kind: kind.path.split("/")[1])
async def test_request_that_crashes_endpoints_is_quarantined_by_all_instances(
    kind: RequestKind,
) -> None:
    async with open_fleet() as fleet:
        await start_crashing_fleet(fleet)
        replies = []
        for number in range(_ATTEMPTS):
            replies.append(await ask(fleet, kind, number % _INSTANCES))
            await trio.sleep(_RETRY_PAUSE_S)
        assert (count_crashes(fleet), count_runs(fleet, _CRASH_MARKER)) == (
            _MAX_CRASHES,
            _MAX_CRASHES,
        )
        for reply in replies[_MAX_CRASHES:]:
            assert reply.status == 503
            assert json.loads(reply.body)["error"]["code"] == "quarantined"
            assert json.loads(reply.body)["error"]["ran"] == "no"
            assert float(reply.headers["retry-after"]) > 1.0


@pytest.mark.parametrize("kind", REQUEST_KINDS, ids=lambda kind: kind.path.split("/")[1])
async def test_request_is_quarantined_when_crashed_endpoints_accept_connections(
    kind: RequestKind,
) -> None:
    """Guards against treating an address that accepts and closes connections as a live endpoint.

    With a proxy at each endpoint that keeps listening, one safe, unsafe and streaming request
    crashed 33, 26 and 15 endpoints, against 3 when the port refuses connections: only a refused
    connection was recognised as a crash.
    """
    async with open_fleet() as fleet:
        await start_crashing_fleet(fleet, behind_proxies=True)
        for number in range(_ATTEMPTS):
            await ask(fleet, kind, number % _INSTANCES)
            await trio.sleep(_RETRY_PAUSE_S)
        assert (count_crashes(fleet), count_runs(fleet, _CRASH_MARKER)) == (
            _MAX_CRASHES,
            _MAX_CRASHES,
        )


async def test_each_crash_counts_when_endpoint_restarts_under_same_name() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        worker.crash_marker, worker.born = _CRASH_MARKER, 1_700_000_000_000
        fleet.restart_after_crashes(worker, _RESTART_S)
        await start(fleet, worker)
        for _ in range(8):
            await ask(fleet, UNSAFE, 0)
            await trio.sleep(0.4)
        assert (count_crashes(fleet), count_runs(fleet, _CRASH_MARKER)) == (
            _MAX_CRASHES,
            _MAX_CRASHES,
        )


async def crash_until_quarantined(fleet: Fleet, kind: RequestKind = UNSAFE) -> None:
    """Send one request until it has crashed enough endpoints to be quarantined."""
    for number in range(_MAX_CRASHES):
        await ask(fleet, kind, number % len(fleet.instances))
        await trio.sleep(_RETRY_PAUSE_S)
    assert count_crashes(fleet) == _MAX_CRASHES


@pytest.mark.parametrize("kind", [STREAMING, RESUMABLE, UNSAFE], ids=["stream", "resume", "unsafe"])
async def test_concurrent_harmless_requests_are_served(kind: RequestKind) -> None:
    async with open_fleet() as fleet:
        await start_crashing_fleet(fleet)
        for worker in fleet.workers:
            worker.run_duration_s, worker.event_interval_s = 0.06, 0.02
        statuses: list[int] = []

        async def repeat_harmless_request(number: int) -> None:
            """Repeat one request in a loop, as a caller does that retries."""
            body = b"beside %d" % number
            while True:
                reply = await ask(fleet, kind, number % _INSTANCES, body)
                statuses.append(200 if reply.status == 200 and reply.is_complete else reply.status)

        async def repeat_crashing_request() -> None:
            """Repeat the request that crashes endpoints."""
            for number in itertools.count():
                await ask(fleet, kind, number % _INSTANCES)
                await trio.sleep(_RETRY_PAUSE_S)

        async with trio.open_nursery() as nursery:
            for number in range(_CALLERS):
                nursery.start_soon(repeat_harmless_request, number)
            nursery.start_soon(repeat_crashing_request)
            await fleet.wait_until(
                lambda: all(item._quarantine.quarantined_count for item in fleet.instances)
            )
            statuses.clear()
            await fleet.wait_until(lambda: len(statuses) >= _ANSWERS, 30.0)
            nursery.cancel_scope.cancel()
        assert count_crashes(fleet) <= _MAX_CRASHES + 1
        assert statuses.count(503) == 0
        assert statuses.count(200) >= 0.95 * len(statuses)


async def test_other_bodies_and_organisations_are_not_quarantined() -> None:
    async with open_fleet() as fleet:
        fleet.organisations = [
            {"name": name, "api_keys": [f"key-{name}"]} for name in ("one", "two")
        ]
        one, two = ({"Authorization": f"Bearer key-{name}"} for name in ("one", "two"))
        await start_crashing_fleet(fleet)
        for _ in range(_MAX_CRASHES):
            await ask(fleet, UNSAFE._replace(headers=one), 0)
            await trio.sleep(_RETRY_PAUSE_S)
        for worker in fleet.workers:
            worker.crash_marker = None
        assert (await ask(fleet, UNSAFE._replace(headers=one), 1)).status == 503
        assert (await ask(fleet, UNSAFE._replace(headers=one), 1, b"another")).status == 200
        assert (await ask(fleet, UNSAFE._replace(headers=two), 1)).status == 200
        # A request with another key of the same organisation counts as the same request.
        fleet.organisations[0]["api_keys"].append("key-new")
        version = fleet.configure()
        await fleet.wait_until(
            lambda: all(item.records.table_revision == version for item in fleet.instances)
        )
        new = {"Authorization": "Bearer key-new"}
        assert (await ask(fleet, UNSAFE._replace(headers=new), 1)).status == 503


async def test_different_headers_do_not_evade_quarantine() -> None:
    async with open_fleet() as fleet:
        await start_crashing_fleet(fleet)
        for number in range(8):
            headers = {"X-Trace": f"{number}", "Length-Hint": f"{10 + number}"}
            await ask(fleet, UNSAFE._replace(headers=headers), number % _INSTANCES)
            await trio.sleep(_RETRY_PAUSE_S)
        assert count_crashes(fleet) == _MAX_CRASHES


async def test_new_instance_learns_of_quarantine() -> None:
    async with open_fleet() as fleet:
        await start_crashing_fleet(fleet)
        await crash_until_quarantined(fleet)
        joined = fleet.start_instance()
        await fleet.wait_until(
            lambda: joined.ready and joined._quarantine.quarantined_count == 1, 2.0
        )
        assert (await ask(fleet, UNSAFE, _INSTANCES)).status == 503
        assert count_crashes(fleet) == _MAX_CRASHES


async def test_restarted_instance_learns_of_quarantine_a_second_later() -> None:
    async with open_fleet() as fleet:
        await start_crashing_fleet(fleet)
        await crash_until_quarantined(fleet)
        await trio.sleep(0.5)
        fleet.kill_instance(1)
        await trio.sleep(0.3)
        await fleet.restart_instance(1)
        await fleet.wait_until(lambda: fleet.instances[1].ready)
        await trio.sleep(0.05)
        assert fleet.instances[1]._quarantine.quarantined_count == 1


async def test_instance_that_missed_updates_learns_of_quarantine_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_fleet() as fleet:
        await start_crashing_fleet(fleet)
        uninformed = fleet.instances[-1]._quarantine
        monkeypatch.setattr(uninformed, "record_update", lambda update: None)
        await ask(fleet, UNSAFE, 0)
        await trio.sleep(_RETRY_PAUSE_S)
        await ask(fleet, UNSAFE, 1)
        await trio.sleep(_RETRY_PAUSE_S)
        await ask(fleet, UNSAFE, 0)
        await trio.sleep(_RETRY_PAUSE_S)
        assert (fleet.instances[0]._quarantine.quarantined_count, uninformed.quarantined_count) == (
            1,
            0,
        )
        monkeypatch.undo()
        await fleet.wait_until(lambda: uninformed.quarantined_count == 1, 2.5)
        assert (await ask(fleet, UNSAFE, _INSTANCES - 1)).status == 503


async def test_served_request_is_cleared_of_suspicion_at_all_instances() -> None:
    async with open_fleet() as fleet:
        await start_crashing_fleet(fleet)
        for number in range(2):
            await ask(fleet, UNSAFE, number)
            await trio.sleep(_RETRY_PAUSE_S)
        for worker in fleet.workers:
            worker.crash_marker = None
        quarantines = [item._quarantine for item in fleet.instances]
        (identity,) = quarantines[0]._quarantine.evidence.attributions()
        assert all(item.decide(identity).suspicion for item in quarantines)
        assert (await ask(fleet, UNSAFE, 2)).status == 200
        await fleet.wait_until(
            lambda: not any(item.decide(identity).suspicion for item in quarantines)
        )


async def test_answer_states_whether_request_may_have_run() -> None:
    async with open_fleet() as fleet:
        await start_crashing_fleet(fleet)
        first = await ask(fleet, RESUMABLE, 0)
        second = await ask(fleet, RESUMABLE, 0)
        # The route allows three endpoints for one request, and all three crashed.
        assert count_crashes(fleet) == _MAX_CRASHES
        ran = [json.loads(reply.body)["error"]["ran"] for reply in (first, second)]
        assert [first.status, second.status] == [502, 503]
        assert ran == ["unknown", "no"]


async def test_status_shows_quarantined_requests_and_their_evidence() -> None:
    async with open_fleet() as fleet:
        await start_crashing_fleet(fleet)
        await crash_until_quarantined(fleet)
        fleet.store.put_bytes("servers/odd", b"{}")
        instance = fleet.instances[0]
        await fleet.wait_until(lambda: instance.status()["unusable"])
        status = instance.status()
        (quarantined,) = status["quarantine"]
        crashed = [worker.name for worker in fleet.workers if worker.crashed.is_set()]
        assert sorted(quarantined["endpoints"]) == sorted(crashed)
        assert 290 < quarantined["for_s"] < 300
        assert list(status["unusable"]) == ["odd"]
        assert (status["instances"], status["table_revision"]) == (_INSTANCES, 5)


async def test_metrics_port_serves_status() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        listener = listen("127.0.0.1", 0)
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_connections, listener, MetricsHandler(fleet.instances[0]))
            caller = Caller(address)
            status = await caller.ask("/status")
            assert json.loads(status.body)["quarantine"] == []
            assert b"cleatlink_relay_requests_total" in (await caller.ask("/metrics")).body
            caller.close()
            nursery.cancel_scope.cancel()


async def test_common_request_is_not_quarantined_after_simultaneous_endpoint_loss() -> None:
    async with open_fleet() as fleet:
        workers = [Worker("plain") for _ in range(3)]
        for worker in workers:
            worker.run_duration_s = 0.3
        await start(fleet, *workers)
        callers = [fleet.caller() for _ in range(9)]
        for caller in callers:
            await caller.send("/unsafe/x", "POST", body=b"alike")
        await fleet.wait_until(lambda: sum(len(worker.runs) for worker in workers) == 9)
        assert all(worker.runs for worker in workers)
        # Simulates a power failure of a rack whose endpoints restart soon.
        for worker in workers:
            worker.close()
        assert {(await caller.receive()).status for caller in callers} == {502}
        await trio.sleep(0.1)
        for worker in workers:
            fleet.unregister(worker)
            await fleet.add_worker(worker.successor(), worker.port)
        newest_worker = fleet.workers[-1].name
        await fleet.wait_until(lambda: newest_worker in fleet.instances[0].capacity.endpoints)
        assert (await ask(fleet, UNSAFE, 0, b"alike")).status == 200
