"""Analysis of log lines, most of them written by the relay with a simulated fleet."""

import json
import os
from collections.abc import Iterator
from pathlib import Path

import eliot
import pytest
import trio
from click.testing import CliRunner

from cleatlink.analysis import LogReader, Report, RequestTimeline, render_html, render_text
from cleatlink.analysis.outcomes import Outcome
from cleatlink.relay.logs import LogWriter
from cleatlink.scripts.commands import main
from standins.relay import Fault, Worker
from standins.relay.example_fleet import STREAM, engines, start
from standins.relay.fleet import open_fleet

pytestmark = pytest.mark.virtual_time


@pytest.fixture
def log(tmp_path: Path) -> Iterator[Path]:
    file = tmp_path / "n1.log"
    descriptor = os.open(file, os.O_CREAT | os.O_WRONLY | os.O_APPEND)
    writer = LogWriter(descriptor)
    eliot.add_destinations(writer)
    yield file
    eliot.remove_destination(writer)
    writer.flush()
    os.close(descriptor)


def flush() -> None:
    """Write the lines that the log writers still buffer."""
    for destination in eliot._output.Logger._destinations._destinations:
        if isinstance(destination, LogWriter):
            destination.flush()


def read(file: Path) -> Report:
    flush()
    report = Report()
    for line in LogReader([file]):
        report.add(line)
    report.outcomes.close()
    return report


async def test_streams_prompts_and_refusals_are_counted(log: Path) -> None:
    async with open_fleet() as fleet:
        prefill, decode, _ = engines()
        decode.events, decode.event_interval_s = 48, 0.05
        await start(fleet, prefill, decode)
        for route in fleet.routes:
            route["timeout_ms"] = 9000
        version = fleet.configure({"kv_cache_tokens": 150})
        await fleet.wait_until(lambda: fleet.instances[0].records.table_revision == version)
        first_caller = fleet.caller()
        headers = {**STREAM, "Deadline-Milliseconds": "9000"}
        await first_caller.send("/stream/x", "POST", body=b"p", headers=headers)
        await fleet.wait_until(lambda: bool(decode.runs))
        # The second call waits for at most 2 s, after which its caller would leave; the first
        # answer takes longer.
        refused = await fleet.caller().ask("/stream/x", "POST", body=b"mine", headers=headers)
        assert refused.status == 503
        await trio.sleep(min(2.0, float(refused.headers["retry-after"])))
        retried = await fleet.caller().ask("/stream/x", "POST", body=b"mine", headers=headers)
        assert retried.status == 200
        assert (await first_caller.receive()).is_complete
    report = read(log)
    totals = report.outcomes.totals()
    assert totals[Outcome.REFUSED] == 1
    assert totals[Outcome.IN_TIME] + totals[Outcome.LATE] == 2
    assert report.outcomes.refusals == {"no_room: no decode endpoint has room": 1}
    assert report.outcomes.retry_outcomes.total() == 1
    length_ratios = report.engines.output_length_ratios.quantiles()
    assert length_ratios is not None
    assert length_ratios.value_count == 2
    streams = sum(usage.stream_count for usage in report.engines.usage.values())
    prompts = sum(usage.prompt_count for usage in report.engines.usage.values())
    assert (streams, prompts) == (2, 2)
    rows = list(report.outcomes.rows())
    assert {row.route for row in rows} == {"r-stream"}


async def test_cut_off_stream_counts_as_wasted_prefill(log: Path) -> None:
    async with open_fleet() as fleet:
        workers = engines()
        await start(fleet, *workers)
        for worker in workers[1:]:
            worker.faults = [Fault.TRUNCATED]
        await fleet.caller().ask("/stream/x", "POST", body=b"p", headers=STREAM)
        await trio.sleep(0.05)
    report = read(log)
    assert report.outcomes.totals() == {Outcome.CUT_OFF: 1}
    assert report.outcomes.wasted_prefills == {"answer cut off": 1}


async def test_timeline_covers_request_from_first_to_final_line(log: Path) -> None:
    async with open_fleet() as fleet:
        await start(fleet, *engines())
        caller = fleet.caller()
        request_id = await caller.send("/stream/x", "POST", body=b"p", headers=STREAM)
        await caller.receive()
        await fleet.caller().ask("/stream/x", "POST", body=b"other", headers=STREAM)
        await trio.sleep(0.05)
    flush()
    timeline = RequestTimeline(request_id)
    for line in LogReader([log]):
        timeline.add(line)
    events = timeline.render().splitlines()
    assert len(events) >= 4
    assert "decode capacity reserved" in events[0]
    assert "is answered" in events[-1]
    assert RequestTimeline("no such").render() == "no such: no log line contains this request ID"


def test_command_prints_tables_and_writes_html_page(tmp_path: Path) -> None:
    rows = [
        {"message_type": "relay: decode capacity reserved", "timestamp": 5.2, "request": "a",
         "route": "r", "age_ms": 200, "endpoint": "e1", "reserved": 70, "running": 1},
        {"message_type": "relay: is answered", "timestamp": 6.0, "request": "a", "route": "r",
         "age_ms": 1000},
        {"message_type": "relay: decode capacity reserved", "timestamp": 7.0, "request": "b",
         "route": "r", "age_ms": 0, "endpoint": "e<1>"},
        {"message_type": "orders: plans a role change", "timestamp": 4.0, "endpoint": "e1",
         "role": "decode", "rate": 5.0, "late_share": 0.1},
    ]  # fmt: skip
    file, page = tmp_path / "n1.log", tmp_path / "page.html"
    file.write_text("".join(json.dumps(row) + "\n" for row in rows) + "not a line\n")
    result = CliRunner().invoke(main, ["analyze", str(file), "--html", str(page)])
    assert result.exit_code == 0, result.output
    assert "4 lines read, 1 unreadable" in result.output
    assert "end unknown" in result.output
    # The role change was planned at 4.0 s, and the engine first served as a decode at 5.2 s.
    assert [line for line in result.output.splitlines() if line.startswith("e1") and "1.2" in line]
    text = page.read_text()
    assert "e&lt;1&gt;" in text
    assert "e<1>" not in text
    timeline = CliRunner().invoke(main, ["analyze", str(file), "--request", "b"])
    assert "decode capacity reserved" in timeline.output


def test_tables_render_without_any_log_line(tmp_path: Path) -> None:
    file = tmp_path / "empty.log"
    file.write_text("")
    reader = LogReader([file])
    report = Report()
    for line in reader:
        report.add(line)
    tables = report.tables(reader)
    assert "Estimates and times" in render_text(tables)
    assert render_html(tables).startswith("<!doctype html>")


def test_command_writes_plot_as_png(tmp_path: Path) -> None:
    rows = [
        {"message_type": "relay: is answered", "timestamp": second + 0.5, "request": f"a{second}",
         "route": "r", "age_ms": 100, "in_time": second % 2 == 0}
        for second in range(6)
    ]  # fmt: skip
    file, picture = tmp_path / "n1.log", tmp_path / "outcomes.png"
    file.write_text("".join(json.dumps(row) + "\n" for row in rows))
    result = CliRunner().invoke(main, ["analyze", str(file), "--plot", str(picture)])
    assert result.exit_code == 0, result.output
    assert picture.read_bytes().startswith(b"\x89PNG")


async def test_organisations_are_counted_by_data_centre(log: Path) -> None:
    async with open_fleet() as fleet:
        limit = {"unit": "tokens", "plain_tokens": 100, "rate_per_s": 100, "burst": 600}
        fleet.organisations = [
            {"name": "first", "api_keys": ["k1"], **limit},
            {"name": "other", "api_keys": ["k2"]},
        ]
        await start(fleet, Worker("plain"))
        caller = fleet.caller()
        for key in (*(8 * ["k1"]), "k2"):
            await caller.ask("/safe/x", headers={"Authorization": f"Bearer {key}"})
    first, other = read(log).organisations.rows()
    assert (first.organisation, first.data_centre, first.counts.total()) == ("first", "a", 8)
    assert first.counts[Outcome.REFUSED] == first.over_limit_count > 0
    assert first.counts[Outcome.IN_TIME] == 8 - first.over_limit_count
    assert first.limit_per_s == 100
    assert (other.counts[Outcome.IN_TIME], other.over_limit_count, other.limit_per_s) == (
        1,
        0,
        None,
    )


async def test_crashing_requests_are_listed_with_quarantine_decisions(log: Path) -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        worker.crash_marker = b"crash"
        fleet.restart_after_crashes(worker, 0.1)
        await start(fleet, worker)
        for _ in range(6):
            await fleet.caller().ask("/unsafe/x", "POST", body=b"crash")
            await trio.sleep(0.3)
    (row,) = read(log).crashes.rows()
    assert (row.endpoint_count, row.refusal_count, row.trial_count) == (3, 3, 0)
    assert row.quarantined_at is not None
    assert row.first_crash_at < row.last_crash_at <= row.quarantined_at
    assert row.identity in render_text(read(log).tables(LogReader([log])))


async def test_parts_of_prompts_at_crashes_are_listed_with_quarantine_decisions(log: Path) -> None:
    async with open_fleet() as fleet:
        workers = [Worker("model", "prefill"), *(Worker("model", "decode") for _ in range(3))]
        for worker in workers:
            worker.crash_parts = frozenset({"bad1"})
            fleet.restart_after_crashes(worker, 0.1)
        await start(fleet, *workers)
        for number in range(8):
            for part in ("50d1", "bad1"):
                prompt = f"aaaa:10,{part}:10,{number:08x}:10"
                headers = {"Token-Counts": "100,50", "Model": "m", "Prompt-Prefix": prompt}
                body = f"{part} {number}".encode()
                await fleet.caller().ask("/stream/x", "POST", body=body, headers=headers)
                await trio.sleep(0.2)
    report = read(log)
    by_name = {row.name: row for row in report.prompt_parts.rows()}
    assert by_name["bad1"].endpoint_count == by_name["bad1"].request_count == 3
    assert by_name["bad1"].refusal_count == 5
    assert by_name["bad1"].quarantined_at is not None
    assert by_name["aaaa"].quarantined_at is None
    assert by_name["aaaa"].clearance_count
    assert by_name["bad1"].part in render_text(report.tables(LogReader([log])))
