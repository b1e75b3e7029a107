"""Tests of the program as a process: start, reload, planned stop, and output."""

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import trio

from standins.relay import Worker
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.raw_client import Caller
from standins.relay.settings_file import write_settings

# Runs the program in an interpreter that takes a minute to exit.
SLOW_EXIT_SCRIPT = """
import atexit, sys, threading, time
atexit.register(time.sleep, 60)
threading.Thread(target=time.sleep, args=(60,)).start()
from cleatlink.scripts.main import main
sys.argv[0] = "cleatlink"
main()
"""
ENTRY_COMMAND = [sys.executable, "-m", "cleatlink.scripts.main", "entry"]


async def request_status(port: int, path: str) -> int:
    caller = Caller(f"127.0.0.1:{port}")
    try:
        return (await caller.ask(path)).status
    except OSError:
        return 0
    finally:
        caller.close()


async def wait_ready(port: int) -> None:
    with trio.fail_after(10):
        while await request_status(port, "/any") != 200:
            await trio.sleep(0.05)


async def offer_plain_service(fleet: Fleet) -> None:
    await fleet.add_worker(Worker("plain"))
    fleet.add_route("/safe/", "safe", "plain")
    fleet.configure()


async def test_start_reload_and_planned_stop(tmp_path: Path) -> None:
    async with open_fleet() as fleet:
        await offer_plain_service(fleet)
        settings_file = tmp_path / "local.toml"
        ports = write_settings(settings_file, fleet)
        valid_settings = settings_file.read_text()
        output = (tmp_path / "out.log").open("wb")
        metrics = ["--metrics-listen", f"127.0.0.1:{ports.metrics}"]
        process = subprocess.Popen(
            [*ENTRY_COMMAND, "--settings-file", str(settings_file), *metrics],
            stdout=output,
        )
        try:
            await wait_ready(ports.ready)
            assert await request_status(ports.front, "/safe/x") == 200
            assert await request_status(ports.metrics, "/metrics") == 200
            settings_file.write_text("node = 7")
            process.send_signal(signal.SIGHUP)
            await trio.sleep(0.5)
            assert await request_status(ports.front, "/safe/x") == 200
            settings_file.write_text(valid_settings)
            process.send_signal(signal.SIGHUP)
            await trio.sleep(0.5)
            assert await request_status(ports.front, "/safe/x") == 200
            process.send_signal(signal.SIGTERM)
            await trio.sleep(0.3)
            assert await request_status(ports.ready, "/any") == 503
            assert await request_status(ports.front, "/safe/x") == 200
            assert await trio.to_thread.run_sync(process.wait, 10) == 0
        finally:
            process.kill()
            process.wait()
            output.close()
        lines = (tmp_path / "out.log").read_text().splitlines()
        message_types = [json.loads(line)["message_type"] for line in lines]
        expected = [
            "instance: starts",
            "instance: new settings are invalid, keeps the current settings",
            "instance: applies reloaded settings",
            "instance: begins a planned stop",
            "instance: completed its planned stop",
        ]
        instance_events = [text for text in message_types if text.startswith("instance: ")]
        assert instance_events == expected
        assert "source: configuration service answers" in message_types
        assert "relay: is answered" in message_types


async def test_repeated_signals_do_not_kill_process(tmp_path: Path) -> None:
    """Guards against signals that kill a process while it starts or stops.

    No handler for SIGHUP was installed while a process was still starting, or had just finished
    its stop, so the signal killed it. A reload of all instances during a restart of some of them
    killed those that were restarting.
    """
    async with open_fleet() as fleet:
        await offer_plain_service(fleet)
        settings_file = tmp_path / "local.toml"
        ports = write_settings(settings_file, fleet)
        settings = settings_file.read_bytes()
        settings_file.unlink()
        os.mkfifo(settings_file)
        process = subprocess.Popen([*ENTRY_COMMAND, "--settings-file", str(settings_file)])
        try:
            # The open returns once the program reads its settings; the program then waits for data.
            pipe = await trio.to_thread.run_sync(os.open, settings_file, os.O_WRONLY)
            process.send_signal(signal.SIGHUP)
            await trio.sleep(0.1)
            settings_file.unlink()
            settings_file.write_bytes(settings)
            os.write(pipe, settings)
            os.close(pipe)
            await wait_ready(ports.ready)
            assert await request_status(ports.front, "/safe/x") == 200
            process.send_signal(signal.SIGTERM)
            while process.poll() is None:
                process.send_signal(signal.SIGHUP)
                process.send_signal(signal.SIGTERM)
                await trio.sleep(0.005)
            assert process.returncode == 0
        finally:
            process.kill()
            process.wait()


async def test_stopped_process_exits_despite_slow_interpreter(tmp_path: Path) -> None:
    """Guards against a process that still runs long after its work has ended.

    On a busy machine processes still ran 5 s after SIGTERM and were killed: the interpreter was
    still releasing all its objects, after the last answer and the last log line.
    """
    async with open_fleet() as fleet:
        await offer_plain_service(fleet)
        settings_file = tmp_path / "local.toml"
        ports = write_settings(settings_file, fleet)
        output = (tmp_path / "out.log").open("wb")
        command = [
            sys.executable,
            "-c",
            SLOW_EXIT_SCRIPT,
            "entry",
            "--settings-file",
            str(settings_file),
        ]
        process = subprocess.Popen(command, stdout=output)
        try:
            await wait_ready(ports.ready)
            process.send_signal(signal.SIGTERM)
            assert await trio.to_thread.run_sync(process.wait, 20) == 0
        finally:
            process.kill()
            process.wait()
            output.close()
        last = (tmp_path / "out.log").read_text().splitlines()[-1]
        assert json.loads(last)["message_type"] == "instance: completed its planned stop"


def test_invalid_settings_print_one_line_per_fault(tmp_path: Path) -> None:
    settings_file = tmp_path / "local.toml"
    settings_file.write_text('node = "n1"\nip = "127.0.0.1"\ninternal_ports = [1]\nseeds = []\n')
    result = subprocess.run(
        [*ENTRY_COMMAND, "--settings-file", str(settings_file)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 1
    assert result.stdout == ""
    lines = result.stderr.splitlines()
    assert len(lines) == 11
    assert all(
        line.startswith(f"{settings_file}: ") and line.endswith("is missing") for line in lines
    )


async def test_address_in_use_prints_one_line(tmp_path: Path) -> None:
    async with open_fleet() as fleet:
        settings_file = tmp_path / "local.toml"
        ports = write_settings(settings_file, fleet)
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", ports.metrics))
            taken.listen()
            command = [*ENTRY_COMMAND, "--settings-file", str(settings_file)]
            command += ["--metrics-listen", f"127.0.0.1:{ports.metrics}"]
            result = await trio.run_process(
                command, capture_stdout=True, capture_stderr=True, check=False
            )
        assert result.returncode == 1
        text = f"{settings_file}: can't listen on 127.0.0.1:{ports.metrics}: Address already in use"
        assert result.stderr.decode().splitlines() == [text]
