"""Test that a stream goes on only at endpoints of the build that began it."""

from typing import NamedTuple

import pytest
import trio

from standins.relay import Fault, Worker
from standins.relay.example_fleet import STREAM, start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.raw_client import Reply
from standins.relay.stream_builds import read_marks

pytestmark = pytest.mark.virtual_time

STREAMS = 12
EVENTS = 8
# Events after which a caller loses its connection.
LOST_AFTER = 3
INSTANCE_COUNT = 3


class TakenUpStream(NamedTuple):
    """A stream that its caller took up after it broke off.

    Attributes:
        builds: Builds of all of its events, over both attempts.
        last: Answer to the second attempt.
    """

    builds: tuple[str, ...]
    last: Reply


def engine(stage: str, build: str) -> Worker:
    """Return an engine whose streams last long enough to be interrupted."""
    worker = Worker("model", stage, slots=100)
    worker.build, worker.marks_events = build, True
    worker.events, worker.event_interval_s = EVENTS, 0.05
    return worker


async def start_two_builds(fleet: Fleet) -> list[Worker]:
    """Start engines of two builds and several instances; return the decode engines."""
    decodes = [engine("decode", build) for build in ("v1", "v1", "v2", "v2")]
    prefills = [engine("prefill", build) for build in ("v1", "v2")]
    await start(fleet, *prefills, *decodes)
    for number in range(1, INSTANCE_COUNT):
        fleet.start_instance("abc"[number % 3])
    await wait_connected(fleet)
    return decodes


async def wait_connected(fleet: Fleet) -> None:
    """Wait until all instances are ready and know each other."""
    await fleet.wait_ready()
    await fleet.wait_until(
        lambda: all(item.status()["instances"] == INSTANCE_COUNT for item in fleet.instances)
    )


async def break_off(fleet: Fleet, index: int) -> tuple[str, bytes]:
    """Begin a stream at an instance and leave within it; return its ID and what was received."""
    caller = fleet.caller(index)
    request = await caller.send("/resume/x", "POST", body=b"p", headers=STREAM)
    with trio.fail_after(2):
        body = await caller.receive_events(LOST_AFTER)
    caller.close()
    return request, body


async def take_up(fleet: Fleet, index: int, request: str, received: bytes) -> TakenUpStream:
    """Take up a stream at an instance."""
    first = read_marks(received)
    headers = {**STREAM, "Resumes": request, "Last-Event-Id": str(len(first.builds))}
    reply = await fleet.caller(index).ask("/resume/x", "POST", body=b"p", headers=headers)
    return TakenUpStream(first.builds + read_marks(reply.body).builds, reply)


def count_mixed(builds: list[tuple[str, ...]]) -> int:
    """Count the streams that hold events of several builds."""
    return sum(len(set(item)) > 1 for item in builds)


async def test_stream_goes_on_at_another_build_within_one_answer() -> None:
    async with open_fleet() as fleet:
        decodes = await start_two_builds(fleet)
        received = []
        for number in range(STREAMS):
            for worker in decodes:
                worker.faults = []
            # Fails whichever engine begins the stream; the next one completes it.
            first = decodes[number % len(decodes)]
            first.faults = [Fault.TRUNCATED]
            caller = fleet.caller(number % INSTANCE_COUNT)
            reply = await caller.ask("/resume/x", "POST", body=b"p", headers=STREAM)
            received.append(read_marks(reply.body).builds)
        assert any(len(worker.runs) for worker in decodes)
        assert count_mixed(received) == 0
        assert all(len(builds) == EVENTS for builds in received)


async def test_stream_taken_up_elsewhere_goes_on_at_another_build() -> None:
    async with open_fleet() as fleet:
        await start_two_builds(fleet)
        taken_up = []
        for number in range(STREAMS):
            index = number % INSTANCE_COUNT
            request, received = await break_off(fleet, index)
            other = (index + 1) % INSTANCE_COUNT
            taken_up.append(await take_up(fleet, other, request, received))
        assert count_mixed([item.builds for item in taken_up]) == 0
        assert all(len(item.builds) == EVENTS for item in taken_up)
