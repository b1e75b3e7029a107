"""Test that pauses of an instance's own process are not attributed to endpoints."""

import pytest
import trio

from standins.relay import Worker
from standins.relay.example_fleet import STREAM, start, start_with_measured_service_times
from standins.relay.fleet import open_fleet
from standins.relay.raw_client import Caller

pytestmark = pytest.mark.virtual_time

PAUSE_S = 0.5


async def ask_across_a_pause(
    caller: Caller,
    path: str,
    headers: dict[str, str],
    *,
    after_s: float = 0.005,
    pause_s: float = PAUSE_S,
) -> None:
    """Make a call, and pause the whole machine while the call is in progress."""

    async def pause() -> None:
        await trio.sleep(after_s)
        clock = trio.lowlevel.current_clock()
        assert isinstance(clock, trio.testing.MockClock)
        clock.jump(pause_s)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(pause)
        assert (await caller.ask(path, "POST", body=b"b", headers=headers)).status == 200


async def test_pauses_do_not_make_plain_calls_look_slow() -> None:
    """Guards against longer silence timeouts and refusals of calls as too late after a pause."""
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        caller = fleet.caller()
        for _ in range(5):
            assert (await caller.ask("/safe/x")).status == 200
        normal_s = fleet.instances[0].capacity.service_times("plain").plain_call_s
        for _ in range(3):
            await ask_across_a_pause(caller, "/safe/x", {})
        assert fleet.instances[0].capacity.service_times("plain").plain_call_s < 1.5 * normal_s


async def test_pauses_do_not_make_engines_look_slow() -> None:
    """Guards against a planned stop handing over short streams that it had time to finish."""
    async with open_fleet() as fleet:
        decode = Worker("model", "decode")
        decode.events = 20
        await start(fleet, decode)
        caller = fleet.caller()
        for _ in range(20):
            assert (await caller.ask("/stream/x", "POST", body=b"p", headers=STREAM)).status == 200
        times = fleet.instances[0].capacity.service_times("model")
        slow_token_before_s = times.slow_token_s
        for _ in range(10):
            await ask_across_a_pause(caller, "/stream/x", STREAM, after_s=0.06)
        assert times.slow_token_s < 2 * slow_token_before_s


async def test_pauses_do_not_make_prefills_look_slow() -> None:
    """Guards against refusing a caller for slow prefill after a 0.4 s pause: prefills were fast."""
    async with open_fleet() as fleet:
        prefill, decode = Worker("model", "prefill"), Worker("model", "decode")
        await start(fleet, prefill, decode)
        caller = fleet.caller()
        for _ in range(8):
            assert (await caller.ask("/stream/x", "POST", body=b"p", headers=STREAM)).status == 200
        times = fleet.instances[0].capacity.service_times("model")
        normal_s = times.prompt_s(100)
        for _ in range(12):
            await ask_across_a_pause(caller, "/stream/x", STREAM)
        assert times.prompt_s(100) < 1.2 * normal_s


async def test_pause_of_instance_does_not_make_endpoint_count_as_silent() -> None:
    """Guards against avoiding an endpoint whose answer waits unread: 59 callers were refused."""
    async with open_fleet() as fleet:
        workers = Worker("plain"), Worker("plain")
        caller = await start_with_measured_service_times(fleet, *workers)
        for _ in range(10):
            await ask_across_a_pause(caller, "/safe/x", {})
        assert sum(len(worker.arrivals) for worker in workers) == 10


async def test_pause_of_instance_does_not_make_decode_count_as_silent() -> None:
    """Guards against moving a stream to a second decode endpoint after a pause of the instance."""
    async with open_fleet() as fleet:
        decodes = Worker("model", "decode"), Worker("model", "decode")
        for decode in decodes:
            decode.events = 20
        await start(fleet, *decodes)
        caller = fleet.caller()
        for _ in range(4):
            assert (await caller.ask("/resume/x", "POST", body=b"p", headers=STREAM)).status == 200
        for decode in decodes:
            decode.arrivals.clear()
        for _ in range(10):
            await ask_across_a_pause(caller, "/resume/x", STREAM, after_s=0.06, pause_s=1.6)
        assert sum(len(decode.arrivals) for decode in decodes) == 10
