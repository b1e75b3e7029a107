"""Streams whose engine is silent for a while, and then goes on.

A resumable stream was broken off in a stopping instance six seconds before its time was
over, with its engine at work. After a pause the instance gave the engine up first, closed
its connection, and only then looked for another; there was none with room:

    {"error":"TooSlowError()","message_type":"relay: failed at an endpoint"}
    {"waiting":0,"message_type":"relay: has no room"}
    {"message_type":"relay: breaks its answer off"}

It is no matter of stops: any pause did this while the other engines were full.
"""


from standins.relay import Worker
from standins.relay.client import Reply
from standins.relay.example import STREAM, engines, start
from standins.relay.fleet import Fleet, open_fleet

# The route's longest pause of 100 ms makes half a second of silence too long.
_SILENCE_S = 0.5


async def _start(fleet: Fleet, *workers: Worker) -> None:
    """Start an instance with a resumable route that is quick to lose patience."""
    await start(fleet, *workers)
    fleet.add_route(
        "/quick/",
        "streaming",
        "model",
        attempts=2,
        resumable=True,
        gap_target_ms=100,
        timeout_ms=9000,
    )
    version = fleet.configure()
    await fleet.until(lambda: fleet.instances[0].records.table_revision == version)


async def _ask(fleet: Fleet) -> Reply:
    headers = {**STREAM, "Deadline-Milliseconds": "9000"}
    return await fleet.caller().ask("/quick/x", "POST", body=b"prompt", headers=headers)


def _numbers(reply: Reply) -> list[bytes]:
    return [line for line in reply.body.split(b"\n") if line.startswith(b"id: ")]


_WHOLE = [b"id: %d" % number for number in range(1, 6)]


async def test_engine_that_pauses_is_kept_while_no_other_can_go_on() -> None:
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        decode.silent_from, decode.silent_s = 3, 1.2
        await _start(fleet, prefill, decode)
        reply = await _ask(fleet)
        assert (reply.status, reply.whole) == (200, True)
        assert _numbers(reply) == _WHOLE
        assert len(decode.runs) == 1
