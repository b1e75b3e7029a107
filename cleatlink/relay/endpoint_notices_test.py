"""Test notices in answers of endpoints: that an endpoint is leaving, or asks for a back-off.

Guards against two failures. An endpoint announced in an answer that it was leaving, while the
configuration service was unavailable. The instance that forwarded this answer sent two more calls
to it, 2.4 s and 2.9 s later, and counted each "is answered" as a sign of health: it learned of
leaving endpoints only from registrations. Another endpoint refused every call with 503 and asked
for a back-off of 3 s. Eight instances sent it 35 calls in 5 s, each logged as "was not run" with
status 503: they ignored the requested time and retried a full endpoint after 0.15 s to 1.2 s.
"""

import pytest
import trio

from cleatlink.core.data import Role
from standins.relay import StoreMode, Worker
from standins.relay.example_fleet import STREAM, start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

# A leaving endpoint must get no request that a caller sends this long after the notice.
LEAVING_GRACE_S = 2.0
# Calls already in transit arrive within this time of an endpoint's notice.
IN_TRANSIT_S = 0.5
# Calls that may arrive during one requested back-off.
MAX_CALLS_IN_BACKOFF = 2
# Back-off that an endpoint requests in its answers.
BACKOFF_S = 4.0
# Interval between calls.
CALL_INTERVAL_S = 0.05
# Longest time to refuse a caller that cannot be served; a fraction of its deadline.
MAX_REFUSAL_S = 0.3


async def call_repeatedly(fleet: Fleet, seconds: float, path: str, **request: object) -> list[int]:
    """Send requests at a constant rate for a while; return the statuses of the replies."""
    statuses: list[int] = []

    async def ask() -> None:
        reply = await fleet.caller().ask(path, **request)  # type: ignore[arg-type]
        statuses.append(reply.status)

    async with trio.open_nursery() as nursery:
        ends_at = trio.current_time() + seconds
        while trio.current_time() < ends_at:
            nursery.start_soon(ask)
            await trio.sleep(CALL_INTERVAL_S)
    return statuses


def arrivals_after(worker: Worker, seconds: float) -> int:
    """Count the calls that arrived at a worker more than this time after its first call."""
    return sum(arrival - worker.arrival_times[0] > seconds for arrival in worker.arrival_times)


def max_calls_in_backoff(worker: Worker, backoff_s: float) -> int:
    """Return the largest number of calls during one back-off that a worker asked for."""
    times = worker.arrival_times
    return max(
        sum(IN_TRANSIT_S < arrival - notice_at < backoff_s for arrival in times)
        for notice_at in times
    )


async def test_endpoint_that_announces_leaving_receives_no_new_calls() -> None:
    async with open_fleet() as fleet:
        leaving, other = Worker("plain"), Worker("plain")
        await start(fleet, leaving, other)
        leaving.announces_leaving = True
        fleet.store.mode = StoreMode.SILENT
        statuses = await call_repeatedly(fleet, LEAVING_GRACE_S + 1.0, "/safe/x")
        assert set(statuses) == {200}
        assert arrivals_after(leaving, LEAVING_GRACE_S) == 0
        assert other.runs


async def test_requested_backoff_of_endpoint_is_respected() -> None:
    async with open_fleet() as fleet:
        overloaded = Worker("plain")
        await start(fleet, overloaded, Worker("plain"), Worker("plain"))
        overloaded.rejects_work, overloaded.requested_backoff_s = True, BACKOFF_S
        statuses = await call_repeatedly(fleet, BACKOFF_S, "/safe/x")
        assert set(statuses) == {200}
        assert max_calls_in_backoff(overloaded, BACKOFF_S) <= MAX_CALLS_IN_BACKOFF


async def test_requested_backoff_of_engine_is_respected() -> None:
    async with open_fleet() as fleet:
        overloaded = Worker("model", "decode")
        overloaded.offers_reservations = False
        await start(fleet, overloaded, Worker("model", "decode"), Worker("model", "prefill"))
        overloaded.rejects_work, overloaded.requested_backoff_s = True, BACKOFF_S
        statuses = await call_repeatedly(fleet, BACKOFF_S, "/stream/x", headers=STREAM)
        assert set(statuses) == {200}
        assert max_calls_in_backoff(overloaded, BACKOFF_S) <= MAX_CALLS_IN_BACKOFF


async def test_no_sequential_call_follows_leaving_notice() -> None:
    async with open_fleet() as fleet:
        leaving = Worker("plain")
        await start(fleet, leaving, Worker("plain"))
        leaving.announces_leaving = True
        for _ in range(30):
            assert (await fleet.caller().ask("/unsafe/x", "POST", body=b"x")).status == 200
        assert len(leaving.arrivals) == 1


async def test_reregistration_does_not_revoke_leaving_notice() -> None:
    async with open_fleet() as fleet:
        leaving = Worker("plain")
        await start(fleet, leaving, Worker("plain"))
        leaving.announces_leaving = True
        while not leaving.arrivals:
            await fleet.caller().ask("/safe/x")
        fleet.unregister(leaving)
        endpoints = fleet.instances[0].capacity.endpoints
        await fleet.wait_until(lambda: leaving.name not in endpoints)
        fleet.register(leaving)
        await fleet.wait_until(lambda: leaving.name in endpoints)
        for _ in range(20):
            assert (await fleet.caller().ask("/safe/x")).status == 200
        assert len(leaving.arrivals) == 1


async def test_idle_connections_to_leaving_endpoint_are_closed() -> None:
    async with open_fleet() as fleet:
        leaving = Worker("plain")
        await start(fleet, leaving)
        for _ in range(3):
            await fleet.caller().ask("/safe/x")
        assert leaving.open_connections == 1
        leaving.announces_leaving = True
        await fleet.caller().ask("/safe/x")
        await fleet.wait_until(lambda: leaving.open_connections == 0, 1.0)


async def test_running_stream_continues_at_leaving_endpoint() -> None:
    async with open_fleet() as fleet:
        engine, other = Worker("model", "decode"), Worker("plain")
        engine.events, engine.event_interval_s = 20, 0.03
        await start(fleet, engine, other)
        caller = fleet.caller()
        await caller.send("/stream/x", "POST", body=b"p", headers=STREAM)
        await fleet.wait_until(lambda: engine.runs)
        engine.announces_leaving = True
        # The answer of a second stream carries the notice.
        assert (await fleet.caller().ask("/stream/x", headers=STREAM)).is_complete
        reply = await caller.receive()
        assert (reply.status, reply.is_complete) == (200, True)
        assert len(engine.runs) == 2
        assert (await fleet.caller().ask("/stream/x", headers=STREAM)).status == 503


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
async def test_callers_are_refused_while_all_endpoints_back_off(path: str) -> None:
    async with open_fleet() as fleet:
        workers = [Worker("plain"), Worker("plain")]
        await start(fleet, *workers)
        for worker in workers:
            worker.rejects_work, worker.requested_backoff_s = True, 3.0
        while not all(worker.arrivals for worker in workers):
            await fleet.caller().ask(path)
        started_at = trio.current_time()
        reply = await fleet.caller().ask(path)
        assert trio.current_time() - started_at < MAX_REFUSAL_S
        assert reply.status == 503
        assert 2.0 < float(reply.headers["retry-after"]) <= 3.0


async def test_callers_are_refused_when_all_endpoints_leave() -> None:
    async with open_fleet() as fleet:
        worker, engine = Worker("plain"), Worker("model", "decode")
        await start(fleet, worker, engine)
        worker.announces_leaving = engine.announces_leaving = True
        for path, headers in (("/safe/x", {}), ("/stream/x", STREAM)):
            assert (await fleet.caller().ask(path, headers=headers)).status == 200
            started_at = trio.current_time()
            assert (await fleet.caller().ask(path, headers=headers)).status == 503
            assert trio.current_time() - started_at < MAX_REFUSAL_S


async def test_streams_are_refused_during_long_backoff_of_all_engines() -> None:
    async with open_fleet() as fleet:
        engine = Worker("model", "decode")
        await start(fleet, engine)
        engine.rejects_work, engine.requested_backoff_s = True, 20.0
        await fleet.caller().ask("/stream/x", headers=STREAM)
        assert engine.rejected_reservations + len(engine.arrivals) >= 1
        attempts_before = engine.rejected_reservations + len(engine.arrivals)
        started_at = trio.current_time()
        assert (await fleet.caller().ask("/stream/x", headers=STREAM)).status == 503
        assert trio.current_time() - started_at < MAX_REFUSAL_S
        assert engine.rejected_reservations + len(engine.arrivals) == attempts_before


async def test_endpoint_is_used_again_after_backoff() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        worker.rejects_work, worker.requested_backoff_s = True, 0.5
        assert (await fleet.caller().ask("/safe/x")).status == 503
        worker.rejects_work = False
        await trio.sleep(0.55)
        statuses = await call_repeatedly(fleet, 0.5, "/safe/x")
        assert set(statuses) == {200}


async def test_engine_is_used_in_its_new_role() -> None:
    async with open_fleet() as fleet:
        engine, prefill = Worker("model", "decode"), Worker("model", "prefill")
        engine.offers_reservations = False
        await start(fleet, engine, prefill)
        # The engine has changed its role, but its entry still has the former role.
        name, engine.name = engine.name, "another"
        assert (await fleet.caller().ask("/stream/x", headers=STREAM)).status == 503
        engine.name, engine.stage = name, "prefill"
        prefill.stage = "decode"
        prefill.offers_reservations = False
        fleet.register(engine)
        fleet.register(prefill)
        endpoints = fleet.instances[0].capacity.endpoints
        await fleet.wait_until(lambda: endpoints[prefill.name].role is Role.DECODE)
        assert (await fleet.caller().ask("/stream/x", headers=STREAM)).status == 200
        assert len(engine.handles) == 1
