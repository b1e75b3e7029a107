"""Case 1: a late second copy of a worker's rejection is taken for the next request's answer."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet import (
    Caller,
    CannotRunError,
    Instance,
    Record,
    Reply,
    Store,
    Worker,
    find_ports,
    make_configuration,
    make_route,
    make_service,
    run_case,
)

# Share of a worker's answers that get an extra copy, and length of the disruption in seconds: the
# largest dose of `garble (extra late)`. It comes again after a pause.
_EXTRA_SHARE = 0.03
_TROUBLE_S = 5.0
_TROUBLE_PERIOD_S = 7.0
# Disturbed workers, of all workers: less than the largest share, which is 0.6.
_DISTURBED = 3
_WORKERS = 5
_ROUNDS = 380
# Callers that send at the same moment, in turn: a burst, which fills the workers, and a calm round.
_CALLERS = (14,)
_INSTANCES = 2


class CopyingWorker(Worker):
    """A worker that sends some answers a second time, late: as the next request has come in."""

    def __init__(self, record: Record, *, copies: bool) -> None:
        super().__init__("work", record, slots=2, queue=1)
        self._copies = copies
        self._sent_copies = 0
        self._answered_before = 0
        self._window = -1
        self._due: dict[asyncio.StreamWriter, tuple[str, bytes]] = {}

    async def after_answer(self, name: str, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Choose the answers that get a copy: rejections, within the share of all answers."""
        await super().after_answer(name, data, writer)
        is_rejection = data.startswith(b"HTTP/1.1 503")
        window, since_s = divmod(time.monotonic(), _TROUBLE_PERIOD_S)
        if window != self._window:
            self._window, self._answered_before, self._sent_copies = window, self.answered, 0
        if not self._copies or not is_rejection or since_s > _TROUBLE_S or writer in self._due:
            return
        if self._sent_copies + 1 <= _EXTRA_SHARE * (self.answered - self._answered_before):
            self._sent_copies += 1
            self._due[writer] = (name, data)

    async def serve(
        self, request: object, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send the copy that is due on the connection, then serve the request."""
        name, copy = self._due.pop(writer, ("", b""))
        if copy:
            self.record.write(f"{self.name} sends a late second copy of its answer to {name}")
            writer.write(copy)
        return await super().serve(request, reader, writer)


async def _case(record: Record, folder: Path, has_trouble: bool) -> bool:
    store = Store()
    await store.start()
    workers = [
        CopyingWorker(record, copies=has_trouble and number < _DISTURBED)
        for number in range(_WORKERS)
    ]
    for worker in workers:
        await worker.start()
        store.put(f"servers/{worker.name}", worker.entry("a"))
    route = make_route("/order/", "unsafe", "work", attempts=2)
    store.put("op/config", make_configuration(7, [route], [make_service("work")]))
    numbers = range(1, _INSTANCES + 1)
    ips = [f"127.0.0.{number + 10}" for number in numbers]
    ports = find_ports(ips)
    instances = [Instance(number, "a", ports, ips, folder) for number in numbers]
    try:
        for instance in instances:
            instance.start(store.address)
        for instance in instances:
            await instance.wait_ready()
        replies = await _send_all(record, instances)
    finally:
        for instance in instances:
            instance.kill()
    return _judge(record, workers, replies)


async def _send_all(record: Record, instances: list[Instance]) -> list[Reply]:
    callers = [
        Caller(instances[number % len(instances)].caller_address, record)
        for number in range(max(_CALLERS))
    ]
    replies: list[Reply] = []
    for turn in range(_ROUNDS):
        asking = callers[: _CALLERS[turn % len(_CALLERS)]]
        replies += await asyncio.gather(
            *(
                caller.ask(f"{turn:08x}{number:08x}", "/order/1")
                for number, caller in enumerate(asking)
            )
        )
        await asyncio.sleep(0.1)
    for caller in callers:
        caller.close()
    return replies


def _judge(record: Record, workers: list[CopyingWorker], replies: list[Reply]) -> bool:
    runs = Counter(run.request for worker in workers for run in worker.runs)
    rejected = sum(worker.rejected for worker in workers)
    twice = [name for name, count in runs.items() if count > 1]
    refused = [reply.request for reply in replies if reply.status in (429, 503, 408, 421)]
    denied = [name for name in refused if name in runs]
    record.write(f"{len(replies)} requests, answers: {dict(Counter(r.status for r in replies))}")
    record.write(f"{sum(runs.values())} runs, {rejected} rejections by workers")
    record.write(f"TWICE: {len(twice)} requests ran more than once: {twice}")
    record.write(f"REFUSED: {len(denied)} requests got 429 or 503 though they ran: {denied}")
    if not rejected:
        raise CannotRunError("no worker rejected a request")
    return not twice and not denied


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, _case))
