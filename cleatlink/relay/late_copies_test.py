"""Tests that a late second copy of any answer says nothing about the next request."""

import random
from collections.abc import Callable
from functools import partial

import pytest
import trio

from cleatlink.core.data import Role
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.platform import PROTOCOL
from cleatlink.relay.endpoints.pool import IDLE_LIMIT_S, ConnectionPool, Response
from cleatlink.relay.endpoints.protocol import OutgoingRequest
from standins.relay import Fault, RawCall, Worker
from standins.relay.cut_paths import PathCut
from standins.relay.example_fleet import STREAM, engines, runs, start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.late_copies import LateCopies
from standins.relay.raw_client import Reply
from standins.relay.raw_server import answer

pytestmark = pytest.mark.virtual_time

PATHS = ("/safe/x", "/unsafe/x", "/unsafe2/x", "/stream/x", "/resume/x")
# Statuses that promise a caller that its request did not run and will not.
PROMISES = (408, 421, 429, 503)
HOLDS = {"hold_ms": 2000}
CALLERS = 4
CALLS_PER_CALLER = 15
# Shares of answers that are sent again, and of requests that are rejected.
COPIED_SHARE = 0.4
REJECTED_SHARE = 0.2
# Time from the loss of paths to the requests, in seconds; longer than idle connections are kept.
CUT_AGE_S = 5.0
# Interval between the ends of peers that carry tunnels, in seconds.
PEER_END_INTERVAL_S = 0.15
MAX_REPLY_BYTES = 1000
SEED = 11

MakeCopies = Callable[[Callable[[str], bool]], LateCopies]
VARIANTS: dict[str, MakeCopies] = {
    "once": LateCopies,
    "twice": partial(LateCopies, copies=2),
    "in parts": partial(LateCopies, part_bytes=7),
    "after an interim response": partial(LateCopies, follows_interim=True),
}


async def start_all(fleet: Fleet, make_copies: MakeCopies) -> None:
    """Start workers that send copies, and an instance that reserves capacity at engines."""
    rng = random.Random(SEED)
    workers = [*(Worker("plain") for _ in range(3)), *engines()]
    await start(fleet, *workers)
    version = fleet.configure(HOLDS)
    records = fleet.instances[0].records
    await fleet.wait_until(lambda: records.table_revision == version)
    for worker in workers:
        worker.late_copies = make_copies(lambda _: rng.random() < COPIED_SHARE)
        if worker.stage != "prefill":
            fault = Fault.FULL
            worker.faults = [
                fault if rng.random() < REJECTED_SHARE else None
                for _ in range(len(PATHS) * CALLERS * CALLS_PER_CALLER)
            ]


def find_broken_rules(fleet: Fleet, request: str, reply: Reply, *, may_repeat: bool) -> list[str]:
    """Return the rules that the answer to a request breaks."""
    broken = []
    run_count = runs(fleet, request)
    if reply.status in PROMISES and run_count:
        broken.append("told that it did not run")
    if not may_repeat and run_count > 1:
        broken.append("ran twice")
    if reply.status == 200:
        if reply.headers["attempt-id"] != request:
            broken.append("answer of another request")
        events = [item for item in reply.body.split(b"\n\n") if item.startswith(b"id: ")]
        if any(request.encode() not in event for event in events):
            broken.append("event of another request")
        if [event.split(b"\n")[0] for event in events] != [
            b"id: %d" % number for number in range(1, len(events) + 1)
        ]:
            broken.append("events missing or repeated")
    return broken


async def ask_many(fleet: Fleet) -> tuple[list[tuple[str, str]], dict[str, int]]:
    """Send requests on all paths, several at the same time.

    Returns:
        The rules that were broken, with their paths, and the number of successes by path.
    """
    broken: list[tuple[str, str]] = []
    served = dict.fromkeys(PATHS, 0)

    async def ask_in_a_row() -> None:
        caller = fleet.caller()
        for _ in range(CALLS_PER_CALLER):
            for path in PATHS:
                request = await caller.send(path, "POST", body=b"p", headers=STREAM)
                reply = await caller.receive()
                served[path] += reply.status == 200
                may_repeat = path in ("/safe/x", "/resume/x")
                rules = find_broken_rules(fleet, request, reply, may_repeat=may_repeat)
                broken.extend((path, rule) for rule in rules)
        caller.close()

    async with trio.open_nursery() as nursery:
        for _ in range(CALLERS):
            nursery.start_soon(ask_in_a_row)
    return broken, served


def count_copies(fleet: Fleet) -> int:
    """Return how many answers were sent again."""
    copies = (worker.late_copies for worker in fleet.workers)
    return sum(item.sent for item in copies if item is not None)


@pytest.mark.parametrize("variant", VARIANTS)
async def test_late_copy_of_any_answer_was_taken_for_the_next_one(variant: str) -> None:
    async with open_fleet() as fleet:
        await start_all(fleet, VARIANTS[variant])
        broken, served = await ask_many(fleet)
        assert broken == []
        assert count_copies(fleet) > CALLERS * CALLS_PER_CALLER
        assert all(served.values())


async def test_late_copy_through_a_tunnel_whose_peer_ends_was_taken_for_the_next_answer() -> None:
    async with open_fleet() as fleet:
        await start_all(fleet, LateCopies)
        for _ in range(2):
            fleet.start_instance()
        await fleet.wait_ready()
        await fleet.wait_for_peers()
        fleet.connectors[0].cut(PathCut.RESET)
        await trio.sleep(CUT_AGE_S)

        async def end_peers() -> None:
            for index in (1, 2, 1, 2):
                await trio.sleep(PEER_END_INTERVAL_S)
                fleet.kill_instance(index)
                await fleet.restart_instance(index)
                await fleet.wait_for_peers()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(end_peers)
            broken, served = await ask_many(fleet)
            nursery.cancel_scope.cancel()
        assert broken == []
        assert count_copies(fleet) > CALLERS
        assert sum(served.values())


async def test_stream_was_failed_by_a_late_copy_of_the_reply_to_its_reservation() -> None:
    async with open_fleet() as fleet:
        await start(fleet, *engines())
        version = fleet.configure(HOLDS)
        records = fleet.instances[0].records
        await fleet.wait_until(lambda: records.table_revision == version)
        for worker in fleet.workers:
            worker.late_copies = LateCopies(lambda path: path.startswith("/hold-"))
        caller = fleet.caller()
        replies = [
            await caller.ask("/stream/x", "POST", body=b"p", headers=STREAM) for _ in range(10)
        ]
        assert count_copies(fleet) >= 10
        assert [reply.status for reply in replies] == [200] * 10


class _ScriptedWorker(Worker):
    """Sends given answers to the next calls, whatever they are."""

    def __init__(self, *answers: bytes) -> None:
        super().__init__("plain")
        self._answers = list(answers)

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        await self.send(stream, self._answers.pop(0))
        return True


async def _call_in_a_row(
    worker: Worker, make_requests: Callable[[RoutedEndpoint], list[OutgoingRequest]]
) -> list[Response]:
    """Send requests to a worker through one pool, one after the other."""
    responses = []
    async with trio.open_nursery() as nursery:
        await worker.start(nursery)
        endpoint = RoutedEndpoint(worker.name, worker.address, "a", "plain", Role.PLAIN, 6)
        pool = ConnectionPool(protocol=PROTOCOL)
        for request in make_requests(endpoint):
            response = await pool.call(
                endpoint,
                IDLE_LIMIT_S,
                lambda request=request: request,  # type: ignore[misc]
                MAX_REPLY_BYTES,
                request_id=request.request_id,
            )
            responses.append(response)
        pool.close()
        worker.close()
        nursery.cancel_scope.cancel()
    return responses


@pytest.mark.parametrize("copied_status", [200, 412, 503])
async def test_late_copy_of_another_reply_was_taken_for_the_reply_to_a_role_order(
    copied_status: int,
) -> None:
    worker = _ScriptedWorker(answer(copied_status, {}), answer(202, {}))
    worker.late_copies = LateCopies(lambda _: True)

    def make_requests(endpoint: RoutedEndpoint) -> list[OutgoingRequest]:
        free = PROTOCOL.make_relay_request(b"DELETE", "/kv-handle/h", endpoint)
        order = PROTOCOL.make_role_change_request(endpoint, Role.PREFILL, "n1", 7)
        return [free, order]

    responses = await _call_in_a_row(worker, make_requests)
    assert [item.head.status for item in responses] == [copied_status, 202]


class _SpeakingWorker(Worker):
    """Sends a rejection that names no request, after the second request has come in."""

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        if len(self.arrivals) == 1:
            words = {"Server-Limit": "0.5", "Retry-After": "2", "Not-Executed": "1"}
            await self.send(stream, answer(503, words))
        return await super().serve(call, stream)


async def test_response_without_an_owner_set_a_rate_limit_and_asked_for_a_backoff() -> None:
    async with open_fleet() as fleet:
        worker = _SpeakingWorker("plain")
        await start(fleet, worker)
        caller = fleet.caller()
        replies = [await caller.ask("/unsafe/x", "POST", body=b"p") for _ in range(3)]
        limits = fleet.instances[0].capacity.endpoint_limits
        assert limits.rate_per_s(worker.name) is None
        assert [reply.status for reply in replies] == [200, 502, 200]
