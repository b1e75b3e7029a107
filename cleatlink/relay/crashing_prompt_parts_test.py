"""Test that a part of prompts which crashes engines is quarantined in the whole fleet.

Guards against this failure: requests that were all different had one part of their prompts in
common, and each crashed the engine that began its answer. Each was quarantined by itself, if at
all, so the next one went to the next engine: 25 engines crashed within 20 seconds.
"""

import itertools
import json
import random
from collections.abc import Callable
from typing import NamedTuple

import pytest
import trio

from standins.relay import Worker
from standins.relay.example_fleet import start
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.raw_client import Reply
from standins.relay.worker import prompt_parts

pytestmark = pytest.mark.virtual_time

_INSTANCES = 4
_DECODES = 6
# Crashed engines are back after this time, with another name.
_RESTART_S = 2.0
_BAD_INTERVAL_S = 0.3
_SOUND_INTERVAL_S = 0.1
_TRAFFIC_S = 14.0
# The bounds: requests that reach engines later than this after the fifth crash.
_CRASHES_BEFORE_BOUND = 5
_CONTACT_S = 3.0
_MAX_LATE_SENDS = 3
_MIN_SERVED_SHARE = 0.95
_LAST_S = 5.0
# Every route shares this first part; the sound requests have the companion, too.
_SHARED, _COMPANION = "5a5a5a5a", "c0c0c0c0"
_BAD, _SECOND_BAD = "badbad01", "badbad02"


class SentPrompt(NamedTuple):
    """A request that was answered.

    Attributes:
        sent_at: When it was sent.
        reply: The answer.
        is_bad: Whether its prompt contains a part that crashes engines.
    """

    sent_at: float
    reply: Reply
    is_bad: bool

    @property
    def is_served(self) -> bool:
        """Whether the answer is a complete success."""
        return self.reply.status == 200 and self.reply.is_complete


class PromptTraffic:
    """Sends requests through random instances, no two of them alike, and records the answers."""

    def __init__(self, fleet: Fleet, nursery: trio.Nursery) -> None:
        self.sent: list[SentPrompt] = []
        self._fleet = fleet
        self._nursery = nursery
        self._rng = random.Random(7)
        self._numbers = itertools.count(1)

    async def send_every(
        self, interval_s: float, make_parts: Callable[[random.Random], list[str]], *, is_bad: bool
    ) -> None:
        """Send a request every so many seconds, whether the last one was answered or not."""
        while True:
            self._nursery.start_soon(self._send, make_parts(self._rng), is_bad)
            await trio.sleep(interval_s)

    async def _send(self, parts: list[str], is_bad: bool) -> None:
        number = next(self._numbers)
        prompt = ",".join(f"{part}:20" for part in (*parts, f"{number:08x}"))
        headers = {"Token-Counts": "100,50", "Model": "m", "Prompt-Prefix": prompt}
        sent_at = trio.current_time()
        caller = self._fleet.caller(self._rng.randrange(_INSTANCES))
        try:
            reply = await caller.ask("/stream/x", "POST", body=b"%d" % number, headers=headers)
        except OSError:
            # The instance is down.
            return
        finally:
            caller.close()
        self.sent.append(SentPrompt(sent_at, reply, is_bad))

    def sound_share(self, since: float) -> float:
        """Return the served share of the sound requests that were sent after a time."""
        served = [item.is_served for item in self.sent if not item.is_bad and item.sent_at > since]
        assert len(served) > 20
        return sum(served) / len(served)


async def start_fleet(fleet: Fleet, *crash_parts: str) -> None:
    """Start instances, and engines that the given parts of prompts crash."""
    workers = [Worker("model", "prefill") for _ in range(2)]
    workers += [Worker("model", "decode") for _ in range(_DECODES)]
    for worker in workers:
        worker.crash_parts = frozenset(crash_parts)
        fleet.restart_after_crashes(worker, _RESTART_S)
    await start(fleet, *workers)
    for _ in range(_INSTANCES - 1):
        fleet.start_instance()
    await fleet.wait_ready()
    await fleet.wait_for_peers()


def sound_parts(rng: random.Random) -> list[str]:
    """Return the parts of a sound prompt without the last one."""
    return [_SHARED, *rng.sample([_COMPANION, "d1d1d1d1", "e2e2e2e2"], rng.randrange(3))]


def parts_with(bad: str) -> Callable[[random.Random], list[str]]:
    """Return a function that puts a part behind the shared one."""
    return lambda rng: [_SHARED, bad]


def parts_anywhere(rng: random.Random) -> list[str]:
    """Return parts with the bad one at a random place among parts of sound prompts."""
    parts = [_SHARED, _COMPANION, "d1d1d1d1"]
    rng.shuffle(parts)
    parts.insert(rng.randrange(4), _BAD)
    return parts


def parts_with_either(rng: random.Random) -> list[str]:
    """Return parts with one of two bad ones."""
    return [_SHARED, rng.choice((_BAD, _SECOND_BAD))]


def parts_with_rare_companion(rng: random.Random) -> list[str]:
    """Return parts of which two are in no sound prompt; one of these crashes engines."""
    return [_SHARED, "a7a7a7a7", _BAD]


def late_sends(fleet: Fleet, bad: str) -> int:
    """Count the requests with a part that reached engines too late after the fifth crash."""
    runs = sorted(
        run.began_at
        for worker in fleet.workers
        for run in worker.runs
        if bad in prompt_parts(run.call)[:-1]
    )
    assert runs
    bound = runs[:_CRASHES_BEFORE_BOUND][-1] + _CONTACT_S
    return sum(began_at > bound for began_at in runs)


_BAD_PROMPTS = {
    "second-of-three": (parts_with(_BAD), (_BAD,)),
    "rare-companion": (parts_with_rare_companion, (_BAD,)),
    "anywhere": (parts_anywhere, (_BAD,)),
    "either-of-two": (parts_with_either, (_BAD, _SECOND_BAD)),
}


async def run_traffic(
    fleet: Fleet, make_parts: Callable[[random.Random], list[str]]
) -> PromptTraffic:
    """Send sound and bad requests side by side."""
    async with trio.open_nursery() as nursery:
        traffic = PromptTraffic(fleet, nursery)
        nursery.start_soon(lambda: traffic.send_every(_SOUND_INTERVAL_S, sound_parts, is_bad=False))
        nursery.start_soon(lambda: traffic.send_every(_BAD_INTERVAL_S, make_parts, is_bad=True))
        await trio.sleep(_TRAFFIC_S)
        nursery.cancel_scope.cancel()
    return traffic


@pytest.mark.parametrize("kind", list(_BAD_PROMPTS))
async def test_prompt_part_that_crashes_engines_is_quarantined(kind: str) -> None:
    make_parts, bad_parts = _BAD_PROMPTS[kind]
    async with open_fleet() as fleet:
        await start_fleet(fleet, *bad_parts)
        traffic = await run_traffic(fleet, make_parts)
        for bad in bad_parts:
            assert late_sends(fleet, bad) <= _MAX_LATE_SENDS
        assert traffic.sound_share(trio.current_time() - _LAST_S) >= _MIN_SERVED_SHARE
        last = [item.reply for item in traffic.sent if item.is_bad][-10:]
        assert {reply.status for reply in last} == {503}
        errors = [json.loads(reply.body)["error"] for reply in last]
        assert {(error["code"], error["ran"]) for error in errors} == {("quarantined", "no")}


async def test_killed_instances_send_no_prompts_with_a_quarantined_part() -> None:
    """Guards against instances that start without the evidence that their peers have."""
    async with open_fleet() as fleet:
        await start_fleet(fleet, _BAD)
        async with trio.open_nursery() as nursery:
            traffic = PromptTraffic(fleet, nursery)
            nursery.start_soon(
                lambda: traffic.send_every(_SOUND_INTERVAL_S, sound_parts, is_bad=False)
            )
            nursery.start_soon(
                lambda: traffic.send_every(_BAD_INTERVAL_S, parts_with(_BAD), is_bad=True)
            )
            for _ in range(3):
                await trio.sleep(4.0)
                for index in (1, 2, 3):
                    fleet.kill_instance(index)
                await trio.sleep(0.5)
                for index in (1, 2, 3):
                    await fleet.restart_instance(index)
            await trio.sleep(_LAST_S)
            nursery.cancel_scope.cancel()
        assert late_sends(fleet, _BAD) <= _MAX_LATE_SENDS
        assert traffic.sound_share(trio.current_time() - _LAST_S) >= _MIN_SERVED_SHARE


async def test_prompt_parts_shared_by_all_are_not_quarantined_when_engines_crash_by_chance() -> (
    None
):
    async with open_fleet() as fleet:
        await start_fleet(fleet)
        rng = random.Random(11)
        async with trio.open_nursery() as nursery:
            traffic = PromptTraffic(fleet, nursery)
            for make_parts in (sound_parts, parts_with("f3f3f3f3")):
                nursery.start_soon(
                    lambda make_parts=make_parts: traffic.send_every(
                        _SOUND_INTERVAL_S, make_parts, is_bad=False
                    )
                )
            for _ in range(7):
                await trio.sleep(1.2)
                alive = [worker for worker in fleet.workers if not worker.crashed.is_set()]
                victim = rng.choice([worker for worker in alive if worker.stage == "decode"])
                victim.close()
                victim.crashed.set()
            await trio.sleep(_LAST_S)
            nursery.cancel_scope.cancel()
        assert traffic.sound_share(trio.current_time() - _LAST_S) >= _MIN_SERVED_SHARE
        assert not any(json_code(item.reply) == "quarantined" for item in traffic.sent)


def json_code(reply: Reply) -> str:
    """Return the code of an error answer; empty for other answers."""
    return str(json.loads(reply.body)["error"]["code"]) if reply.status >= 400 else ""
