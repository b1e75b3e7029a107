"""Test that an invalid entry in the store affects only its own endpoint.

Guards against one entry without a service hiding every endpoint written after it: parsing it
raised an error, and the instance discarded the store's whole answer each time.
"""

import json
from typing import Any

import eliot
import pytest
import trio

from standins.relay import Worker
from standins.relay.example_fleet import start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

KEY = "servers/i-other"
INVALID_VALUES = (
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


async def check_new_worker_is_used(fleet: Fleet) -> None:
    """Register a new worker, and check that the instance learns of it and serves a call."""
    worker = await fleet.add_worker(Worker("plain"))
    await fleet.wait_until(lambda: worker.name in fleet.instances[0].capacity.endpoints, 1.0)
    assert (await fleet.caller().ask("/safe/x")).status == 200


@pytest.mark.parametrize("value", INVALID_VALUES, ids=lambda value: repr(value[:20]))
async def test_invalid_entry_in_watch_does_not_hide_others(value: bytes) -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.store.put_bytes(KEY, value)
        await check_new_worker_is_used(fleet)
        assert "i-other" not in fleet.instances[0].capacity.endpoints


async def test_invalid_entries_in_paged_first_read_do_not_hide_others() -> None:
    async with open_fleet() as fleet:
        fleet.store.max_page_items = 2
        for number, value in enumerate(INVALID_VALUES):
            fleet.store.put_bytes(f"servers/a-{number}", value)
        fleet.store.put_bytes("servers/", b"{}")
        fleet.store.put_bytes("servers/a/b", b"{}")
        await start(fleet, Worker("plain"), Worker("plain"), Worker("plain"))
        assert len(fleet.instances[0].capacity.endpoints) == 3
        await check_new_worker_is_used(fleet)


async def test_value_with_invalid_base64_does_not_hide_others() -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.store.put_raw_value(KEY, "not base64 at all!")
        await check_new_worker_is_used(fleet)
        fleet.store.put_raw_value(KEY, {"value": 7})
        await check_new_worker_is_used(fleet)


async def test_endpoint_is_unused_while_its_entry_is_invalid() -> None:
    async with open_fleet() as fleet:
        first, second = Worker("plain"), Worker("plain")
        await start(fleet, first, second)
        endpoints = fleet.instances[0].capacity.endpoints
        fleet.store.put(f"servers/{first.name}", {**first.registration(), "state": "odd"})
        await fleet.wait_until(lambda: first.name not in endpoints, 1.0)
        for _ in range(4):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        assert not first.runs
        fleet.register(first)
        await fleet.wait_until(lambda: first.name in endpoints, 1.0)


async def test_two_entries_with_same_address() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        fleet.store.put("servers/i-twin", worker.registration())
        await fleet.wait_until(lambda: "i-twin" in fleet.instances[0].capacity.endpoints, 1.0)
        replies = [await fleet.caller().ask("/unsafe/x", "POST", body=b"x") for _ in range(8)]
        assert [reply.status for reply in replies].count(200) >= 7
        assert len(worker.runs) == [reply.status for reply in replies].count(200)


@pytest.mark.parametrize("value", [b"{", b"{}", b'{"version":"9","routes":[],"services":[]}'])
async def test_unreadable_configuration_keeps_previous_one(value: bytes) -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        records = fleet.instances[0].records
        revision_before = records.table_revision
        fleet.store.put_bytes("op/config", value)
        await check_new_worker_is_used(fleet)
        assert records.table_revision == revision_before
        version = fleet.configure()
        await fleet.wait_until(lambda: records.table_revision == version, 1.0)


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"{}", b'{"items":7,"at":1}', b'{"items":[],"at":"x"}', b"\xff"]
)
async def test_invalid_answer_of_store_is_requested_again(body: bytes) -> None:
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        fleet.store.response_body_override = body
        fleet.configure()
        await trio.sleep(0.3)
        fleet.store.response_body_override = None
        await check_new_worker_is_used(fleet)


async def test_invalid_entries_are_counted_and_logs_are_limited() -> None:
    lines: list[dict[str, Any]] = []
    eliot.add_destinations(lines.append)
    try:
        async with open_fleet() as fleet:
            await start(fleet, Worker("plain"))
            for number in range(60):
                fleet.store.put_bytes(f"servers/x-{number}", b"{}")
            fleet.store.delete("servers/x-0")
            await check_new_worker_is_used(fleet)
            text = fleet.instances[0].render_metrics().decode()
    finally:
        eliot.remove_destination(lines.append)
    count_rows = [row for row in text.splitlines() if "unusable_entries_total{" in row]
    assert [row.rpartition(" ")[2] for row in count_rows] == ["60"]
    # Eliot buffers lines until a destination is added: lines of earlier tests may come first.
    entry_lines = [line for line in lines if str(line.get("registration", "")).startswith("x-")]
    warnings = [
        line for line in entry_lines if line["message_type"].endswith("registration is unusable")
    ]
    assert 1 <= len(warnings) <= 20
    assert warnings[0]["registration"] == "x-0"
    assert "service" in warnings[0]["detail"]
