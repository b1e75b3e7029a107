"""Measures the processor time of one relay instance per request and per event.

The instance runs in its own process. The store, the workers and the callers are stand-ins in
this process, so that only the instance's own time is counted.
"""

import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import trio

from bench.process_usage import pid_processor_time_s
from standins.relay import Worker
from standins.relay.fleet import open_fleet
from standins.relay.raw_client import Caller
from standins.relay.settings_file import Ports, write_settings

__all__ = ["measure_relay"]

_SHORT_EVENTS, _LONG_EVENTS = 1, 70
_EVENT_INTERVAL_S = 0.02
_ARRIVAL_INTERVAL_S = 0.02
_READY_TIMEOUT_S = 10.0
_HEADERS = {"Token-Counts": "100,50", "Model": "m", "Deadline-Milliseconds": "60000"}


async def measure_relay(rounds: int, request_count: int) -> dict[str, Any]:
    """Measure requests through a relay instance.

    Args:
        rounds: Number of runs of each batch; the results are medians.
        request_count: Number of requests in a batch.

    Returns:
        One row: milliseconds of processor time per plain call, per streamed request and per
        event.
    """
    async with open_fleet() as fleet:
        prefill, decode, plain = (
            Worker("model", "prefill"),
            Worker("model", "decode"),
            Worker("plain"),
        )
        for worker in (prefill, decode, plain):
            await fleet.add_worker(worker)
        decode.event_interval_s = _EVENT_INTERVAL_S
        fleet.add_route("/safe/", "safe", "plain", timeout_ms=60_000)
        fleet.add_route("/stream/", "streaming", "model", timeout_ms=60_000)
        fleet.configure({"slots": 500, "kv_cache_tokens": 10_000_000})
        with tempfile.TemporaryDirectory() as directory:
            settings_file = Path(directory) / "settings.toml"
            ports = write_settings(settings_file, fleet)
            process = _start_instance(settings_file)
            try:
                await _wait_ready(ports)
                return await _run_batches(process.pid, decode, ports, rounds, request_count)
            finally:
                process.terminate()
                await trio.to_thread.run_sync(process.wait)


def _start_instance(settings_file: Path) -> "subprocess.Popen[bytes]":
    program = [sys.executable, "-m", "cleatlink.scripts.main"]
    command = [*program, "entry", "--settings-file", str(settings_file)]
    return subprocess.Popen(command, stdout=subprocess.DEVNULL)


async def _wait_ready(ports: Ports) -> None:
    with trio.fail_after(_READY_TIMEOUT_S):
        while True:
            caller = Caller(f"127.0.0.1:{ports.ready}")
            try:
                reply = await caller.ask("/")
            except OSError:
                reply = None
            finally:
                caller.close()
            if reply is not None and reply.status == 200:
                return
            await trio.sleep(0.05)


async def _run_batches(
    pid: int, decode: Worker, ports: Ports, rounds: int, request_count: int
) -> dict[str, Any]:
    calls_s, short_s, long_s = [], [], []
    for _ in range(rounds):
        calls_s.append(await _run_batch(pid, ports, "/safe/x", request_count))
        decode.events = _SHORT_EVENTS
        short_s.append(await _run_batch(pid, ports, "/stream/x", request_count))
        decode.events = _LONG_EVENTS
        long_s.append(await _run_batch(pid, ports, "/stream/x", request_count))
    request_ms = statistics.median(1000 * batch_s / request_count for batch_s in short_s)
    event_count = request_count * (_LONG_EVENTS - _SHORT_EVENTS)
    return {
        "path": "relay",
        "call_ms": statistics.median(1000 * batch_s / request_count for batch_s in calls_s),
        "request_ms": request_ms,
        "event_ms": statistics.median(
            (1000 * batch_s - request_ms * request_count) / event_count for batch_s in long_s
        ),
        "requests": request_count * rounds * 3,
    }


async def _run_batch(pid: int, ports: Ports, path: str, count: int) -> float:
    before_s = pid_processor_time_s(pid)
    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(_send_request, ports, path)
            await trio.sleep(_ARRIVAL_INTERVAL_S)
    return pid_processor_time_s(pid) - before_s


async def _send_request(ports: Ports, path: str) -> None:
    caller = Caller(f"127.0.0.1:{ports.front}")
    reply = await caller.ask(path, "POST", body=b"prompt", headers=_HEADERS)
    caller.close()
    if reply.status != 200 or not reply.is_complete:
        raise RuntimeError(f"request was rejected or its response was incomplete: {reply}")
