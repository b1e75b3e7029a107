"""Tests a small cluster of real processes: faulty streams, planned stops, commands and keys."""

import random
import signal
from collections.abc import Awaitable, Callable

import pytest
import trio

from cleatlink.core.data import CacheUpdate, Endpoint, FencedCommand, Role
from cleatlink.core.errors import StaleFenceError
from cleatlink.routing import hash_prefix
from cleatlink.serving.endpoints import HttpEndpointClient
from demo.cluster import Cluster
from demo.traffic import Caller, ModelRequest, make_key

# httpx leaves its internal generators unfinished when a connection is dropped; its callers cannot
# close them.
pytestmark = pytest.mark.filterwarnings("ignore:Exception ignored in. <async_generator object")

CONFIGURATION = """
version: 1
data_centres: { a: { region: r } }
services:
  lm: { kind: model, models: [m] }
  orders: { kind: plain, unrepeatable: [{ path: "/orders*" }] }
pools:
  prefill: { service: lm, role: prefill }
  decode: { service: lm, role: decode }
  orders: { service: orders, role: plain }
classes: { question: { service: lm, max_wait_s: 5 }, order: { service: orders, max_wait_s: 5 } }
"""
REQUEST = ModelRequest("question", "m", "What is repaired next?", 60)
TEST_TIMEOUT_S = 60


def run_with_cluster(scenario: Callable[[Cluster, Caller], Awaitable[None]]) -> None:
    """Run a scenario with a cluster of one engine per role, one service and one entry."""

    async def run_scenario() -> None:
        cluster = Cluster()
        try:
            with trio.fail_after(TEST_TIMEOUT_S):
                await cluster.start_platform()
                await cluster.start_engine("p1", "a", "prefill")
                await cluster.start_engine("d1", "a", "decode")
                await cluster.start_service("s1", "a", "orders")
                await cluster.start_entry("e1", "a")
                await cluster.publish_configuration(CONFIGURATION)
                await cluster.publish_fleet()
                await cluster.wait_ready()
                await scenario(cluster, Caller(cluster.client))
        finally:
            with trio.CancelScope(shield=True):
                await cluster.close()

    trio.run(run_scenario)


def test_faulty_streams_are_repaired_and_planned_stop_cuts_off_nothing() -> None:
    async def scenario(cluster: Cluster, caller: Caller) -> None:
        await cluster.set_faults("d1", drop_at=3, double_at=5, foreign_at=6, swap_at=25, cut_at=45)
        address = cluster.entries["e1"].address
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(caller.send_model_request, "e1", address, REQUEST)
            while (await cluster.ledger("d1"))["counts"].get("decodes", 0) < 4:
                await trio.sleep(0.01)
            cluster.send_signal("e1", signal.SIGTERM)
            assert await cluster.wait_exit("e1") == 0
        assert [result.outcome for result in caller.model_results] == ["whole"] * 4
        assert all(result.text == result.expected_text for result in caller.model_results)
        assert all(result.event_ids == tuple(range(60)) for result in caller.model_results)
        counts = (await cluster.ledger("d1"))["counts"]
        assert counts["resumes"] >= 3
        for name in ("p1", "d1"):
            assert (await cluster.ledger(name))["memory"] == 0

    run_with_cluster(scenario)


def test_fenced_commands_and_cache_events_over_http() -> None:
    async def scenario(cluster: Cluster, caller: Caller) -> None:
        engine = cluster.engines["p1"]
        endpoint = Endpoint("p1", engine.address, "a", "prefill")
        client = HttpEndpointClient(1.0)
        try:
            await check_commands_and_cache_events(cluster, caller, client, endpoint)
        finally:
            await client.close()

    async def check_commands_and_cache_events(
        cluster: Cluster, caller: Caller, client: HttpEndpointClient, endpoint: Endpoint
    ) -> None:
        await client.send_command(endpoint, FencedCommand("role", "decode", 1, 7))
        with pytest.raises(StaleFenceError):
            await client.send_command(endpoint, FencedCommand("role", "prefill", 1, 7))
        assert (await cluster.ledger("p1"))["state"] == {"role": "decode"}
        while (await client.fetch_report(endpoint, Role.BOTH, 0)).load.fence != 7:
            await trio.sleep(0.05)
        await caller.send_model_request("e1", cluster.entries["e1"].address, REQUEST)
        update = CacheUpdate((), (), 0, False)
        while not update.added:
            update = (await client.fetch_report(endpoint, Role.BOTH, 0)).cache
        assert update == CacheUpdate((hash_prefix(REQUEST.prompt.encode()),), (), 1, False)
        assert (await client.fetch_report(endpoint, Role.BOTH, 1)).cache == CacheUpdate(
            (), (), 1, False
        )

    run_with_cluster(scenario)


def test_disconnect_frees_engine_memory_and_key_runs_once() -> None:
    async def scenario(cluster: Cluster, caller: Caller) -> None:
        address = cluster.entries["e1"].address
        unfinished = await caller.send_model_request(
            "e1", address, REQUEST._replace(max_tokens=8000, cancel_after_tokens=2)
        )
        assert unfinished.outcome == "cancelled"
        while (await cluster.ledger("d1"))["memory"]:
            await trio.sleep(0.01)
        assert (await cluster.ledger("d1"))["counts"]["cancels"] == 1
        results = []
        while not results or results[-1].error_code in ("key_outcome_unknown", "key_unavailable"):
            # The entry confirms the ownership of keys only some seconds after its start.
            await trio.sleep(0.2)
            key = make_key(random.Random(len(results)))
            results.append(await caller.send_call(address, "order", "/services/orders/orders", key))
        repeated = await caller.send_call(
            address, "order", "/services/orders/orders", results[-1].key
        )
        assert (results[-1].status, repeated.status) == (200, 200)
        executions = (await cluster.ledger("s1"))["executions"]
        assert executions == {results[-1].key: 1}

    run_with_cluster(scenario)
