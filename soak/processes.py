"""Instances of the program as processes, each at a loopback address of its own."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import trio

from soak.clocked import ClockOffsets, write_offsets
from standins.ports import free_port
from standins.relay.client import Caller
from standins.relay.settings import Ports, write_instance_settings

__all__ = ["InstanceProcess", "free_ports", "instance_ip"]

_START_S = 20.0
_POLL_S = 0.05


def instance_ip(number: int) -> str:
    """Give the IP number of an instance, by its number from 1."""
    return f"127.0.0.{number + 1}"


def free_ports(instances: int) -> Ports:
    """Find ports that are free at the IP number of every instance, for TCP and UDP."""
    hosts = [instance_ip(number + 1) for number in range(instances)]
    return Ports(*(free_port(hosts) for _ in Ports._fields))


def _answers_reload(pid: int) -> bool:
    """Tell whether a process ignores or handles SIGHUP."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        # It is gone.
        return False
    fields = dict(line.split(":", 1) for line in lines)
    answered = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
    return bool(answered >> (signal.SIGHUP - 1) & 1)


class InstanceProcess:
    """One instance, through the lives of its process."""

    def __init__(
        self,
        number: int,
        ports: Ports,
        seeds: tuple[str, ...],
        folder: Path,
        without: str,
        *,
        moves_clocks: bool = False,
    ) -> None:
        """Prepare an instance.

        Args:
            number: Its number, from 1.
            ports: Ports, alike for all instances.
            seeds: IP numbers of those that it asks first.
            folder: Where its settings and its output go.
            without: A mechanism that is switched off in it; empty for none.
            moves_clocks: Whether its clocks are to be set on.
        """
        self.number = number
        self.life = 0
        self.ports = ports
        self.ip = instance_ip(number)
        self.output = folder / f"n{number}.log"
        # Sources of the build that it runs from its next start on; None for this one.
        self.tree: Path | None = None
        # Whether the process that runs is of an earlier build.
        self.is_earlier_build = False
        self._seeds = seeds
        self._settings = folder / f"n{number}.toml"
        self._offsets = ClockOffsets()
        self._clocks = folder / f"n{number}.clocks"
        write_offsets(self._clocks, self._offsets)
        module = ["cleatlink.scripts.main"]
        if without:
            module = ["soak.broken", without]
        elif moves_clocks:
            module = ["soak.clocked", str(self._clocks)]
        self._command = [sys.executable, "-m", *module, "entry"]
        self._command += ["--settings-file", str(self._settings)]
        self._command += ["--metrics-listen", f"{self.ip}:{ports.metrics}"]
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def name(self) -> str:
        """How histories call it."""
        return f"instance {self.number}"

    @property
    def front(self) -> str:
        """Where callers reach it."""
        return f"{self.ip}:{self.ports.front}"

    def write_settings(self, store: str, retry_allowance: int = 50) -> None:
        """Write its settings file."""
        write_instance_settings(
            self._settings,
            self.ports,
            store,
            name=f"n{self.number}",
            zone="abc"[self.number % 3],
            ip=self.ip,
            seeds=self._seeds,
            retry_allowance=retry_allowance,
        )

    def break_settings(self) -> None:
        """Leave a settings file that can't be used, as one that is being written."""
        self._settings.write_text("node = ")

    def start(self) -> None:
        """Start a process."""
        self.life += 1
        environment = None
        self.is_earlier_build = self.tree is not None
        if self.tree is not None:
            environment = {**os.environ, "PYTHONPATH": str(self.tree)}
        with self.output.open("ab") as output:
            self._process = subprocess.Popen(
                self._command, stdout=output, stderr=output, cwd=self.tree, env=environment
            )

    def move_clocks(self, steady_s: float, wall_s: float) -> None:
        """Set its clocks on, or the time of day back.

        Args:
            steady_s: Seconds for which its machine seems to have been suspended.
            wall_s: Seconds by which its time of day steps.
        """
        before = self._offsets
        self._offsets = ClockOffsets(before.steady + steady_s, before.wall + wall_s)
        write_offsets(self._clocks, self._offsets)

    def exit_code(self) -> int | None:
        """Give the exit code; None while the process runs."""
        return self._process.poll() if self._process is not None else None

    def send(self, number: signal.Signals) -> None:
        """Send the process a signal, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def stop(self) -> None:
        """Have it stop as planned."""
        self.send(signal.SIGTERM)

    def reload(self) -> None:
        """Send SIGHUP, once the program's own code runs.

        In the first milliseconds of a process the kernel alone answers its signals, and ends it.
        """
        if self._process is not None and _answers_reload(self._process.pid):
            self.send(signal.SIGHUP)

    async def wait(self, within_s: float) -> int | None:
        """Wait for the end; None if it did not come in time."""
        with trio.move_on_after(within_s):
            while self.exit_code() is None:
                await trio.sleep(_POLL_S)
        return self.exit_code()

    async def wait_ready(self) -> bool:
        """Wait until it takes callers; tells whether it does."""
        with trio.move_on_after(_START_S):
            while not await self._is_ready():
                await trio.sleep(_POLL_S)
            return True
        return False

    async def _is_ready(self) -> bool:
        caller = Caller(f"{self.ip}:{self.ports.ready}")
        try:
            return (await caller.ask("/ready")).status == 200
        except OSError:
            return False
        finally:
            caller.close()

    def end(self) -> None:
        """Kill the process, whatever it does."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
