"""Tests of which request a response belongs to, where requests or responses are unusual."""

import pytest
import trio

from standins.relay import Fault, Worker
from standins.relay.example_fleet import runs, start
from standins.relay.fleet import open_fleet

pytestmark = pytest.mark.virtual_time


async def test_call_with_the_id_of_a_rejected_one_is_not_told_that_it_did_not_run() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        caller = fleet.caller()
        results = []
        for number in range(5):
            same_id = {"Attempt-Id": f"same-{number}"}
            worker.faults = [Fault.REPEATED_REJECTION]
            reply = await caller.ask("/unsafe/x", "POST", body=b"b", headers=same_id)
            assert reply.status == 503
            await trio.sleep(0.5)
            reply = await caller.ask("/unsafe/x", "POST", body=b"b", headers=same_id)
            results.append((reply.status, runs(fleet, same_id["Attempt-Id"])))
        assert (503, 1) not in results


async def test_marked_success_that_is_signed_is_no_rejection() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        worker.extra_headers = {"Not-Executed": "1"}
        await start(fleet, worker)
        reply = await fleet.caller().ask("/unsafe/x", "POST", body=b"b")
        assert len(worker.runs) == 1
        assert reply.status not in (408, 421, 429, 503)
