"""State of one scenario: its simulated fleet and the observations that its steps check."""

import math
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from standins.fakes import Caller
from standins.world import World, wait_for_tokens

Action = Callable[[World], Awaitable[None]]


class ScenarioRun:
    """The simulated fleet of one scenario and the observations that its steps check.

    Attributes:
        world: The fleet; ``Given`` steps change it before the action.
        entries: Entries to start, each as name and data centre; empty for ``e1`` in ``a``.
        tokens: Number of tokens that the first caller requests.
        key: Idempotency key of the order.
        observed: Observations of the action by name, for the ``Then`` steps.
    """

    def __init__(self) -> None:
        self.world = World()
        self.entries: list[str] = []
        self.tokens = 20
        self.key = ""
        self.observed: dict[str, Any] = {}

    def execute(self, action: Action) -> None:
        """Start the fleet, apply the changes of the ``Given`` steps and run the action."""
        self.world.run(action, *self.entries)

    @property
    def first_caller(self) -> Caller:
        return self.world.callers[0]

    @property
    def second_caller(self) -> Caller:
        return self.world.callers[1]


async def wait_for_phase(world: World, caller: Caller, phase: str) -> None:
    """Wait until a request is in a phase according to the memory that engines hold for it."""
    if phase == "streaming":
        await wait_for_tokens(caller, 5)
        return
    kind = {"prefilling": "prefill", "decoding": "decode"}[phase]
    while not any(
        key[2] == kind for engine in world.fleet.engines.values() for key in engine.memory
    ):
        await trio.sleep(0.0005)


async def record_memory_release(run: ScenarioRun, world: World) -> None:
    """Record how many seconds engines go on to hold memory; infinite if more than 60."""
    started_at = trio.current_time()
    await world.wait_for_free_memory(60)
    is_held = any(world.fleet.memory().values())
    run.observed["held_s"] = math.inf if is_held else trio.current_time() - started_at
