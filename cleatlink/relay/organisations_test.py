"""Test organisations end to end: API keys, forwarded headers, rate limits and key revocation."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from standins.relay import Worker
from standins.relay.example_fleet import STREAM, engines, start
from standins.relay.fleet import Fleet, open_fleet

pytestmark = pytest.mark.virtual_time

KEY = {"Authorization": "Bearer k-first"}
OTHER_KEY = {"Authorization": "Bearer k-other"}


def two_organisations(rate: int = 0, burst: int = 0) -> list[dict[str, object]]:
    return [
        {
            "name": "first",
            "api_keys": ["k-first", "k-first-2"],
            "priority": 0,
            "unit": "tokens",
            "plain_tokens": 200,
            "rate_per_s": rate,
            "burst": burst,
        },
        {"name": "other", "api_keys": ["k-other"]},
    ]


@asynccontextmanager
async def open_fleet_with_organisations(rate: int = 0, burst: int = 0) -> AsyncIterator[Fleet]:
    async with open_fleet() as fleet:
        fleet.organisations = two_organisations(rate, burst)
        fleet.add_route("/open/", "safe", "plain", public=True)
        await start(fleet, Worker("plain"), *engines())
        yield fleet


async def test_endpoint_receives_organisation_but_not_key() -> None:
    async with open_fleet_with_organisations() as fleet:
        for path, method in (("/safe/x", "GET"), ("/unsafe/x", "POST")):
            reply = await fleet.caller().ask(path, method, headers=KEY)
            assert reply.status == 200
        reply = await fleet.caller().ask("/stream/x", "POST", headers={**STREAM, **KEY})
        assert (reply.status, reply.is_complete) == (200, True)
        calls = [call for worker in fleet.workers for call in worker.arrivals]
        assert len(calls) == 4, "four calls, including one prefill"
        assert [call.headers.get("tenant") for call in calls] == 4 * ["first"]
        assert not [call for call in calls if "authorization" in call.headers]
        assert "k-first" not in repr([call.headers for call in calls])


@pytest.mark.parametrize(
    ("headers", "more"),
    [
        ({}, ()),
        ({"Authorization": "Bearer nobody"}, ()),
        ({"Authorization": "Bearer"}, ()),
        ({"Authorization": "Basic k-first"}, ()),
        ({"Authorization": "Bearer K-FIRST"}, ()),
        ({"Authorization": "Bearer k-first,k-other"}, ()),
        ({"Authorization": "Bearer " + 3000 * "k"}, ()),
        ({"Authorization": "Bearer \xff\xfe"}, ()),
        (KEY, ("authorization: Bearer k-other",)),
        (KEY, ("AUTHORIZATION: Bearer k-first",)),
        ({"Tenant": "first"}, ()),
    ],
)
async def test_caller_without_exactly_one_known_key_gets_401(
    headers: dict[str, str], more: tuple[str, ...]
) -> None:
    async with open_fleet_with_organisations() as fleet:
        caller = fleet.caller()
        for _ in range(2):
            reply = await caller.ask("/unsafe/x", "POST", body=b"body", headers=headers, more=more)
            assert (reply.status, reply.is_complete) == (401, True)
            assert reply.headers["www-authenticate"] == "Bearer"
            assert "k-first" not in repr(reply)
        assert (await caller.ask("/nowhere/x", headers=headers, more=more)).status == 404
        assert not fleet.workers[0].arrivals
        reply = await caller.ask("/safe/x", headers=KEY)
        assert reply.status == 200, "the connection must stay usable"


@pytest.mark.parametrize("name", ["Tenant", "tenant", "TENANT", "tEnAnT"])
@pytest.mark.parametrize("path", ["/safe/x", "/open/x"])
async def test_organisation_header_of_caller_is_not_forwarded(name: str, path: str) -> None:
    async with open_fleet_with_organisations() as fleet:
        forged = {**KEY, name: "other", "Connection": f"{name}, authorization"}
        reply = await fleet.caller().ask(path, headers=forged, more=("Tenant: other",))
        assert reply.status == 200
        headers = fleet.workers[0].arrivals[0].headers
        assert headers.get("tenant") == "first"
        assert "authorization" not in headers


async def test_public_route_needs_no_key_and_forwards_none() -> None:
    async with open_fleet_with_organisations() as fleet:
        for headers in ({}, {"Authorization": "Bearer nobody"}, {"Tenant": "first"}):
            assert (await fleet.caller().ask("/open/x", headers=headers)).status == 200
        for call in fleet.workers[0].arrivals:
            assert not {"tenant", "authorization"} & call.headers.keys()


async def test_credentials_are_forwarded_without_organisations() -> None:
    async with open_fleet() as fleet:
        worker = Worker("plain")
        await start(fleet, worker)
        reply = await fleet.caller().ask("/safe/x", headers={**KEY, "Tenant": "first"})
        assert reply.status == 200
        headers = worker.arrivals[0].headers
        assert headers["authorization"] == KEY["Authorization"]
        assert "tenant" not in headers


async def test_unknown_caller_gets_401_without_100_continue() -> None:
    async with open_fleet_with_organisations() as fleet:
        caller = fleet.caller()
        more = ("Expect: 100-continue", "Content-Length: 500000")
        await caller.send("/safe/x", "PUT", more=more)
        with trio.fail_after(1):
            reply = await caller.receive()
        assert reply.status == 401, "the relay must not send 100 Continue first"


async def test_revoked_key_is_refused_on_open_connections() -> None:
    async with open_fleet_with_organisations() as fleet:
        first, second = fleet.caller(), fleet.caller()
        assert (await first.ask("/safe/x", headers=KEY)).status == 200
        keys = ["k-first-2", "k-new"]
        assert fleet.organisations is not None
        fleet.organisations[0]["api_keys"] = keys
        revision = fleet.configure()
        await fleet.wait_until(lambda: fleet.instances[0].records.table_revision == revision)
        assert (await first.ask("/safe/x", headers=KEY)).status == 401
        for key in keys:
            headers = {"Authorization": f"Bearer {key}"}
            assert (await second.ask("/safe/x", headers=headers)).status == 200


async def test_waiting_call_is_refused_when_its_key_is_revoked() -> None:
    async with open_fleet() as fleet:
        fleet.organisations = two_organisations()
        prefill, decode = Worker("model", "prefill"), Worker("model", "decode")
        decode.events, decode.event_interval_s = 24, 0.05
        await start(fleet, prefill, decode)
        fleet.configure({"slots": 1})
        await trio.sleep(0.3)
        running, waiting = fleet.caller(), fleet.caller()
        await running.send("/stream/x", "POST", headers={**STREAM, **OTHER_KEY})
        await trio.sleep(0.3)
        long_deadline = {**STREAM, **KEY, "Deadline-Milliseconds": "9000"}
        await waiting.send("/stream/y", "POST", headers=long_deadline)
        await fleet.wait_until(
            lambda: fleet.instances[0].service.decode_admission.waiting_count == 1
        )
        fleet.organisations[0]["api_keys"] = []
        fleet.configure({"slots": 1})
        with trio.fail_after(1.5):
            assert (await waiting.receive()).status == 401
        reply = await running.receive()
        assert (reply.status, reply.is_complete) == (200, True)


async def test_instance_without_store_access_learns_keys_from_peers() -> None:
    async with open_fleet_with_organisations() as fleet:
        second = fleet.start_instance()
        await fleet.wait_ready()
        # The instance keeps its last state of the store, which now serves only the other instance.
        second._follower._source._address = "127.0.0.1:1"
        second._follower._source.close()
        second._follower.poll_service()
        await trio.sleep(0.2)
        assert fleet.organisations is not None
        fleet.organisations[0]["api_keys"] = ["k-new"]
        revision = fleet.configure()
        await fleet.wait_until(lambda: second.records.table_revision == revision, 3.0)
        assert (await fleet.caller(1).ask("/safe/x", headers=KEY)).status == 401


async def test_call_over_limit_gets_429_with_refill_time_of_bucket() -> None:
    async with open_fleet_with_organisations(rate=400, burst=800) as fleet:
        caller = fleet.caller()
        replies = [await caller.ask("/unsafe/x", "POST", headers=KEY) for _ in range(6)]
        statuses = [reply.status for reply in replies]
        assert set(statuses) == {200, 429}
        assert statuses == sorted(statuses)
        limited_reply = replies[-1]
        wait_s = float(limited_reply.headers["retry-after"])
        assert 0.1 <= wait_s <= 1.0
        assert len(fleet.workers[0].runs) == statuses.count(200)
        other_replies = [await caller.ask("/unsafe/x", "POST", headers=OTHER_KEY) for _ in range(6)]
        assert [reply.status for reply in other_replies] == 6 * [200]
        await trio.sleep(wait_s)
        assert (await caller.ask("/unsafe/x", "POST", headers=KEY)).status == 200


async def test_rate_limit_is_shared_by_all_instances() -> None:
    async with open_fleet_with_organisations(rate=200, burst=2000) as fleet:
        fleet.start_instance()
        await fleet.wait_ready()
        callers = [fleet.caller(0), fleet.caller(1)]
        granted = 0
        for number in range(30):
            reply = await callers[number % 2].ask("/unsafe/x", "POST", headers=KEY)
            granted += reply.status == 200
        # Each instance starts with half of a burst of 10 calls; updates reach peers within 0.1 s.
        assert 5 <= granted <= 10


async def test_tokens_of_calls_that_did_not_run_are_refunded() -> None:
    async with open_fleet() as fleet:
        fleet.organisations = two_organisations(rate=100, burst=800)
        worker = Worker("plain")
        await start(fleet, worker)
        fleet.unregister(worker)
        await trio.sleep(0.2)
        caller = fleet.caller()
        for _ in range(8):
            assert (await caller.ask("/safe/x", headers=KEY)).status == 503
