"""Tests of the admission control of plain calls in complete instances, over real connections."""

import msgspec
import pytest
import trio

from cleatlink.relay.peers.messages import encode
from cleatlink.relay.peers.plain_call_channel import PlainCallChannel
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.plain_load import CallOutcome
from standins.relay import Worker
from standins.relay.example_fleet import runs, start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.raw_client import Reply

# Virtual time: the tests check waits of the program, whatever else the machine runs.
pytestmark = pytest.mark.virtual_time

# Number of callers, the pause between two calls of one caller in seconds, and calls per caller.
CALLERS, PAUSE_S, CALLS_PER_CALLER = 20, 0.05, 12


async def flood(fleet: Fleet, path: str, instance: int = 0) -> dict[str, Reply]:
    """Send far more calls than a worker with two slots can serve, and return the answers."""
    replies: dict[str, Reply] = {}

    async def send(name: str) -> None:
        caller = fleet.caller(instance)
        headers = {"Attempt-Id": name}
        replies[name] = await caller.ask(path + name, "POST", body=name.encode(), headers=headers)

    async with trio.open_nursery() as nursery:
        for number in range(CALLERS * CALLS_PER_CALLER):
            nursery.start_soon(send, f"call-{number}")
            await trio.sleep(PAUSE_S / CALLERS)
    return replies


async def test_overloaded_service_refuses_calls_with_a_spread_retry_after() -> None:
    """Refused unsafe calls never ran, and admitted ones ran exactly once."""
    async with open_fleet() as fleet:
        worker = Worker("plain", slots=2)
        worker.run_duration_s = 0.1
        await start(fleet, worker)
        replies = await flood(fleet, "/unsafe/")
        refused = {name: reply for name, reply in replies.items() if reply.status == 503}
        assert refused
        assert {reply.status for reply in replies.values()} == {200, 503}
        for name, reply in replies.items():
            assert runs(fleet, name) == (reply.status == 200)
        times = [float(reply.headers["retry-after"]) for reply in refused.values()]
        assert all(0.25 <= seconds <= 3.01 for seconds in times)
        assert len(set(times)) >= 20, "too many callers would retry at the same moment"
        await trio.sleep(1.2)
        assert (await fleet.caller().ask("/unsafe/again", "POST", body=b"b")).status == 200


async def test_peers_learn_of_the_load_and_refuse_calls_too() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain", slots=2)
        worker.run_duration_s = 0.1
        await start(fleet, worker)
        second = fleet.start_instance()
        await fleet.wait_ready()
        await trio.sleep(0.3)
        statuses: list[int] = []

        async def call_second_instance() -> None:
            for number in range(40):
                reply = await fleet.caller(1).ask(f"/safe/{number}")
                statuses.append(reply.status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_second_instance)
            await flood(fleet, "/unsafe/")
            endpoint_load = second.capacity.plain_load.endpoint_load(
                worker.name, trio.current_time()
            )
        assert endpoint_load.running > 2
        assert 503 in statuses


async def test_update_message_is_small_and_contains_only_changes() -> None:
    capacity = Capacity(now=trio.current_time())
    channel = PlainCallChannel("front-a-1", 1, capacity)
    for number in range(30):
        now = trio.current_time()
        incarnation = f"i-{number:010x}"
        capacity.plain_load.note_arrival(f"service-{number}", 1, now)
        capacity.plain_load.call_started(incarnation, now)
        capacity.plain_load.call_ended(incarnation, CallOutcome.COMPLETED, now)
        capacity.expected_plain_retries.note_own_refusal(b"%08d" % number, now + 5)
    incarnations, services, expected_retries = set(), set(), set()
    for _ in range(5):
        (message,) = await channel.next_messages()
        assert len(encode(message)) < 500
        incarnations |= {item[0] for item in message.endpoint_totals}
        services |= {item[0] for item in message.arrivals}
        expected_retries |= {item[0] for item in message.expected_retries}
    assert (len(incarnations), len(services), len(expected_retries)) == (30, 30, 30)
    with trio.move_on_after(0.8) as scope:
        await channel.next_messages()
    assert scope.cancelled_caught, "a message was sent although nothing had changed"
    idle_channel = PlainCallChannel("front-a-2", 1, Capacity(now=trio.current_time()))
    assert idle_channel.initial_messages() == []
    assert msgspec.msgpack.decode(encode(channel.initial_messages()[0]))[0] == "f"
