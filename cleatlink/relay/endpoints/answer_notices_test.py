"""What heads of answers say of their endpoints is read from each of them, and nonsense is not."""

from typing import Any

import eliot
import pytest
import trio

from cleatlink.core.notices import NO_NOTICE, EndpointNotice
from cleatlink.platform import PROTOCOL
from cleatlink.relay.endpoints.protocol import ReplyHead
from standins.relay import Worker
from standins.relay.example import STREAM, engines, start
from standins.relay.fleet import open_fleet

pytestmark = pytest.mark.virtual_time

LEAVING = (b"Server-Leaving", b"1")


def rest(value: bytes) -> tuple[bytes, bytes]:
    """Give the header with which an endpoint names a time."""
    return (b"Retry-After", value)


def limit(value: bytes) -> tuple[bytes, bytes]:
    """Give the header with which an endpoint names a limit."""
    return (b"Server-Limit", value)


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, (), NO_NOTICE),
        (200, (LEAVING,), EndpointNotice(leaving=True)),
        (500, ((b"server-leaving", b" 1 "),), EndpointNotice(leaving=True)),
        (200, ((b"Server-Leaving", b"0"),), NO_NOTICE),
        (200, ((b"Server-Leaving", b""),), NO_NOTICE),
        (503, (rest(b"3"),), EndpointNotice(rest_s=3.0)),
        (503, (rest(b"0.25"), LEAVING), EndpointNotice(leaving=True, rest_s=0.25)),
        (429, (rest(b"2"),), EndpointNotice(rest_s=2.0)),
        (200, (rest(b"3"),), NO_NOTICE),
        (500, (rest(b"3"),), NO_NOTICE),
        (200, (limit(b"3.6"),), EndpointNotice(rate_per_s=3.6, names_rate=True)),
        (500, (limit(b"3"), LEAVING), EndpointNotice(True, 0.0, 3.0, names_rate=True)),
        (503, (limit(b"2"), rest(b"1")), EndpointNotice(False, 1.0, 2.0, names_rate=True)),
        # Another endpoint answers at the address: it says nothing of the one that was asked.
        (421, (LEAVING, rest(b"3"), limit(b"1")), NO_NOTICE),
    ],
)
def test_head_says_what_it_says(
    status: int, headers: tuple[tuple[bytes, bytes], ...], expected: EndpointNotice
) -> None:
    assert PROTOCOL.read_notice(ReplyHead(status, headers)) == expected


@pytest.mark.parametrize(
    ("values", "rest_s"),
    [
        ([b"-1"], 0.0),
        ([b"nan"], 0.0),
        ([b"inf"], 0.0),
        ([b""], 0.0),
        ([b"1_0"], 0.0),
        ([b"3,3"], 0.0),
        ([b"Thu, 03 Dec 2026 04:00:00 GMT"], 0.0),
        ([b"\xff"], 0.0),
        ([b"999999999999"], 300.0),
        ([b"9" * 400], 0.0),
        ([b"1", b"3"], 3.0),
        ([b"soon", b"2"], 2.0),
    ],
)
def test_time_that_is_nonsense_is_bounded(values: list[bytes], rest_s: float) -> None:
    head = ReplyHead(503, tuple(rest(value) for value in values))
    assert PROTOCOL.read_notice(head).rest_s == rest_s


@pytest.mark.parametrize(
    ("values", "rate_per_s"),
    [
        ([b"4"], 4.0),
        ([b" .5 "], 0.5),
        ([b"5."], 5.0),
        # One that takes none is asked now and then whether that still holds.
        ([b"0"], 0.1),
        ([b"999999999999"], 1e6),
        ([b"7", b"3.5"], 3.5),
        ([b"few", b"2"], 2.0),
        ([b"-1"], None),
        ([b"nan"], None),
        ([b"1e3"], None),
        ([b""], None),
        ([b"few"], None),
    ],
)
def test_limit_that_is_nonsense_is_bounded(values: list[bytes], rate_per_s: float | None) -> None:
    notice = PROTOCOL.read_notice(ReplyHead(200, tuple(limit(value) for value in values)))
    assert notice == EndpointNotice(rate_per_s=rate_per_s, names_rate=True)


async def test_limit_is_logged_when_it_is_named_changes_and_ends() -> None:
    lines: list[dict[str, Any]] = []
    take = lines.append
    eliot.add_destinations(take)
    try:
        async with open_fleet() as fleet:
            worker = Worker("plain")
            await start(fleet, worker)
            for said in ("50", "50", "20", "few", None, None):
                worker.names_limit = said
                # Answers can overtake each other: one without a limit counts a little later.
                await trio.sleep(0.0 if said else 0.6)
                assert (await fleet.caller().ask("/safe/x")).status == 200
    finally:
        eliot.remove_destination(take)
    found = [
        (line["before"], line["per_s"])
        for line in lines
        if line.get("message_type") == "endpoint: names a limit" and line["endpoint"] == worker.name
    ]
    assert found == [(None, 50.0), (50.0, 20.0), (20.0, None)]


async def test_field_that_nothing_reads_is_told_of_once() -> None:
    """Endpoints named a limit for days, and no line of any instance said that they do."""
    lines: list[dict[str, Any]] = []
    take = lines.append
    eliot.add_destinations(take)
    try:
        async with open_fleet() as fleet:
            worker = Worker("plain")
            worker.more_headers = {"Server-Temper": "bad", "Content-Language": "cs"}
            await start(fleet, worker)
            for _ in range(3):
                assert (await fleet.caller().ask("/safe/x")).status == 200
            worker.more_headers = {f"X-{number}": "1" for number in range(99)}
            await fleet.caller().ask("/safe/x")
    finally:
        eliot.remove_destination(take)
    kind = "endpoint: answers with a field that is not known"
    fields = [
        line["field"]
        for line in lines
        if line.get("message_type") == kind and line["endpoint"] == worker.name
    ]
    assert fields[0] == "server-temper"
    assert len(fields) == len(set(fields)) == 32


async def test_leaving_is_read_from_every_kind_of_answer() -> None:
    kinds = {
        "plain": ("/safe/x", {}),
        "prefill": ("/stream/x", STREAM),
        "decode": ("/stream/x", STREAM),
    }
    for kind, (path, headers) in kinds.items():
        async with open_fleet() as fleet:
            workers = (Worker("plain"), *engines())
            await start(fleet, *workers)
            speaking = [item for item in workers if (item.stage or "plain") == kind]
            for worker in speaking:
                worker.says_leaving = True
            await fleet.caller().ask(path, headers=headers)
            notices = fleet.instances[0].capacity.notices
            told = {item.name for item in workers if notices.is_leaving(item.name)}
            assert told, kind
            assert told <= {item.name for item in speaking}


async def test_hold_says_that_its_endpoint_leaves() -> None:
    async with open_fleet() as fleet:
        prefill, decode = Worker("model", "prefill"), Worker("model", "decode")
        await start(fleet, prefill, decode)
        decode.says_leaving, decode.room = True, 0
        fleet.configure({"hold_ms": 500})
        await fleet.until(lambda: fleet.instances[0].records.table_revision > 5)
        await fleet.caller().ask("/stream/x", headers=STREAM)
        assert fleet.instances[0].capacity.notices.is_leaving(decode.name)


async def test_leaving_is_logged_once_and_counted_each_time() -> None:
    lines: list[dict[str, Any]] = []
    take = lines.append
    eliot.add_destinations(take)
    try:
        async with open_fleet() as fleet:
            worker = Worker("plain")
            await start(fleet, worker, Worker("plain"))
            worker.says_leaving = True
            for _ in range(12):
                await fleet.caller().ask("/safe/x")
            metrics = fleet.instances[0].render_metrics().decode()
    finally:
        eliot.remove_destination(take)
    found = [
        line
        for line in lines
        if line.get("message_type") == "endpoint: says in an answer that it leaves"
        and line["endpoint"] == worker.name
    ]
    assert len(found) == 1
    assert 'cleatlink_relay_endpoint_notices_total{kind="leaving"}' in metrics
