"""Which faults strike when: a plan that follows from a seed alone."""

import random
from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "CLOCK_KINDS",
    "CRASH_KINDS",
    "MIXED_KINDS",
    "MOVING_CLOCK_KINDS",
    "ORGANISATION_KINDS",
    "RESTORE_KINDS",
    "STOP_KINDS",
    "WORKER_LIMIT_KINDS",
    "WORD_KINDS",
    "FaultKind",
    "PlannedFault",
    "plan_faults",
]

# Faults begin after a calm start and end before the final checks.
_FIRST_S = 2.0
_SHORTEST_S = 0.3
_LONGEST_S = 3.0
_SERIES = 0.3


class FaultKind(StrEnum):
    """Kinds of faults; the text tells the story of a seed."""

    INSTANCE_STOP = "an instance is stopped as planned and started again"
    INSTANCE_SIGNALS = "an instance is stopped as planned, with more signals until it is gone"
    INSTANCE_ROLL = "all instances are stopped as planned in turn, before the last one is back"
    INSTANCE_KILL = "an instance is killed and started again"
    INSTANCE_PAUSE = "an instance is paused"
    INSTANCE_SUSPEND = "an instance's machine is suspended; its clock has gone on meanwhile"
    INSTANCE_CLOCK = "an instance's time of day steps forth or back"
    INSTANCE_RELOAD = "an instance reloads settings that changed or can't be used, at any time"
    STORE_LINK_DELAY = "an instance's link to the store is slow"
    STORE_LINK_RESET = "an instance's link to the store resets"
    STORE_LINK_SILENCE = "an instance's link to the store is silent"
    STORE_LINK_ONE_WAY = "answers of the store do not reach an instance"
    STORE_BUSY = "the store turns everybody away"
    STORE_SILENT = "the store is silent"
    STORE_RESET = "the store resets its connections"
    STORE_FORGETS = "the store forgets its history"
    STORE_OLD_READ = "the store shows an older configuration for a while"
    STORE_LOSES = "the store loses its open waits"
    WORKER_LINK_DELAY = "a worker's link is slow"
    WORKER_LINK_RESET = "a worker's link resets"
    WORKER_LINK_SILENCE = "a worker's link is silent"
    WORKER_LINK_ONE_WAY = "answers of a worker do not arrive"
    WORKER_FAULTS = "a worker answers wrongly a few times"
    WORKER_CRASH = "a worker crashes; another comes at its address"
    WORKER_DRAIN = "a worker drains and leaves; another comes"
    CONFIGURATION = "a route moves to another service"
    KEY = "a key is taken away while connections are open, and another one given"
    LIMIT = "an organisation's limit changes"
    WORKER_WORD = "a worker that leaves says so in its answers alone"
    WORKER_REST = "a worker turns everything away and asks for a rest"
    WORKER_LIMIT = "a worker names the calls a second that it takes of all instances"
    STORE_RESTORE = "the store is away, and comes back from a copy that is some seconds old"
    UPGRADE = "all instances are replaced in turn by instances of the other build"
    CRASHING_REQUEST = "a request that crashes each worker which runs it comes again and again"


# Planned work alone: nothing of it may cut a request off.
STOP_KINDS = (
    FaultKind.INSTANCE_STOP,
    FaultKind.INSTANCE_ROLL,
    FaultKind.INSTANCE_SIGNALS,
    FaultKind.INSTANCE_RELOAD,
    FaultKind.CONFIGURATION,
)


# What needs organisations in a run.
ORGANISATION_KINDS = (FaultKind.KEY, FaultKind.LIMIT)

# What workers say of themselves in answers, while the store is away, comes back older, and
# instances are stopped, killed and paused.
WORD_KINDS = (FaultKind.WORKER_WORD, FaultKind.WORKER_REST)
RESTORE_KINDS = (
    *WORD_KINDS,
    FaultKind.STORE_RESTORE,
    FaultKind.STORE_SILENT,
    FaultKind.WORKER_DRAIN,
    FaultKind.WORKER_CRASH,
    FaultKind.CONFIGURATION,
    FaultKind.KEY,
    FaultKind.INSTANCE_STOP,
    FaultKind.INSTANCE_KILL,
    FaultKind.INSTANCE_PAUSE,
)
# Limits that workers name, while instances are stopped, killed, paused and cut off.
WORKER_LIMIT_KINDS = (
    FaultKind.WORKER_LIMIT,
    FaultKind.WORKER_FAULTS,
    FaultKind.WORKER_REST,
    FaultKind.WORKER_DRAIN,
    FaultKind.STORE_SILENT,
    FaultKind.CONFIGURATION,
    FaultKind.INSTANCE_STOP,
    FaultKind.INSTANCE_KILL,
    FaultKind.INSTANCE_PAUSE,
    FaultKind.INSTANCE_RELOAD,
)
# Clocks that move, while instances lead, are stopped, killed, paused and cut off.
CLOCK_KINDS = (FaultKind.INSTANCE_SUSPEND, FaultKind.INSTANCE_CLOCK)
MOVING_CLOCK_KINDS = (
    *CLOCK_KINDS,
    FaultKind.INSTANCE_STOP,
    FaultKind.INSTANCE_KILL,
    FaultKind.INSTANCE_PAUSE,
    FaultKind.INSTANCE_RELOAD,
    FaultKind.STORE_LINK_SILENCE,
    FaultKind.WORKER_LIMIT,
    FaultKind.WORKER_REST,
    FaultKind.WORKER_DRAIN,
    FaultKind.WORKER_FAULTS,
    FaultKind.CONFIGURATION,
)
# What happens beside two builds of the program.
MIXED_KINDS = (
    FaultKind.INSTANCE_KILL,
    FaultKind.INSTANCE_PAUSE,
    FaultKind.STORE_SILENT,
    FaultKind.STORE_LINK_SILENCE,
    FaultKind.STORE_FORGETS,
    FaultKind.WORKER_DRAIN,
    FaultKind.WORKER_CRASH,
    FaultKind.WORKER_FAULTS,
    FaultKind.CONFIGURATION,
    FaultKind.KEY,
    FaultKind.LIMIT,
    FaultKind.CRASHING_REQUEST,
)

# Requests that crash workers, while instances are killed, suspended, stopped and cut off.
CRASH_KINDS = (
    FaultKind.CRASHING_REQUEST,
    FaultKind.INSTANCE_KILL,
    FaultKind.INSTANCE_PAUSE,
    FaultKind.INSTANCE_STOP,
    FaultKind.STORE_LINK_SILENCE,
)
# The plans of seeds that are kept stay what they were.
_SPECIAL_KINDS = (
    *ORGANISATION_KINDS,
    *WORD_KINDS,
    *CLOCK_KINDS,
    FaultKind.WORKER_LIMIT,
    FaultKind.STORE_RESTORE,
    FaultKind.UPGRADE,
    FaultKind.CRASHING_REQUEST,
)
_USUAL_KINDS = tuple(kind for kind in FaultKind if kind not in _SPECIAL_KINDS)


class PlannedFault(NamedTuple):
    """One fault.

    Attributes:
        at_s: When it strikes, in seconds from the start of traffic.
        for_s: How long it lasts, where that fits.
        kind: What it is.
        target: Picks whom it strikes, among those that there are then.
    """

    at_s: float
    for_s: float
    kind: FaultKind
    target: int


def plan_faults(
    seed: int, seconds: float, rate: float, kinds: tuple[FaultKind, ...] = ()
) -> list[PlannedFault]:
    """Plan the faults of a run.

    Args:
        seed: Decides everything.
        seconds: Length of the traffic.
        rate: Faults a second; they overlap, and a part comes in series.
        kinds: Kinds of faults; all that need no organisations if empty.
    """
    rng = random.Random(seed)
    faults: list[PlannedFault] = []
    at_s = _FIRST_S
    kinds = kinds or _USUAL_KINDS
    last = seconds - _LONGEST_S
    while at_s < last:
        kind = rng.choice(kinds)
        target = rng.randrange(1000)
        repeats = 3 if rng.random() < _SERIES else 1
        for number in range(repeats):
            for_s = rng.uniform(_SHORTEST_S, _LONGEST_S)
            start_s = at_s + 0.6 * number
            if start_s < last:
                faults.append(PlannedFault(start_s, for_s, kind, target + number))
        at_s += rng.expovariate(rate / 1.6)
    return sorted(faults)
