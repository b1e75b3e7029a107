"""Stand-ins for the cases of this review: store, worker, caller, and instances as processes.

Everything but the instances runs in one asyncio loop of the case's process. The stand-ins use only
the standard library and follow the platform's pages. An instance is started with the command of
the deploy file, on its own loopback address, with the settings of a small deployment.
"""

import asyncio
import base64
import contextlib
import ctypes
import itertools
import json
import os
import shlex
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
_READ_BYTES = 65_536
# Seconds from the last packet until the keep-alive of an instance ends a silent connection.
_KEEP_ALIVE_S = 2.0
# Linux: attaches a packet filter to a socket.
_SO_ATTACH_FILTER = 26
_WORKER_NUMBERS = itertools.count(1)

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class CannotRunError(Exception):
    """The case could not be set up, so it says nothing about the program."""


class Record:
    """The record of a run: a line for each event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._started_at:9.3f} s  {text}\n")
        self._file.flush()


class Message(NamedTuple):
    """A request or an answer; the names of its headers are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; return None if the connection ended before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = data[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Message(start, {name.lower(): value.strip() for name, _, value in pairs}, b"")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with its body; return None if the connection ended before its end."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        if head.headers.get("transfer-encoding") == "chunked":
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(int(head.headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head._replace(body=body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if size == 0:
            return body


def answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Build an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """A server on loopback; subclasses answer one request at a time on each connection."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start to listen; port 0 chooses a free port."""
        self._server = await asyncio.start_server(self._serve_connection, host, port)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """End: stop to listen, and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def serve(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if not await self.serve(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            # The other side has gone, or the case has ended.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def _drop_incoming_packets(sock: socket.socket) -> None:
    """Have the kernel drop all packets that arrive for a connection, so that it acknowledges none.

    So a keep-alive of the other side shows the silence, as on a connection whose path is gone.
    """
    drop_all = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))
    program = struct.pack("HL", 1, ctypes.addressof(drop_all))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


class Store(Server):
    """The platform's store: the configuration and the workers' entries, with a watch."""

    def __init__(self) -> None:
        super().__init__()
        self._revision = 1
        self._items: dict[str, tuple[str, int]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        # Open connections, and those of them that say nothing any more.
        self._open: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()

    def silence_connections(self) -> int:
        """Make the connections that are open now silent for good; new ones work.

        Returns:
            The number of these connections.
        """
        for writer in self._open:
            try:
                _drop_incoming_packets(writer.get_extra_info("socket"))
            except OSError:
                # No packet filters here: end the connection when a keep-alive would.
                asyncio.get_running_loop().call_later(_KEEP_ALIVE_S, writer.transport.abort)
        self._silent |= self._open
        return len(self._open)

    def put(self, key: str, value: dict[str, Any]) -> None:
        """Write an item."""
        self._revision += 1
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        self._items[key] = (encoded, self._revision)
        self._note(self._item(key))

    def delete(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._note({"private_key": key, "revision": self._revision, "gone": True})

    def _note(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _item(self, key: str) -> dict[str, Any]:
        value, revision = self._items[key]
        return {"private_key": key, "value": value, "revision": revision, "made": 1, "lease": 0}

    async def serve(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a read or a watch."""
        self._open.add(writer)
        path, _, query = request.target.partition("?")
        pairs = (pair.partition("=") for pair in query.split("&"))
        fields = {name: value.replace("%2F", "/") for name, _, value in pairs}
        status, value = await self._read(path, fields)
        if writer in self._silent:
            await asyncio.Event().wait()
        headers = {"Content-Type": "application/json"}
        writer.write(answer(status, headers, json.dumps(value).encode()))
        await writer.drain()
        return True

    async def _read(self, path: str, fields: dict[str, str]) -> tuple[int, dict[str, Any]]:
        if path == "/kv-key":
            key = fields["private_key"]
            if key not in self._items:
                return 404, {"at": self._revision}
            return 200, {**self._item(key), "at": self._revision}
        prefix = fields.get("path_prefix", "")
        if path == "/kv-range":
            after = fields.get("after", "")
            keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
            items = [self._item(key) for key in keys]
            return 200, {"items": items, "more": False, "at": self._revision}
        return 200, await self._watch(prefix, int(fields["after"]), int(fields["wait_ms"]))

    async def _watch(self, prefix: str, after: int, wait_ms: int) -> dict[str, Any]:
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["private_key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "at": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class Run(NamedTuple):
    """A run of a request at a worker, and when the request arrived there."""

    request: str
    worker: str
    arrived_at: float = 0.0


class Worker(Server):
    """A worker of a plain service, with slots and a short queue; full, it rejects requests."""

    def __init__(self, service: str, record: Record, *, slots: int = 6, queue: int = 24) -> None:
        super().__init__()
        self.name = f"i-{next(_WORKER_NUMBERS):08x}"
        self.service = service
        self.slots = slots
        self.queue = queue
        self.work_s = 0.03
        self.record = record
        self.runs: list[Run] = []
        self.rejected = 0
        self.answered = 0
        self._free = asyncio.Semaphore(slots)
        self._present = 0

    def entry(self, zone: str) -> dict[str, Any]:
        """Return the entry of the worker in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }

    async def serve(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Run a request, or reject it."""
        if request.headers.get("expected-instance", self.name) != self.name:
            writer.write(answer(421, {"Instance-Id": self.name}))
            return True
        if request.target == "/health":
            writer.write(answer(200, {"Instance-Id": self.name}))
            return True
        name = request.headers.get("attempt-id", "")
        if not name:
            writer.write(answer(400, {"Not-Executed": "1"}))
            return True
        if self._present >= self.slots + self.queue:
            return await self._reject(name, writer)
        self._present += 1
        try:
            async with self._free:
                return await self._run(name, request, writer)
        finally:
            self._present -= 1

    async def _reject(self, name: str, writer: asyncio.StreamWriter) -> bool:
        self.rejected += 1
        self.record.write(f"{self.name} is full and rejects {name} (503, Not-Executed)")
        data = answer(503, {"Not-Executed": "1", "Attempt-Id": name})
        writer.write(data)
        await writer.drain()
        await self.after_answer(name, data, writer)
        return True

    async def _run(self, name: str, request: Message, writer: asyncio.StreamWriter) -> bool:
        self.runs.append(Run(name, self.name, time.monotonic()))
        self.record.write(f"{self.name} runs {name} ({request.method} {request.target})")
        await asyncio.sleep(self.work_s)
        headers = {"Attempt-Id": name, "Server-Stamp": f"stamp.{self.name}.{name}"}
        data = answer(200, headers, f"served {name}".encode())
        writer.write(data)
        await writer.drain()
        await self.after_answer(name, data, writer)
        return True

    async def after_answer(self, name: str, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Take note of an answer that was sent; subclasses add disruptions."""
        self.answered += 1


class Reply(NamedTuple):
    """What a caller got for a request; status 0 if the connection ended without an answer."""

    request: str
    status: int
    body: bytes
    stamp: str


class Caller:
    """A caller with one kept connection."""

    def __init__(self, address: str, record: Record) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._record = record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(
        self, name: str, path: str, *, method: str = "POST", deadline_ms: int = 3000
    ) -> Reply:
        """Send a request and read its answer; a closed connection is opened again first."""
        if self._streams is None:
            self._streams = await asyncio.open_connection(self._host, self._port)
        reader, writer = self._streams
        lines = [f"{method} {path} HTTP/1.1", "Host: h.example", f"Attempt-Id: {name}"]
        lines += [f"Deadline-Milliseconds: {deadline_ms}"]
        lines += ["Content-Length: 0"] if method == "POST" else []
        self._record.write(f"caller sends {name} ({method} {path}) to {self._host}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        try:
            message = await asyncio.wait_for(read_message(reader), deadline_ms / 1000 + 1)
        except (TimeoutError, ConnectionError):
            message = None
        if message is None:
            self.close()
            self._record.write(f"caller gets no answer to {name}")
            return Reply(name, 0, b"", "")
        if message.headers.get("connection") == "close":
            self.close()
        stamp = message.headers.get("server-stamp", "")
        self._record.write(f"caller gets {message.status} for {name} (stamp: {stamp or 'none'})")
        return Reply(name, message.status, message.body, stamp)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


_SETTINGS = """
node = "{name}"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internal_ports = [{peers}, {tunnels}]
seeds = [{seeds}]
bootstrap = {bootstrap}
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
a = "r"
b = "r"
c = "r"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
file_descriptors = 4100
[fault_tolerance]
machines = 2
zones = 1
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
retry_budget_ratio = 0.2
budget_window_s = 10
retry_allowance = 54
fencing_required = true
lease_ms = 3000
thaw_ms = 300
[platform]
address = "{store}"
form = "read"
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
"""


class Ports(NamedTuple):
    """Ports of the instances, alike on all of them."""

    front: int
    ready: int
    control: int
    peers: int
    tunnels: int


def find_ports(hosts: list[str]) -> Ports:
    """Find ports that are free at all addresses, for TCP and UDP."""
    found: list[int] = []
    while len(found) < len(Ports._fields):
        port = _free_port(hosts)
        if port is not None and port not in found:
            found.append(port)
    return Ports(*found)


def _free_port(hosts: list[str]) -> int | None:
    with socket.socket() as first:
        first.bind((hosts[0], 0))
        port: int = first.getsockname()[1]
    for host in hosts:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                try:
                    sock.bind((host, port))
                except OSError:
                    return None
    return port


class Instance:
    """An instance of the program, with the command of the deploy file."""

    def __init__(
        self, number: int, zone: str, ports: Ports, seeds: list[str], folder: Path
    ) -> None:
        self.name = f"front-{zone}-{number}"
        self.ip = f"127.0.0.{number + 10}"
        self.ports = ports
        self.caller_address = f"{self.ip}:{ports.front}"
        self._zone = zone
        self._seeds = seeds
        self._settings = folder / f"{self.name}.toml"
        self._log = folder / f"{self.name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, store: str, *, bootstrap: bool = True) -> None:
        """Start the process."""
        quoted = ", ".join(f'"{seed}:{self.ports.control}"' for seed in self._seeds)
        fields = {**self.ports._asdict(), "name": self.name, "ip": self.ip, "zone": self._zone}
        fields.update(seeds=quoted, store=store, bootstrap=str(bootstrap).lower())
        self._settings.write_text(_SETTINGS.format(**fields), "utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
        command = shlex.split(deploy["roles"]["entry"]["run"].replace("{{ip}}", self.ip))
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["CLEATLINK_BOOT"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def poll(self) -> int | None:
        """Return the exit status of the process; None while it runs."""
        return None if self._process is None else self._process.poll()

    async def wait(self, within_s: float) -> int | None:
        """Wait until the process has ended; return its exit status, or None after the time."""
        until = time.monotonic() + within_s
        while self.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return self.poll()

    async def wait_ready(self, within_s: float = 20.0) -> None:
        """Wait until the instance says that it is ready."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if self.poll() is not None:
                raise CannotRunError(f"{self.name} ended: {self._log.read_text()[-2000:]}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} did not get ready")

    async def is_ready(self) -> bool:
        """Ask the instance once whether it is ready."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            return message is not None and message.status == 200
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()

    def kill(self) -> None:
        """End the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    def log_lines(self, text: str) -> list[str]:
        """Return the lines of the log that contain a text."""
        lines = self._log.read_text("utf-8", "replace").splitlines()
        return [line for line in lines if text in line]


def make_route(prefix: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    route = {
        "name": f"r-{prefix.strip('/')}",
        "host": "h.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "priority": 2,
        "service": service,
        "attempts": 2,
        "sticky": False,
        "resumable": False,
    }
    return {**route, **fields}


def make_configuration(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a configuration."""
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {"version": version, "routes": routes, "services": services, "limits": limits}


def make_service(name: str, **fields: Any) -> dict[str, Any]:
    """Return a service of a configuration."""
    service = {"name": name, "health_path": "/health", "connection_limit": 100}
    return {**service, "protocol": "h1", "tls": False, **fields}


def run_case(
    folder: Path, case: Callable[[Record, Path, bool], Awaitable[bool]], limit_s: float = 110
) -> int:
    """Run a case; return the exit status.

    Args:
        folder: Folder of the case, for its record.
        case: Gets the record, a temporary folder and whether the disruption is on; returns whether
            the rule held.
        limit_s: Time after which the case counts as not run.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"the disruption is {'on' if has_trouble else 'off'}")
    if not (ROOT / "target" / "deps").is_dir():
        record.write("not run: the build of the deploy file is missing")
        return EXIT_NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temporary:
            work = case(record, Path(temporary), has_trouble)
            held = asyncio.run(_limit(work, limit_s))
    except (CannotRunError, TimeoutError, OSError) as error:
        record.write(f"not run: {error!r}")
        return EXIT_NOT_RUN
    record.write("the rule held" if held else "the rule is broken")
    return EXIT_HELD if held else EXIT_BROKEN


async def _limit(work: Awaitable[bool], limit_s: float) -> bool:
    return await asyncio.wait_for(work, limit_s)
