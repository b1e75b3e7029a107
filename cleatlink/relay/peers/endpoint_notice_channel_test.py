"""Tests that peers of an instance that gets an endpoint's notice avoid the endpoint as well."""

import random

import pytest
import trio

from cleatlink.relay.peers.endpoint_notice_channel import EndpointNoticeChannel
from cleatlink.relay.peers.messages import EndpointNoticeUpdate, decode_datagram, encode
from cleatlink.routing.notices import EndpointNotices, NoticeSource
from standins.relay import Worker
from standins.relay.example_fleet import start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time


def open_channel(name: str = "n1") -> tuple[EndpointNoticeChannel, EndpointNotices]:
    """Create the channel of one instance and its store of notices."""
    notices = EndpointNotices()
    return EndpointNoticeChannel(name, notices, random.Random(1)), notices


async def start_two_instances(fleet: Fleet, *workers: Worker) -> None:
    """Start two instances that receive each other's heartbeats."""
    await start(fleet, *workers)
    fleet.start_instance()
    await fleet.wait_ready()
    await fleet.wait_until(lambda: all(item._peers.live_instances == 2 for item in fleet.instances))


async def wait_until_reported(fleet: Fleet, worker: Worker) -> None:
    """Wait until the second instance knows that the endpoint asked the first to back off."""
    received = fleet.instances[1].capacity.notices
    await fleet.wait_until(
        lambda: received.is_in_peer_backoff(worker.name, trio.current_time()), 1.0
    )


async def test_shutdown_notice_is_shared_at_once_and_no_more_calls_are_sent() -> None:
    async with open_fleet() as fleet:
        leaving = Worker("plain")
        await start_two_instances(fleet, leaving, Worker("plain"))
        leaving.announces_leaving = True
        while not leaving.arrivals:
            await fleet.caller(0).ask("/safe/x")
        received = fleet.instances[1].capacity.notices
        await fleet.wait_until(lambda: received.is_leaving(leaving.name), 1.0)
        for _ in range(20):
            assert (await fleet.caller(1).ask("/safe/x")).status == 200
        assert len(leaving.arrivals) == 1


async def test_backoff_reported_to_one_instance_diverts_calls_of_its_peers() -> None:
    async with open_fleet() as fleet:
        backing_off = Worker("plain")
        await start_two_instances(fleet, backing_off, Worker("plain"))
        backing_off.rejects_work, backing_off.requested_backoff_s = True, 3.0
        while not backing_off.arrivals:
            await fleet.caller(0).ask("/safe/x")
        await wait_until_reported(fleet, backing_off)
        for _ in range(20):
            assert (await fleet.caller(1).ask("/safe/x")).status == 200
        assert len(backing_off.arrivals) == 1


async def test_peer_reported_backoff_is_ignored_without_another_endpoint() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start_two_instances(fleet, worker)
        worker.rejects_work, worker.requested_backoff_s = True, 3.0
        assert (await fleet.caller(0).ask("/safe/x")).status == 503
        await wait_until_reported(fleet, worker)
        worker.rejects_work = False
        assert (await fleet.caller(0).ask("/safe/x")).status == 503
        assert (await fleet.caller(1).ask("/safe/x")).status == 200


async def test_instance_that_starts_later_receives_shutdown_notices() -> None:
    async with open_fleet() as fleet:
        leaving = Worker("plain")
        await start(fleet, leaving, Worker("plain"))
        leaving.announces_leaving = True
        while not leaving.arrivals:
            await fleet.caller().ask("/safe/x")
        later = fleet.start_instance()
        await fleet.wait_ready()
        await fleet.wait_until(lambda: later.capacity.notices.is_leaving(leaving.name), 3.0)


async def test_lost_shutdown_notice_is_repeated() -> None:
    sender, recorded = open_channel()
    receiver, received = open_channel("n2")
    recorded.note_leaving("x", NoticeSource.ANSWER, trio.current_time())
    for update in sender.repeated_messages():
        assert receiver.record_notices(_encode_and_decode(update)) == ["x"]
        # A notice that is already known is not returned again.
        assert receiver.record_notices(_encode_and_decode(update)) == []
    assert received.is_leaving("x")


async def test_backoff_is_sent_once_for_many_answers() -> None:
    sender, recorded = open_channel()
    messages = 0
    for _ in range(20):
        recorded.note_backoff("x", 3.0, trio.current_time())
        sender.report_backoff("x")
        with trio.move_on_after(0.02):
            messages += len(await sender.next_messages())
    assert messages == 1


async def test_end_of_a_peer_reported_backoff_is_randomised() -> None:
    ends = set()
    for seed in range(20):
        notices = EndpointNotices()
        receiver = EndpointNoticeChannel("n", notices, random.Random(seed))
        receiver.record_notices(EndpointNoticeUpdate("n1", [], [("x", 1.0), ("y", -1.0)]))
        now = trio.current_time()
        assert notices.is_in_peer_backoff("x", now + 0.9)
        assert not notices.is_in_peer_backoff("x", now + 1.6)
        assert not notices.is_in_peer_backoff("y", now)
        ends.add(notices.is_in_peer_backoff("x", now + 1.25))
    assert ends == {True, False}


async def test_backoff_reported_by_a_peer_is_not_forwarded() -> None:
    receiver, notices = open_channel()
    receiver.record_notices(EndpointNoticeUpdate("n2", [], [("x", 3.0)]))
    notices.note_backoff("x", 3.0, trio.current_time())
    receiver.report_backoff("x")
    with trio.move_on_after(0.05) as scope:
        await receiver.next_messages()
    assert scope.cancelled_caught


async def test_messages_fit_into_a_datagram() -> None:
    sender, notices = open_channel()
    for number in range(2_000):
        incarnation = f"{number:04d}" + "x" * 196
        notices.note_leaving(incarnation, NoticeSource.ANSWER, float(number))
    for update in [*sender.initial_messages(), *sender.repeated_messages()]:
        assert len(encode(update)) < 60_000


def _encode_and_decode(update: EndpointNoticeUpdate) -> EndpointNoticeUpdate:
    message = decode_datagram(encode(update))
    assert isinstance(message, EndpointNoticeUpdate)
    return message
