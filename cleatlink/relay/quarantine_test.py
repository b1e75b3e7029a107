"""A request that crashes the endpoints which run it is not passed on without end.

One request crashed each engine that began to run it, and its caller sent it again and again,
through seven of eight instances. None of them remembered it, so each took it for a new one:
eleven engines went down in 13 seconds, and 60 streams that ran beside it broke off. Every one
of these lines stood in the log of another instance than the one before:

    {"age_ms":109,"endpoint":"engine-4","error":"StreamBrokenError(...)"}
    {"age_ms":975,"endpoint":"engine-5","error":"StreamBrokenError(...)"}
    {"age_ms":1904,"endpoint":"engine-6","error":"StreamBrokenError(...)"}

The prompt was 1,454 tokens long in all of them, and no other request was in progress at more
than two of the engines that went down.
"""

import itertools
import json
from typing import NamedTuple

import pytest
import trio

from cleatlink.relay.callers.server import serve_connections
from cleatlink.relay.callers.side import MetricsHandler
from cleatlink.relay.sockets import listen
from standins.relay import Worker
from standins.relay.client import Caller, Reply
from standins.relay.example import STREAM, start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

# Crashed endpoints come back soon, so that there is always one that could be crashed next.
_RESTART_S = 0.15
_INSTANCES = 3
_ATTEMPTS = 14
_PAUSE_S = 0.2
# Crashes after which no instance may pass the request on.
_MOST_CRASHES = 3
_CRASH = b"crash"
# What comes beside it again and again, and how many answers to that are looked at.
_CALLERS = 6
_ANSWERS = 100


class Kind(NamedTuple):
    """A way to ask."""

    path: str
    method: str
    headers: dict[str, str]


STREAMING = Kind("/stream/x", "POST", STREAM)
RESUMABLE = Kind("/resume/x", "POST", STREAM)
UNSAFE = Kind("/unsafe/x", "POST", {})
SAFE = Kind("/safe/crash", "GET", {})
KINDS = (STREAMING, RESUMABLE, UNSAFE, SAFE)


async def open_fragile(fleet: Fleet, *, behind_proxies: bool = False) -> None:
    """Start instances before endpoints that one request crashes."""
    workers = [Worker("model", "prefill"), Worker("model", "prefill")]
    workers += [Worker("model", "decode") for _ in range(4)]
    workers += [Worker("plain") for _ in range(4)]
    for worker in workers:
        worker.crashes_on, worker.is_behind_proxy = _CRASH, behind_proxies
        fleet.keep_restarting(worker, _RESTART_S)
    await start(fleet, *workers)
    for _ in range(_INSTANCES - 1):
        fleet.start_instance()
    await fleet.ready()
    # Instances that have just started don't know each other yet.
    await fleet.until(lambda: all(item._peers.alive == _INSTANCES for item in fleet.instances))


def crashes(fleet: Fleet) -> int:
    """Count endpoints that have crashed."""
    return sum(worker.crashed.is_set() for worker in fleet.workers)


def runs_of(fleet: Fleet, body: bytes) -> int:
    """Count the runs of requests with a body or a path that contains some bytes."""
    return sum(
        body in run.call.body + run.call.target.encode()
        for worker in fleet.workers
        for run in worker.runs
    )


async def ask(fleet: Fleet, kind: Kind, instance: int, body: bytes = _CRASH) -> Reply:
    """Send a request through an instance."""
    caller = fleet.caller(instance)
    sent = body if kind.method == "POST" else b""
    reply = await caller.ask(kind.path, kind.method, body=sent, headers=kind.headers)
    caller.close()
    return reply


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.path.split("/")[1])
async def test_request_that_crashes_endpoints_is_held_back_by_all_instances(kind: Kind) -> None:
    async with open_fleet() as fleet:
        await open_fragile(fleet)
        replies = []
        for number in range(_ATTEMPTS):
            replies.append(await ask(fleet, kind, number % _INSTANCES))
            await trio.sleep(_PAUSE_S)
        assert (crashes(fleet), runs_of(fleet, _CRASH)) == (_MOST_CRASHES, _MOST_CRASHES)
        for reply in replies[_MOST_CRASHES:]:
            assert reply.status == 503
            assert json.loads(reply.body)["error"]["code"] == "quarantined"
            assert json.loads(reply.body)["error"]["ran"] == "no"
            assert float(reply.headers["retry-after"]) > 1.0


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.path.split("/")[1])
async def test_it_is_held_back_too_where_crashed_endpoints_take_connections(kind: Kind) -> None:
    """An address that takes connections and closes them was taken for an endpoint that lives.

    With something beside each endpoint that goes on listening, 33, 26 and 15 of them ended by one
    safe, unsafe and streaming request, where 3 do when the port refuses: a crash was known by a
    refused connection alone.
    """
    async with open_fleet() as fleet:
        await open_fragile(fleet, behind_proxies=True)
        for number in range(_ATTEMPTS):
            await ask(fleet, kind, number % _INSTANCES)
            await trio.sleep(_PAUSE_S)
        assert (crashes(fleet), runs_of(fleet, _CRASH)) == (_MOST_CRASHES, _MOST_CRASHES)


async def test_endpoints_that_come_back_under_their_names_count_each_time() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        worker.crashes_on, worker.born = _CRASH, 1_700_000_000_000
        fleet.keep_restarting(worker, _RESTART_S)
        await start(fleet, worker)
        for _ in range(8):
            await ask(fleet, UNSAFE, 0)
            await trio.sleep(0.4)
        assert (crashes(fleet), runs_of(fleet, _CRASH)) == (_MOST_CRASHES, _MOST_CRASHES)


async def crash_three(fleet: Fleet, kind: Kind = UNSAFE) -> None:
    """Have one request crash as many endpoints as it takes to hold it back."""
    for number in range(_MOST_CRASHES):
        await ask(fleet, kind, number % len(fleet.instances))
        await trio.sleep(_PAUSE_S)
    assert crashes(fleet) == _MOST_CRASHES


@pytest.mark.parametrize("kind", [STREAMING, RESUMABLE, UNSAFE], ids=["stream", "resume", "unsafe"])
async def test_what_ran_beside_it_goes_on_being_served(kind: Kind) -> None:
    async with open_fleet() as fleet:
        await open_fragile(fleet)
        for worker in fleet.workers:
            worker.work_s, worker.event_s = 0.06, 0.02
        statuses: list[int] = []

        async def come_again(number: int) -> None:
            """Send the same request again and again, as its caller does when it fails."""
            body = b"beside %d" % number
            while True:
                reply = await ask(fleet, kind, number % _INSTANCES, body)
                statuses.append(200 if reply.status == 200 and reply.whole else reply.status)

        async def insist() -> None:
            """Send what crashes endpoints again and again."""
            for number in itertools.count():
                await ask(fleet, kind, number % _INSTANCES)
                await trio.sleep(_PAUSE_S)

        async with trio.open_nursery() as nursery:
            for number in range(_CALLERS):
                nursery.start_soon(come_again, number)
            nursery.start_soon(insist)
            await fleet.until(lambda: all(item._quarantine.held for item in fleet.instances))
            statuses.clear()
            await fleet.until(lambda: len(statuses) >= _ANSWERS, 30.0)
            nursery.cancel_scope.cancel()
        assert crashes(fleet) <= _MOST_CRASHES + 1
        assert statuses.count(503) == 0
        assert statuses.count(200) >= 0.95 * len(statuses)


async def test_other_bodies_and_other_organisations_are_untouched() -> None:
    async with open_fleet() as fleet:
        fleet.organisations = [
            {"name": name, "api_keys": [f"key-{name}"]} for name in ("one", "two")
        ]
        one, two = ({"Authorization": f"Bearer key-{name}"} for name in ("one", "two"))
        await open_fragile(fleet)
        for _ in range(_MOST_CRASHES):
            await ask(fleet, UNSAFE._replace(headers=one), 0)
            await trio.sleep(_PAUSE_S)
        for worker in fleet.workers:
            worker.crashes_on = None
        assert (await ask(fleet, UNSAFE._replace(headers=one), 1)).status == 503
        assert (await ask(fleet, UNSAFE._replace(headers=one), 1, b"another")).status == 200
        assert (await ask(fleet, UNSAFE._replace(headers=two), 1)).status == 200
        # One key more of the same organisation makes it no other caller.
        fleet.organisations[0]["api_keys"].append("key-new")
        version = fleet.configure()
        await fleet.until(
            lambda: all(item.records.table_revision == version for item in fleet.instances)
        )
        new = {"Authorization": "Bearer key-new"}
        assert (await ask(fleet, UNSAFE._replace(headers=new), 1)).status == 503


async def test_headers_make_it_no_other_request() -> None:
    async with open_fleet() as fleet:
        await open_fragile(fleet)
        for number in range(8):
            headers = {"X-Trace": f"{number}", "Length-Hint": f"{10 + number}"}
            await ask(fleet, UNSAFE._replace(headers=headers), number % _INSTANCES)
            await trio.sleep(_PAUSE_S)
        assert crashes(fleet) == _MOST_CRASHES


async def test_instance_that_joins_learns_it() -> None:
    async with open_fleet() as fleet:
        await open_fragile(fleet)
        await crash_three(fleet)
        joined = fleet.start_instance()
        await fleet.until(lambda: joined.ready and joined._quarantine.held == 1, 2.0)
        assert (await ask(fleet, UNSAFE, _INSTANCES)).status == 503
        assert crashes(fleet) == _MOST_CRASHES


async def test_instance_that_heard_nothing_learns_it_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_fleet() as fleet:
        await open_fragile(fleet)
        deaf = fleet.instances[-1]._quarantine
        monkeypatch.setattr(deaf, "take", lambda news: None)
        await ask(fleet, UNSAFE, 0)
        await trio.sleep(_PAUSE_S)
        await ask(fleet, UNSAFE, 1)
        await trio.sleep(_PAUSE_S)
        await ask(fleet, UNSAFE, 0)
        await trio.sleep(_PAUSE_S)
        assert (fleet.instances[0]._quarantine.held, deaf.held) == (1, 0)
        monkeypatch.undo()
        await fleet.until(lambda: deaf.held == 1, 2.5)
        assert (await ask(fleet, UNSAFE, _INSTANCES - 1)).status == 503


async def test_request_that_is_served_is_free_again_everywhere() -> None:
    async with open_fleet() as fleet:
        await open_fragile(fleet)
        for number in range(2):
            await ask(fleet, UNSAFE, number)
            await trio.sleep(_PAUSE_S)
        for worker in fleet.workers:
            worker.crashes_on = None
        suspects = [item._quarantine for item in fleet.instances]
        (identity,) = suspects[0]._quarantine.evidence.blames()
        assert all(item.judge(identity).suspicion for item in suspects)
        assert (await ask(fleet, UNSAFE, 2)).status == 200
        await fleet.until(lambda: not any(item.judge(identity).suspicion for item in suspects))


async def test_answer_tells_that_it_has_run_where_it_has() -> None:
    async with open_fleet() as fleet:
        await open_fragile(fleet)
        first = await ask(fleet, RESUMABLE, 0)
        second = await ask(fleet, RESUMABLE, 0)
        # Its route lets one attempt go to three endpoints, and all of them crashed.
        assert crashes(fleet) == _MOST_CRASHES
        ran = [json.loads(reply.body)["error"]["ran"] for reply in (first, second)]
        assert [first.status, second.status] == [502, 503]
        assert ran == ["unknown", "no"]


async def test_status_tells_what_is_held_and_on_what_evidence() -> None:
    async with open_fleet() as fleet:
        await open_fragile(fleet)
        await crash_three(fleet)
        fleet.store.put_bytes("servers/odd", b"{}")
        instance = fleet.instances[0]
        await fleet.until(lambda: instance.status()["unusable"])
        status = instance.status()
        (held,) = status["quarantine"]
        crashed = [worker.name for worker in fleet.workers if worker.crashed.is_set()]
        assert sorted(held["endpoints"]) == sorted(crashed)
        assert 290 < held["for_s"] < 300
        assert list(status["unusable"]) == ["odd"]
        assert (status["instances"], status["table_revision"]) == (_INSTANCES, 5)


async def test_status_is_served_beside_the_metrics() -> None:
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


async def test_request_that_many_ask_alike_is_not_held_for_endpoints_that_went_together() -> None:
    async with open_fleet() as fleet:
        workers = [Worker("plain") for _ in range(3)]
        for worker in workers:
            worker.work_s = 0.3
        await start(fleet, *workers)
        callers = [fleet.caller() for _ in range(9)]
        for caller in callers:
            await caller.send("/unsafe/x", "POST", body=b"alike")
        await fleet.until(lambda: sum(len(worker.runs) for worker in workers) == 9)
        assert all(worker.runs for worker in workers)
        # A rack loses its power; its endpoints are back soon.
        for worker in workers:
            worker.close()
        assert {(await caller.receive()).status for caller in callers} == {502}
        await trio.sleep(0.1)
        for worker in workers:
            fleet.unregister(worker)
            await fleet.add_worker(worker.successor(), worker.port)
        fresh = fleet.workers[-1].name
        await fleet.until(lambda: fresh in fleet.instances[0].capacity.endpoints)
        assert (await ask(fleet, UNSAFE, 0, b"alike")).status == 200
