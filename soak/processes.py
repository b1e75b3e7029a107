"""Instances of the program as processes, each with its own loopback address."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import trio

from soak.cut_paths import write_cut
from soak.shifted_clocks import ClockOffsets, write_offsets
from standins.ports import free_port
from standins.relay.cut_paths import PathCut
from standins.relay.raw_client import Caller
from standins.relay.settings_file import Ports, write_instance_settings

__all__ = ["InstanceProcess", "find_free_ports", "instance_ip"]

_READY_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.05


def instance_ip(number: int) -> str:
    """Return the IP address of the instance with a number, from 1."""
    return f"127.0.0.{number + 1}"


def find_free_ports(instance_count: int) -> Ports:
    """Find ports that are free at the IP addresses of all instances, for TCP and UDP."""
    hosts = [instance_ip(number + 1) for number in range(instance_count)]
    return Ports(*(free_port(hosts) for _ in Ports._fields))


def _handles_sighup(pid: int) -> bool:
    """Check whether a process ignores or handles SIGHUP."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        # The process has exited.
        return False
    fields = dict(line.split(":", 1) for line in lines)
    handled_signals = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
    return bool(handled_signals >> (signal.SIGHUP - 1) & 1)


class InstanceProcess:
    """One instance, whose process can be restarted."""

    def __init__(
        self,
        number: int,
        ports: Ports,
        seeds: tuple[str, ...],
        folder: Path,
        ablation: str,
        *,
        shifts_clocks: bool = False,
        cuts_paths: bool = False,
    ) -> None:
        """Create an instance without starting it.

        Args:
            number: Number of the instance, from 1.
            ports: Ports, the same for all instances.
            seeds: IP addresses of the peers that it contacts first.
            folder: Folder for its settings and log.
            ablation: Mechanism that is disabled in it; empty for none.
            shifts_clocks: Whether faults can shift its clocks.
            cuts_paths: Whether faults can cut its paths to workers; not together with clocks.
        """
        self.number = number
        self.incarnation = 0
        self.ports = ports
        self.ip = instance_ip(number)
        self.log_path = folder / f"n{number}.log"
        # Sources of the build to run from the next start; None for this build.
        self.source_folder: Path | None = None
        # Whether the current process runs an earlier build.
        self.is_earlier_build = False
        self._seeds = seeds
        self._settings_path = folder / f"n{number}.toml"
        self._offsets = ClockOffsets()
        self._offsets_path = folder / f"n{number}.clocks"
        write_offsets(self._offsets_path, self._offsets)
        self._cut_path = folder / f"n{number}.cut"
        write_cut(self._cut_path, None)
        module_arguments = ["cleatlink.scripts.main"]
        if ablation:
            module_arguments = ["soak.ablations", ablation]
        elif shifts_clocks:
            module_arguments = ["soak.shifted_clocks", str(self._offsets_path)]
        elif cuts_paths:
            module_arguments = ["soak.cut_paths", str(self._cut_path)]
        self._command = [sys.executable, "-m", *module_arguments, "entry"]
        self._command += ["--settings-file", str(self._settings_path)]
        self._command += ["--metrics-listen", f"{self.ip}:{ports.metrics}"]
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def name(self) -> str:
        """Name of the instance in the history of a run."""
        return f"instance {self.number}"

    @property
    def caller_address(self) -> str:
        """Address for callers."""
        return f"{self.ip}:{self.ports.front}"

    def write_settings(self, store_address: str, retry_allowance: int = 50) -> None:
        """Write the settings file."""
        write_instance_settings(
            self._settings_path,
            self.ports,
            store_address,
            name=f"n{self.number}",
            zone="abc"[self.number % 3],
            ip=self.ip,
            seeds=self._seeds,
            retry_allowance=retry_allowance,
            is_first_start=not self.incarnation,
        )

    def write_invalid_settings(self) -> None:
        """Write an incomplete settings file, as during a write that is not atomic."""
        self._settings_path.write_text("node = ")

    def start(self) -> None:
        """Start a new process."""
        self.incarnation += 1
        environment = None
        self.is_earlier_build = self.source_folder is not None
        if self.source_folder is not None:
            environment = {**os.environ, "PYTHONPATH": str(self.source_folder)}
        with self.log_path.open("ab") as log_file:
            self._process = subprocess.Popen(
                self._command,
                stdout=log_file,
                stderr=log_file,
                cwd=self.source_folder,
                env=environment,
            )

    def shift_clocks(self, suspended_s: float, step_s: float) -> None:
        """Shift the clocks of the instance.

        Args:
            suspended_s: Seconds by which the monotonic clock advances, as if the machine had been
                suspended.
            step_s: Seconds by which the wall clock jumps; may be negative.
        """
        before = self._offsets
        self._offsets = ClockOffsets(before.monotonic_s + suspended_s, before.wall_s + step_s)
        write_offsets(self._offsets_path, self._offsets)

    def cut_paths(self, cut: PathCut | None) -> None:
        """Cut the paths of the instance to all workers, or restore them."""
        write_cut(self._cut_path, cut)

    @property
    def process_id(self) -> int:
        """ID of the current process.

        Raises:
            RuntimeError: No process was started.
        """
        if self._process is None:
            raise RuntimeError(f"{self.name} has no process")
        return self._process.pid

    def exit_code(self) -> int | None:
        """Return the exit code; None while the process runs."""
        return self._process.poll() if self._process is not None else None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def stop(self) -> None:
        """Start a graceful stop."""
        self.send_signal(signal.SIGTERM)

    def reload(self) -> None:
        """Send SIGHUP if the process handles it.

        In the first milliseconds of a process no handler is installed, and SIGHUP ends it.
        """
        if self._process is not None and _handles_sighup(self._process.pid):
            self.send_signal(signal.SIGHUP)

    async def wait_for_exit(self, timeout_s: float) -> int | None:
        """Wait until the process exits; return its exit code, or None after the timeout."""
        with trio.move_on_after(timeout_s):
            while self.exit_code() is None:
                await trio.sleep(_POLL_INTERVAL_S)
        return self.exit_code()

    async def wait_ready(self) -> bool:
        """Wait until the instance is ready; return False after the timeout."""
        with trio.move_on_after(_READY_TIMEOUT_S):
            while not await self._is_ready():
                await trio.sleep(_POLL_INTERVAL_S)
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

    def kill(self) -> None:
        """Kill the process, also if it is paused."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
