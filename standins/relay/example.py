"""A small fleet with the usual routes, for the relay's tests."""

from standins.relay.client import Caller
from standins.relay.fleet import Fleet
from standins.relay.worker import Worker

__all__ = ["STREAM", "engines", "runs", "start", "start_with_known_pace"]

STREAM = {"Token-Counts": "100,50", "Model": "m", "Prompt-Prefix": "a:50,b:50"}


async def start(fleet: Fleet, *workers: Worker) -> None:
    """Start workers, the usual routes and one instance."""
    for worker in workers:
        await fleet.add_worker(worker)
    fleet.add_route("/safe/", "safe", "plain")
    fleet.add_route("/unsafe/", "unsafe", "plain", attempts=1)
    fleet.add_route("/unsafe2/", "unsafe", "plain", attempts=2)
    fleet.add_route("/stream/", "streaming", "model", attempts=2)
    fleet.add_route("/resume/", "streaming", "model", attempts=3, resumable=True)
    fleet.configure()
    fleet.start_instance()
    await fleet.ready()


def engines() -> tuple[Worker, ...]:
    """Give a prefill and two decodes of one service."""
    return Worker("model", "prefill"), Worker("model", "decode"), Worker("model", "decode")


def runs(fleet: Fleet, request: str) -> int:
    """Count the runs of a request over all workers."""
    return sum(run.request == request for worker in fleet.workers for run in worker.runs)


async def start_with_known_pace(fleet: Fleet, *workers: Worker) -> Caller:
    """Start workers whose calls are known to be quick; gives a caller."""
    await start(fleet, *workers)
    caller = fleet.caller()
    for _ in range(5):
        assert (await caller.ask("/safe/x")).status == 200
    for worker in workers:
        worker.arrivals.clear()
    return caller
