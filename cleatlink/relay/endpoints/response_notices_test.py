"""Tests of the notices in response heads: every response is read, malformed values are ignored."""

from typing import Any

import eliot
import pytest
import trio

from cleatlink.core.notices import EMPTY_NOTICE, EndpointNotice
from cleatlink.platform import PROTOCOL
from cleatlink.relay.endpoints.protocol import ResponseHead
from standins.relay import Fault, Worker
from standins.relay.example_fleet import STREAM, engines, start
from standins.relay.fleet import open_fleet

pytestmark = pytest.mark.virtual_time

LEAVING = (b"Server-Leaving", b"1")


def backoff_header(value: bytes) -> tuple[bytes, bytes]:
    """Return the header with which an endpoint asks for a back-off."""
    return (b"Retry-After", value)


def limit_header(value: bytes) -> tuple[bytes, bytes]:
    """Return the header with which an endpoint names a rate limit."""
    return (b"Server-Limit", value)


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, (), EMPTY_NOTICE),
        (200, (LEAVING,), EndpointNotice(leaving=True)),
        (500, ((b"server-leaving", b" 1 "),), EndpointNotice(leaving=True)),
        (200, ((b"Server-Leaving", b"0"),), EMPTY_NOTICE),
        (200, ((b"Server-Leaving", b""),), EMPTY_NOTICE),
        (503, (backoff_header(b"3"),), EndpointNotice(backoff_s=3.0)),
        (503, (backoff_header(b"0.25"), LEAVING), EndpointNotice(leaving=True, backoff_s=0.25)),
        (429, (backoff_header(b"2"),), EndpointNotice(backoff_s=2.0)),
        (200, (backoff_header(b"3"),), EMPTY_NOTICE),
        (500, (backoff_header(b"3"),), EMPTY_NOTICE),
        (200, (limit_header(b"3.6"),), EndpointNotice(rate_per_s=3.6, has_rate_limit=True)),
        (500, (limit_header(b"3"), LEAVING), EndpointNotice(True, 0.0, 3.0, has_rate_limit=True)),
        (
            503,
            (limit_header(b"2"), backoff_header(b"1")),
            EndpointNotice(False, 1.0, 2.0, has_rate_limit=True),
        ),
        # Another endpoint answers at the address: its headers say nothing about the one called.
        (421, (LEAVING, backoff_header(b"3"), limit_header(b"1")), EMPTY_NOTICE),
    ],
)
def test_notice_is_read_from_status_and_headers(
    status: int, headers: tuple[tuple[bytes, bytes], ...], expected: EndpointNotice
) -> None:
    assert PROTOCOL.read_notice(ResponseHead(status, headers)) == expected


@pytest.mark.parametrize(
    ("values", "backoff_s"),
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
def test_malformed_backoff_is_ignored_and_a_long_one_is_capped(
    values: list[bytes], backoff_s: float
) -> None:
    head = ResponseHead(503, tuple(backoff_header(value) for value in values))
    assert PROTOCOL.read_notice(head).backoff_s == backoff_s


@pytest.mark.parametrize(
    ("values", "rate_per_s"),
    [
        ([b"4"], 4.0),
        ([b" .5 "], 0.5),
        ([b"5."], 5.0),
        # An endpoint that accepts no calls is still called occasionally, in case that has changed.
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
def test_malformed_limit_is_ignored_and_extreme_ones_are_bounded(
    values: list[bytes], rate_per_s: float | None
) -> None:
    notice = PROTOCOL.read_notice(ResponseHead(200, tuple(limit_header(value) for value in values)))
    assert notice == EndpointNotice(rate_per_s=rate_per_s, has_rate_limit=True)


async def test_limit_is_logged_when_it_is_set_changed_and_removed() -> None:
    lines: list[dict[str, Any]] = []
    collect = lines.append
    eliot.add_destinations(collect)
    try:
        async with open_fleet() as fleet:
            worker = Worker("plain")
            await start(fleet, worker)
            for value in ("50", "50", "20", "few", None, None):
                worker.announced_limit = value
                # Responses can arrive out of order: one without a limit takes effect after a delay.
                await trio.sleep(0.0 if value else 0.6)
                assert (await fleet.caller().ask("/safe/x")).status == 200
    finally:
        eliot.remove_destination(collect)
    changes = [
        (line["before"], line["per_s"])
        for line in lines
        if line.get("message_type") == "endpoint: rate limit changed"
        and line["endpoint"] == worker.name
    ]
    assert changes == [(None, 50.0), (50.0, 20.0), (20.0, None)]


async def test_unknown_header_is_logged_once() -> None:
    """Guards against a limit in a header that no instance reads or logs; this lasted for days."""
    lines: list[dict[str, Any]] = []
    collect = lines.append
    eliot.add_destinations(collect)
    try:
        async with open_fleet() as fleet:
            worker = Worker("plain")
            worker.extra_headers = {"Server-Temper": "bad", "Content-Language": "cs"}
            await start(fleet, worker)
            for _ in range(3):
                assert (await fleet.caller().ask("/safe/x")).status == 200
            worker.extra_headers = {f"X-{number}": "1" for number in range(99)}
            await fleet.caller().ask("/safe/x")
    finally:
        eliot.remove_destination(collect)
    message_type = "endpoint: response has an unknown header; ignored"
    fields = [
        line["field"]
        for line in lines
        if line.get("message_type") == message_type and line["endpoint"] == worker.name
    ]
    assert fields[0] == "server-temper"
    assert len(fields) == len(set(fields)) == 32


async def test_leaving_notice_is_read_from_responses_of_every_stage() -> None:
    kinds = {
        "plain": ("/safe/x", {}),
        "prefill": ("/stream/x", STREAM),
        "decode": ("/stream/x", STREAM),
    }
    for kind, (path, headers) in kinds.items():
        async with open_fleet() as fleet:
            workers = (Worker("plain"), *engines())
            await start(fleet, *workers)
            announcing = [item for item in workers if (item.stage or "plain") == kind]
            for worker in announcing:
                worker.announces_leaving = True
            await fleet.caller().ask(path, headers=headers)
            notices = fleet.instances[0].capacity.notices
            leaving = {item.name for item in workers if notices.is_leaving(item.name)}
            assert leaving, kind
            assert leaving <= {item.name for item in announcing}


async def test_leaving_notice_is_read_from_a_reservation_response() -> None:
    async with open_fleet() as fleet:
        prefill, decode = Worker("model", "prefill"), Worker("model", "decode")
        await start(fleet, prefill, decode)
        decode.announces_leaving, decode.reservable_tokens = True, 0
        fleet.configure({"hold_ms": 500})
        await fleet.wait_until(lambda: fleet.instances[0].records.table_revision > 5)
        await fleet.caller().ask("/stream/x", headers=STREAM)
        assert fleet.instances[0].capacity.notices.is_leaving(decode.name)


async def test_leaving_notice_is_logged_once_and_counted_in_the_metrics() -> None:
    lines: list[dict[str, Any]] = []
    collect = lines.append
    eliot.add_destinations(collect)
    try:
        async with open_fleet() as fleet:
            worker = Worker("plain")
            await start(fleet, worker, Worker("plain"))
            worker.announces_leaving = True
            for _ in range(12):
                await fleet.caller().ask("/safe/x")
            metrics = fleet.instances[0].render_metrics().decode()
    finally:
        eliot.remove_destination(collect)
    leaving_lines = [
        line
        for line in lines
        if line.get("message_type")
        == "endpoint: response says that it is shutting down; it gets no new work"
        and line["endpoint"] == worker.name
    ]
    assert len(leaving_lines) == 1
    assert 'cleatlink_relay_endpoint_notices_total{kind="leaving"}' in metrics


async def test_rejection_is_logged_with_its_mark_and_the_request_that_it_names() -> None:
    lines: list[dict[str, Any]] = []
    eliot.add_destinations(lines.append)
    try:
        async with open_fleet() as fleet:
            worker = Worker("plain")
            await start(fleet, worker)
            worker.faults = [Fault.FULL, Fault.OWN_STATUS]
            caller = fleet.caller()
            for request in ("marked", "unmarked"):
                await caller.ask("/unsafe/x", "POST", headers={"Attempt-Id": request})
                await trio.sleep(1.0)
    finally:
        eliot.remove_destination(lines.append)
    logged = [
        (line["request"], line["marked"], line["names"])
        for line in lines
        if line["message_type"] == "endpoint: response has a status or the mark of a rejection"
    ]
    assert logged == [("marked", True, "this request"), ("unmarked", False, "this request")]
