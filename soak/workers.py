"""Workers of the soak: stand-ins that also record the times that the checks need."""

import math
from collections.abc import Iterator
from typing import Any

import trio

from soak.records import Arrival, CrashingRun, EndlessResponse, Order, WorkerRun
from standins.relay import EndlessPart, Worker
from standins.relay.raw_server import RawCall
from standins.relay.worker import prompt_parts

__all__ = [
    "BUILDS",
    "CRASHING_BODY_PREFIX",
    "CRASHING_PART_PREFIX",
    "EVENTS_PER_STREAM",
    "SoakWorker",
    "other_build",
]

EVENTS_PER_STREAM = 8
BUILDS = ("v1", "v2")
# A request whose body contains this crashes the worker that runs it.
CRASHING_BODY_PREFIX = b"crash-"
# A part of a prompt, other than the last, whose name begins with this crashes the worker that
# begins the answer.
CRASHING_PART_PREFIX = "bad"
_RESUMABLE_PREFIX = "/resume/"
_EVENT_S = 0.04
# Streams and unsafe calls with an ID divisible by this are long, so that a run that continues after
# its caller has left is noticed.
_LONG_DIVISOR = 4
_LONG_EVENT_S = 0.25
# Streams with an ID divisible by this last for most of the time that a planned stop may take.
_LONGEST_DIVISOR = 7
_LONGEST_EVENT_S = 0.44
_LONG_CALL_S = 1.8
_SHORT_CALL_S = 0.02
_PREFILL_S = 0.03


class SoakWorker(Worker):
    """A worker that records when requests and orders arrive."""

    def __init__(self, service: str, stage: str = "", build: str = BUILDS[0]) -> None:
        super().__init__(service, stage)
        self.build, self.marks_events = build, True
        self.run_duration_s = _PREFILL_S if stage else _SHORT_CALL_S
        self.events = EVENTS_PER_STREAM
        self.event_interval_s = _EVENT_S
        self.crash_marker = CRASHING_BODY_PREFIX
        # A response without a length must not seem complete when its worker ends.
        self.resets_on_close = True
        self.recorded_arrivals: list[Arrival] = []
        self.recorded_orders: list[Order] = []

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Record a request that arrives for this worker, then answer it."""
        expected = call.headers.get("expected-instance", self.name)
        request_id = call.headers.get("attempt-id")
        if request_id is not None and expected == self.name:
            is_prefill = call.headers.get("stage") == "prefill"
            now = trio.current_time()
            organisation = call.headers.get("tenant", "")
            authorization = call.headers.get("authorization", "")
            self.recorded_arrivals.append(
                Arrival(
                    request_id,
                    self.name,
                    self.service,
                    now,
                    is_prefill,
                    organisation,
                    authorization,
                )
            )
        return await super().serve(call, stream)

    def plain_duration_s(self, call: RawCall) -> float:
        """Return the duration of a plain call, in seconds."""
        is_long = call.method == "POST" and _is_long(call.headers["attempt-id"])
        return _LONG_CALL_S if is_long else self.run_duration_s

    def stream_event_interval_s(self, request: str) -> float:
        """Return the time between two events of a request's stream, in seconds."""
        if int(request[1:]) % _LONGEST_DIVISOR == 0:
            return _LONGEST_EVENT_S
        return _LONG_EVENT_S if _is_long(request) else self.event_interval_s

    def choose_endless_part(self, call: RawCall) -> EndlessPart:
        """Return the part that has no end in the answer to a call.

        Another worker would end a stream that has more events than it sends itself.
        """
        part = super().choose_endless_part(call)
        is_resumable = call.path.startswith(_RESUMABLE_PREFIX)
        return EndlessPart.BODY if is_resumable and part is EndlessPart.EVENTS else part

    def _accept_role_change(self, order: dict[str, Any]) -> int:
        status = super()._accept_role_change(order)
        if status == 202:
            holder, fence = str(order["holder"]), int(order["fencing_token"])
            self.recorded_orders.append(Order(self.name, holder, fence, trio.current_time()))
        return status

    def crashing_runs(self) -> Iterator[CrashingRun]:
        """Return records of the runs that crashed this worker."""
        for run in self.runs:
            if run.call.body.startswith(CRASHING_BODY_PREFIX):
                yield CrashingRun(run.call.body.decode(), self.name, run.began_at)
            elif parts := _crashing_parts(run.call):
                yield CrashingRun("", self.name, run.began_at, parts[0])

    def crashes_on_prompt(self, call: RawCall) -> bool:
        """Check whether a part of a call's prompt crashes the worker."""
        return bool(_crashing_parts(call))

    def worker_runs(self) -> Iterator[WorkerRun]:
        """Return records of all runs on this worker."""
        for run in self.runs:
            ended_at = math.inf if run.ended_at is None else run.ended_at
            yield WorkerRun(
                run.request,
                self.name,
                self.service,
                run.began_at,
                ended_at,
                run.connection_closed,
                run.status,
            )

    def endless_responses(self) -> Iterator[EndlessResponse]:
        """Return records of the responses that this worker sent without end."""
        for item in self.endless.records:
            yield EndlessResponse(
                item.request, self.name, item.part, item.began_at, item.ended_at, item.sent_bytes
            )


def _crashing_parts(call: RawCall) -> list[str]:
    """Return the parts of a call's prompt that crash workers."""
    return [part for part in prompt_parts(call)[:-1] if part.startswith(CRASHING_PART_PREFIX)]


def other_build(build: str) -> str:
    """Return the build that a release replaces a build with."""
    return BUILDS[1 - BUILDS.index(build)]


def _is_long(request: str) -> bool:
    return int(request[1:]) % _LONG_DIVISOR == 0
