"""Test that a stream goes on only at endpoints of the build that began it."""

import json
from typing import NamedTuple

import pytest
import trio

from cleatlink.relay.calls import stream_origin
from standins.relay import Fault, Worker
from standins.relay.example_fleet import STREAM, runs, start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.raw_client import Reply
from standins.relay.stream_builds import read_marks

pytestmark = pytest.mark.virtual_time

STREAMS = 12
EVENTS = 8
# Events after which a caller loses its connection.
LOST_AFTER = 3
# Headers of a caller that waits for longer than the test takes.
PATIENT = {**STREAM, "Deadline-Milliseconds": "60000"}
INSTANCE_COUNT = 3
# Longest age of a stream in a test that waits for it, in seconds: over twice the route's timeout.
SHORT_AGE_S = 8.0
# Seconds for which callers go on taking their streams up, and pause between two attempts.
TAKE_UPS_S = 12.0
TAKE_UP_INTERVAL_S = 0.5


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
    request = await caller.send("/resume/x", "POST", body=b"p", headers=PATIENT)
    with trio.fail_after(2):
        body = await caller.receive_events(LOST_AFTER)
    caller.close()
    return request, body


async def take_up(
    fleet: Fleet,
    index: int,
    request: str,
    received: bytes,
    more: dict[str, str] | None = None,
) -> TakenUpStream:
    """Take up a stream at an instance."""
    first = read_marks(received)
    headers = {**PATIENT, "Resumes": request, "Last-Event-Id": str(len(first.builds))}
    headers.update(more or {})
    reply = await fleet.caller(index).ask("/resume/x", "POST", body=b"p", headers=headers)
    return TakenUpStream(first.builds + read_marks(reply.body).builds, reply)


def remove_build(fleet: Fleet, build: str) -> None:
    """Have all endpoints of a build leave."""
    for worker in list(fleet.workers):
        if worker.build == build:
            fleet.workers.remove(worker)
            fleet.unregister(worker)
            worker.close()


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


async def test_stream_of_a_killed_instance_goes_on_at_its_build() -> None:
    async with open_fleet() as fleet:
        await start_two_builds(fleet)
        begun = [await break_off(fleet, 0) for _ in range(STREAMS)]
        fleet.kill_instance(0)
        taken_up = [
            await take_up(fleet, 1 + number % 2, *begun[number]) for number in range(STREAMS)
        ]
        assert count_mixed([item.builds for item in taken_up]) == 0
        assert all(len(item.builds) == EVENTS for item in taken_up)


async def test_stream_goes_on_at_an_instance_that_has_just_started() -> None:
    async with open_fleet() as fleet:
        await start_two_builds(fleet)
        begun = [await break_off(fleet, 1) for _ in range(STREAMS)]
        fleet.kill_instance(0)
        fleet.kill_instance(1)
        await fleet.restart_instance(0)
        await fleet.wait_until(lambda: fleet.instances[0].status()["instances"] == 2)
        await fleet.wait_until(lambda: fleet.instances[0].ready)
        taken_up = [await take_up(fleet, 0, *stream) for stream in begun]
        assert count_mixed([item.builds for item in taken_up]) == 0
        assert all(len(item.builds) == EVENTS for item in taken_up)


async def test_stream_goes_on_after_planned_stops_of_all_instances_in_turn() -> None:
    async with open_fleet() as fleet:
        fleet.drain_s = 5.0
        await start_two_builds(fleet)
        begun = [await break_off(fleet, 0) for _ in range(STREAMS)]
        for index in range(INSTANCE_COUNT):
            fleet.stop_events[index].set()
            await fleet.restart_instance(index)
            await wait_connected(fleet)
        taken_up = [await take_up(fleet, 1, *stream) for stream in begun]
        assert count_mixed([item.builds for item in taken_up]) == 0
        assert all(len(item.builds) == EVENTS for item in taken_up)


@pytest.mark.parametrize("leaves_while_down", [False, True])
@pytest.mark.parametrize("deadline_falls", [False, True])
async def test_stream_goes_on_at_another_build_after_a_kill_of_all_instances(
    deadline_falls: bool, leaves_while_down: bool
) -> None:
    """Its build has left, no instance has seen it, and its caller comes back again and again."""
    async with open_fleet() as fleet:
        await start_two_builds(fleet)
        begun = [await break_off(fleet, number % INSTANCE_COUNT) for number in range(STREAMS)]
        ends_at = trio.current_time() + TAKE_UPS_S
        if not leaves_while_down:
            remove_build(fleet, "v1")
        for index in range(INSTANCE_COUNT):
            fleet.kill_instance(index)
        if leaves_while_down:
            remove_build(fleet, "v1")
        for index in range(INSTANCE_COUNT):
            await fleet.restart_instance(index)
        await wait_connected(fleet)
        taken_up: list[TakenUpStream] = []
        number = 0
        while trio.current_time() < ends_at:
            left_ms = int(1000 * (ends_at - trio.current_time())) + 1
            headers = {"Deadline-Milliseconds": str(left_ms)} if deadline_falls else {}
            for request, received in begun:
                number += 1
                index = number % INSTANCE_COUNT
                taken_up.append(await take_up(fleet, index, request, received, headers))
            await trio.sleep(TAKE_UP_INTERVAL_S)
        assert len(taken_up) > 10 * STREAMS
        assert count_mixed([item.builds for item in taken_up]) == 0
        assert all(item.last.status in (200, 503) for item in taken_up)


async def test_stream_whose_build_is_gone_is_refused_at_once_and_not_run() -> None:
    async with open_fleet() as fleet:
        await start_two_builds(fleet)
        begun = [await break_off(fleet, number % INSTANCE_COUNT) for number in range(STREAMS)]
        remove_build(fleet, "v1")
        await trio.sleep(0.3)
        began_at = trio.current_time()
        taken_up = [await take_up(fleet, 1, *stream) for stream in begun]
        assert trio.current_time() - began_at < 2.0
        refused = [item for item in taken_up if item.builds[0] == "v1"]
        assert refused
        for item in refused:
            assert item.last.status == 503
            assert json.loads(item.last.body)["error"]["code"] == "build_restarts"
            assert not runs(fleet, item.last.headers["attempt-id"])
        others = [item for item in taken_up if item not in refused]
        assert all(item.builds == ("v2",) * EVENTS for item in others)


async def test_unknown_stream_is_not_continued_where_two_builds_serve() -> None:
    async with open_fleet() as fleet:
        await start_two_builds(fleet)
        for resumes in ("never-sent", "", "x" * 5000, "\u00ff", "v1"):
            headers = {**STREAM, "Resumes": resumes, "Last-Event-Id": "2"}
            if not resumes:
                del headers["Resumes"]
            reply = await fleet.caller().ask("/resume/x", "POST", body=b"p", headers=headers)
            assert reply.status == 503
            assert json.loads(reply.body)["error"]["code"] == "build_unknown"
        assert not any(worker.runs for worker in fleet.workers)


async def test_unknown_stream_goes_on_at_the_only_build_of_a_long_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(stream_origin, "MAX_STREAM_AGE_S", SHORT_AGE_S)
    async with open_fleet() as fleet:
        engines_of_one_build = [engine("prefill", "v1"), engine("decode", "v1")]
        await start(fleet, *engines_of_one_build)
        headers = {**STREAM, "Resumes": "of-an-earlier-build", "Last-Event-Id": "2"}
        early = await fleet.caller().ask("/resume/x", "POST", body=b"p", headers=headers)
        assert early.status == 503
        await trio.sleep(SHORT_AGE_S - 1.0)
        middle = await fleet.caller().ask("/resume/x", "POST", body=b"p", headers=headers)
        assert middle.status == 503
        await trio.sleep(2.0)
        late = await fleet.caller().ask("/resume/x", "POST", body=b"p", headers=headers)
        assert late.status == 200
        await fleet.add_worker(engine("decode", "v2"))
        await fleet.wait_ready()
        await trio.sleep(0.5)
        mixed = await fleet.caller().ask("/resume/x", "POST", body=b"p", headers=headers)
        assert mixed.status == 503


async def test_stream_that_its_caller_does_not_name_goes_on_at_the_build_after_its_own() -> None:
    async with open_fleet() as fleet:
        await start(fleet, engine("prefill", "v1"), engine("decode", "v1"))
        await trio.sleep(0.5)
        for stage in ("prefill", "decode"):
            await fleet.add_worker(engine(stage, "v2"))
        await fleet.wait_ready()
        headers = {**STREAM, "Last-Event-Id": "2"}
        remove_build(fleet, "v1")
        await trio.sleep(0.5)
        reply = await fleet.caller().ask("/resume/x", "POST", body=b"p", headers=headers)
        assert (reply.status, json.loads(reply.body)["error"]["code"]) == (503, "build_unknown")


async def test_stream_that_its_caller_does_not_name_goes_on_at_the_only_build() -> None:
    async with open_fleet() as fleet:
        await start(fleet, engine("prefill", "v1"), engine("decode", "v1"))
        headers = {**STREAM, "Last-Event-Id": "2"}
        reply = await fleet.caller().ask("/resume/x", "POST", body=b"p", headers=headers)
        assert (reply.status, reply.is_complete) == (200, True)


async def test_prompt_of_another_build_is_not_used_by_a_decode() -> None:
    async with open_fleet() as fleet:
        prefill, decode = engine("prefill", "v2"), engine("decode", "v1")
        await start(fleet, prefill, decode)
        reply = await fleet.caller().ask("/resume/x", "POST", body=b"p", headers=STREAM)
        assert reply.status == 200
        assert not prefill.arrivals
        assert len(decode.runs) == 1
