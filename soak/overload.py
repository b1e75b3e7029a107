"""Sends most new connections to one instance that is at the limit of its processor.

    python -m soak.overload --instances 60 --seed 1

All instances are processes that are held to a share of a processor. Requests arrive at a given
rate, whether earlier ones were answered or not, each on a new connection. First all instances get
the same share of them, then most go to one. The engines and services have room for all of them.
"""

import random
from collections.abc import Iterable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple

import click
import trio

from soak.balancer import Balancer
from soak.cpu_limit import CpuLimit
from soak.processes import InstanceProcess, find_free_ports, instance_ip
from standins.relay import Worker
from standins.relay.example_fleet import STREAM
from standins.relay.fleet import Fleet, open_fleet
from standins.relay.raw_client import Caller, Reply

__all__ = ["OverloadResult", "OverloadSettings", "run_overload"]

_MAX_SEED_PEERS = 3
_EVEN_S, _SKEWED_S = 6.0, 14.0
# Time after the start of the skew from which requests count.
_SETTLED_S = 3.0
_PREFERRED_SHARE = 0.95
_STREAM_SHARE = 0.125
_DEADLINE_S = 3.0
# Time in which a connection opens.
_CONNECT_TIMEOUT_S = 1.0
_TARGET_S = 0.4
# Share of the time left up to which callers wait as a refusal asks them to.
_MAX_RETRY_DELAY_SHARE = 1 / 3
# Time in which all instances find each other.
_PEERS_S = 3.0
_PLAIN_WORKERS, _PREFILLS, _DECODES = 8, 2, 6
_PLAIN_DURATION_S, _PREFILL_DURATION_S, _EVENT_INTERVAL_S, _EVENTS = 0.06, 0.02, 0.01, 12


class OverloadSettings(NamedTuple):
    """Settings of a run.

    Attributes:
        instances: Number of instances.
        cpu_share: Share of one processor that each instance may use.
        rate_per_s: Requests per second to all instances together.
        seed: Seed of the arrivals and of the choice of instances.
    """

    instances: int = 12
    cpu_share: float = 0.2
    rate_per_s: float = 120.0
    seed: int = 7


class _Request(NamedTuple):
    """A caller's request.

    Attributes:
        sent_at: Time of the first try.
        is_first_read: Whether the first try was read; not if its connection did not open, or was
            closed without an answer.
        is_first_served: Whether the first try was answered with success.
        served_after_s: Time from the first try to the end of a successful answer; None without one.
    """

    sent_at: float
    is_first_read: bool
    is_first_served: bool
    served_after_s: float | None


class _Shares(NamedTuple):
    """Shares of the requests of a period.

    Attributes:
        requests: Number of requests.
        read: First tries that were read, of all.
        first_served: First tries that were served, of those that were read.
        served: Requests that were served at any try, of all.
        in_time: Requests that were served within the target, counted from the first try, of all.
    """

    requests: int
    read: float
    first_served: float
    served: float
    in_time: float


class OverloadResult(NamedTuple):
    """Result of a run: the shares before most connections go to one instance, and from then on."""

    before: _Shares
    skewed: _Shares


class _OpenLoad:
    """Callers that send requests at a rate, each on a connection of its own."""

    def __init__(self, balancer: Balancer, rng: random.Random) -> None:
        self._balancer = balancer
        self._rng = rng
        self.requests: list[_Request] = []

    async def send(self, rate_per_s: float, duration_s: float, nursery: trio.Nursery) -> None:
        """Start requests at random times for a while."""
        ends_at = trio.current_time() + duration_s
        due_at = trio.current_time()
        while (due_at := due_at + self._rng.expovariate(rate_per_s)) < ends_at:
            await trio.sleep_until(due_at)
            nursery.start_soon(self._send)

    async def _send(self) -> None:
        sent_at, instance = trio.current_time(), self._balancer.choose()
        is_stream = self._rng.random() < _STREAM_SHARE
        first = await _ask(instance, is_stream, sent_at + _DEADLINE_S)
        last = first
        delay_s = _retry_delay_s(first, sent_at + _DEADLINE_S - trio.current_time())
        if delay_s is not None:
            await trio.sleep(delay_s)
            other = self._balancer.choose_other(instance)
            last = await _ask(other, is_stream, sent_at + _DEADLINE_S)
        served_after_s = trio.current_time() - sent_at if _is_served(last) else None
        self.requests.append(
            _Request(sent_at, first is not None, _is_served(first), served_after_s)
        )

    def shares(self, since: float, until: float) -> _Shares:
        """Return the shares of the requests that were sent in a period."""
        items = [item for item in self.requests if since <= item.sent_at < until]
        read = [item for item in items if item.is_first_read]
        return _Shares(
            len(items),
            _share(item.is_first_read for item in items),
            _share(item.is_first_served for item in read),
            _share(item.served_after_s is not None for item in items),
            _share(
                item.served_after_s is not None and item.served_after_s <= _TARGET_S
                for item in items
            ),
        )


def _share(values: Iterable[bool]) -> float:
    items = list(values)
    return sum(items) / len(items) if items else 0.0


def _is_served(reply: Reply | None) -> bool:
    return reply is not None and reply.status == 200 and reply.is_complete


def _retry_delay_s(reply: Reply | None, left_s: float) -> float | None:
    """Return after how many seconds a caller retries; None if it doesn't."""
    if left_s <= 0:
        return None
    if reply is None:
        return 0.0
    if reply.status != 503:
        return None
    delay_s = float(reply.headers.get("retry-after", "0"))
    return min(delay_s, _MAX_RETRY_DELAY_SHARE * left_s)


async def _ask(instance: InstanceProcess, is_stream: bool, deadline: float) -> Reply | None:
    """Send a request on a new connection.

    Returns:
        The reply, with status 0 if none came before the deadline; None if the connection did not
        open or was closed without a reply.
    """
    caller = Caller(instance.caller_address)
    reply: Reply | None = Reply(0, {}, b"", False)
    with trio.move_on_at(deadline):
        try:
            with trio.fail_after(_CONNECT_TIMEOUT_S):
                await caller.open()
            reply = await _exchange(caller, is_stream, deadline)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            # The connection did not open, or was reset.
            reply = None
    caller.close()
    return reply


async def _exchange(caller: Caller, is_stream: bool, deadline: float) -> Reply | None:
    path, method = ("/stream/x", "POST") if is_stream else ("/safe/x", "GET")
    headers = {**STREAM} if is_stream else {}
    left_ms = max(1, int(1000 * (deadline - trio.current_time())))
    headers["Deadline-Milliseconds"] = str(left_ms)
    reply = await caller.ask(path, method, body=b"x" * is_stream, headers=headers)
    return reply if reply.status else None


async def run_overload(settings: OverloadSettings) -> OverloadResult:
    """Run the fleet and the callers once."""
    rng = random.Random(settings.seed)
    with TemporaryDirectory() as folder:
        async with open_fleet() as fleet:
            instances = _create_instances(settings.instances, Path(folder))
            try:
                await _start_fleet(fleet, instances)
                limit = CpuLimit({item.process_id: settings.cpu_share for item in instances})
                limit.start()
                try:
                    result = await _run_load(settings, Balancer(instances, rng), rng)
                finally:
                    limit.close()
            finally:
                for instance in instances:
                    instance.kill()
        return result


def _create_instances(count: int, folder: Path) -> list[InstanceProcess]:
    ports = find_free_ports(count)
    seeds = tuple(instance_ip(number + 1) for number in range(min(_MAX_SEED_PEERS, count)))
    return [InstanceProcess(number + 1, ports, seeds, folder, "") for number in range(count)]


async def _start_fleet(fleet: Fleet, instances: list[InstanceProcess]) -> None:
    for _ in range(_PLAIN_WORKERS):
        worker = await fleet.add_worker(Worker("plain"))
        worker.run_duration_s = _PLAIN_DURATION_S
    for stage, count in (("prefill", _PREFILLS), ("decode", _DECODES)):
        for _ in range(count):
            worker = await fleet.add_worker(Worker("model", stage))
            worker.run_duration_s = _PREFILL_DURATION_S
            worker.events, worker.event_interval_s = _EVENTS, _EVENT_INTERVAL_S
    fleet.add_route("/safe/", "safe", "plain", timeout_ms=3000)
    fleet.add_route("/stream/", "streaming", "model", timeout_ms=3000)
    fleet.configure({"slots": 16, "kv_cache_tokens": 20_000})
    for instance in instances:
        instance.write_settings(fleet.store.address)
        instance.start()
    for instance in instances:
        if not await instance.wait_ready():
            raise RuntimeError(f"{instance.name} was not ready in time")
    await trio.sleep(_PEERS_S)


async def _run_load(
    settings: OverloadSettings, balancer: Balancer, rng: random.Random
) -> OverloadResult:
    load = _OpenLoad(balancer, rng)
    async with trio.open_nursery() as checks:
        checks.start_soon(balancer.run)
        async with trio.open_nursery() as callers:
            began_at = trio.current_time()
            await load.send(settings.rate_per_s, _EVEN_S, callers)
            skewed_at = trio.current_time()
            balancer.preferred_share = _PREFERRED_SHARE
            await load.send(settings.rate_per_s, _SKEWED_S, callers)
            ended_at = trio.current_time()
        checks.cancel_scope.cancel()
    return OverloadResult(
        load.shares(began_at, skewed_at), load.shares(skewed_at + _SETTLED_S, ended_at)
    )


@click.command()
@click.option("--instances", default=12, show_default=True, help="Number of instances.")
@click.option("--cpu-share", default=0.2, show_default=True, help="Processor share of each.")
@click.option("--rate", default=120.0, show_default=True, help="Requests per second.")
@click.option("--seed", default=7, show_default=True, help="Seed of the first run.")
@click.option("--runs", default=1, show_default=True, help="Number of runs.")
def main(instances: int, cpu_share: float, rate: float, seed: int, runs: int) -> None:
    """Send most new connections to one instance, and print what was served."""
    for number in range(runs):
        settings = OverloadSettings(instances, cpu_share, rate, seed + number)
        result = trio.run(run_overload, settings)
        click.echo(f"seed {settings.seed}")
        for name, shares in result._asdict().items():
            figures = ", ".join(
                f"{field} {value:.2f}" if isinstance(value, float) else f"{field} {value}"
                for field, value in shares._asdict().items()
            )
            click.echo(f"  {name}: {figures}")


if __name__ == "__main__":
    main()
