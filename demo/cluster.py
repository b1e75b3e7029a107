"""Starts and stops the processes of a small fleet on loopback."""

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
    """A started process with the addresses that it printed.

    Attributes:
        name: Name of the instance or endpoint.
        data_centre: Data centre of the process; empty for the platform.
        process: The operating system's process.
        address: Address at which the process serves HTTP.
        peer_address: Address for messages of peers; empty unless the process is an entry.
    """

    name: str
    data_centre: str
    process: trio.Process
    address: str
    peer_address: str


class Cluster:
    """A fleet of processes; ``close`` ends all of them."""

    def __init__(self, disabled_mechanism: str = "") -> None:
        """Create a fleet without processes.

        Args:
            disabled_mechanism: Mechanism that entries run without, a key of
                ``standins.ablations.ABLATIONS``; empty for none.
        """
        self._entry_command = ["-m", "cleatlink.scripts.main"]
        if disabled_mechanism:
            self._entry_command = ["-m", "demo.ablated_entry", disabled_mechanism]
        self.platform: Process | None = None
        self.engines: dict[str, Process] = {}
        self.services: dict[str, Process] = {}
        self.entries: dict[str, Process] = {}
        self.client = httpx.AsyncClient(timeout=30.0, trust_env=False)
        self._pools: dict[str, str] = {}
        self._leaving: set[str] = set()
        self._ended: set[str] = set()

    async def start_platform(self) -> None:
        """Start the simulated platform."""
        self.platform = await self._start("platform", "", _standin_command("platform"))

    async def start_engine(self, name: str, data_centre: str, pool: str, *flags: str) -> None:
        """Start a simulated model engine in a pool."""
        command = _standin_command("engine", "--name", name, *flags)
        self.engines[name] = await self._start(name, data_centre, command)
        self._pools[name] = pool

    async def start_service(self, name: str, data_centre: str, pool: str) -> None:
        """Start a simulated plain service in a pool."""
        command = _standin_command("service", "--name", name)
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
        """Publish a configuration and return its revision."""
        response = await self._post_to_platform("publish/config", text)
        return int(response["revision"])

    async def publish_fleet(self) -> None:
        """Publish the list of endpoints and instances, without the processes that have ended."""
        endpoints = [
            {
                "name": member.name,
                "address": member.address,
                "data_centre": member.data_centre,
                "pool": self._pools[member.name],
                "state": "leaving" if member.name in self._leaving else "live",
            }
            for member in (*self.engines.values(), *self.services.values())
            if member.name not in self._ended
        ]
        instances = [
            {
                "name": member.name,
                "peer_address": member.peer_address,
                "data_centre": member.data_centre,
                "state": "live",
            }
            for member in self.entries.values()
            if member.name not in self._ended
        ]
        await self._post_to_platform(
            "publish/instances", {"endpoints": endpoints, "instances": instances}
        )

    async def set_platform_faults(self, **faults: Any) -> None:
        """Make the platform unavailable or its documents outdated, or end these faults."""
        await self._post_to_platform("faults", faults)

    async def set_faults(self, name: str, **faults: Any) -> None:
        """Set faults of an engine or a service."""
        endpoint = self.engines.get(name) or self.services[name]
        await self.client.post(f"http://{endpoint.address}/admin/faults", json=faults)

    async def status(self, name: str) -> dict[str, Any] | None:
        """Request the status of an entry; None if it does not answer within half a second."""
        try:
            url = f"http://{self.entries[name].address}/status"
            data: dict[str, Any] = (await self.client.get(url, timeout=0.5)).json()
        except httpx.HTTPError:
            return None
        return data

    async def ledger(self, name: str) -> dict[str, Any]:
        """Read what an engine or a service has recorded about its own work."""
        endpoint = self.engines.get(name) or self.services[name]
        response = await self.client.get(f"http://{endpoint.address}/admin/ledger")
        data: dict[str, Any] = response.json()
        return data

    async def wait_ready(self, *names: str) -> None:
        """Wait until the named entries are ready, or all entries if none is named."""
        with trio.fail_after(_START_TIMEOUT_S):
            for name in names or tuple(self.entries):
                while not await self._is_ready(self.entries[name].address):
                    await trio.sleep(0.05)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to an entry, an engine or a service."""
        target = self.entries.get(name) or self.engines.get(name) or self.services[name]
        if number is signal.SIGKILL:
            self._ended.add(name)
        target.process.send_signal(number)

    async def wait_exit(self, name: str) -> int:
        """Wait until an entry has ended, and return its exit code."""
        self._ended.add(name)
        return await self.entries[name].process.wait()

    async def close(self) -> None:
        """End all processes, entries first."""
        await self.client.aclose()
        members = [*self.entries.values(), *self.engines.values(), *self.services.values()]
        if self.platform is not None:
            members.append(self.platform)
        for member in members:
            if member.process.returncode is None:
                member.process.kill()
            await member.process.wait()

    async def _is_ready(self, address: str) -> bool:
        try:
            return (await self.client.get(f"http://{address}/readyz")).status_code == 200
        except httpx.HTTPError:
            return False

    async def _post_to_platform(self, path: str, body: Any) -> dict[str, Any]:
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
                    data = await process.stdout.receive_some()
                    if not data:
                        raise RuntimeError(f"{name} ended before it printed its address")
                    line += data
        except BaseException:
            process.kill()
            raise
        printed = json.loads(line)
        return Process(
            name, data_centre, process, printed["address"], printed.get("peer_address", "")
        )


def _standin_command(kind: str, *flags: str) -> list[str]:
    return [sys.executable, "-m", "standins.main", kind, *flags]
