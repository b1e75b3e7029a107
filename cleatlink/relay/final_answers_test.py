"""Answers that callers take as final, while route tables change."""

from collections.abc import Iterator
from typing import Any

import eliot
import pytest
import trio

from cleatlink.relay.instance import RelayInstance
from cleatlink.routing.held_bytes import HeldKind
from standins.relay import Worker
from standins.relay.client import Caller
from standins.relay.example import STREAM, start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.store import StoreMode

pytestmark = pytest.mark.virtual_time

BODY = b"body"
KEY = {"Authorization": "Bearer k-new"}
# A table that never comes.
FAR_TABLE = 99


@pytest.fixture
def waits() -> Iterator[list[dict[str, Any]]]:
    """Log lines of requests that waited for a newer table."""
    found: list[dict[str, Any]] = []

    def take(line: dict[str, Any]) -> None:
        if line.get("message_type") == "relay: waited for a newer route table":
            found.append(line)

    eliot.add_destinations(take)
    yield found
    eliot.remove_destination(take)


def put_behind(instance: RelayInstance, revision: int = FAR_TABLE) -> None:
    """Have an instance hear of a newer table than its own."""
    instance._follower.note_table(revision, "n2")


def held_bodies(instance: RelayInstance) -> int:
    """Give the bytes of bodies that an instance holds."""
    return instance._held.held(HeldKind.REQUEST_BODIES)


def organisations(*keys: str) -> list[dict[str, object]]:
    """Make one organisation."""
    return [{"name": "first", "api_keys": list(keys)}]


async def send_head(caller: Caller, path: str) -> None:
    """Send the head of a request whose body is still to come."""
    await caller.send(path, "PUT", more=(f"Content-Length: {len(BODY)}",))


async def send_body(caller: Caller) -> None:
    """Send the body that was announced."""
    assert caller._stream is not None
    await caller._stream.send_all(BODY)


async def add_new_route(fleet: Fleet) -> None:
    """Publish a table with a new route, and wait until it is in force."""
    fleet.add_route("/new/", "unsafe", "plain")
    await publish(fleet)


async def publish(fleet: Fleet) -> None:
    """Publish the routes, and wait until they are in force."""
    revision = fleet.configure()
    await fleet.until(lambda: fleet.instances[0].records.table_revision == revision)


async def test_request_whose_body_was_dropped_is_never_sent_on() -> None:
    """A route that came between head and body had the request sent with an empty body."""
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


async def test_route_that_comes_during_the_wait_is_served_with_the_whole_body(
    waits: list[dict[str, Any]],
) -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        instance, caller = fleet.instances[0], fleet.caller()
        put_behind(instance)
        request = await caller.send("/new/x", "PUT", body=BODY)
        await trio.sleep(0.1)
        assert held_bodies(instance) == len(BODY)
        await add_new_route(fleet)
        reply = await caller.receive()
        assert (reply.status, reply.whole) == (200, True)
        assert [call.body for call in worker.arrivals] == [BODY]
        await trio.sleep(0.05)
        assert held_bodies(instance) == 0
        assert [(line["request"], line["outcome"]) for line in waits] == [(request, "found")]
        assert waits[0]["newest"] == FAR_TABLE
        assert 100 <= waits[0]["waited_ms"] < 300


async def test_body_that_comes_after_the_table_is_kept_while_behind() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        put_behind(fleet.instances[0])
        caller = fleet.caller()
        await send_head(caller, "/new/x")
        await trio.sleep(0.1)
        await add_new_route(fleet)
        await send_body(caller)
        assert (await caller.receive()).status == 200
        assert [call.body for call in worker.arrivals] == [BODY]


async def test_key_that_comes_during_the_wait_is_served() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        fleet.organisations = organisations("k-old")
        await start(fleet, worker)
        put_behind(fleet.instances[0])
        caller = fleet.caller()
        await caller.send("/safe/x", "PUT", body=BODY, headers=KEY)
        await trio.sleep(0.1)
        fleet.organisations = organisations("k-old", "k-new")
        await publish(fleet)
        assert (await caller.receive()).status == 200
        assert [call.headers.get("tenant") for call in worker.arrivals] == ["first"]
        assert [call.body for call in worker.arrivals] == [BODY]


async def test_key_that_became_the_fleets_during_the_wait_is_not_passed_on() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        put_behind(fleet.instances[0])
        caller = fleet.caller()
        await caller.send("/new/x", "PUT", body=BODY, headers=KEY)
        await trio.sleep(0.1)
        fleet.organisations = organisations("k-new")
        await add_new_route(fleet)
        assert (await caller.receive()).status == 200
        assert "authorization" not in worker.arrivals[0].headers


async def test_unknown_key_is_not_denied_while_behind() -> None:
    async with open_fleet() as fleet:
        fleet.organisations = organisations("k-old")
        await start(fleet, Worker("plain"))
        put_behind(fleet.instances[0])
        reply = await fleet.caller().ask("/safe/x", headers=KEY)
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0.0
        assert "www-authenticate" not in reply.headers


async def test_wait_is_a_share_of_the_callers_time_and_half_a_second_at_the_most(
    waits: list[dict[str, Any]],
) -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        put_behind(fleet.instances[0])
        for deadline_ms, least_ms, most_ms in ((400, 100, 150), (60_000, 500, 600)):
            headers = {"Deadline-Milliseconds": str(deadline_ms)}
            reply = await fleet.caller().ask("/new/x", headers=headers)
            assert reply.status == 503
            assert least_ms <= waits[-1]["waited_ms"] <= most_ms
            assert waits[-1]["outcome"] == "not_ready"


async def test_caller_that_leaves_ends_its_wait(waits: list[dict[str, Any]]) -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        instance, caller = fleet.instances[0], fleet.caller()
        put_behind(instance)
        await caller.send("/new/x", "PUT", body=BODY)
        await trio.sleep(0.1)
        assert instance.service.in_flight == 1
        caller.close()
        await trio.sleep(0.1)
        assert (instance.service.in_flight, held_bodies(instance)) == (0, 0)
        assert [line["outcome"] for line in waits] == ["caller_left"]
        await add_new_route(fleet)
        assert not worker.arrivals


async def test_planned_stop_ends_a_wait(waits: list[dict[str, Any]]) -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        put_behind(fleet.instances[0])
        waiting = fleet.caller()
        await waiting.send("/new/x", "PUT", body=BODY)
        await trio.sleep(0.1)
        fleet.stops[0].set()
        with trio.fail_after(0.1):
            reply = await waiting.receive()
        assert (reply.status, reply.whole) == (503, True)
        assert b'"stopping"' in reply.body
        assert [line["outcome"] for line in waits] == ["stopping"]


async def test_table_without_the_route_denies_the_request_as_it_comes(
    waits: list[dict[str, Any]],
) -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        instance, caller = fleet.instances[0], fleet.caller()
        put_behind(instance, instance.records.table_revision + 2)
        await caller.send("/new/x", "PUT", body=BODY)
        await trio.sleep(0.1)
        await publish(fleet)
        with trio.fail_after(0.1):
            assert (await caller.receive()).status == 404
        assert [line["outcome"] for line in waits] == ["not_found"]


async def test_current_table_denies_at_once(waits: list[dict[str, Any]]) -> None:
    async with open_fleet() as fleet:
        fleet.organisations = organisations("k-old")
        await start(fleet, Worker("plain"))
        with trio.fail_after(0.1):
            assert (await fleet.caller().ask("/new/x")).status == 404
            assert (await fleet.caller().ask("/safe/x", headers=KEY)).status == 401
        assert not waits


async def test_request_with_a_route_does_not_wait_while_behind() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        put_behind(fleet.instances[0])
        with trio.fail_after(0.3):
            assert (await fleet.caller().ask("/safe/x")).status == 200


async def test_limits_of_an_old_table_deny_nothing_finally() -> None:
    async with open_fleet() as fleet:
        fleet.limits["max_body_bytes"] = 10
        await start(fleet, Worker("plain"))
        long_body, long_head = bytes(11), {"X-Long": 20_000 * "x"}
        assert (await fleet.caller().ask("/safe/x", "PUT", body=long_body)).status == 413
        assert (await fleet.caller().ask("/safe/x", headers=long_head)).status == 431
        put_behind(fleet.instances[0])
        replies = [
            await fleet.caller().ask("/safe/x", "PUT", body=long_body),
            await fleet.caller().ask("/safe/x", headers=long_head),
        ]
        assert [reply.status for reply in replies] == [503, 503]
        assert all(float(reply.headers["retry-after"]) > 0.0 for reply in replies)


async def test_call_whose_key_an_old_table_took_away_is_not_denied_finally() -> None:
    async with open_fleet() as fleet:
        fleet.organisations = organisations("k-new")
        decode = Worker("model", "decode")
        decode.events, decode.event_s = 24, 0.05
        await start(fleet, Worker("model", "prefill"), decode)
        fleet.configure({"slots": 1})
        await trio.sleep(0.3)
        running, waiting = fleet.caller(), fleet.caller()
        patient = {**STREAM, **KEY, "Deadline-Milliseconds": "9000"}
        await running.send("/stream/x", "POST", headers=patient)
        await trio.sleep(0.3)
        await waiting.send("/stream/y", "POST", headers=patient)
        await fleet.until(lambda: fleet.instances[0].service.room.waiting == 1)
        put_behind(fleet.instances[0])
        fleet.organisations = organisations("k-old")
        fleet.configure({"slots": 1})
        with trio.fail_after(1.5):
            assert (await waiting.receive()).status == 503


@pytest.mark.parametrize("mode", [StoreMode.BUSY, StoreMode.SILENT, StoreMode.RESET])
async def test_nothing_is_denied_finally_while_nobody_hears_the_service(mode: StoreMode) -> None:
    """Routes and keys that came while the service was out of reach were denied."""
    async with open_fleet() as fleet:
        fleet.organisations = organisations("k-old")
        await start(fleet, Worker("plain"))
        fleet.start_instance()
        await fleet.ready()
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


async def test_instance_that_has_its_table_from_a_peer_alone_denies_nothing_finally() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.store.mode = StoreMode.RESET
        await trio.sleep(2.0)
        fleet.start_instance()
        await fleet.until(lambda: fleet.instances[1].ready)
        assert (await fleet.caller(1).ask("/safe/x")).status == 200
        assert (await fleet.caller(1).ask("/new/x")).status == 503


async def test_peer_that_the_service_answers_is_enough_to_deny() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.start_instance()
        await fleet.ready()
        fleet.turn_away(1)
        await trio.sleep(8.0)
        assert (await fleet.caller(1).ask("/new/x")).status == 404


async def test_usual_waits_for_changes_leave_no_gap() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        caller = fleet.caller()
        for _ in range(60):
            await trio.sleep(0.5)
            assert (await caller.ask("/new/x")).status == 404
