"""Steps of the scenarios on leaving endpoints, planned stops and configuration."""

from collections.abc import Callable

import trio
from pytest_bdd import parsers, scenarios, when

from features.scenario_run import ScenarioRun, wait_for_phase
from standins.world import CONFIGURATION, World, wait_for_tokens

scenarios("fleet.feature")


@when(parsers.parse("engine d1 is announced as leaving by {source}"))
def _(run: ScenarioRun, source: str) -> None:
    if source == "a peer's heartbeat":
        run.entries = ["e1/a", "e2/a"]

    def announce(world: World) -> None:
        engine = world.fleet.engines["d1"]
        if source == "the platform's list":
            world.publish_fleet("d1")
            return
        engine.leaving = True
        if source == "its refusals":
            engine.faults["stale_report"] = True
        elif source == "a peer's heartbeat":
            # The entry that receives the requests sees only old reports; its peer sees new ones.
            world.entries["e1"].client.stale_reports = True

    run.execute(lambda world: count_late_orders(run, world, announce, 4.0))


@when("the load reports of engine d1 stop")
def _(run: ScenarioRun) -> None:
    run.execute(
        lambda world: count_late_orders(
            run, world, lambda w: w.fleet.unreported_addresses.add("d1"), 6.0
        )
    )


async def count_late_orders(
    run: ScenarioRun, world: World, announce: Callable[[World], None], grace_s: float
) -> None:
    """Count the orders that d1 receives more than ``grace_s`` seconds after ``announce``."""
    await trio.sleep(2)
    run.observed["early_orders"] = world.fleet.orders["d1"]
    announce(world)
    await trio.sleep(grace_s)
    orders_at_end_of_grace = world.fleet.orders["d1"]
    await trio.sleep(20)
    run.observed["late_orders"] = world.fleet.orders["d1"] - orders_at_end_of_grace
    run.observed["orders_to_d2"] = world.fleet.orders["d2"]


@when(parsers.parse("a planned stop of entry e1 begins while it streams {tokens:d} tokens"))
def _(run: ScenarioRun, tokens: int) -> None:
    async def action(world: World) -> None:
        caller = world.start_model_request("e1", tokens)
        await wait_for_phase(world, caller, "streaming")
        world.nursery.start_soon(stop_entry, run, world)
        await trio.sleep(0.5)
        refused = world.start_model_request("e1", 5)
        await wait_for_tokens(caller, tokens + 1)
        await trio.sleep(1)
        run.observed["error_code"] = refused.error["code"]

    run.tokens = tokens
    run.execute(action)


@when("a planned stop of entry e1 begins while an order runs")
def _(run: ScenarioRun) -> None:
    async def action(world: World) -> None:
        run.key = world.make_idempotency_key()
        world.nursery.start_soon(world.call, "e1", run.key)
        await trio.sleep(0.5)
        await stop_entry(run, world)
        await trio.sleep(0.5)

    run.execute(action)


@when("a planned stop of entry e1 begins after the last token of an answer")
def _(run: ScenarioRun) -> None:
    async def action(world: World) -> None:
        caller = world.start_model_request("e1", 3)
        while len(caller.event_ids) < 3:
            await trio.sleep(0.01)
        await stop_entry(run, world)

    run.execute(action)


async def stop_entry(run: ScenarioRun, world: World) -> None:
    await world.entries["e1"].entry.stop()
    run.observed["stopped"] = True
    run.observed["stopped_at"] = trio.current_time()
    world.kill("e1")


@when("entry e1 is disconnected from the platform and a configuration is published")
def _(run: ScenarioRun) -> None:
    async def action(world: World) -> None:
        world.entries["e1"].platform.cut = True
        world.platform.publish("config", CONFIGURATION + "# new\n")
        await trio.sleep(3)
        record_revisions(run, world)

    run.execute(action)


@when("a configuration is published and the platform returns the old one again")
def _(run: ScenarioRun) -> None:
    async def action(world: World) -> None:
        world.platform.publish("config", CONFIGURATION + "# new\n")
        await trio.sleep(3)
        world.platform.set_faults(False, {"config"})
        await trio.sleep(60)
        record_revisions(run, world)

    run.execute(action)


@when("a configuration is published, the platform returns the old one again, and e3 starts")
def _(run: ScenarioRun) -> None:
    async def action(world: World) -> None:
        world.platform.publish("config", CONFIGURATION + "# new\n")
        await trio.sleep(3)
        world.platform.set_faults(False, {"config"})
        await world.start_entry("e3", "b")
        await world.wait_ready("e3")
        record_revisions(run, world)

    run.execute(action)


@when("the platform is unavailable for an hour and e3 starts")
def _(run: ScenarioRun) -> None:
    async def action(world: World) -> None:
        world.platform.publish("config", CONFIGURATION + "# new\n")
        await trio.sleep(3)
        world.platform.set_faults(True, set())
        # Simulates one minute of the hour because no behaviour depends on the length of the outage.
        await trio.sleep(60)
        run.world.settings["peers"] = (world.entries["e1"].link.address,)
        await world.start_entry("e3", "b")
        await world.wait_ready("e3")
        record_revisions(run, world)

    run.execute(action)


@when("an invalid configuration is published, then a valid one")
def _(run: ScenarioRun) -> None:
    async def action(world: World) -> None:
        world.platform.publish("config", "version: 1\nnonsense: true\n")
        await trio.sleep(3)
        run.observed["earlier_revisions"] = read_revisions(world)
        world.platform.publish("config", CONFIGURATION + "# new\n")
        await trio.sleep(3)
        record_revisions(run, world)
        assert set(run.observed["earlier_revisions"].values()) == {1}

    run.execute(action)


def read_revisions(world: World) -> dict[str, int]:
    return {name: item.entry.revision for name, item in world.entries.items()}


def record_revisions(run: ScenarioRun, world: World) -> None:
    run.observed["revisions"] = read_revisions(world)
    run.observed["expected_revision"] = len(world.platform.published["config"])
