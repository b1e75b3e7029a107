"""Starts a small fleet with common routes, for tests of the relay."""

from standins.relay.fleet import Fleet
from standins.relay.raw_client import Caller
from standins.relay.worker import Worker

__all__ = ["STREAM", "engines", "runs", "start", "start_with_measured_service_times"]

STREAM = {"Token-Counts": "100,50", "Model": "m", "Prompt-Prefix": "a:50,b:50"}


async def start(fleet: Fleet, *workers: Worker) -> None:
    """Start workers and one instance, with a route of each kind."""
    for worker in workers:
        await fleet.add_worker(worker)
    fleet.add_route("/safe/", "safe", "plain")
    fleet.add_route("/unsafe/", "unsafe", "plain", attempts=1)
    fleet.add_route("/unsafe2/", "unsafe", "plain", attempts=2)
    fleet.add_route("/stream/", "streaming", "model", attempts=2)
    fleet.add_route("/resume/", "streaming", "model", attempts=3, resumable=True)
    fleet.configure()
    fleet.start_instance()
    await fleet.wait_ready()


def engines() -> tuple[Worker, ...]:
    """Create a prefill and two decode workers of one service."""
    return Worker("model", "prefill"), Worker("model", "decode"), Worker("model", "decode")


def runs(fleet: Fleet, request: str) -> int:
    """Return how often a request was run, over all workers."""
    return sum(run.request == request for worker in fleet.workers for run in worker.runs)


async def start_with_measured_service_times(fleet: Fleet, *workers: Worker) -> Caller:
    """Start a fleet and make calls, so that the instance has measured short service times.

    Returns:
        A caller; the arrivals that the workers recorded are cleared.
    """
    await start(fleet, *workers)
    caller = fleet.caller()
    for _ in range(5):
        assert (await caller.ask("/safe/x")).status == 200
    for worker in workers:
        worker.arrivals.clear()
    return caller
