"""Streams through whole instances of the relay, over real connections."""

from itertools import pairwise

import pytest
import trio

from cleatlink.routing.mechanisms import Mechanism
from standins.relay import Fault, Worker
from standins.relay.example import STREAM, engines, runs, start
from standins.relay.fleet import open_fleet

pytestmark = pytest.mark.virtual_time

# Callers that have time for answers of some seconds.
LONG = {**STREAM, "Deadline-Milliseconds": "9000"}


async def test_stream_is_prefilled_apart_and_passed_on_whole() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await start(fleet, prefill, first, second)
        reply = await fleet.caller().ask("/stream/x", "POST", body=b"prompt", headers=STREAM)
        assert (reply.status, reply.whole) == (200, True)
        assert reply.body.count(b"id: ") == 5
        decode = next(worker for worker in (first, second) if worker.runs)
        source = decode.runs[0].call.headers["cache-source"]
        assert source.startswith(prefill.address + "/h")
        assert prefill.arrivals[0].headers["stage"] == "prefill"
        assert prefill.freed == []


async def test_without_prefill_workers_the_decode_reads_the_prompt() -> None:
    async with open_fleet() as fleet:
        _, first, second = engines()
        await start(fleet, first, second)
        reply = await fleet.caller().ask("/stream/x", "POST", body=b"prompt", headers=STREAM)
        assert (reply.status, reply.whole) == (200, True)
        decode = next(worker for worker in (first, second) if worker.runs)
        assert "cache-source" not in decode.runs[0].call.headers


async def test_broken_stream_does_not_look_complete() -> None:
    async with open_fleet() as fleet:
        workers = engines()
        await start(fleet, *workers)
        for worker in workers:
            worker.faults = [Fault.CUT]
        caller = fleet.caller()
        request = await caller.send("/stream/x", "POST", body=b"prompt", headers=STREAM)
        reply = await caller.receive()
        assert not reply.whole
        assert reply.body.count(b"\n\n") == reply.body.count(b"id: ")
        assert runs(fleet, request) == 1


async def test_resumable_stream_goes_on_elsewhere_without_gap_or_repeat() -> None:
    async with open_fleet() as fleet:
        workers = engines()
        await start(fleet, *workers)
        for worker in workers[1:]:
            worker.faults = [Fault.CUT]
        # The second try of the stream meets the other worker, which is in order again.
        workers[2].faults = []
        for _ in range(4):
            workers[1].faults = [Fault.CUT]
            reply = await fleet.caller().ask("/resume/x", "POST", body=b"prompt", headers=STREAM)
            assert (reply.status, reply.whole) == (200, True)
            numbers = [line for line in reply.body.split(b"\n") if line.startswith(b"id: ")]
            assert numbers == [b"id: %d" % number for number in range(1, 6)]


async def test_caller_that_leaves_frees_the_handle() -> None:
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        await start(fleet, prefill, decode)
        decode.faults = [Fault.FULL] * 40
        caller = fleet.caller()
        await caller.send("/stream/x", "POST", body=b"prompt", headers=STREAM)
        await fleet.until(lambda: bool(decode.arrivals))
        caller.close()
        await fleet.until(lambda: bool(prefill.freed))
        assert prefill.handles == {}
        assert fleet.instances[0].capacity.own == {}


async def test_stream_that_may_go_nowhere_else_waits_longer_each_time_at_its_decode() -> None:
    """A decode that was full for a quarter of a second was asked thrice within 0.2 s.

    The stream was refused then, and its prompt had been computed for nothing.
    """
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        await start(fleet, prefill, decode)
        fleet.add_route("/once/", "streaming", "model", attempts=1)
        version = fleet.configure()
        await fleet.until(lambda: fleet.instances[0].records.table_revision == version)
        decode.faults = [Fault.FULL] * 3
        reply = await fleet.caller().ask("/once/x", "POST", body=b"prompt", headers=STREAM)
        assert (reply.status, reply.whole) == (200, True)
        pauses_s = [after - before for before, after in pairwise(decode.arrived_at)]
        assert len(pauses_s) == 3
        assert pauses_s[0] >= 0.08
        assert pauses_s[1] >= 0.16
        assert pauses_s[2] >= 0.32


@pytest.mark.parametrize(("peers", "told"), [(17, "1"), (16, None)])
async def test_engines_are_told_the_priority_in_large_groups(
    peers: int, told: str | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Urgent prompts stood behind others at the engines, which know priorities themselves."""
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        await start(fleet, prefill, decode)
        waiting = fleet.instances[0].capacity.waiting
        waiting.note_peers(peers)
        monkeypatch.setattr(waiting, "note_peers", lambda _: None)
        reply = await fleet.caller().ask("/stream/x", "POST", body=b"prompt", headers=STREAM)
        assert reply.status == 200
        for worker in (prefill, decode):
            assert worker.arrivals[0].headers.get("request-priority") == told


async def test_stream_without_room_is_refused_at_once_with_a_time_to_come_back() -> None:
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        decode.events, decode.event_s = 50, 0.05
        await start(fleet, prefill, decode)
        fleet.configure({"kv_cache_tokens": 150})
        await trio.sleep(0.2)
        callers = [fleet.caller() for _ in range(3)]
        await callers[0].send("/stream/x", "POST", body=b"p", headers={"Token-Counts": "100,2000"})
        await fleet.until(lambda: bool(decode.runs))
        began_at = trio.current_time()
        reply = await callers[1].ask("/stream/x", "POST", body=b"p", headers=STREAM)
        assert reply.status == 503
        assert 0 < float(reply.headers["retry-after"]) <= 3
        assert trio.current_time() - began_at < 0.1
        assert len(prefill.arrivals) == 1


async def test_room_is_counted_across_instances() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        first.event_s = second.event_s = 0.1
        await start(fleet, prefill, first, second)
        fleet.start_instance()
        await fleet.ready()
        await fleet.until(lambda: all(item._peers.alive == 2 for item in fleet.instances))
        callers = [fleet.caller(index % 2) for index in range(4)]
        for caller in callers:
            await caller.send("/stream/x", "POST", body=b"p", headers=STREAM)
            await trio.sleep(0.05)
        replies = [await caller.receive() for caller in callers]
        assert [reply.status for reply in replies] == [200] * 4
        assert (len(first.runs), len(second.runs)) == (2, 2)


async def test_one_instance_shifts_a_prefill_to_decode_when_answers_need_it() -> None:
    async with open_fleet() as fleet:
        prefills = [Worker("model", "prefill"), Worker("model", "prefill")]
        decode = Worker("model", "decode")
        # Answers of half a second, and room for three of them at a time.
        decode.events, decode.event_s = 25, 0.02
        await start(fleet, *prefills, decode)
        for _ in range(2):
            fleet.start_instance()
        fleet.configure({"kv_cache_tokens": 500})
        await fleet.ready()

        async def ask(instance: int) -> None:
            caller = fleet.caller(instance)
            reply = await caller.ask("/stream/x", "POST", body=b"p", headers=STREAM)
            assert reply.status in (200, 503)

        with trio.fail_after(12):
            async with trio.open_nursery() as nursery:
                while not any(worker.orders for worker in prefills):
                    # Fourteen a second, twice what one decode bears.
                    for instance in range(3):
                        nursery.start_soon(ask, instance)
                    await trio.sleep(0.2)
                # Those that wait still would outlast the time for which the order is believed.
                nursery.cancel_scope.cancel()
        chosen, other = sorted(prefills, key=lambda worker: -len(worker.orders))
        order = chosen.orders[0]
        assert (order["operation"], order["stage"], order["holder"]) == ("stage", "decode", "n1")
        await trio.sleep(0.7)
        arrived = len(chosen.arrivals)
        with trio.move_on_after(1.0):
            async with trio.open_nursery() as nursery:
                for instance in range(3):
                    nursery.start_soon(ask, instance)
        assert (len(chosen.arrivals), len(other.orders)) == (arrived, 0)


async def test_decodes_without_prefills_compute_one_prompt_at_a_time() -> None:
    async with open_fleet() as fleet:
        _, first, second = engines()
        first.event_s = second.event_s = 0.06
        await start(fleet, first, second)
        callers = [fleet.caller() for _ in range(4)]
        for caller in callers:
            await caller.send("/stream/x", "POST", body=b"p", headers=STREAM)
        replies = [await caller.receive() for caller in callers]
        assert [reply.status for reply in replies] == [200] * 4
        for worker in (first, second):
            starts = [run.began_at for run in worker.runs]
            assert len(starts) == 2
            # The first event, made after the prompt, and a gap lie between them.
            assert starts[1] - starts[0] > 0.1


async def test_prompt_is_not_computed_for_a_decode_that_is_out_of_reach() -> None:
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        await start(fleet, prefill, decode)
        decode.close()
        reply = await fleet.caller().ask("/stream/x", "POST", body=b"p", headers=STREAM)
        assert reply.status == 503
        assert prefill.arrivals == []


async def test_silent_worker_is_left_by_the_routes_own_pauses() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await start(fleet, prefill, first, second)
        fleet.add_route(
            "/quick/", "streaming", "model", attempts=2, resumable=True, gap_target_ms=100
        )
        fleet.configure()
        await fleet.until(lambda: fleet.instances[0].records.table_revision == 7)
        for worker in (first, second):
            # Silent after its second event, until it is forgotten.
            worker.silent_from = 3
        caller = fleet.caller()
        began_at = trio.current_time()
        await caller.send("/quick/x", "POST", body=b"prompt", headers=STREAM)
        await fleet.until(lambda: bool(first.runs and second.runs), 1.2)
        assert trio.current_time() - began_at > 0.4


async def test_slow_decode_is_told_of_and_gets_nothing_new() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await start(fleet, prefill, first, second)
        fleet.start_instance()
        fleet.add_route("/quick/", "streaming", "model", gap_target_ms=50)
        version = fleet.configure()
        await fleet.ready()
        await fleet.until(
            lambda: all(item.records.table_revision == version for item in fleet.instances)
        )
        await fleet.until(lambda: all(item._peers.alive == 2 for item in fleet.instances))
        first.event_s = 0.1
        # Each instance meets it once at the most; the two agree.
        for number in (0, 1, 0, 1):
            if not (first.runs and len(first.runs) > 1):
                await fleet.caller(number).ask("/quick/x", "POST", body=b"p", headers=STREAM)
        met = len(first.runs)
        for number in (0, 1, 0, 1, 0, 1):
            await fleet.caller(number).ask("/quick/x", "POST", body=b"p", headers=STREAM)
        assert len(first.runs) <= met + 1


async def test_refused_caller_is_known_at_another_instance_and_waits_there() -> None:
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        decode.events, decode.event_s = 56, 0.05
        await start(fleet, prefill, decode)
        fleet.start_instance()
        for route in fleet.routes:
            route["timeout_ms"] = 9000
        version = fleet.configure({"kv_cache_tokens": 150})
        await fleet.ready()
        await fleet.until(lambda: all(item._peers.alive == 2 for item in fleet.instances))
        await fleet.until(
            lambda: all(item.records.table_revision == version for item in fleet.instances)
        )
        await fleet.caller().send("/stream/x", "POST", body=b"p", headers=LONG)
        await fleet.until(lambda: bool(decode.runs))
        # It waits until its caller would leave after 2 s; the answer takes longer.
        refused = await fleet.caller().ask("/stream/x", "POST", body=b"mine", headers=LONG)
        assert refused.status == 503
        await trio.sleep(min(1.8, float(refused.headers["retry-after"])))
        newcomer, back = fleet.caller(1), fleet.caller(1)
        await newcomer.send("/stream/x", "POST", body=b"new", headers=LONG)
        await trio.sleep(0.05)
        mine = await back.send("/stream/x", "POST", body=b"mine", headers=LONG)
        reply = await back.receive()
        assert (reply.status, reply.whole) == (200, True)
        # It came after the newcomer, and was served before it.
        assert decode.runs[1].request == mine
        assert len(decode.runs) == 2 or decode.runs[2].began_at > decode.runs[1].began_at


async def test_newcomer_is_not_turned_away_for_callers_that_are_due_back() -> None:
    """Room opens soon; callers that were refused before and will be late don't hold it up."""
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        decode.events, decode.event_s = 56, 0.05
        await start(fleet, prefill, decode)
        for route in fleet.routes:
            route["timeout_ms"] = 9000
        version = fleet.configure({"kv_cache_tokens": 150})
        await fleet.until(lambda: fleet.instances[0].records.table_revision == version)
        await fleet.caller().send("/stream/x", "POST", body=b"p", headers=LONG)
        await fleet.until(lambda: bool(decode.runs))
        for body in (b"first", b"second"):
            refused = await fleet.caller().ask("/stream/x", "POST", body=body, headers=LONG)
            assert refused.status == 503
        left_s = 2.8 - (trio.current_time() - decode.runs[0].began_at)
        await trio.sleep(max(0.0, left_s - 0.5))
        newcomer = fleet.caller()
        name = await newcomer.send("/stream/x", "POST", body=b"new", headers=LONG)
        reply = await newcomer.receive()
        assert (reply.status, reply.whole) == (200, True)
        assert decode.runs[1].request == name


async def test_without_returns_a_caller_that_is_back_stands_like_any_other() -> None:
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        decode.events, decode.event_s = 70, 0.05
        await start(fleet, prefill, decode)
        fleet.start_instance("a", Mechanism.RETURNS)
        for route in fleet.routes:
            route["timeout_ms"] = 9000
        version = fleet.configure({"kv_cache_tokens": 150})
        await fleet.ready()
        await fleet.until(
            lambda: all(item.records.table_revision == version for item in fleet.instances)
        )
        await fleet.caller(1).send("/stream/x", "POST", body=b"p", headers=LONG)
        await fleet.until(lambda: bool(decode.runs))
        for _ in range(2):
            reply = await fleet.caller(1).ask("/stream/x", "POST", body=b"mine", headers=LONG)
            assert reply.status == 503
        assert not any("back/" in key for key in fleet.instances[1].capacity.own)


async def test_begun_stream_that_no_decode_can_go_on_with_is_broken_off_at_once() -> None:
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        await start(fleet, prefill, decode)
        decode.faults = [Fault.CUT]
        caller = fleet.caller()
        began_at = trio.current_time()
        await caller.send("/resume/x", "POST", body=b"prompt", headers=STREAM)
        reply = await caller.receive()
        assert not reply.whole
        # The caller can come back with its last event; a wait would only hide that.
        assert trio.current_time() - began_at < 0.6


async def test_decode_that_leaves_while_the_prompt_is_computed_gets_nothing_new() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        prefill.work_s = 0.5
        await start(fleet, prefill, first, second)
        caller = fleet.caller()
        await caller.send("/stream/x", "POST", body=b"prompt", headers=STREAM)
        await fleet.until(lambda: bool(prefill.arrivals))
        (room,) = (
            work for key, work in fleet.instances[0].capacity.own.items() if key.endswith("/d")
        )
        leaving = first if room.endpoint == first.name else second
        fleet.register(leaving, "draining")
        reply = await caller.receive()
        assert (reply.status, reply.whole) == (200, True)
        assert leaving.runs == []
        # What was computed is not computed again.
        assert len(prefill.arrivals) == 1


async def test_prompt_that_is_computed_again_after_a_break_is_an_extra_send() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await start(fleet, prefill, first, second)
        for decode in (first, second):
            decode.faults = [Fault.CUT]
        await fleet.caller().ask("/resume/x", "POST", body=b"prompt", headers=STREAM)
        budget = fleet.instances[0]._budgets.of("model")
        extra = len(prefill.arrivals) + len(first.arrivals) + len(second.arrivals) - 2
        assert extra >= 2
        assert len(budget._extras) == extra


async def test_short_answers_teach_the_pace_too() -> None:
    async with open_fleet() as fleet:
        await start(fleet, *engines())
        for _ in range(5):
            reply = await fleet.caller().ask("/stream/x", "POST", body=b"p", headers=STREAM)
            assert reply.status == 200
        pace = fleet.instances[0].capacity.pace("model")
        assert pace.is_known
        # Five events, 5 ms apart, of a token each.
        assert 0.004 < pace.token_s < 0.02
