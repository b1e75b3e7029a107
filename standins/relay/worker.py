"""A simulated worker: a plain service, or an engine that prefills or decodes.

A worker records what it ran, so that tests check what happened at the worker instead of what the
relay reports.
"""

import itertools
import json
import math
from enum import StrEnum
from typing import Any

import trio

from standins.relay.endless_answers import EndlessAnswers, EndlessPart
from standins.relay.extra_arrivals import WorkerArrival
from standins.relay.raw_server import LAST_CHUNK, RawCall, RawServer, answer, chunk, reset
from standins.relay.rejections import Rejections
from standins.relay.stream_builds import mark_event

__all__ = ["SIGNATURE_PREFIX", "Fault", "Run", "Worker", "prompt_parts"]

# A signature consists of this and the name of the worker.
SIGNATURE_PREFIX = "stamp."
_NAME_NUMBERS = itertools.count(1)
_HANDLE_LIFETIME_S = 0.5
_READ_BYTES = 65_536


class Fault(StrEnum):
    """How a worker mishandles one request."""

    FULL = "full"
    ERROR = "error"
    RESET_BEFORE = "reset before it runs"
    RESET_AFTER = "reset after it ran"
    NO_RESPONSE = "runs and says nothing"
    GARBAGE = "bytes that are no answer"
    WRONG_REQUEST_ID = "another request's answer"
    UNSIGNED = "no signature"
    EXTRA_RESPONSE = "a second answer after the first"
    TRUNCATED = "breaks off within the answer"
    OWN_STATUS = "runs it, then answers with a status of its own"
    REPEATED_REJECTION = "rejects it, and rejects again when the next request has come in"
    ENDLESS = "bytes without end"
    ENDLESS_WITHIN = "an event without end within a stream"


def prompt_parts(call: RawCall) -> list[str]:
    """Return the identifiers of the parts of a call's prompt, in their order."""
    items = call.headers.get("prompt-prefix", "").split(",")
    return [item.partition(":")[0] for item in items if item]


class Run:
    """A run of a request.

    Attributes:
        request: ID of the request.
        call: The request.
        began_at: When the run began.
        ended_at: When it ended; None until then.
        connection_closed: Whether its connection closed before the end.
        status: Status that the worker returned; None if it returned none.
    """

    def __init__(self, request: str, call: RawCall, began_at: float) -> None:
        self.request = request
        self.call = call
        self.began_at = began_at
        self.ended_at: float | None = None
        self.connection_closed = False
        self.status: int | None = None


class Worker(RawServer):
    """A worker with a unique name."""

    def __init__(self, service: str, stage: str = "", slots: int = 6, zone: str = "a") -> None:
        super().__init__()
        self.name = f"i-{next(_NAME_NUMBERS)}"
        self.service = service
        self.stage = stage
        # Version of its software, and whether the events of its streams name it.
        self.build = "v1"
        self.marks_events = False
        self.slots = slots
        self.zone = zone
        self.run_duration_s = 0.01
        self.events = 5
        self.event_interval_s = 0.005
        # Number of the event before which a stream pauses for ``silent_s``; None disables this.
        self.silent_from_event: int | None = None
        self.silent_s = math.inf
        # How it mishandles the next requests, one item each; None handles one properly.
        self.faults: list[Fault | None] = []
        self.runs: list[Run] = []
        self.arrivals: list[RawCall] = []
        # The same arrivals with their times, to count them against the retry budget.
        self.arrival_records: list[WorkerArrival] = []
        self.handles: dict[str, float] = {}
        # Handles that the relay deleted.
        self.deleted_handles: list[str] = []
        # Whether it rejects every request, as an endpoint does while it shuts down.
        self.leaving = False
        # Whether its response headers announce that it shuts down.
        self.announces_leaving = False
        # Backoff that it requests with each rejection, in seconds; None requests none.
        self.requested_backoff_s: float | None = None
        # Limit on calls per second from all instances together, as written into the header; None
        # announces none.
        self.announced_limit: str | None = None
        # Additional headers of its responses.
        self.extra_headers: dict[str, str] = {}
        # Whether it rejects every request and reservation.
        self.rejects_work = False
        self.rejections = Rejections()
        # Status with which it answers requests that it ran, for ``Fault.OWN_STATUS``.
        self.own_status = 503
        # Part that has no end, for ``Fault.ENDLESS``.
        self.endless_part = EndlessPart.HEAD
        self.endless = EndlessAnswers()
        # Calls without a request id, which were meant for another server at this address.
        self.calls_without_id: list[RawCall] = []
        self.arrival_times: list[float] = []
        # Arrival times of all calls, including those that don't carry a caller's request.
        self.all_arrival_times: list[float] = []
        # Reserved tokens by the id of the reservation, until it is used or cancelled.
        self.reservations: dict[str, int] = {}
        # Tokens of each reservation that was granted.
        self.granted_reservation_tokens: list[int] = []
        self.cancelled_reservations: list[str] = []
        self.offers_reservations = True
        self.rejected_reservations = 0
        # Tokens that can be reserved at the same time.
        self.reservable_tokens = 1_000_000
        self.role_changes: list[dict[str, Any]] = []
        self.highest_fencing_token = 0
        self.body = b"served"
        # Number of parts in which responses to plain calls are sent, with a pause before each part
        # but the first.
        self.response_parts = 1
        self.part_pause_s = 0.0
        # Whether responses have neither a length nor chunks, and end with their connection.
        self.ends_with_connection = False
        # Start time of this incarnation, in milliseconds; 0 if the worker does not report it.
        self.born = 0
        # Marker in a call's body or target: running such a call crashes the worker after
        # ``crash_after_s``. None disables crashes.
        self.crash_marker: bytes | None = None
        self.crash_after_s = 0.02
        # Parts of prompts: beginning an answer to a prompt that contains one of them, other than
        # as its last part, crashes the worker after ``crash_after_s``.
        self.crash_parts: frozenset[str] = frozenset()
        # Whether a proxy in front of it still accepts connections after a crash, and closes them.
        self.is_behind_proxy = False
        self.crashed = trio.Event()

    @property
    def port(self) -> int:
        """Port of its address."""
        return int(self.address.rpartition(":")[2])

    def successor(self) -> "Worker":
        """Return a replacement with the same service, timing and crash settings, for this address.

        If this worker reports its start time, the replacement is its next incarnation under the
        same name; otherwise it has a new name.
        """
        replacement = Worker(self.service, self.stage, self.slots, self.zone)
        if self.born:
            replacement.name, replacement.born = self.name, self.born + 1
        replacement.address = self.address
        replacement.build, replacement.marks_events = self.build, self.marks_events
        replacement.run_duration_s, replacement.events, replacement.event_interval_s = (
            self.run_duration_s,
            self.events,
            self.event_interval_s,
        )
        replacement.crash_marker, replacement.crash_after_s = self.crash_marker, self.crash_after_s
        replacement.crash_parts = self.crash_parts
        replacement.is_behind_proxy = self.is_behind_proxy
        return replacement

    def registration(self, state: str = "ready") -> dict[str, Any]:
        """Return the entry by which the worker registers itself."""
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.build,
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
        """Respond to one call."""
        self.all_arrival_times.append(trio.current_time())
        await self.rejections.send_due(stream)
        if call.path.startswith(self.endless.paths):
            await self._send_without_end(stream, self._notice_headers())
        if call.path.startswith("/kv-handle/"):
            handle = call.path.rpartition("/")[2]
            self.deleted_handles.append(handle)
            self.handles.pop(handle, None)
            return await self._send_answer(stream, 200, self._notice_headers())
        if call.path.startswith("/hold-"):
            return await self._serve_reservation(call, stream)
        if call.path == "/order":
            status = self._accept_role_change(json.loads(call.body))
            await self.send(stream, answer(status, self._notice_headers()))
            return True
        if "attempt-id" not in call.headers:
            # The sender takes the address for that of another server.
            self.calls_without_id.append(call)
            await self.send(stream, answer(400, {"Not-Executed": "1", **self._notice_headers()}))
            return True
        self.arrivals.append(call)
        now = trio.current_time()
        self.arrival_times.append(now)
        number = len(self.arrival_records)
        self.arrival_records.append(WorkerArrival(call.headers["attempt-id"], self.service, now))
        expected = call.headers.get("expected-instance", self.name)
        if expected != self.name:
            await self.send(stream, answer(421, {"Instance-Id": self.name}))
            return True
        fault = self.faults.pop(0) if self.faults else None
        is_repeated = fault is Fault.REPEATED_REJECTION
        if is_repeated or fault is Fault.FULL or self.leaving or self.rejects_work:
            return await self._reject(call, stream, is_repeated=is_repeated)
        if fault is Fault.RESET_BEFORE:
            return False
        if call.headers.get("stage") == "prefill":
            return await self._serve_prefill(call, stream, number, fault)
        if self.crash_marker is not None and self.crash_marker in call.body + call.target.encode():
            return await self._crash(call)
        if self.stage == "decode":
            if self.crashes_on_prompt(call):
                return await self._crash(call)
            return await self._serve_decode(call, stream, fault)
        return await self._serve_plain(call, stream, fault)

    async def _reject(self, call: RawCall, stream: trio.SocketStream, *, is_repeated: bool) -> bool:
        """Reject a call; return whether the connection stays open after it."""
        headers = {
            **self.rejections.headers(call),
            **self._notice_headers(),
            **self._backoff_headers(),
        }
        if is_repeated:
            self.rejections.repeat_later(stream, headers)
        return await self._send_answer(stream, self.rejections.status, headers)

    async def _send_own_status(self, run: Run, stream: trio.SocketStream) -> bool:
        """Answer a call that ran with a status of rejections, without their mark."""
        run.status, run.ended_at = self.own_status, trio.current_time()
        headers = {**self._signed_headers(run.call), **self._backoff_headers()}
        return await self._send_answer(stream, self.own_status, headers, b"failed")

    async def _run_without_end(
        self, run: Run, stream: trio.SocketStream, body: bytes, first_event: int = 1
    ) -> None:
        """Answer a call that ran with bytes without end; the body is that of a whole answer."""
        part, headers = self.choose_endless_part(run.call), self._signed_headers(run.call)
        run.status = None if part in (EndlessPart.INTERIM, EndlessPart.GARBAGE) else 200
        try:
            whole = answer(200, headers, body)
            await self.endless.send(stream, part, headers, whole, first_event)
        finally:
            run.ended_at = trio.current_time()

    async def _send_answer(
        self, stream: trio.SocketStream, status: int, headers: dict[str, str], body: bytes = b""
    ) -> bool:
        """Send a complete response; return whether the connection stays open after it."""
        has_length = not self.ends_with_connection
        await self._send_in_parts(answer(status, headers, body, has_length=has_length), stream)
        return has_length

    async def _send_without_end(
        self, stream: trio.SocketStream, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Send an answer without end; the body is that of a whole answer before it."""
        whole = answer(200, headers, body)
        await self.endless.send(stream, self.endless_part, headers, whole)

    def _notice_headers(self) -> dict[str, str]:
        """Return the headers of its notices, which any response may have."""
        headers = {"Server-Leaving": "1", "Connection": "close"} if self.announces_leaving else {}
        if self.announced_limit is not None:
            headers["Server-Limit"] = self.announced_limit
        return {**headers, **self.extra_headers}

    def _backoff_headers(self) -> dict[str, str]:
        """Return the header that requests a backoff, if one is set."""
        return (
            {}
            if self.requested_backoff_s is None
            else {"Retry-After": f"{self.requested_backoff_s:g}"}
        )

    def crashes_on_prompt(self, call: RawCall) -> bool:
        """Check whether a part of a call's prompt crashes the worker."""
        return not self.crash_parts.isdisjoint(prompt_parts(call)[:-1])

    async def _crash(self, call: RawCall) -> bool:
        """Crash while running a request; all other runs of the worker end, too."""
        self.runs.append(Run(call.headers["attempt-id"], call, trio.current_time()))
        await trio.sleep(self.crash_after_s)
        self.close()
        self.crashed.set()
        return False

    async def _serve_reservation(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Create or cancel a reservation of memory, called a hold in the protocol."""
        if not self.offers_reservations:
            return await self._send_answer(stream, 404, {})
        if call.method == "DELETE":
            name = call.path.rpartition("/")[2]
            self.cancelled_reservations.append(name)
            self.reservations.pop(name, None)
            return await self._send_answer(stream, 200, {})
        tokens = int(json.loads(call.body)["tokens"])
        if self.rejects_work or sum(self.reservations.values()) + tokens > self.reservable_tokens:
            self.rejected_reservations += 1
            headers = {**self._notice_headers(), **self._backoff_headers()}
            return await self._send_answer(stream, 503, headers)
        name = f"hold{len(self.granted_reservation_tokens)}{self.name}"
        self.granted_reservation_tokens.append(tokens)
        self.reservations[name] = tokens
        body = json.dumps({"hold": name}).encode()
        return await self._send_answer(stream, 200, self._notice_headers(), body)

    def _accept_role_change(self, order: dict[str, Any]) -> int:
        """Accept or reject an order to change the role; the test decides when it takes effect.

        Returns:
            The status of the response.
        """
        if order["fencing_token"] < self.highest_fencing_token:
            return 412
        self.highest_fencing_token = order["fencing_token"]
        self.role_changes.append(order)
        return 202

    def _signed_headers(self, call: RawCall) -> dict[str, str]:
        """Return the headers of a signed response, including those of notices."""
        signature_headers = {
            "Attempt-Id": call.headers["attempt-id"],
            "Server-Stamp": f"{SIGNATURE_PREFIX}{self.name}",
        }
        return {**signature_headers, **self._notice_headers()}

    async def _serve_prefill(
        self, call: RawCall, stream: trio.SocketStream, arrival_number: int, fault: Fault | None
    ) -> bool:
        if self.stage != "prefill":
            await self.send(stream, answer(421, {"Instance-Id": self.name}))
            return True
        record = self.arrival_records[arrival_number]
        self.arrival_records[arrival_number] = record._replace(has_begun_prefill=True)
        await trio.sleep(self.run_duration_s)
        handle = f"h{len(self.handles) + len(self.deleted_handles)}{self.name}"
        self.handles[handle] = trio.current_time()
        value = {"prefill_handle": handle, "tokens": 10, "version": 1}
        body = json.dumps(value).encode()
        if fault is Fault.ENDLESS:
            await self._send_without_end(stream, self._signed_headers(call), body)
        return await self._send_answer(stream, 200, self._signed_headers(call), body)

    async def _run(self, call: RawCall, stream: trio.SocketStream, work_s: float) -> Run | None:
        """Run a request; return None if its connection closed in the meantime."""
        run = Run(call.headers["attempt-id"], call, trio.current_time())
        self.runs.append(run)
        closed = False

        async def watch_connection(scope: trio.CancelScope) -> None:
            nonlocal closed
            try:
                closed = await stream.receive_some(_READ_BYTES) == b""
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                closed = True
            scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_connection, nursery.cancel_scope)
            await trio.sleep(work_s)
            nursery.cancel_scope.cancel()
        run.ended_at = trio.current_time()
        run.connection_closed = closed
        return None if closed else run

    async def _serve_plain(
        self, call: RawCall, stream: trio.SocketStream, fault: Fault | None
    ) -> bool:
        run = await self._run(call, stream, self.plain_duration_s(call))
        if run is None or fault is Fault.RESET_AFTER:
            return False
        if fault is Fault.NO_RESPONSE:
            await trio.sleep_forever()
        if fault is Fault.GARBAGE:
            await self.send(stream, b"\x00\x01 this is no answer \r\n\r\n")
            return False
        if fault is Fault.ENDLESS:
            await self._run_without_end(run, stream, self.body)
        if fault is Fault.OWN_STATUS:
            return await self._send_own_status(run, stream)
        headers = self._signed_headers(call)
        status, body = 200, self.body
        if fault is Fault.ERROR:
            status = 500
        run.status = status
        if fault is Fault.WRONG_REQUEST_ID:
            headers["Attempt-Id"] = "another"
        if fault is Fault.UNSIGNED:
            del headers["Server-Stamp"]
        has_length = not self.ends_with_connection
        data = answer(status, headers, body, has_length=has_length)
        if fault is Fault.TRUNCATED:
            await self.send(stream, data[:-2])
            if not has_length:
                reset(stream)
            return False
        if fault is Fault.EXTRA_RESPONSE and has_length:
            data += answer(200, {**headers, "Attempt-Id": "another"}, b"late")
        await self._send_in_parts(data, stream)
        return has_length

    async def _send_in_parts(self, data: bytes, stream: trio.SocketStream) -> None:
        size = math.ceil(len(data) / self.response_parts)
        for begin in range(0, len(data), size):
            if begin:
                await trio.sleep(self.part_pause_s)
            await self.send(stream, data[begin : begin + size])

    def plain_duration_s(self, call: RawCall) -> float:
        """Return the duration of a plain call, in seconds."""
        return self.run_duration_s

    def choose_endless_part(self, call: RawCall) -> EndlessPart:
        """Return the part that has no end in the answer to a call."""
        return self.endless_part

    def stream_event_interval_s(self, request: str) -> float:
        """Return the interval between two events of a request's stream, in seconds."""
        return self.event_interval_s

    async def _serve_decode(
        self, call: RawCall, stream: trio.SocketStream, fault: Fault | None
    ) -> bool:
        first_event = int(call.headers.get("last-event-id", "0")) + 1
        self.reservations.pop(call.headers.get("hold", ""), None)
        run = Run(call.headers["attempt-id"], call, trio.current_time())
        self.runs.append(run)
        if fault is Fault.NO_RESPONSE:
            await trio.sleep_forever()
        if fault is Fault.ENDLESS:
            event = b"id: %d\ndata: more\n\n" % first_event
            await self._run_without_end(run, stream, event, first_event)
        if fault is Fault.OWN_STATUS:
            return await self._send_own_status(run, stream)
        run.status = 200
        lines = ["HTTP/1.1 200 X", "Content-Type: text/event-stream"]
        has_chunks = not self.ends_with_connection
        lines += ["Transfer-Encoding: chunked"] if has_chunks else []
        encode = chunk if has_chunks else bytes
        lines += [f"{name}: {value}" for name, value in self._signed_headers(call).items()]
        try:
            await self.send(stream, ("\r\n".join(lines) + "\r\n\r\n").encode())
            for number in range(first_event, self.events + 1):
                await trio.sleep(self.stream_event_interval_s(run.request))
                if number == self.silent_from_event:
                    await trio.sleep(self.silent_s)
                event = b"id: %d\ndata: %s %d\n\n" % (number, run.request.encode(), number)
                if fault is Fault.ENDLESS_WITHIN and number == self.events // 2 + 1:
                    await self.endless.send(stream, EndlessPart.WITHIN_EVENT, {})
                if fault is Fault.TRUNCATED and number == self.events // 2 + 1:
                    await self.send(stream, encode(event[:7]))
                    return False
                if self.marks_events:
                    event = mark_event(event, self.build)
                await self.send(stream, encode(event))
            if not has_chunks:
                return False
            await self.send(stream, LAST_CHUNK)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            run.connection_closed = True
            return False
        finally:
            run.ended_at = trio.current_time()
        return True
