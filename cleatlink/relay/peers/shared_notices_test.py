"""What an endpoint said to one instance keeps the others from being turned away first."""

import random

import pytest
import trio

from cleatlink.relay.peers.messages import NoticeNews, decode_datagram, encode
from cleatlink.relay.peers.shared_notices import SharedNotices
from cleatlink.routing.notices import EndpointNotices, NoticeSource
from standins.relay import Worker
from standins.relay.example import start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time


def shared(name: str = "n1") -> tuple[SharedNotices, EndpointNotices]:
    """Give one instance's side, and what it knows."""
    notices = EndpointNotices()
    return SharedNotices(name, notices, random.Random(1)), notices


async def start_two(fleet: Fleet, *workers: Worker) -> None:
    """Start two instances that hear each other."""
    await start(fleet, *workers)
    fleet.start_instance()
    await fleet.ready()
    await fleet.until(lambda: all(item._peers.alive == 2 for item in fleet.instances))


async def until_told(fleet: Fleet, worker: Worker) -> None:
    """Wait until the second instance knows that the first was asked for a rest."""
    heard = fleet.instances[1].capacity.notices
    await fleet.until(lambda: heard.is_told_to_rest(worker.name, trio.current_time()), 1.0)


async def test_leaving_is_told_at_once_and_nothing_follows() -> None:
    async with open_fleet() as fleet:
        leaving = Worker("plain")
        await start_two(fleet, leaving, Worker("plain"))
        leaving.says_leaving = True
        while not leaving.arrivals:
            await fleet.caller(0).ask("/safe/x")
        heard = fleet.instances[1].capacity.notices
        await fleet.until(lambda: heard.is_leaving(leaving.name), 1.0)
        for _ in range(20):
            assert (await fleet.caller(1).ask("/safe/x")).status == 200
        assert len(leaving.arrivals) == 1


async def test_rest_asked_of_one_sends_the_others_elsewhere() -> None:
    async with open_fleet() as fleet:
        resting = Worker("plain")
        await start_two(fleet, resting, Worker("plain"))
        resting.sheds, resting.asks_rest_s = True, 3.0
        while not resting.arrivals:
            await fleet.caller(0).ask("/safe/x")
        await until_told(fleet, resting)
        for _ in range(20):
            assert (await fleet.caller(1).ask("/safe/x")).status == 200
        assert len(resting.arrivals) == 1


async def test_rest_asked_of_one_does_not_bind_another_that_has_no_other_place() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start_two(fleet, worker)
        worker.sheds, worker.asks_rest_s = True, 3.0
        assert (await fleet.caller(0).ask("/safe/x")).status == 503
        await until_told(fleet, worker)
        worker.sheds = False
        assert (await fleet.caller(0).ask("/safe/x")).status == 503
        assert (await fleet.caller(1).ask("/safe/x")).status == 200


async def test_instance_that_starts_later_is_told() -> None:
    async with open_fleet() as fleet:
        leaving = Worker("plain")
        await start(fleet, leaving, Worker("plain"))
        leaving.says_leaving = True
        while not leaving.arrivals:
            await fleet.caller().ask("/safe/x")
        later = fleet.start_instance()
        await fleet.ready()
        await fleet.until(lambda: later.capacity.notices.is_leaving(leaving.name), 3.0)


async def test_word_that_was_lost_is_repeated() -> None:
    teller, said = shared()
    hearer, heard = shared("n2")
    said.note_leaving("x", NoticeSource.ANSWER, trio.current_time())
    for news in teller.repeat():
        assert hearer.take(_over_the_wire(news)) == ["x"]
        # What is known already is no news.
        assert hearer.take(_over_the_wire(news)) == []
    assert heard.is_leaving("x")


async def test_rest_is_told_once_however_many_answers_ask_for_it() -> None:
    teller, said = shared()
    messages = 0
    for _ in range(20):
        said.note_rest("x", 3.0, trio.current_time())
        teller.tell_rest("x")
        with trio.move_on_after(0.02):
            messages += len(await teller.next())
    assert messages == 1


async def test_end_of_a_rest_that_was_told_is_spread() -> None:
    ends = set()
    for seed in range(20):
        notices = EndpointNotices()
        hearer = SharedNotices("n", notices, random.Random(seed))
        hearer.take(NoticeNews("n1", [], [("x", 1.0), ("y", -1.0)]))
        now = trio.current_time()
        assert notices.is_told_to_rest("x", now + 0.9)
        assert not notices.is_told_to_rest("x", now + 1.6)
        assert not notices.is_told_to_rest("y", now)
        ends.add(notices.is_told_to_rest("x", now + 1.25))
    assert ends == {True, False}


async def test_rest_that_was_told_is_not_told_further() -> None:
    hearer, notices = shared()
    hearer.take(NoticeNews("n2", [], [("x", 3.0)]))
    notices.note_rest("x", 3.0, trio.current_time())
    hearer.tell_rest("x")
    with trio.move_on_after(0.05) as scope:
        await hearer.next()
    assert scope.cancelled_caught


async def test_message_holds_no_more_than_a_datagram() -> None:
    teller, notices = shared()
    for number in range(2_000):
        life = f"{number:04d}" + "x" * 196
        notices.note_leaving(life, NoticeSource.ANSWER, float(number))
    for news in [*teller.introduction(), *teller.repeat()]:
        assert len(encode(news)) < 60_000


def _over_the_wire(news: NoticeNews) -> NoticeNews:
    message = decode_datagram(encode(news))
    assert isinstance(message, NoticeNews)
    return message
