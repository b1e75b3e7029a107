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

import json
from typing import NamedTuple

import pytest
import trio

from standins.relay import Worker
from standins.relay.client import Reply
from standins.relay.example import STREAM, start
from standins.relay.fleet import Fleet, open_fleet

# Crashed endpoints come back soon, so that there is always one that could be crashed next.
_RESTART_S = 0.15
_INSTANCES = 3
_ATTEMPTS = 14
_PAUSE_S = 0.2
# Crashes after which no instance may pass the request on.
_MOST_CRASHES = 3
_CRASH = b"crash"


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


async def open_fragile(fleet: Fleet) -> None:
    """Start instances before endpoints that one request crashes."""
    workers = [Worker("model", "prefill"), Worker("model", "prefill")]
    workers += [Worker("model", "decode") for _ in range(4)]
    workers += [Worker("plain") for _ in range(4)]
    for worker in workers:
        worker.crashes_on = _CRASH
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
