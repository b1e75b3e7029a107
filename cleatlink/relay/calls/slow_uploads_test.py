"""Requests whose bodies take long on their way to an endpoint that reads without a pause."""

import pytest

from standins.relay import Worker
from standins.relay.example import STREAM, start
from standins.relay.fleet import open_fleet

pytestmark = pytest.mark.virtual_time

LINK_BYTES_A_SECOND = 500_000


def narrow(*workers: Worker) -> tuple[Worker, ...]:
    """Put workers behind narrow links."""
    for worker in workers:
        worker.link_bytes_a_second = LINK_BYTES_A_SECOND
    return workers


async def test_body_on_its_way_is_not_taken_for_the_endpoints_silence() -> None:
    """A second endpoint was asked while the body was still on its way to the first."""
    async with open_fleet() as fleet:
        workers = narrow(Worker("plain"), Worker("plain"))
        await start(fleet, *workers)
        caller = fleet.caller()
        for _ in range(5):
            assert (await caller.ask("/safe/x")).status == 200
        before = sum(worker.heads_read for worker in workers)
        assert (await caller.ask("/safe/x", "PUT", body=300_000 * b"x")).status == 200
        assert sum(worker.heads_read for worker in workers) == before + 1


async def test_prompt_on_its_way_is_not_taken_for_the_prefills_silence() -> None:
    """Two prefills were left while the prompt was on its way, and the caller got 504."""
    async with open_fleet() as fleet:
        prefills = narrow(Worker("model", "prefill"), Worker("model", "prefill"))
        decodes = narrow(Worker("model", "decode"), Worker("model", "decode"))
        await start(fleet, *prefills, *decodes)
        caller = fleet.caller()
        for _ in range(3):
            assert (await caller.ask("/stream/x", "POST", body=b"p", headers=STREAM)).status == 200
        reply = await caller.ask("/stream/x", "POST", body=450_000 * b"p", headers=STREAM)
        assert reply.status == 200


async def test_prompt_on_its_way_is_not_taken_for_the_decodes_silence() -> None:
    """A second decode was asked while the prompt was on its way, and the caller got 504."""
    async with open_fleet() as fleet:
        await start(fleet, *narrow(Worker("model", "decode"), Worker("model", "decode")))
        caller = fleet.caller()
        for _ in range(3):
            assert (await caller.ask("/resume/x", "POST", body=b"p", headers=STREAM)).status == 200
        reply = await caller.ask("/resume/x", "POST", body=850_000 * b"p", headers=STREAM)
        assert reply.status == 200
