"""Steps of the scenarios on unrepeatable calls and calls that are refused as not run."""

import trio
from pytest_bdd import parsers, scenarios, when

from features.scenario_run import ScenarioRun
from standins.world import World

scenarios("calls.feature")


@when("an order is posted")
def _(run: ScenarioRun) -> None:
    async def action(world: World) -> None:
        run.key = world.make_idempotency_key()
        await world.call("e1", run.key)

    run.execute(action)


@when(parsers.parse("orders with one key are posted through {names} at the same time"))
def _(run: ScenarioRun, names: str) -> None:
    async def action(world: World) -> None:
        run.key = world.make_idempotency_key()
        async with trio.open_nursery() as nursery:
            for name in names.split(", "):
                nursery.start_soon(world.call, name, run.key)

    run.execute(action)


@when("two orders with one key and different bodies are posted")
def _(run: ScenarioRun) -> None:
    async def action(world: World) -> None:
        run.key = world.make_idempotency_key()
        await world.call("e1", run.key, b"one")
        await world.call("e2", run.key, b"two")

    run.execute(action)


@when("an order is posted, the owner of its key dies, and the order is posted again")
def _(run: ScenarioRun) -> None:
    async def action(world: World) -> None:
        run.key = world.make_idempotency_key("a")
        members = world.entries["e1"].entry.peers.members
        owner = members.owner(run.key, "a", trio.current_time())
        assert owner is not None
        others = [name for name in world.entries if name != owner.name]
        await world.call(others[0], run.key)
        world.kill(owner.name)
        del world.listed_data_centres[owner.name]
        world.publish_fleet()
        await trio.sleep(20)
        await world.call(others[1], run.key)

    run.execute(action)


@when("an order is posted, all entries are replaced, and the order is posted again")
def _(run: ScenarioRun) -> None:
    async def action(world: World) -> None:
        run.key = world.make_idempotency_key()
        await world.call("e1", run.key)
        for name in list(world.entries):
            world.kill(name)
            del world.listed_data_centres[name]
        for name in ("e5", "e6"):
            await world.start_entry(name, "a")
        world.publish_fleet()
        await trio.sleep(20)
        await world.call("e5", run.key)

    run.execute(action)


def disconnect_data_centres(world: World) -> None:
    addresses = {name: item.link.address for name, item in world.entries.items()}
    world.network.disconnect([addresses["e1"], addresses["e2"]], [addresses["e3"], addresses["e4"]])


@when("the data centres are disconnected and orders with one key are posted in both")
def _(run: ScenarioRun) -> None:
    async def action(world: World) -> None:
        disconnect_data_centres(world)
        await trio.sleep(20)
        run.key = world.make_idempotency_key()
        await world.call("e1", run.key)
        await world.call("e3", run.key)

    run.execute(action)


@when("entries e1 and e2 are disconnected and orders with one key are posted to both")
def _(run: ScenarioRun) -> None:
    async def action(world: World) -> None:
        addresses = {name: item.link.address for name, item in world.entries.items()}
        world.network.disconnect([addresses["e1"]], [addresses["e2"]])
        await trio.sleep(20)
        run.key = world.make_idempotency_key("a")
        await world.call("e1", run.key)
        await world.call("e2", run.key)

    run.execute(action)


@when("the data centres are disconnected and an order is posted in the home of its key")
def _(run: ScenarioRun) -> None:
    async def action(world: World) -> None:
        disconnect_data_centres(world)
        await trio.sleep(20)
        run.key = world.make_idempotency_key("b")
        await world.call("e3", run.key)

    run.execute(action)


@when("an order runs through e2 and is posted again to e1, which is stopping")
def _(run: ScenarioRun) -> None:
    async def action(world: World) -> None:
        run.key = world.make_idempotency_key()
        await world.call("e2", run.key)
        world.nursery.start_soon(world.entries["e1"].entry.stop)
        await trio.sleep(0.01)
        await world.call("e1", run.key)

    run.execute(action)


@when("an order is posted through e1 and posted again through e2")
def _(run: ScenarioRun) -> None:
    async def action(world: World) -> None:
        run.key = world.make_idempotency_key()
        await world.call("e1", run.key)
        await world.call("e2", run.key)

    run.execute(action)


@when("an order is posted, its caller disconnects, and the order is posted again")
def _(run: ScenarioRun) -> None:
    async def action(world: World) -> None:
        run.key = world.make_idempotency_key()
        world.nursery.start_soon(world.call, "e1", run.key)
        await trio.sleep(0.5)
        world.callers[0].disconnect()
        run.observed["disconnected_callers"] = 1
        await world.call("e2", run.key)

    run.execute(action)
