"""Steps of the scenarios on complete answers that are received exactly once."""

from pytest_bdd import parsers, scenarios, when

from features.scenario_run import ScenarioRun, record_memory_release, wait_for_phase
from standins.world import World, wait_for_tokens

scenarios("answers.feature")


@when(parsers.parse("a caller requests {tokens:d} tokens"))
def _(run: ScenarioRun, tokens: int) -> None:
    async def action(world: World) -> None:
        await wait_for_tokens(world.start_model_request("e1", tokens), tokens + 1)
        await record_memory_release(run, world)

    run.tokens = tokens
    run.execute(action)


@when(
    parsers.parse(
        "the engine assigned to {work} dies while a request for {tokens:d} tokens is {phase}"
    )
)
def _(run: ScenarioRun, work: str, tokens: int, phase: str) -> None:
    async def action(world: World) -> None:
        caller = world.start_model_request("e1", tokens)
        await wait_for_phase(world, caller, phase)
        reserved = world.entries["e1"].entry.view.reservations
        role = "prefill" if work == "the prefill" else "decode"
        engine = next(item.endpoint for key, item in reserved.items() if key.endswith(role))
        world.fleet.kill(engine)
        await wait_for_tokens(caller, tokens + 1)
        await record_memory_release(run, world)

    run.tokens = tokens
    run.execute(action)


@when(parsers.parse("all decode engines die while a request for {tokens:d} tokens is streaming"))
def _(run: ScenarioRun, tokens: int) -> None:
    async def action(world: World) -> None:
        caller = world.start_model_request("e1", tokens)
        await wait_for_phase(world, caller, "streaming")
        world.fleet.kill("d1")
        world.fleet.kill("d2")
        await wait_for_tokens(caller, tokens + 1)

    run.tokens = tokens
    run.execute(action)
