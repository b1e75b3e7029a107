"""Starts the processes of a small fleet on loopback and ends them again."""

import json
import os
import signal
import subprocess
import sys
from typing import Any, NamedTuple

import httpx
import trio

__all__ = ["Cluster", "Process"]

_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 15.0


class Process(NamedTuple):
    """One started process and what it printed first."""

    name: str
    data_centre: str
    process: trio.Process
    address: str
    peer_address: str


class Cluster:
    """A fleet of processes; every one is ended by ``close``."""

    def __init__(self, broken: str = "") -> None:
        self._entry_command = ["-m", "cleatlink.scripts.main"]
        if broken:
            self._entry_command = ["-m", "demo.broken", broken]
        self.platform: Process | None = None
        self.engines: dict[str, Process] = {}
        self.services: dict[str, Process] = {}
        self.entries: dict[str, Process] = {}
        self.client = httpx.AsyncClient(timeout=30.0, trust_env=False)
        self._pools: dict[str, str] = {}
        self._leaving: set[str] = set()
        self._dead: set[str] = set()

    async def start_platform(self) -> None:
        """Start the platform's stand-in."""
        self.platform = await self._start("platform", "", _standin("platform"))

    async def start_engine(self, name: str, data_centre: str, pool: str, *flags: str) -> None:
        """Start a model engine in a pool."""
        command = _standin("engine", "--name", name, *flags)
        self.engines[name] = await self._start(name, data_centre, command)
        self._pools[name] = pool

    async def start_service(self, name: str, data_centre: str, pool: str) -> None:
        """Start a plain service in a pool."""
        command = _standin("service", "--name", name)
        self.services[name] = await self._start(name, data_centre, command)
        self._pools[name] = pool

    async def start_entry(self, name: str, data_centre: str, *flags: str) -> None:
        """Start an entry instance."""
        assert self.platform is not None
        command = [sys.executable, *self._entry_command, "entry", "--name", name]
        command += ["--data-centre", data_centre, "--platform", self.platform.address]
        command += ["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", *flags]
        self.entries[name] = await self._start(name, data_centre, command)

    async def publish_configuration(self, text: str) -> int:
        """Publish a configuration and give its revision."""
        answer = await self._platform("publish/config", text)
        return int(answer["revision"])

    async def publish_fleet(self) -> None:
        """Publish the instance list as it is now."""
        endpoints = [
            {
                "name": item.name,
                "address": item.address,
                "data_centre": item.data_centre,
                "pool": self._pools[item.name],
                "state": "leaving" if item.name in self._leaving else "live",
            }
            for item in (*self.engines.values(), *self.services.values())
            if item.name not in self._dead
        ]
        instances = [
            {
                "name": item.name,
                "peer_address": item.peer_address,
                "data_centre": item.data_centre,
                "state": "live",
            }
            for item in self.entries.values()
            if item.name not in self._dead
        ]
        await self._platform("publish/instances", {"endpoints": endpoints, "instances": instances})

    async def set_platform_faults(self, **faults: Any) -> None:
        """Let the platform go down or stale, or recover."""
        await self._platform("faults", faults)

    async def set_faults(self, name: str, **faults: Any) -> None:
        """Let an engine or a service have a fault."""
        item = self.engines.get(name) or self.services[name]
        await self.client.post(f"http://{item.address}/admin/faults", json=faults)

    async def status(self, name: str) -> dict[str, Any] | None:
        """Ask an entry for its status; None if it does not answer at once."""
        try:
            url = f"http://{self.entries[name].address}/status"
            data: dict[str, Any] = (await self.client.get(url, timeout=0.5)).json()
        except httpx.HTTPError:
            return None
        return data

    async def ledger(self, name: str) -> dict[str, Any]:
        """Read an engine's or a service's own ledger."""
        item = self.engines.get(name) or self.services[name]
        answer = await self.client.get(f"http://{item.address}/admin/ledger")
        data: dict[str, Any] = answer.json()
        return data

    async def wait_ready(self, *names: str) -> None:
        """Wait until entries are ready."""
        with trio.fail_after(_START_TIMEOUT_S):
            for name in names or tuple(self.entries):
                while not await self._is_ready(self.entries[name].address):
                    await trio.sleep(0.05)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this cluster started."""
        item = self.entries.get(name) or self.engines.get(name) or self.services[name]
        if number is signal.SIGKILL:
            self._dead.add(name)
        item.process.send_signal(number)

    async def wait_exit(self, name: str) -> int:
        """Wait until an entry has ended, and give its exit code."""
        self._dead.add(name)
        return await self.entries[name].process.wait()

    async def close(self) -> None:
        """End every process, entries first."""
        await self.client.aclose()
        items = [*self.entries.values(), *self.engines.values(), *self.services.values()]
        if self.platform is not None:
            items.append(self.platform)
        for item in items:
            if item.process.returncode is None:
                item.process.kill()
            await item.process.wait()

    async def _is_ready(self, address: str) -> bool:
        try:
            return (await self.client.get(f"http://{address}/readyz")).status_code == 200
        except httpx.HTTPError:
            return False

    async def _platform(self, path: str, body: Any) -> dict[str, Any]:
        assert self.platform is not None
        url = f"http://{self.platform.address}/admin/{path}"
        data: dict[str, Any] = (await self.client.post(url, json=body)).json()
        return data

    async def _start(self, name: str, data_centre: str, command: list[str]) -> Process:
        process = await trio.lowlevel.open_process(
            command,
            stdout=subprocess.PIPE,
            stderr=None if os.environ.get("CLEATLINK_DEMO_LOGS") else subprocess.DEVNULL,
        )
        line = b""
        try:
            with trio.fail_after(_START_TIMEOUT_S):
                assert process.stdout is not None
                while not line.endswith(b"\n"):
                    part = await process.stdout.receive_some()
                    if not part:
                        raise RuntimeError(f"{name} ended before it listened")
                    line += part
        except BaseException:
            process.kill()
            raise
        said = json.loads(line)
        return Process(name, data_centre, process, said["address"], said.get("peer_address", ""))


def _standin(kind: str, *flags: str) -> list[str]:
    return [sys.executable, "-m", "standins.main", kind, *flags]
