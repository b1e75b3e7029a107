"""Real processes and sockets: one of each, asked, spoiled and stopped as planned."""

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
from demo.traffic import Ask, Caller, make_key

# The caller's HTTP library leaves generators of its own half read when its
# connection is dropped; nobody outside it can close them.
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
ASK = Ask("question", "m", "What is repaired next?", 60)
LIMIT_S = 60


def with_cluster(story: Callable[[Cluster, Caller], Awaitable[None]]) -> None:
    async def play() -> None:
        cluster = Cluster()
        try:
            with trio.fail_after(LIMIT_S):
                await cluster.start_platform()
                await cluster.start_engine("p1", "a", "prefill")
                await cluster.start_engine("d1", "a", "decode")
                await cluster.start_service("s1", "a", "orders")
                await cluster.start_entry("e1", "a")
                await cluster.publish_configuration(CONFIGURATION)
                await cluster.publish_fleet()
                await cluster.wait_ready()
                await story(cluster, Caller(cluster.client))
        finally:
            with trio.CancelScope(shield=True):
                await cluster.close()

    trio.run(play)


def test_spoiled_streams_come_whole_and_a_stop_cuts_off_nothing() -> None:
    async def story(cluster: Cluster, caller: Caller) -> None:
        await cluster.set_faults("d1", drop_at=3, double_at=5, foreign_at=6, swap_at=25, cut_at=45)
        address = cluster.entries["e1"].address
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(caller.ask, "e1", address, ASK)
            while (await cluster.ledger("d1"))["counts"].get("decodes", 0) < 4:
                await trio.sleep(0.01)
            cluster.send_signal("e1", signal.SIGTERM)
            assert await cluster.wait_exit("e1") == 0
        assert [result.outcome for result in caller.models] == ["whole"] * 4
        assert all(result.text == result.expected for result in caller.models)
        assert all(result.ids == tuple(range(60)) for result in caller.models)
        counts = (await cluster.ledger("d1"))["counts"]
        assert counts["resumes"] >= 3
        for name in ("p1", "d1"):
            assert (await cluster.ledger(name))["memory"] == 0

    with_cluster(story)


def test_orders_with_fences_and_cache_events_over_http() -> None:
    async def story(cluster: Cluster, caller: Caller) -> None:
        engine = cluster.engines["p1"]
        endpoint = Endpoint("p1", engine.address, "a", "prefill")
        client = HttpEndpointClient(1.0)
        try:
            await ask(cluster, caller, client, endpoint)
        finally:
            await client.close()

    async def ask(
        cluster: Cluster, caller: Caller, client: HttpEndpointClient, endpoint: Endpoint
    ) -> None:
        await client.give_order(endpoint, FencedCommand("role", "decode", 1, 7))
        with pytest.raises(StaleFenceError):
            await client.give_order(endpoint, FencedCommand("role", "prefill", 1, 7))
        assert (await cluster.ledger("p1"))["state"] == {"role": "decode"}
        while (await client.report(endpoint, Role.BOTH, 0)).load.fence != 7:
            await trio.sleep(0.05)
        await caller.ask("e1", cluster.entries["e1"].address, ASK)
        news = CacheUpdate((), (), 0, False)
        while not news.added:
            news = (await client.report(endpoint, Role.BOTH, 0)).cache
        assert news == CacheUpdate((hash_prefix(ASK.prompt.encode()),), (), 1, False)
        assert (await client.report(endpoint, Role.BOTH, 1)).cache == CacheUpdate((), (), 1, False)

    with_cluster(story)


def test_caller_that_goes_frees_the_engine_and_a_key_runs_once() -> None:
    async def story(cluster: Cluster, caller: Caller) -> None:
        address = cluster.entries["e1"].address
        gone = await caller.ask("e1", address, ASK._replace(max_tokens=8000, cancel_after=2))
        assert gone.outcome == "cancelled"
        while (await cluster.ledger("d1"))["memory"]:
            await trio.sleep(0.01)
        assert (await cluster.ledger("d1"))["counts"]["cancels"] == 1
        results = []
        while not results or results[-1].kind in ("key_outcome_unknown", "key_unavailable"):
            # Ownership of keys is sure some seconds after the start.
            await trio.sleep(0.2)
            key = make_key(random.Random(len(results)))
            results.append(await caller.call(address, "order", "/services/orders/orders", key))
        again = await caller.call(address, "order", "/services/orders/orders", results[-1].key)
        assert (results[-1].status, again.status) == (200, 200)
        executions = (await cluster.ledger("s1"))["executions"]
        assert executions == {results[-1].key: 1}

    with_cluster(story)
