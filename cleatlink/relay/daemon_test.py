"""The program as a process: start, reload, planned stop, and what it writes."""

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import trio

from standins.relay import Worker
from standins.relay.client import Caller
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.settings import write_settings

# How the program is run with an interpreter that takes a minute to end.
SLOW_END = """
import atexit, sys, threading, time
atexit.register(time.sleep, 60)
threading.Thread(target=time.sleep, args=(60,)).start()
from cleatlink.scripts.main import main
sys.argv[0] = "cleatlink"
main()
"""
PROGRAM = [sys.executable, "-m", "cleatlink.scripts.main", "entry"]


async def ask(port: int, path: str) -> int:
    caller = Caller(f"127.0.0.1:{port}")
    try:
        return (await caller.ask(path)).status
    except OSError:
        return 0
    finally:
        caller.close()


async def wait_ready(port: int) -> None:
    with trio.fail_after(10):
        while await ask(port, "/any") != 200:
            await trio.sleep(0.05)


async def offer_plain_service(fleet: Fleet) -> None:
    await fleet.add_worker(Worker("plain"))
    fleet.add_route("/safe/", "safe", "plain")
    fleet.configure()


async def test_start_reload_and_planned_stop(tmp_path: Path) -> None:
    async with open_fleet() as fleet:
        await offer_plain_service(fleet)
        file = tmp_path / "local.toml"
        ports = write_settings(file, fleet)
        good = file.read_text()
        output = (tmp_path / "out.log").open("wb")
        metrics = ["--metrics-listen", f"127.0.0.1:{ports.metrics}"]
        process = subprocess.Popen(
            [*PROGRAM, "--settings-file", str(file), *metrics], stdout=output
        )
        try:
            await wait_ready(ports.ready)
            assert await ask(ports.front, "/safe/x") == 200
            assert await ask(ports.metrics, "/metrics") == 200
            file.write_text("node = 7")
            process.send_signal(signal.SIGHUP)
            await trio.sleep(0.5)
            assert await ask(ports.front, "/safe/x") == 200
            file.write_text(good)
            process.send_signal(signal.SIGHUP)
            await trio.sleep(0.5)
            assert await ask(ports.front, "/safe/x") == 200
            process.send_signal(signal.SIGTERM)
            await trio.sleep(0.3)
            assert await ask(ports.ready, "/any") == 503
            assert await ask(ports.front, "/safe/x") == 200
            assert await trio.to_thread.run_sync(process.wait, 10) == 0
        finally:
            process.kill()
            process.wait()
            output.close()
        lines = (tmp_path / "out.log").read_text().splitlines()
        kinds = [json.loads(line)["message_type"] for line in lines]
        wanted = ["starts", "keeps its settings", "reloads its settings", "stops", "has stopped"]
        found = [kind for kind in kinds if kind.startswith("instance: ")]
        assert found == [f"instance: {text}" for text in wanted]
        assert "source: found" in kinds
        assert "relay: is answered" in kinds


async def test_signals_in_series_end_nothing_early(tmp_path: Path) -> None:
    """Signals come at any moment, also while a process starts and while it ends.

    SIGHUP killed a process that was still starting, or had just finished its stop, because nothing
    handled it there: a reload of all instances during a restart of some took these out.
    """
    async with open_fleet() as fleet:
        await offer_plain_service(fleet)
        file = tmp_path / "local.toml"
        ports = write_settings(file, fleet)
        settings = file.read_bytes()
        file.unlink()
        os.mkfifo(file)
        process = subprocess.Popen([*PROGRAM, "--settings-file", str(file)])
        try:
            # Opens once the program reads its settings, and has it wait for them.
            pipe = await trio.to_thread.run_sync(os.open, file, os.O_WRONLY)
            process.send_signal(signal.SIGHUP)
            await trio.sleep(0.1)
            file.unlink()
            file.write_bytes(settings)
            os.write(pipe, settings)
            os.close(pipe)
            await wait_ready(ports.ready)
            assert await ask(ports.front, "/safe/x") == 200
            process.send_signal(signal.SIGTERM)
            while process.poll() is None:
                process.send_signal(signal.SIGHUP)
                process.send_signal(signal.SIGTERM)
                await trio.sleep(0.005)
            assert process.returncode == 0
        finally:
            process.kill()
            process.wait()


async def test_stopped_process_is_gone_however_long_its_interpreter_takes(tmp_path: Path) -> None:
    """A process ends when its work has ended.

    Processes were still there 5 s after SIGTERM on a busy machine, and were killed: the
    interpreter released all that it had, after the last answer and the last log line.
    """
    async with open_fleet() as fleet:
        await offer_plain_service(fleet)
        file = tmp_path / "local.toml"
        ports = write_settings(file, fleet)
        output = (tmp_path / "out.log").open("wb")
        command = [sys.executable, "-c", SLOW_END, "entry", "--settings-file", str(file)]
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
        assert json.loads(last)["message_type"] == "instance: has stopped"


def test_bad_settings_end_with_a_line_for_each_fault(tmp_path: Path) -> None:
    file = tmp_path / "local.toml"
    file.write_text('node = "n1"\nip = "127.0.0.1"\ninternal_ports = [1]\nseeds = []\n')
    done = subprocess.run(
        [*PROGRAM, "--settings-file", str(file)], capture_output=True, text=True, check=False
    )
    assert done.returncode == 1
    assert done.stdout == ""
    lines = done.stderr.splitlines()
    assert len(lines) == 11
    assert all(line.startswith(f"{file}: ") and line.endswith("is missing") for line in lines)


async def test_address_that_is_taken_ends_with_one_line(tmp_path: Path) -> None:
    async with open_fleet() as fleet:
        file = tmp_path / "local.toml"
        ports = write_settings(file, fleet)
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", ports.metrics))
            taken.listen()
            command = [*PROGRAM, "--settings-file", str(file)]
            command += ["--metrics-listen", f"127.0.0.1:{ports.metrics}"]
            done = await trio.run_process(
                command, capture_stdout=True, capture_stderr=True, check=False
            )
        assert done.returncode == 1
        text = f"{file}: can't listen on 127.0.0.1:{ports.metrics}: Address already in use"
        assert done.stderr.decode().splitlines() == [text]
