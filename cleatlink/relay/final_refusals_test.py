"""Test final answers to callers (401, 404, 413, 431) while route tables change."""

from collections.abc import Iterator
from typing import Any

import eliot
import pytest
import trio

from cleatlink.relay.instance import RelayInstance
from cleatlink.routing.buffered_bytes import BufferKind
from standins.relay import Worker
from standins.relay.example_fleet import STREAM, start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.raw_client import Caller
from standins.relay.store import StoreMode

pytestmark = pytest.mark.virtual_time

BODY = b"body"
KEY = {"Authorization": "Bearer k-new"}
# Revision of a route table that the store never holds.
MISSING_REVISION = 99


@pytest.fixture
def wait_lines() -> Iterator[list[dict[str, Any]]]:
    """Collect the log lines of requests that waited for a newer table."""
    lines: list[dict[str, Any]] = []

    def collect(line: dict[str, Any]) -> None:
        if line.get("message_type") == "relay: held a request for a newer route table":
            lines.append(line)

    eliot.add_destinations(collect)
    yield lines
    eliot.remove_destination(collect)


def report_newer_table(instance: RelayInstance, revision: int = MISSING_REVISION) -> None:
    """Report a newer route table than its own to an instance."""
    instance._follower.note_peer_table(revision, "n2")


def buffered_body_bytes(instance: RelayInstance) -> int:
    """Return the bytes of request bodies that an instance has in memory."""
    return instance._caller_memory.buffered(BufferKind.REQUEST_BODIES)


def organisations(*keys: str) -> list[dict[str, object]]:
    """Return the settings of one organisation with the given API keys."""
    return [{"name": "first", "api_keys": list(keys)}]


async def send_head(caller: Caller, path: str) -> None:
    """Send the head of a request, without its body."""
    await caller.send(path, "PUT", more=(f"Content-Length: {len(BODY)}",))


async def send_body(caller: Caller) -> None:
    """Send the body for a head that was sent before."""
    assert caller._stream is not None
    await caller._stream.send_all(BODY)


async def add_new_route(fleet: Fleet) -> None:
    """Publish a table with a new route, and wait until it is in force."""
    fleet.add_route("/new/", "unsafe", "plain")
    await publish(fleet)


async def publish(fleet: Fleet) -> None:
    """Publish the routes, and wait until they are in force."""
    revision = fleet.configure()
    await fleet.wait_until(lambda: fleet.instances[0].records.table_revision == revision)


async def test_request_with_dropped_body_is_never_forwarded() -> None:
    """Guards against sending an empty body after a route was added between head and body."""
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        caller = fleet.caller()
        await send_head(caller, "/new/x")
        await trio.sleep(0.1)
        await add_new_route(fleet)
        await send_body(caller)
        reply = await caller.receive()
        assert not worker.arrivals
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0.0
        again = await caller.ask("/new/x", "PUT", body=BODY)
        assert again.status == 200
        assert [call.body for call in worker.arrivals] == [BODY]


async def test_route_added_during_wait_serves_whole_body(
    wait_lines: list[dict[str, Any]],
) -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        instance, caller = fleet.instances[0], fleet.caller()
        report_newer_table(instance)
        request = await caller.send("/new/x", "PUT", body=BODY)
        await trio.sleep(0.1)
        assert buffered_body_bytes(instance) == len(BODY)
        await add_new_route(fleet)
        reply = await caller.receive()
        assert (reply.status, reply.is_complete) == (200, True)
        assert [call.body for call in worker.arrivals] == [BODY]
        await trio.sleep(0.05)
        assert buffered_body_bytes(instance) == 0
        assert [(line["request"], line["outcome"]) for line in wait_lines] == [(request, "found")]
        assert wait_lines[0]["newest"] == MISSING_REVISION
        assert 100 <= wait_lines[0]["waited_ms"] < 300


async def test_body_received_after_new_table_is_forwarded() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        report_newer_table(fleet.instances[0])
        caller = fleet.caller()
        await send_head(caller, "/new/x")
        await trio.sleep(0.1)
        await add_new_route(fleet)
        await send_body(caller)
        assert (await caller.receive()).status == 200
        assert [call.body for call in worker.arrivals] == [BODY]


async def test_key_added_during_wait_is_accepted() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        fleet.organisations = organisations("k-old")
        await start(fleet, worker)
        report_newer_table(fleet.instances[0])
        caller = fleet.caller()
        await caller.send("/safe/x", "PUT", body=BODY, headers=KEY)
        await trio.sleep(0.1)
        fleet.organisations = organisations("k-old", "k-new")
        await publish(fleet)
        assert (await caller.receive()).status == 200
        assert [call.headers.get("tenant") for call in worker.arrivals] == ["first"]
        assert [call.body for call in worker.arrivals] == [BODY]


async def test_key_of_organisation_added_during_wait_is_not_forwarded() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        report_newer_table(fleet.instances[0])
        caller = fleet.caller()
        await caller.send("/new/x", "PUT", body=BODY, headers=KEY)
        await trio.sleep(0.1)
        fleet.organisations = organisations("k-new")
        await add_new_route(fleet)
        assert (await caller.receive()).status == 200
        assert "authorization" not in worker.arrivals[0].headers


async def test_unknown_key_gets_no_final_refusal_from_outdated_table() -> None:
    async with open_fleet() as fleet:
        fleet.organisations = organisations("k-old")
        await start(fleet, Worker("plain"))
        report_newer_table(fleet.instances[0])
        reply = await fleet.caller().ask("/safe/x", headers=KEY)
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0.0
        assert "www-authenticate" not in reply.headers


async def test_wait_is_limited_by_share_of_deadline_and_half_a_second(
    wait_lines: list[dict[str, Any]],
) -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        report_newer_table(fleet.instances[0])
        for deadline_ms, min_ms, max_ms in ((400, 100, 150), (60_000, 500, 600)):
            headers = {"Deadline-Milliseconds": str(deadline_ms)}
            reply = await fleet.caller().ask("/new/x", headers=headers)
            assert reply.status == 503
            assert min_ms <= wait_lines[-1]["waited_ms"] <= max_ms
            assert wait_lines[-1]["outcome"] == "not_ready"


async def test_wait_ends_when_caller_disconnects(wait_lines: list[dict[str, Any]]) -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        instance, caller = fleet.instances[0], fleet.caller()
        report_newer_table(instance)
        await caller.send("/new/x", "PUT", body=BODY)
        await trio.sleep(0.1)
        assert instance.service.in_flight == 1
        caller.close()
        await trio.sleep(0.1)
        assert (instance.service.in_flight, buffered_body_bytes(instance)) == (0, 0)
        assert [line["outcome"] for line in wait_lines] == ["caller_left"]
        await add_new_route(fleet)
        assert not worker.arrivals


async def test_wait_ends_on_planned_stop(wait_lines: list[dict[str, Any]]) -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        report_newer_table(fleet.instances[0])
        waiting = fleet.caller()
        await waiting.send("/new/x", "PUT", body=BODY)
        await trio.sleep(0.1)
        fleet.stop_events[0].set()
        with trio.fail_after(0.1):
            reply = await waiting.receive()
        assert (reply.status, reply.is_complete) == (503, True)
        assert b'"stopping"' in reply.body
        assert [line["outcome"] for line in wait_lines] == ["stopping"]


async def test_newest_table_without_route_refuses_waiting_request_finally(
    wait_lines: list[dict[str, Any]],
) -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        instance, caller = fleet.instances[0], fleet.caller()
        report_newer_table(instance, instance.records.table_revision + 2)
        await caller.send("/new/x", "PUT", body=BODY)
        await trio.sleep(0.1)
        await publish(fleet)
        with trio.fail_after(0.1):
            assert (await caller.receive()).status == 404
        assert [line["outcome"] for line in wait_lines] == ["not_found"]


async def test_current_table_refuses_finally_without_wait(wait_lines: list[dict[str, Any]]) -> None:
    async with open_fleet() as fleet:
        fleet.organisations = organisations("k-old")
        await start(fleet, Worker("plain"))
        with trio.fail_after(0.1):
            assert (await fleet.caller().ask("/new/x")).status == 404
            assert (await fleet.caller().ask("/safe/x", headers=KEY)).status == 401
        assert not wait_lines


async def test_request_with_known_route_does_not_wait_for_newer_table() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        report_newer_table(fleet.instances[0])
        with trio.fail_after(0.3):
            assert (await fleet.caller().ask("/safe/x")).status == 200


async def test_size_limits_of_outdated_table_give_retryable_refusals() -> None:
    async with open_fleet() as fleet:
        fleet.limits["max_body_bytes"] = 10
        await start(fleet, Worker("plain"))
        long_body, long_head = bytes(11), {"X-Long": 20_000 * "x"}
        assert (await fleet.caller().ask("/safe/x", "PUT", body=long_body)).status == 413
        assert (await fleet.caller().ask("/safe/x", headers=long_head)).status == 431
        report_newer_table(fleet.instances[0])
        replies = [
            await fleet.caller().ask("/safe/x", "PUT", body=long_body),
            await fleet.caller().ask("/safe/x", headers=long_head),
        ]
        assert [reply.status for reply in replies] == [503, 503]
        assert all(float(reply.headers["retry-after"]) > 0.0 for reply in replies)


async def test_waiting_call_whose_key_outdated_table_removed_gets_503() -> None:
    async with open_fleet() as fleet:
        fleet.organisations = organisations("k-new")
        decode = Worker("model", "decode")
        decode.events, decode.event_interval_s = 24, 0.05
        await start(fleet, Worker("model", "prefill"), decode)
        fleet.configure({"slots": 1})
        await trio.sleep(0.3)
        running, waiting = fleet.caller(), fleet.caller()
        long_deadline = {**STREAM, **KEY, "Deadline-Milliseconds": "9000"}
        await running.send("/stream/x", "POST", headers=long_deadline)
        await trio.sleep(0.3)
        await waiting.send("/stream/y", "POST", headers=long_deadline)
        await fleet.wait_until(
            lambda: fleet.instances[0].service.decode_admission.waiting_count == 1
        )
        report_newer_table(fleet.instances[0])
        fleet.organisations = organisations("k-old")
        fleet.configure({"slots": 1})
        with trio.fail_after(1.5):
            assert (await waiting.receive()).status == 503


@pytest.mark.parametrize("mode", [StoreMode.BUSY, StoreMode.SILENT, StoreMode.RESET])
async def test_no_final_refusal_while_no_instance_reaches_service(mode: StoreMode) -> None:
    """Guards against final refusals of routes and keys added while the service was unreachable."""
    async with open_fleet() as fleet:
        fleet.organisations = organisations("k-old")
        await start(fleet, Worker("plain"))
        fleet.start_instance()
        await fleet.wait_ready()
        fleet.store.mode = mode
        await trio.sleep(8.0)
        for number in (0, 1):
            with trio.fail_after(0.1):
                unrouted = await fleet.caller(number).ask("/new/x")
                unknown = await fleet.caller(number).ask("/safe/x", headers=KEY)
            assert [reply.status for reply in (unrouted, unknown)] == [503, 503]
            assert float(unrouted.headers["retry-after"]) > 0.0
        served = await fleet.caller().ask("/safe/x", headers={"Authorization": "Bearer k-old"})
        assert served.status == 200
        fleet.store.mode = StoreMode.UP
        await trio.sleep(4.0)
        assert (await fleet.caller(1).ask("/new/x")).status == 404


async def test_no_final_refusal_with_table_received_only_from_peer() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.store.mode = StoreMode.RESET
        await trio.sleep(2.0)
        fleet.start_instance()
        await fleet.wait_until(lambda: fleet.instances[1].ready)
        assert (await fleet.caller(1).ask("/safe/x")).status == 200
        assert (await fleet.caller(1).ask("/new/x")).status == 503


async def test_peer_in_contact_with_service_allows_final_refusal() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.start_instance()
        await fleet.wait_ready()
        fleet.refuse_store_access(1)
        await trio.sleep(8.0)
        assert (await fleet.caller(1).ask("/new/x")).status == 404


async def test_final_refusals_continue_across_long_polls() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        caller = fleet.caller()
        for _ in range(60):
            await trio.sleep(0.5)
            assert (await caller.ask("/new/x")).status == 404
