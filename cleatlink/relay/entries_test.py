"""What other writers leave in the store takes no endpoint away but their own.

One entry without a service kept an instance from learning of any endpoint written after it:
reading it raised an error, and the whole answer it came with was thrown away each time.
"""

import json
from typing import Any

import eliot
import pytest
import trio

from standins.relay import Worker
from standins.relay.example import start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

KEY = "servers/i-other"
BAD = (
    b"",
    b"\xff\x00",
    b"[",
    b"7",
    b'{"address":"127.0.0.1:1"}',
    json.dumps({"service": "plain", "address": 7, "state": "ready"}).encode(),
    json.dumps({**Worker("plain").registration(), "address": "127.0.0.1:1", "state": "?"}).encode(),
    json.dumps({**Worker("plain").registration(), "address": "127.0.0.1:1", "slots": []}).encode(),
    b'"' + 200_000 * b"x" + b'"',
)


async def is_learned(fleet: Fleet) -> None:
    """Check that a worker which comes now is known soon, and used."""
    worker = await fleet.add_worker(Worker("plain"))
    await fleet.until(lambda: worker.name in fleet.instances[0].capacity.endpoints, 1.0)
    assert (await fleet.caller().ask("/safe/x")).status == 200


@pytest.mark.parametrize("value", BAD, ids=lambda value: repr(value[:20]))
async def test_bad_entry_in_a_watch_hides_no_other(value: bytes) -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.store.put_bytes(KEY, value)
        await is_learned(fleet)
        assert "i-other" not in fleet.instances[0].capacity.endpoints


async def test_bad_entries_in_the_first_read_and_its_pages_hide_no_other() -> None:
    async with open_fleet() as fleet:
        fleet.store.page_items = 2
        for number, value in enumerate(BAD):
            fleet.store.put_bytes(f"servers/a-{number}", value)
        fleet.store.put_bytes("servers/", b"{}")
        fleet.store.put_bytes("servers/a/b", b"{}")
        await start(fleet, Worker("plain"), Worker("plain"), Worker("plain"))
        assert len(fleet.instances[0].capacity.endpoints) == 3
        await is_learned(fleet)


async def test_value_that_is_no_base64_hides_no_other() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.store.put_text(KEY, "not base64 at all!")
        await is_learned(fleet)
        fleet.store.put_text(KEY, {"value": 7})
        await is_learned(fleet)


async def test_entry_that_becomes_bad_takes_its_endpoint_out_and_back() -> None:
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        await start(fleet, first, second)
        endpoints = fleet.instances[0].capacity.endpoints
        fleet.store.put(f"servers/{first.name}", {**first.registration(), "state": "odd"})
        await fleet.until(lambda: first.name not in endpoints, 1.0)
        for _ in range(4):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        assert not first.runs
        fleet.register(first)
        await fleet.until(lambda: first.name in endpoints, 1.0)


async def test_two_entries_of_one_address() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        fleet.store.put("servers/i-twin", worker.registration())
        await fleet.until(lambda: "i-twin" in fleet.instances[0].capacity.endpoints, 1.0)
        replies = [await fleet.caller().ask("/unsafe/x", "POST", body=b"x") for _ in range(8)]
        assert [reply.status for reply in replies].count(200) >= 7
        assert len(worker.runs) == [reply.status for reply in replies].count(200)


@pytest.mark.parametrize("value", [b"{", b"{}", b'{"version":"9","routes":[],"services":[]}'])
async def test_configuration_that_can_not_be_read_leaves_the_one_before(value: bytes) -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        records = fleet.instances[0].records
        before = records.table_revision
        fleet.store.put_bytes("op/config", value)
        await is_learned(fleet)
        assert records.table_revision == before
        version = fleet.configure()
        await fleet.until(lambda: records.table_revision == version, 1.0)


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"{}", b'{"items":7,"at":1}', b'{"items":[],"at":"x"}', b"\xff"]
)
async def test_answer_of_the_store_that_is_none_is_asked_for_again(body: bytes) -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.store.answer_with = body
        fleet.configure()
        await trio.sleep(0.3)
        fleet.store.answer_with = None
        await is_learned(fleet)


async def test_reasons_are_counted_and_logged_within_bounds() -> None:
    lines: list[dict[str, Any]] = []
    eliot.add_destinations(lines.append)
    try:
        async with open_fleet() as fleet:
            await start(fleet, Worker("plain"))
            for number in range(60):
                fleet.store.put_bytes(f"servers/x-{number}", b"{}")
            fleet.store.delete("servers/x-0")
            await is_learned(fleet)
            text = fleet.instances[0].render_metrics().decode()
    finally:
        eliot.remove_destination(lines.append)
    counted = [row for row in text.splitlines() if "unusable_entries_total{" in row]
    assert [row.rpartition(" ")[2] for row in counted] == ["60"]
    # Lines of earlier tests of this process come first, where nothing took them before.
    own = [line for line in lines if str(line.get("registration", "")).startswith("x-")]
    told = [line for line in own if line["message_type"].endswith("can't be used")]
    assert 1 <= len(told) <= 20
    assert told[0]["registration"] == "x-0"
    assert "service" in told[0]["detail"]
