"""Test the diagnosis steps of docs/OPERATIONS.md, from a request id to its cause in the logs."""

import json
import os
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import eliot
import pytest
import trio

from cleatlink.relay.logs import LogWriter
from standins.relay import Fault, Worker
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

PAGE = Path(__file__).parent.parent.parent / "docs" / "OPERATIONS.md"
STREAM = {"Token-Counts": "100,50", "Model": "m"}


class LogFile:
    """Log file that the relay writes during a test, read as an operator would read it."""

    def __init__(self, file: Path) -> None:
        self._descriptor = os.open(file, os.O_CREAT | os.O_WRONLY | os.O_APPEND)
        self._file = file
        self.writer = LogWriter(self._descriptor)

    def lines_of(self, request: str) -> list[dict[str, Any]]:
        """Return the log lines of a request in order."""
        self.writer.flush()
        rows = [json.loads(line) for line in self._file.read_text().splitlines()]
        return [row for row in rows if row.get("request") == request]

    def close(self) -> None:
        os.close(self._descriptor)


@pytest.fixture
def log_file(tmp_path: Path) -> Iterator[LogFile]:
    opened = LogFile(tmp_path / "out.log")
    eliot.add_destinations(opened.writer)
    yield opened
    eliot.remove_destination(opened.writer)
    opened.close()


async def start(fleet: Fleet, *workers: Worker) -> None:
    for worker in workers:
        await fleet.add_worker(worker)
    fleet.add_route("/unsafe/", "unsafe", "plain", timeout_ms=400)
    fleet.add_route("/stream/", "streaming", "model")
    fleet.configure({"kv_cache_tokens": 150})
    fleet.start_instance()
    await fleet.wait_ready()


def message_types(rows: list[dict[str, Any]]) -> list[str]:
    return [row["message_type"] for row in rows]


async def test_refused_request_logs_missing_capacity(log_file: LogFile) -> None:
    async with open_fleet() as fleet:
        decode = Worker("model", "decode")
        decode.events, decode.event_interval_s = 30, 0.05
        await start(fleet, Worker("model", "prefill"), decode)
        first, second = fleet.caller(), fleet.caller()
        first_request = await first.send("/stream/x", "POST", body=b"p", headers=STREAM)
        await fleet.wait_until(lambda: bool(decode.runs))
        request = await second.send("/stream/x", "POST", body=b"p", headers=STREAM)
        assert (await second.receive()).status == 503
        rows = log_file.lines_of(request)
        assert message_types(rows)[-2:] == [
            "relay: request refused: no decode endpoint has capacity",
            "relay: is refused",
        ]
        assert (rows[-1]["kind"], rows[-1]["sends"]) == ("no_room", 0)
        assert rows[-1]["revision"] == 5
        reservation_line = next(
            row
            for row in log_file.lines_of(first_request)
            if row["message_type"] == "relay: decode capacity reserved"
        )
        assert (reservation_line["endpoint"], reservation_line["reserved"]) == (decode.name, 150)


async def test_timed_out_request_logs_its_endpoint(log_file: LogFile) -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        worker.faults = [Fault.NO_RESPONSE]
        await start(fleet, worker)
        caller = fleet.caller()
        request = await caller.send("/unsafe/x", "POST", body=b"p")
        assert (await caller.receive()).status in (502, 504)
        rows = log_file.lines_of(request)
        timeout_lines = [
            row for row in rows if row["message_type"] == "relay: reached its deadline"
        ]
        failure_lines = [
            row for row in rows if row["message_type"] == "relay: endpoint failed the request"
        ]
        assert timeout_lines or failure_lines
        assert all(row["sends"] == 1 and row["ran"] == "unknown" for row in timeout_lines)
        assert all(row["endpoint"] == worker.name for row in failure_lines)


async def test_broken_stream_logs_its_endpoint(log_file: LogFile) -> None:
    async with open_fleet() as fleet:
        decode = Worker("model", "decode")
        decode.faults = [Fault.TRUNCATED]
        await start(fleet, Worker("model", "prefill"), decode)
        caller = fleet.caller()
        request = await caller.send("/stream/x", "POST", body=b"p", headers=STREAM)
        assert not (await caller.receive()).is_complete
        await trio.sleep(0.05)
        rows = log_file.lines_of(request)
        assert message_types(rows) == [
            "relay: decode capacity reserved",
            "relay: prefill completed",
            "relay: answer started",
            "relay: endpoint failed the request",
            "relay: cuts its answer off",
        ]
        assert rows[3]["endpoint"] == decode.name


async def test_stop_and_caller_disconnect_log_different_lines(log_file: LogFile) -> None:
    async with open_fleet() as fleet:
        decode = Worker("model", "decode")
        decode.events, decode.event_interval_s = 200, 0.05
        await start(fleet, Worker("model", "prefill"), decode)
        for route in fleet.routes:
            route["timeout_ms"] = 9000
        version = fleet.configure({"kv_cache_tokens": 10_000})
        await fleet.wait_until(lambda: fleet.instances[0].records.table_revision == version)
        headers = {**STREAM, "Deadline-Milliseconds": "9000"}
        staying_caller, leaving_caller = fleet.caller(), fleet.caller()
        cut_request = await staying_caller.send("/stream/x", "POST", body=b"p", headers=headers)
        abandoned_request = await leaving_caller.send(
            "/stream/x", "POST", body=b"p", headers=headers
        )
        await fleet.wait_until(lambda: len(decode.runs) == 2)
        leaving_caller.close()
        await trio.sleep(0.2)
        fleet.stop_events[0].set()
        assert not (await staying_caller.receive()).is_complete
        await fleet.end_events[0].wait()
        assert (
            message_types(log_file.lines_of(abandoned_request))[-1]
            == "relay: is cancelled because its caller disconnected"
        )
        last_line = log_file.lines_of(cut_request)[-1]
        assert (
            last_line["message_type"] == "relay: request interrupted by the end of the planned stop"
        )
        assert last_line["ran"] == "yes"
        assert -2000 < last_line["arrived_after_stop_ms"] < 0
        # The engine was sending events until the stop.
        assert last_line["silent_ms"] < 500
        metrics = fleet.instances[0].render_metrics()
        assert b'cleatlink_relay_cut_by_stop_total{kind="streaming"} 1' in metrics
        assert b'cleatlink_relay_callers_gone_total{kind="streaming"} 1' in metrics


def test_page_quotes_only_existing_log_messages() -> None:
    sources = "".join(
        path.read_text()
        for path in Path(__file__).parent.rglob("*.py")
        if not path.name.endswith("_test.py")
    )
    quoted = re.findall(r"^ {4}relay: (\S.*?)(?:  |$)", PAGE.read_text(), re.MULTILINE)
    assert len(quoted) > 8
    assert [text for text in quoted if f'"{text}"' not in sources] == []


def test_full_log_queue_drops_and_counts_lines_without_blocking(tmp_path: Path) -> None:
    reading, writing = os.pipe()
    try:
        writer = LogWriter(writing, max_lines=500)
        for number in range(3000):
            writer({"message_type": "relay: x", "number": number, "text": "y" * 200})
            writer.flush()
        assert writer.dropped_lines > 0
        size = len(os.read(reading, 1_000_000))
        assert size > 0
        writer.flush()
        text = os.read(reading, 1_000_000)
        assert text
    finally:
        os.close(reading)
        os.close(writing)
