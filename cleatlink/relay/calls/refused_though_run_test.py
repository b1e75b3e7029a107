"""Tests that a caller is told that its request did not run only if no endpoint ran it."""

import random
from collections.abc import Callable, Sequence
from functools import partial
from itertools import product
from typing import NamedTuple

import pytest
import trio

from standins.relay import Fault, RawCall, Worker
from standins.relay.cut_paths import PathCut
from standins.relay.example_fleet import STREAM, engines, runs, start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.raw_client import Reply

pytestmark = pytest.mark.virtual_time

# Statuses that promise a caller that its request did not run and will not.
PROMISES = (408, 421, 429, 503)
# Statuses with which endpoints reject requests.
REJECTIONS = (503, 429, 421)
STREAM_PATH = "/stream/x"
PLAIN_PATHS = ("/unsafe/x", "/unsafe2/x")
CALLERS = 4
CALLS_PER_CALLER = 10
# Share of the requests that are rejected twice.
REJECTED_SHARE = 0.3
# Share of the requests that endpoints answer with a status of their own.
OWN_STATUS_SHARE = 0.4
# Time from the loss of paths to the requests, in seconds; longer than idle connections are kept.
CUT_AGE_S = 5.0
# Pause of a caller after a refusal, in seconds; shorter than idle connections are kept.
PAUSE_S = 0.3
SEED = 77


class Outcome(NamedTuple):
    """The answer to one request, and how often endpoints ran it."""

    status: int
    runs: int

    @property
    def breaks_promise(self) -> bool:
        """Whether the request ran though its caller was told otherwise, or ran twice."""
        return self.runs > (0 if self.status in PROMISES else 1)


async def start_all(fleet: Fleet) -> tuple[list[Worker], list[Worker]]:
    """Start plain workers and engines; return the plain workers and the decode workers."""
    plain, (prefill, *decodes) = [Worker("plain") for _ in range(3)], engines()
    await start(fleet, *plain, prefill, *decodes)
    return plain, decodes


async def ask(fleet: Fleet, path: str) -> tuple[Outcome, Reply]:
    """Send a request and receive the answer."""
    caller = fleet.caller()
    request = await caller.send(path, "POST", body=b"p", headers=STREAM)
    reply = await caller.receive()
    caller.close()
    return Outcome(reply.status, runs(fleet, request)), reply


async def ask_many(fleet: Fleet, path: str, prepare: Callable[[], None]) -> list[Outcome]:
    """Send requests, several at the same time; ``prepare`` is called before each of them."""
    outcomes: list[Outcome] = []

    async def ask_in_a_row() -> None:
        for _ in range(CALLS_PER_CALLER):
            prepare()
            outcome, _ = await ask(fleet, path)
            outcomes.append(outcome)
            if outcome.status in PROMISES:
                await trio.sleep(PAUSE_S)
                renew_registrations(fleet)

    async with trio.open_nursery() as nursery:
        for _ in range(CALLERS):
            nursery.start_soon(ask_in_a_row)
    return outcomes


def renew_registrations(fleet: Fleet) -> None:
    """Register all workers anew, so that a 421 does not keep them from all further work."""
    for worker in fleet.workers:
        worker.build = "v2" if worker.build == "v1" else "v1"
        fleet.register(worker)


def answer_with_own_status(workers: Sequence[Worker], status: int) -> None:
    """Make workers run their next request and answer it with a status of their own."""
    for worker in workers:
        worker.own_status, worker.faults = status, [Fault.OWN_STATUS]


def add_repeated_rejection(workers: Sequence[Worker], rng: random.Random) -> None:
    """Make a worker reject its next request twice, before some of the requests."""
    fault = Fault.REPEATED_REJECTION if rng.random() < REJECTED_SHARE else None
    rng.choice(workers).faults.append(fault)


async def test_status_of_an_endpoint_that_ran_the_request_was_passed_on_as_a_promise() -> None:
    seen, expected = [], []
    for status in PROMISES:
        for path in (*PLAIN_PATHS, STREAM_PATH):
            async with open_fleet() as fleet:
                plain, decodes = await start_all(fleet)
                answer_with_own_status(plain + decodes, status)
                outcome, _ = await ask(fleet, path)
            seen.append((path, status, *outcome))
            expected.append((path, status, 502, 1))
        for faulty_count, count, answer_status, is_signed in (
            (1, 3, 200, True),
            (3, 1, 502, False),
        ):
            async with open_fleet() as fleet:
                plain, _ = await start_all(fleet)
                answer_with_own_status(plain[:faulty_count], status)
                for _ in range(count):
                    _, reply = await ask(fleet, "/safe/x")
                    seen.append(("/safe/x", status, reply.status, "server-stamp" in reply.headers))
                    expected.append(("/safe/x", status, answer_status, is_signed))
    assert seen == expected


async def ask_beside_repeated_rejections(
    path: str, status: int, *, names_request: bool
) -> tuple[list[Outcome], int]:
    """Send requests while workers send some rejections a second time.

    Returns:
        The outcomes, and the number of rejections that were sent a second time.
    """
    async with open_fleet() as fleet:
        plain, decodes = await start_all(fleet)
        workers = decodes if path == STREAM_PATH else plain
        for worker in workers:
            worker.rejections.status = status
            worker.rejections.names_request = names_request
        prepare = partial(add_repeated_rejection, workers, random.Random(SEED))
        outcomes = await ask_many(fleet, path, prepare)
    return outcomes, sum(worker.rejections.repeated for worker in workers)


async def test_second_copy_of_a_rejection_was_taken_for_that_of_the_next_request() -> None:
    broken = []
    for status, names_request, path in product(
        REJECTIONS, (True, False), (*PLAIN_PATHS, STREAM_PATH)
    ):
        outcomes, repeated = await ask_beside_repeated_rejections(
            path, status, names_request=names_request
        )
        # Connections need not be used again after a rejection that names no request, and those of
        # streams are closed after any rejection.
        assert repeated or path == STREAM_PATH or not names_request
        assert any(item.status == 200 for item in outcomes)
        broken += [(path, status, names_request, *item) for item in outcomes if item.breaks_promise]
    assert broken == []


@pytest.mark.parametrize("status", PROMISES)
async def test_resumable_stream_that_ran_was_answered_with_an_endpoints_own_status(
    status: int,
) -> None:
    async with open_fleet() as fleet:
        _, decodes = await start_all(fleet)
        answer_with_own_status(decodes, status)
        for worker in decodes:
            worker.faults *= 9
        outcome, _ = await ask(fleet, "/resume/x")
        assert outcome.runs >= 1
        assert outcome.status == 502


@pytest.mark.parametrize("status", PROMISES)
async def test_own_status_of_an_endpoint_took_it_out_for_other_callers(status: int) -> None:
    async with open_fleet() as fleet:
        plain, _ = await start_all(fleet)
        rng = random.Random(SEED)
        for worker in plain:
            worker.own_status, worker.requested_backoff_s = status, 1.0
            worker.faults = [
                Fault.OWN_STATUS if rng.random() < OWN_STATUS_SHARE else None for _ in range(99)
            ]
        outcomes = [(await ask(fleet, "/unsafe/x"))[0] for _ in range(CALLERS * CALLS_PER_CALLER)]
        assert [item for item in outcomes if not item.runs] == []


@pytest.mark.parametrize("status", PROMISES)
async def test_own_status_that_came_through_a_tunnel_was_passed_on_as_a_promise(
    status: int,
) -> None:
    async with open_fleet() as fleet:
        plain, decodes = await start_all(fleet)
        fleet.start_instance()
        await fleet.wait_ready()
        await fleet.wait_for_peers()
        fleet.connectors[0].cut(PathCut.RESET)
        await trio.sleep(CUT_AGE_S)
        assert (await ask(fleet, "/unsafe/x"))[0] == Outcome(200, 1)
        for path in (*PLAIN_PATHS, STREAM_PATH):
            answer_with_own_status(plain + decodes, status)
            assert (path, *(await ask(fleet, path))[0]) == (path, 502, 1)


class _SelfNamingWorker(Worker):
    """Rejects calls with 421 and its own name; its registration does not change."""

    async def _reject(self, call: RawCall, stream: trio.SocketStream, *, is_repeated: bool) -> bool:
        headers = {**self.rejections.headers(call), "Instance-Id": self.name}
        return await self._send_answer(stream, 421, headers)


async def test_421_that_names_the_endpoint_itself_kept_it_from_all_further_work() -> None:
    async with open_fleet() as fleet:
        worker = _SelfNamingWorker("plain")
        await start(fleet, worker)
        worker.faults = [Fault.FULL]
        first, _ = await ask(fleet, "/unsafe/x")
        assert first == Outcome(503, 0)
        await trio.sleep(1.0)
        assert (await ask(fleet, "/unsafe/x"))[0] == Outcome(200, 1)


class _StrictWorker(Worker):
    """Rejects calls of a path as invalid."""

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        if call.path.endswith("/invalid"):
            headers = {"Not-Executed": "1", "Attempt-Id": call.headers["attempt-id"]}
            return await self._send_answer(stream, 400, headers, b"invalid")
        return await super().serve(call, stream)


@pytest.mark.parametrize("prefix", ["/safe", "/unsafe", "/unsafe2"])
async def test_rejections_of_invalid_requests_made_the_service_look_full(prefix: str) -> None:
    async with open_fleet() as fleet:
        await start(fleet, _StrictWorker("plain"))
        for _ in range(20):
            outcome, reply = await ask(fleet, f"{prefix}/invalid")
            assert (outcome, reply.body) == (Outcome(400, 0), b"invalid")
            assert (await ask(fleet, f"{prefix}/x"))[0] == Outcome(200, 1)
