"""Workers of the soak: the stand-ins, with the times that the checks need."""

import math
from collections.abc import Iterator
from typing import Any

import trio

from soak.records import Arrival, CrashingRun, Order, WorkerRun
from standins.relay import Worker
from standins.relay.http import RawCall

__all__ = ["CRASHING", "EVENTS", "SoakWorker"]

EVENTS = 8
# Bodies with this crash the worker that runs them.
CRASHING = b"crash-"
_EVENT_S = 0.04
# One stream and one unsafe call in so many is long: what its caller's leaving leaves
# behind shows.
_LONG_EVERY = 4
_LONG_EVENT_S = 0.25
# Other streams last for most of the time that a planned stop has.
_LONGEST_EVERY = 7
_LONGEST_EVENT_S = 0.44
_LONG_WORK_S = 1.8
_PLAIN_WORK_S = 0.02
_PREFILL_S = 0.03


class SoakWorker(Worker):
    """A worker that notes when things happened."""

    def __init__(self, service: str, stage: str = "") -> None:
        super().__init__(service, stage)
        self.work_s = _PREFILL_S if stage else _PLAIN_WORK_S
        self.events = EVENTS
        self.event_s = _EVENT_S
        self.crashes_on = CRASHING
        self.seen: list[Arrival] = []
        self.ordered: list[Order] = []

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Note what arrives for this worker, then answer it."""
        expected = call.headers.get("expected-instance", self.name)
        name = call.headers.get("attempt-id")
        if name is not None and expected == self.name:
            prefill = call.headers.get("stage") == "prefill"
            now = trio.current_time()
            organisation = call.headers.get("tenant", "")
            key = call.headers.get("authorization", "")
            self.seen.append(
                Arrival(name, self.name, self.service, now, prefill, organisation, key)
            )
        return await super().serve(call, stream)

    def work_time_s(self, call: RawCall) -> float:
        """Give the seconds that a plain call takes."""
        is_long = call.method == "POST" and _is_long(call.headers["attempt-id"])
        return _LONG_WORK_S if is_long else self.work_s

    def event_time_s(self, request: str) -> float:
        """Give the seconds between two events of a request's stream."""
        if int(request[1:]) % _LONGEST_EVERY == 0:
            return _LONGEST_EVENT_S
        return _LONG_EVENT_S if _is_long(request) else self.event_s

    def _take_order(self, order: dict[str, Any]) -> int:
        status = super()._take_order(order)
        if status == 202:
            holder, fence = str(order["holder"]), int(order["fencing_token"])
            self.ordered.append(Order(self.name, holder, fence, trio.current_time()))
        return status

    def crashing_runs(self) -> Iterator[CrashingRun]:
        """Give the runs that crashed this worker as records."""
        for run in self.runs:
            if run.call.body.startswith(CRASHING):
                yield CrashingRun(run.call.body.decode(), self.name, run.began_at)

    def worker_runs(self) -> Iterator[WorkerRun]:
        """Give its runs as records."""
        for run in self.runs:
            ended_at = math.inf if run.ended_at is None else run.ended_at
            yield WorkerRun(
                run.request, self.name, self.service, run.began_at, ended_at, run.dropped
            )


def _is_long(request: str) -> bool:
    return int(request[1:]) % _LONG_EVERY == 0
