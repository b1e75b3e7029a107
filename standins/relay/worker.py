"""A worker of the platform: a plain service, or an engine that prefills or decodes.

It keeps a ledger of what it ran, so that tests judge by what happened here and
not by what the relay says of itself.
"""

import itertools
import json
import math
from enum import StrEnum
from typing import Any

import trio

from standins.relay.http import LAST_CHUNK, RawCall, RawServer, answer, chunk

__all__ = ["Fault", "Run", "Worker"]

_NAMES = itertools.count(1)
_HANDLE_S = 0.5
_READ_BYTES = 65_536


class Fault(StrEnum):
    """What a worker does wrong with one request."""

    FULL = "full"
    ERROR = "error"
    RESET_BEFORE = "reset before it runs"
    RESET_AFTER = "reset after it ran"
    MUTE = "runs and says nothing"
    GARBAGE = "bytes that are no answer"
    FOREIGN = "another request's answer"
    UNSIGNED = "no signature"
    EXTRA = "a second answer after the first"
    CUT = "breaks off within the answer"


class Run:
    """One run of a request."""

    def __init__(self, request: str, call: RawCall, began_at: float) -> None:
        self.request = request
        self.call = call
        self.began_at = began_at
        self.ended_at: float | None = None
        self.dropped = False


class Worker(RawServer):
    """One worker, under a name that no other has."""

    def __init__(self, service: str, stage: str = "", slots: int = 6, zone: str = "a") -> None:
        super().__init__()
        self.name = f"i-{next(_NAMES)}"
        self.service = service
        self.stage = stage
        self.slots = slots
        self.zone = zone
        self.work_s = 0.01
        self.events = 5
        self.event_s = 0.005
        self.silent_from: int | None = None
        self.silent_s = math.inf
        self.faults: list[Fault] = []
        self.runs: list[Run] = []
        self.arrivals: list[RawCall] = []
        self.handles: dict[str, float] = {}
        self.freed: list[str] = []
        self.leaving = False
        # What it says of itself in the heads of its answers.
        self.says_leaving = False
        # Seconds of rest that it asks for with each refusal; None names no time.
        self.asks_rest_s: float | None = None
        # Calls a second that it says it takes from all instances, as written; None says none.
        self.names_limit: str | None = None
        # Other headers of its answers.
        self.more_headers: dict[str, str] = {}
        # Whether it turns every call away.
        self.sheds = False
        # Calls without an id, which are no request.
        self.strangers: list[RawCall] = []
        self.arrived_at: list[float] = []
        # When calls of any kind came, with those that are no caller's request.
        self.asked_at: list[float] = []
        self.holds: dict[str, int] = {}
        self.held: list[int] = []
        self.dropped_holds: list[str] = []
        self.offers_holds = True
        self.refused_holds = 0
        self.room = 1_000_000
        self.orders: list[dict[str, Any]] = []
        self.highest_fence = 0
        self.body = b"served"
        # Answers of plain calls go out in so many parts, with a pause before each but the first.
        self.answer_parts = 1
        self.part_pause_s = 0.0
        # When this life began; 0 where workers don't say.
        self.born = 0
        # A worker that begins to run a call with this in its body crashes a little later.
        self.crashes_on: bytes | None = None
        self.crash_after_s = 0.02
        # Whether something beside it goes on taking connections after a crash, and closes them.
        self.is_behind_proxy = False
        self.crashed = trio.Event()

    @property
    def port(self) -> int:
        """Where it listens."""
        return int(self.address.rpartition(":")[2])

    def successor(self) -> "Worker":
        """Give a worker that is like this one and comes at its address.

        One that says when it was born comes under its name, a life later; others get a new name.
        """
        other = Worker(self.service, self.stage, self.slots, self.zone)
        if self.born:
            other.name, other.born = self.name, self.born + 1
        other.address = self.address
        other.work_s, other.events, other.event_s = self.work_s, self.events, self.event_s
        other.crashes_on, other.crash_after_s = self.crashes_on, self.crash_after_s
        other.is_behind_proxy = self.is_behind_proxy
        return other

    def registration(self, state: str = "ready") -> dict[str, Any]:
        """Give the entry that the worker writes of itself."""
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        if self.born:
            entry["born"] = self.born
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Answer one request."""
        self.asked_at.append(trio.current_time())
        if call.path.startswith("/kv-handle/"):
            handle = call.path.rpartition("/")[2]
            self.freed.append(handle)
            self.handles.pop(handle, None)
            await stream.send_all(answer(200, self._notice()))
            return True
        if call.path.startswith("/hold-"):
            await stream.send_all(self._answer_hold(call))
            return True
        if call.path == "/order":
            status = self._take_order(json.loads(call.body))
            await stream.send_all(answer(status, self._notice()))
            return True
        if "attempt-id" not in call.headers:
            # Whoever sends this takes the address for another server's.
            self.strangers.append(call)
            await stream.send_all(answer(400, {"Not-Executed": "1", **self._notice()}))
            return True
        self.arrivals.append(call)
        self.arrived_at.append(trio.current_time())
        expected = call.headers.get("expected-instance", self.name)
        if expected != self.name:
            await stream.send_all(answer(421, {"Instance-Id": self.name}))
            return True
        fault = self.faults.pop(0) if self.faults else None
        if fault is Fault.FULL or self.leaving or self.sheds:
            headers = {"Not-Executed": "1", **self._notice(), **self._rest()}
            await stream.send_all(answer(503, headers))
            return True
        if fault is Fault.RESET_BEFORE:
            return False
        if call.headers.get("stage") == "prefill":
            return await self._prefill(call, stream)
        if self.crashes_on is not None and self.crashes_on in call.body + call.target.encode():
            return await self._crash(call)
        if self.stage == "decode":
            return await self._decode(call, stream, fault)
        return await self._plain(call, stream, fault)

    def _notice(self) -> dict[str, str]:
        """Give the headers with which it says something of itself."""
        headers = {"Server-Leaving": "1", "Connection": "close"} if self.says_leaving else {}
        if self.names_limit is not None:
            headers["Server-Limit"] = self.names_limit
        return {**headers, **self.more_headers}

    def _rest(self) -> dict[str, str]:
        """Give the headers with which it asks for a rest."""
        return {} if self.asks_rest_s is None else {"Retry-After": f"{self.asks_rest_s:g}"}

    async def _crash(self, call: RawCall) -> bool:
        """Crash while running a request, with everything else that runs here."""
        self.runs.append(Run(call.headers["attempt-id"], call, trio.current_time()))
        await trio.sleep(self.crash_after_s)
        self.close()
        self.crashed.set()
        return False

    def _answer_hold(self, call: RawCall) -> bytes:
        """Take or drop a hold of memory."""
        if not self.offers_holds:
            return answer(404, {})
        if call.method == "DELETE":
            name = call.path.rpartition("/")[2]
            self.dropped_holds.append(name)
            self.holds.pop(name, None)
            return answer(200, {})
        tokens = int(json.loads(call.body)["tokens"])
        if self.sheds or sum(self.holds.values()) + tokens > self.room:
            self.refused_holds += 1
            return answer(503, {**self._notice(), **self._rest()})
        name = f"hold{len(self.held)}{self.name}"
        self.held.append(tokens)
        self.holds[name] = tokens
        return answer(200, self._notice(), json.dumps({"hold": name}).encode())

    def _take_order(self, order: dict[str, Any]) -> int:
        """Take an order to change the stage; tests decide when it is done."""
        if order["fencing_token"] < self.highest_fence:
            return 412
        self.highest_fence = order["fencing_token"]
        self.orders.append(order)
        return 202

    def _stamped(self, call: RawCall) -> dict[str, str]:
        stamp = {"Attempt-Id": call.headers["attempt-id"], "Server-Stamp": f"stamp.{self.name}"}
        return {**stamp, **self._notice()}

    async def _prefill(self, call: RawCall, stream: trio.SocketStream) -> bool:
        if self.stage != "prefill":
            await stream.send_all(answer(421, {"Instance-Id": self.name}))
            return True
        await trio.sleep(self.work_s)
        handle = f"h{len(self.handles) + len(self.freed)}{self.name}"
        self.handles[handle] = trio.current_time()
        value = {"prefill_handle": handle, "tokens": 10, "version": 1}
        await stream.send_all(answer(200, self._stamped(call), json.dumps(value).encode()))
        return True

    async def _run(self, call: RawCall, stream: trio.SocketStream, work_s: float) -> Run | None:
        """Work on a request; None when its connection closed meanwhile."""
        run = Run(call.headers["attempt-id"], call, trio.current_time())
        self.runs.append(run)
        closed = False

        async def watch(scope: trio.CancelScope) -> None:
            nonlocal closed
            try:
                closed = await stream.receive_some(_READ_BYTES) == b""
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                closed = True
            scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, nursery.cancel_scope)
            await trio.sleep(work_s)
            nursery.cancel_scope.cancel()
        run.ended_at = trio.current_time()
        run.dropped = closed
        return None if closed else run

    async def _plain(self, call: RawCall, stream: trio.SocketStream, fault: Fault | None) -> bool:
        if (
            await self._run(call, stream, self.work_time_s(call)) is None
            or fault is Fault.RESET_AFTER
        ):
            return False
        if fault is Fault.MUTE:
            await trio.sleep_forever()
        if fault is Fault.GARBAGE:
            await stream.send_all(b"\x00\x01 this is no answer \r\n\r\n")
            return False
        headers = self._stamped(call)
        status, body = 200, self.body
        if fault is Fault.ERROR:
            status = 500
        if fault is Fault.FOREIGN:
            headers["Attempt-Id"] = "another"
        if fault is Fault.UNSIGNED:
            del headers["Server-Stamp"]
        whole = answer(status, headers, body)
        if fault is Fault.CUT:
            await stream.send_all(whole[:-2])
            return False
        if fault is Fault.EXTRA:
            whole += answer(200, {**headers, "Attempt-Id": "another"}, b"late")
        await self._send_in_parts(whole, stream)
        return True

    async def _send_in_parts(self, whole: bytes, stream: trio.SocketStream) -> None:
        size = math.ceil(len(whole) / self.answer_parts)
        for begin in range(0, len(whole), size):
            if begin:
                await trio.sleep(self.part_pause_s)
            await stream.send_all(whole[begin : begin + size])

    def work_time_s(self, call: RawCall) -> float:
        """Give the seconds that a plain call takes."""
        return self.work_s

    def event_time_s(self, request: str) -> float:
        """Give the seconds between two events of a request's stream."""
        return self.event_s

    async def _decode(self, call: RawCall, stream: trio.SocketStream, fault: Fault | None) -> bool:
        first = int(call.headers.get("last-event-id", "0")) + 1
        self.holds.pop(call.headers.get("hold", ""), None)
        run = Run(call.headers["attempt-id"], call, trio.current_time())
        self.runs.append(run)
        if fault is Fault.MUTE:
            await trio.sleep_forever()
        lines = ["HTTP/1.1 200 X", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in self._stamped(call).items()]
        try:
            await stream.send_all(("\r\n".join(lines) + "\r\n\r\n").encode())
            for number in range(first, self.events + 1):
                await trio.sleep(self.event_time_s(run.request))
                if number == self.silent_from:
                    await trio.sleep(self.silent_s)
                event = b"id: %d\ndata: %s %d\n\n" % (number, run.request.encode(), number)
                if fault is Fault.CUT and number == self.events // 2 + 1:
                    await stream.send_all(chunk(event[:7]))
                    return False
                await stream.send_all(chunk(event))
            await stream.send_all(LAST_CHUNK)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            run.dropped = True
            return False
        finally:
            run.ended_at = trio.current_time()
        return True
