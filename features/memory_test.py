"""Steps of the scenarios on the release of engine memory."""

import trio
from pytest_bdd import parsers, scenarios, when

from features.scenario_run import ScenarioRun, record_memory_release, wait_for_phase
from standins.world import World, wait_for_tokens

scenarios("memory.feature")


@when(parsers.parse("a caller disconnects while its request is {phase}"))
def _(run: ScenarioRun, phase: str) -> None:
    async def action(world: World) -> None:
        caller = world.start_model_request("e1", 5000)
        await wait_for_phase(world, caller, phase)
        caller.disconnect()
        await trio.sleep(0.01)
        await record_memory_release(run, world)

    run.execute(action)


@when(parsers.parse("entry e1 dies while its request is {phase}"))
def _(run: ScenarioRun, phase: str) -> None:
    async def action(world: World) -> None:
        caller = world.start_model_request("e1", 5000)
        await wait_for_phase(world, caller, phase)
        if "e1/a" in run.entries and world.network.lost_message_kinds:
            # The lost notes are sent again during this time.
            await trio.sleep(2.5)
        world.kill("e1")
        await record_memory_release(run, world)

    run.execute(action)


@when(parsers.parse("entry e1 is disconnected from its peers while it streams {tokens:d} tokens"))
def _(run: ScenarioRun, tokens: int) -> None:
    async def action(world: World) -> None:
        caller = world.start_model_request("e1", tokens)
        await wait_for_phase(world, caller, "streaming")
        addresses = {name: item.link.address for name, item in world.entries.items()}
        world.network.disconnect([addresses["e1"]], [addresses["e2"], addresses["e3"]])
        await wait_for_tokens(caller, tokens + 1)

    run.tokens = tokens
    run.execute(action)
