"""What a stopping instance takes, and that it finishes it.

Streams were cut off by planned stops although the instance had taken them after the stop
began. It took whatever came in the first 3.2 s of a grace of 8 s and never asked how long
an answer would last; one that arrived 3.17 s after the signal and needed more than 4.3 s
was cut off 7.5 s after it, with its engine at work, and the log called it a caller that
left:

    {"age_ms":6020,"sends":1,"message_type":"relay: lost its caller"}
    {"age_ms":4335,"sends":1,"message_type":"relay: lost its caller"}

On eight instances that were stopped in series, 27 requests were cut off in 21 stops, 14 of
them taken after the signal.
"""

import trio

from standins.relay import Worker
from standins.relay.client import Caller, Reply
from standins.relay.example import STREAM, engines, runs, start
from standins.relay.fleet import Fleet, open_fleet

# Callers that would wait for any of these answers.
_PATIENT = {**STREAM, "Token-Counts": "100,20", "Deadline-Milliseconds": "9000"}
# Answers of 20 events and 1.5 s, and a grace of 4 s, of which the exit needs 0.5 s.
_EVENTS = 20
_EVENT_S = 0.075
_GRACE_S = 4.0
_PAUSE_S = 0.2


async def _start(fleet: Fleet) -> None:
    """Start an instance with a prefill and two decodes, and long answers."""
    prefill, first, second = engines()
    for decode in (first, second):
        decode.events, decode.event_s = _EVENTS, _EVENT_S
    fleet.drain_s = _GRACE_S
    # Connections stay open until the process is gone.
    fleet.limits["idle_timeout_ms"] = 9000
    await start(fleet, prefill, first, second, Worker("plain"))
    for route in fleet.routes:
        route["timeout_ms"] = 9000
    version = fleet.configure()
    await fleet.until(lambda: fleet.instances[0].records.table_revision == version)


async def _learn_the_pace(fleet: Fleet) -> None:
    """Have the instance serve a few streams."""
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(_ask, fleet.caller(), {})
            await trio.sleep(0.05)


async def _open_callers(fleet: Fleet, count: int) -> list[Caller]:
    """Give callers whose connections are open before the stop begins."""
    callers = [fleet.caller() for _ in range(count)]
    for caller in callers:
        await caller.open()
    return callers


async def _ask(caller: Caller, replies: dict[str, Reply]) -> None:
    """Ask for a stream and note what came of it."""
    name = await caller.send("/stream/x", "POST", body=b"p", headers=_PATIENT)
    replies[name] = await caller.receive()


async def test_whatever_a_stopping_instance_takes_it_finishes() -> None:
    async with open_fleet() as fleet:
        await _start(fleet)
        await _learn_the_pace(fleet)
        callers = await _open_callers(fleet, 16)
        replies: dict[str, Reply] = {}
        async with trio.open_nursery() as nursery:
            fleet.stops[0].set()
            for caller in callers:
                nursery.start_soon(_ask, caller, replies)
                await trio.sleep(_PAUSE_S)
        cut = [name for name, reply in replies.items() if reply.status == 200 and not reply.whole]
        assert cut == []
        served = [name for name, reply in replies.items() if reply.status == 200]
        refused = [name for name, reply in replies.items() if reply.status == 503]
        # The first ones had more than twice the time that they needed.
        assert len(served) >= 2
        assert len(served) + len(refused) == len(callers)
        # Refused at once means: not run, and welcome at another instance now.
        assert [runs(fleet, name) for name in refused] == [0] * len(refused)
        assert {replies[name].headers["retry-after"] for name in refused} == {"0.00"}
        assert {replies[name].headers["connection"] for name in refused} == {"close"}
