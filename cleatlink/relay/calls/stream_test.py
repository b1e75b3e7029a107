"""Tests of streams through complete relay instances, over real connections."""

from itertools import pairwise

import pytest
import trio

from cleatlink.routing.mechanisms import Mechanism
from standins.relay import Fault, Worker
from standins.relay.example_fleet import STREAM, engines, runs, start
from standins.relay.fleet import open_fleet

pytestmark = pytest.mark.virtual_time

# Headers of callers whose deadline allows answers of several seconds.
LONG_DEADLINE = {**STREAM, "Deadline-Milliseconds": "9000"}


async def test_stream_is_prefilled_at_another_endpoint_and_relayed_completely() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await start(fleet, prefill, first, second)
        reply = await fleet.caller().ask("/stream/x", "POST", body=b"prompt", headers=STREAM)
        assert (reply.status, reply.is_complete) == (200, True)
        assert reply.body.count(b"id: ") == 5
        decode = next(worker for worker in (first, second) if worker.runs)
        source = decode.runs[0].call.headers["cache-source"]
        assert source.startswith(prefill.address + "/h")
        assert prefill.arrivals[0].headers["stage"] == "prefill"
        assert prefill.deleted_handles == []


async def test_decode_endpoint_computes_the_prompt_without_prefill_endpoints() -> None:
    async with open_fleet() as fleet:
        _, first, second = engines()
        await start(fleet, first, second)
        reply = await fleet.caller().ask("/stream/x", "POST", body=b"prompt", headers=STREAM)
        assert (reply.status, reply.is_complete) == (200, True)
        decode = next(worker for worker in (first, second) if worker.runs)
        assert "cache-source" not in decode.runs[0].call.headers


async def test_interrupted_stream_does_not_look_complete() -> None:
    async with open_fleet() as fleet:
        workers = engines()
        await start(fleet, *workers)
        for worker in workers:
            worker.faults = [Fault.TRUNCATED]
        caller = fleet.caller()
        request = await caller.send("/stream/x", "POST", body=b"prompt", headers=STREAM)
        reply = await caller.receive()
        assert not reply.is_complete
        assert reply.body.count(b"\n\n") == reply.body.count(b"id: ")
        assert runs(fleet, request) == 1


async def test_resumable_stream_goes_on_elsewhere_without_gap_or_repeat() -> None:
    async with open_fleet() as fleet:
        workers = engines()
        await start(fleet, *workers)
        for worker in workers[1:]:
            worker.faults = [Fault.TRUNCATED]
        # The second attempt of the stream goes to the other worker, which has no fault any more.
        workers[2].faults = []
        for _ in range(4):
            workers[1].faults = [Fault.TRUNCATED]
            reply = await fleet.caller().ask("/resume/x", "POST", body=b"prompt", headers=STREAM)
            assert (reply.status, reply.is_complete) == (200, True)
            numbers = [line for line in reply.body.split(b"\n") if line.startswith(b"id: ")]
            assert numbers == [b"id: %d" % number for number in range(1, 6)]


async def test_prefill_result_is_freed_when_the_caller_disconnects() -> None:
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        await start(fleet, prefill, decode)
        decode.faults = [Fault.FULL] * 40
        caller = fleet.caller()
        await caller.send("/stream/x", "POST", body=b"prompt", headers=STREAM)
        await fleet.wait_until(lambda: bool(decode.arrivals))
        caller.close()
        await fleet.wait_until(lambda: bool(prefill.deleted_handles))
        assert prefill.handles == {}
        assert fleet.instances[0].capacity.own_reservations == {}


async def test_retries_at_the_only_allowed_decode_endpoint_have_growing_delays() -> None:
    """Guards against retries that end before a full decode endpoint has capacity again.

    The relay made 3 attempts within 0.2 s at an endpoint that was full for 0.25 s. It then refused
    the stream, although its prompt had been computed.
    """
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        await start(fleet, prefill, decode)
        fleet.add_route("/once/", "streaming", "model", attempts=1)
        version = fleet.configure()
        await fleet.wait_until(lambda: fleet.instances[0].records.table_revision == version)
        decode.faults = [Fault.FULL] * 3
        reply = await fleet.caller().ask("/once/x", "POST", body=b"prompt", headers=STREAM)
        assert (reply.status, reply.is_complete) == (200, True)
        pauses_s = [after - before for before, after in pairwise(decode.arrival_times)]
        assert len(pauses_s) == 3
        assert pauses_s[0] >= 0.08
        assert pauses_s[1] >= 0.16
        assert pauses_s[2] >= 0.32


@pytest.mark.parametrize(("peers", "priority"), [(17, "1"), (16, None)])
async def test_engines_receive_the_priority_in_large_groups(
    peers: int, priority: str | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against urgent prompts that wait behind others at engines that support priorities."""
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        await start(fleet, prefill, decode)
        wait_queues = fleet.instances[0].capacity.shared_wait_queues
        wait_queues.set_peer_count(peers)
        monkeypatch.setattr(wait_queues, "set_peer_count", lambda _: None)
        reply = await fleet.caller().ask("/stream/x", "POST", body=b"prompt", headers=STREAM)
        assert reply.status == 200
        for worker in (prefill, decode):
            assert worker.arrivals[0].headers.get("request-priority") == priority


async def test_stream_without_capacity_is_refused_at_once_with_a_retry_delay() -> None:
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        decode.events, decode.event_interval_s = 50, 0.05
        await start(fleet, prefill, decode)
        fleet.configure({"kv_cache_tokens": 150})
        await trio.sleep(0.2)
        callers = [fleet.caller() for _ in range(3)]
        await callers[0].send("/stream/x", "POST", body=b"p", headers={"Token-Counts": "100,2000"})
        await fleet.wait_until(lambda: bool(decode.runs))
        began_at = trio.current_time()
        reply = await callers[1].ask("/stream/x", "POST", body=b"p", headers=STREAM)
        assert reply.status == 503
        assert 0 < float(reply.headers["retry-after"]) <= 3
        assert trio.current_time() - began_at < 0.1
        assert len(prefill.arrivals) == 1


async def test_capacity_is_shared_between_instances() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        first.event_interval_s = second.event_interval_s = 0.1
        await start(fleet, prefill, first, second)
        fleet.start_instance()
        await fleet.wait_ready()
        await fleet.wait_until(
            lambda: all(item._peers.live_instances == 2 for item in fleet.instances)
        )
        callers = [fleet.caller(index % 2) for index in range(4)]
        for caller in callers:
            await caller.send("/stream/x", "POST", body=b"p", headers=STREAM)
            await trio.sleep(0.05)
        replies = [await caller.receive() for caller in callers]
        assert [reply.status for reply in replies] == [200] * 4
        assert (len(first.runs), len(second.runs)) == (2, 2)


async def test_one_instance_changes_a_prefill_endpoint_to_decode_when_answers_need_it() -> None:
    async with open_fleet() as fleet:
        prefills = [Worker("model", "prefill"), Worker("model", "prefill")]
        decode = Worker("model", "decode")
        # Each answer takes half a second, and there is capacity for three of them at a time.
        decode.events, decode.event_interval_s = 25, 0.02
        await start(fleet, *prefills, decode)
        for _ in range(2):
            fleet.start_instance()
        fleet.configure({"kv_cache_tokens": 500})
        await fleet.wait_ready()

        async def ask(instance: int) -> None:
            caller = fleet.caller(instance)
            reply = await caller.ask("/stream/x", "POST", body=b"p", headers=STREAM)
            assert reply.status in (200, 503)

        with trio.fail_after(12):
            async with trio.open_nursery() as nursery:
                while not any(worker.role_changes for worker in prefills):
                    # Fourteen requests a second, twice the capacity of one decode endpoint.
                    for instance in range(3):
                        nursery.start_soon(ask, instance)
                    await trio.sleep(0.2)
                # Requests that still wait would outlast the time for which the order is valid.
                nursery.cancel_scope.cancel()
        chosen, other = sorted(prefills, key=lambda worker: -len(worker.role_changes))
        order = chosen.role_changes[0]
        assert (order["operation"], order["stage"], order["holder"]) == ("stage", "decode", "n1")
        await trio.sleep(0.7)
        arrived = len(chosen.arrivals)
        with trio.move_on_after(1.0):
            async with trio.open_nursery() as nursery:
                for instance in range(3):
                    nursery.start_soon(ask, instance)
        assert (len(chosen.arrivals), len(other.role_changes)) == (arrived, 0)


async def test_decode_endpoints_compute_one_prompt_at_a_time() -> None:
    async with open_fleet() as fleet:
        _, first, second = engines()
        first.event_interval_s = second.event_interval_s = 0.06
        await start(fleet, first, second)
        callers = [fleet.caller() for _ in range(4)]
        for caller in callers:
            await caller.send("/stream/x", "POST", body=b"p", headers=STREAM)
        replies = [await caller.receive() for caller in callers]
        assert [reply.status for reply in replies] == [200] * 4
        for worker in (first, second):
            starts = [run.began_at for run in worker.runs]
            assert len(starts) == 2
            # The second starts after the first event of the first stream and a gap.
            assert starts[1] - starts[0] > 0.1


async def test_prompt_is_not_computed_for_an_unreachable_decode_endpoint() -> None:
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        await start(fleet, prefill, decode)
        decode.close()
        reply = await fleet.caller().ask("/stream/x", "POST", body=b"p", headers=STREAM)
        assert reply.status == 503
        assert prefill.arrivals == []


async def test_silence_timeout_follows_the_event_gap_of_the_route() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await start(fleet, prefill, first, second)
        fleet.add_route(
            "/quick/", "streaming", "model", attempts=2, resumable=True, gap_target_ms=100
        )
        fleet.configure()
        await fleet.wait_until(lambda: fleet.instances[0].records.table_revision == 7)
        for worker in (first, second):
            # Sends nothing after its second event, until it is removed.
            worker.silent_from_event = 3
        caller = fleet.caller()
        began_at = trio.current_time()
        await caller.send("/quick/x", "POST", body=b"prompt", headers=STREAM)
        await fleet.wait_until(lambda: bool(first.runs and second.runs), 1.2)
        assert trio.current_time() - began_at > 0.4


async def test_slow_decode_endpoint_is_reported_to_peers_and_gets_no_new_streams() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await start(fleet, prefill, first, second)
        fleet.start_instance()
        fleet.add_route("/quick/", "streaming", "model", gap_target_ms=50)
        version = fleet.configure()
        await fleet.wait_ready()
        await fleet.wait_until(
            lambda: all(item.records.table_revision == version for item in fleet.instances)
        )
        await fleet.wait_until(
            lambda: all(item._peers.live_instances == 2 for item in fleet.instances)
        )
        first.event_interval_s = 0.1
        # Each instance uses the slow endpoint at most once before both report it.
        for number in (0, 1, 0, 1):
            if not (first.runs and len(first.runs) > 1):
                await fleet.caller(number).ask("/quick/x", "POST", body=b"p", headers=STREAM)
        runs_before = len(first.runs)
        for number in (0, 1, 0, 1, 0, 1):
            await fleet.caller(number).ask("/quick/x", "POST", body=b"p", headers=STREAM)
        assert len(first.runs) <= runs_before + 1


async def test_refused_caller_keeps_its_queue_position_at_another_instance() -> None:
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        decode.events, decode.event_interval_s = 56, 0.05
        await start(fleet, prefill, decode)
        fleet.start_instance()
        for route in fleet.routes:
            route["timeout_ms"] = 9000
        version = fleet.configure({"kv_cache_tokens": 150})
        await fleet.wait_ready()
        await fleet.wait_until(
            lambda: all(item._peers.live_instances == 2 for item in fleet.instances)
        )
        await fleet.wait_until(
            lambda: all(item.records.table_revision == version for item in fleet.instances)
        )
        await fleet.caller().send("/stream/x", "POST", body=b"p", headers=LONG_DEADLINE)
        await fleet.wait_until(lambda: bool(decode.runs))
        # The running answer takes longer than the 2 s that this caller waits.
        refused = await fleet.caller().ask("/stream/x", "POST", body=b"mine", headers=LONG_DEADLINE)
        assert refused.status == 503
        await trio.sleep(min(1.8, float(refused.headers["retry-after"])))
        newcomer, retry = fleet.caller(1), fleet.caller(1)
        await newcomer.send("/stream/x", "POST", body=b"new", headers=LONG_DEADLINE)
        await trio.sleep(0.05)
        retry_request = await retry.send("/stream/x", "POST", body=b"mine", headers=LONG_DEADLINE)
        reply = await retry.receive()
        assert (reply.status, reply.is_complete) == (200, True)
        # The retry arrived after the newcomer, and was served before it.
        assert decode.runs[1].request == retry_request
        assert len(decode.runs) == 2 or decode.runs[2].began_at > decode.runs[1].began_at


async def test_newcomer_is_not_refused_because_of_expected_retries() -> None:
    """Callers that were refused before and will be late don't reserve capacity that opens soon."""
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        decode.events, decode.event_interval_s = 56, 0.05
        await start(fleet, prefill, decode)
        for route in fleet.routes:
            route["timeout_ms"] = 9000
        version = fleet.configure({"kv_cache_tokens": 150})
        await fleet.wait_until(lambda: fleet.instances[0].records.table_revision == version)
        await fleet.caller().send("/stream/x", "POST", body=b"p", headers=LONG_DEADLINE)
        await fleet.wait_until(lambda: bool(decode.runs))
        for body in (b"first", b"second"):
            refused = await fleet.caller().ask(
                "/stream/x", "POST", body=body, headers=LONG_DEADLINE
            )
            assert refused.status == 503
        left_s = 2.8 - (trio.current_time() - decode.runs[0].began_at)
        await trio.sleep(max(0.0, left_s - 0.5))
        newcomer = fleet.caller()
        name = await newcomer.send("/stream/x", "POST", body=b"new", headers=LONG_DEADLINE)
        reply = await newcomer.receive()
        assert (reply.status, reply.is_complete) == (200, True)
        assert decode.runs[1].request == name


async def test_retry_has_no_earlier_queue_position_with_the_mechanism_off() -> None:
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        decode.events, decode.event_interval_s = 70, 0.05
        await start(fleet, prefill, decode)
        fleet.start_instance("a", Mechanism.EXPECTED_RETRIES)
        for route in fleet.routes:
            route["timeout_ms"] = 9000
        version = fleet.configure({"kv_cache_tokens": 150})
        await fleet.wait_ready()
        await fleet.wait_until(
            lambda: all(item.records.table_revision == version for item in fleet.instances)
        )
        await fleet.caller(1).send("/stream/x", "POST", body=b"p", headers=LONG_DEADLINE)
        await fleet.wait_until(lambda: bool(decode.runs))
        for _ in range(2):
            reply = await fleet.caller(1).ask(
                "/stream/x", "POST", body=b"mine", headers=LONG_DEADLINE
            )
            assert reply.status == 503
        assert not any("back/" in key for key in fleet.instances[1].capacity.own_reservations)


async def test_begun_stream_ends_at_once_if_no_decode_endpoint_can_continue_it() -> None:
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        await start(fleet, prefill, decode)
        decode.faults = [Fault.TRUNCATED]
        caller = fleet.caller()
        began_at = trio.current_time()
        await caller.send("/resume/x", "POST", body=b"prompt", headers=STREAM)
        reply = await caller.receive()
        assert not reply.is_complete
        # The caller can resume with its last event; a wait would only delay that.
        assert trio.current_time() - began_at < 0.6


async def test_decode_endpoint_that_leaves_during_the_prompt_gets_no_stream() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        prefill.run_duration_s = 0.5
        await start(fleet, prefill, first, second)
        caller = fleet.caller()
        await caller.send("/stream/x", "POST", body=b"prompt", headers=STREAM)
        await fleet.wait_until(lambda: bool(prefill.arrivals))
        (reservation,) = (
            item
            for key, item in fleet.instances[0].capacity.own_reservations.items()
            if key.endswith("/d")
        )
        leaving = first if reservation.endpoint == first.name else second
        fleet.register(leaving, "draining")
        reply = await caller.receive()
        assert (reply.status, reply.is_complete) == (200, True)
        assert leaving.runs == []
        # The prompt is not computed again.
        assert len(prefill.arrivals) == 1


async def test_prompt_computed_again_after_an_interruption_uses_the_retry_budget() -> None:
    async with open_fleet() as fleet:
        prefill, first, second = engines()
        await start(fleet, prefill, first, second)
        for decode in (first, second):
            decode.faults = [Fault.TRUNCATED]
        await fleet.caller().ask("/resume/x", "POST", body=b"prompt", headers=STREAM)
        budget = fleet.instances[0]._budgets.get_budget("model")
        extra_sends = len(prefill.arrivals) + len(first.arrivals) + len(second.arrivals) - 2
        assert extra_sends >= 2
        assert len(budget._extra_sends) == extra_sends


async def test_time_per_token_is_measured_from_short_answers() -> None:
    async with open_fleet() as fleet:
        await start(fleet, *engines())
        for _ in range(5):
            reply = await fleet.caller().ask("/stream/x", "POST", body=b"p", headers=STREAM)
            assert reply.status == 200
        times = fleet.instances[0].capacity.service_times("model")
        assert times.is_known
        # Five events of one token each, 5 ms apart.
        assert 0.004 < times.token_s < 0.02
