"""The schedule of the faults in a run, generated from a seed alone."""

import random
from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "BUDGET_KINDS",
    "BUILD_KINDS",
    "CLOCK_KINDS",
    "CRASH_KINDS",
    "CRASHING_PART_KINDS",
    "CONNECTION_KINDS",
    "MIXED_BUILD_KINDS",
    "MOVING_CLOCK_KINDS",
    "NOTICE_KINDS",
    "ORGANISATION_KINDS",
    "PATH_KINDS",
    "REJECTION_KINDS",
    "RESTORE_KINDS",
    "STOP_KINDS",
    "UNFRAMED_KINDS",
    "WORKER_LIMIT_KINDS",
    "FaultKind",
    "PlannedFault",
    "plan_faults",
]

# Seconds without faults at the start of the traffic.
_FIRST_FAULT_AT_S = 2.0
_MIN_DURATION_S = 0.3
# No fault starts later than this before the end of the traffic.
_MAX_DURATION_S = 3.0
# Probability that a fault is repeated, as a series.
_SERIES_PROBABILITY = 0.3


class FaultKind(StrEnum):
    """Kinds of faults; the values describe the faults in the output of a failed run."""

    INSTANCE_STOP = "an instance is stopped gracefully and restarted"
    INSTANCE_SIGNALS = "an instance is stopped gracefully and gets more signals until it exits"
    INSTANCE_ROLL = "all instances are stopped gracefully in turn, with overlapping stops"
    INSTANCE_KILL = "an instance is killed and restarted"
    INSTANCE_PAUSE = "an instance is paused"
    INSTANCE_SUSPEND = "an instance's machine is suspended while its clock continues"
    INSTANCE_CLOCK = "an instance's wall clock jumps forward or back, and returns later"
    INSTANCE_RELOAD = "an instance reloads changed or invalid settings"
    STORE_LINK_DELAY = "an instance's link to the store delays data"
    STORE_LINK_RESET = "an instance's link to the store closes connections"
    STORE_LINK_SILENCE = "an instance's link to the store carries no data"
    STORE_LINK_ONE_WAY = "an instance's link to the store carries no responses"
    STORE_BUSY = "the store rejects all requests"
    STORE_SILENT = "the store does not respond"
    STORE_RESET = "the store closes its connections"
    STORE_FORGETS = "the store discards its change history"
    STORE_OLD_READ = "the store returns an older configuration for a while"
    STORE_LOSES = "the store drops its pending watches"
    WORKER_LINK_DELAY = "a worker's link delays data"
    WORKER_LINK_RESET = "a worker's link closes connections"
    WORKER_LINK_SILENCE = "a worker's link carries no data"
    WORKER_LINK_ONE_WAY = "a worker's link carries no responses"
    WORKER_FAULTS = "a worker fails or sends a wrong response a few times"
    WORKER_CRASH = "a worker crashes and another one starts at its address"
    WORKER_DRAIN = "a worker is replaced, and drains before it exits"
    CONFIGURATION = "a route moves to another service"
    KEY = "an API key is replaced by another one while connections are open"
    LIMIT = "the rate limit of an organisation changes"
    WORKER_WORD = "a worker announces its shutdown in response headers only"
    WORKER_REST = "a worker rejects all requests and requests a backoff"
    WORKER_LIMIT = "a worker announces its rate limit over all instances"
    STORE_RESTORE = "the store is unavailable and is then restored from a copy that is seconds old"
    UPGRADE = "all instances are replaced in turn by instances of the other build version"
    CRASHING_REQUEST = "a request that crashes every worker that runs it is sent repeatedly"
    INSTANCE_HERD = "most instances are killed at the same moment and restarted"
    WORKERS_FAIL = "all workers of a service reject, reset or fail most requests"
    WORKER_RELEASE = "a worker is replaced by one of another build, and drains before it exits"
    PATHS_CUT = "an instance loses its paths to all workers, which the others still reach"
    CRASHING_PART = "different requests are sent whose prompts have a part that crashes workers"
    WORKER_UNFRAMED = "a worker's responses have no length and end with their connection"
    CONNECTIONS_SKEWED = "most new connections go to one instance, and callers open more of them"
    WORKERS_OWN_STATUS = "workers of a service run requests and answer with statuses of rejections"
    WORKERS_REPEAT = "workers of a service reject requests, and send rejections again later"
    WORKERS_ENDLESS = "workers of a service send bytes without end"
    WORKERS_COPY = "workers of a service send any of their answers again later"


# Planned operations only; none of them may interrupt a request.
STOP_KINDS = (
    FaultKind.INSTANCE_STOP,
    FaultKind.INSTANCE_ROLL,
    FaultKind.INSTANCE_SIGNALS,
    FaultKind.INSTANCE_RELOAD,
    FaultKind.CONFIGURATION,
)

# Kinds that need a run with organisations.
ORGANISATION_KINDS = (FaultKind.KEY, FaultKind.LIMIT)

# Notices that workers send in response headers.
NOTICE_KINDS = (FaultKind.WORKER_WORD, FaultKind.WORKER_REST)
# These notices, combined with an unavailable or restored store and with instances that are stopped,
# killed and paused.
RESTORE_KINDS = (
    *NOTICE_KINDS,
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
# Rate limits that workers announce, combined with instances that are stopped, killed, paused and
# disconnected from the store.
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
CLOCK_KINDS = (FaultKind.INSTANCE_SUSPEND, FaultKind.INSTANCE_CLOCK)
# Clock changes, combined with instances that lead and are stopped, killed, paused and disconnected
# from the store.
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
# Faults for runs in which instances run two different builds of the program.
MIXED_BUILD_KINDS = (
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

# Requests that crash workers, combined with instances that are killed, paused, stopped and
# disconnected from the store.
CRASH_KINDS = (
    FaultKind.CRASHING_REQUEST,
    FaultKind.INSTANCE_KILL,
    FaultKind.INSTANCE_PAUSE,
    FaultKind.INSTANCE_STOP,
    FaultKind.STORE_LINK_SILENCE,
)
# A part of prompts that crashes workers, combined with instances that are killed alone and
# together, paused, stopped and disconnected from the store, and with workers that crash by chance.
CRASHING_PART_KINDS = (
    FaultKind.CRASHING_PART,
    FaultKind.CRASHING_PART,
    FaultKind.INSTANCE_HERD,
    FaultKind.INSTANCE_KILL,
    FaultKind.INSTANCE_PAUSE,
    FaultKind.INSTANCE_STOP,
    FaultKind.WORKER_CRASH,
    FaultKind.STORE_LINK_SILENCE,
)
# Responses that end with their connection, combined with faults that break responses off.
UNFRAMED_KINDS = (
    FaultKind.WORKER_UNFRAMED,
    FaultKind.WORKER_UNFRAMED,
    FaultKind.WORKER_FAULTS,
    FaultKind.WORKER_CRASH,
    FaultKind.WORKER_DRAIN,
    FaultKind.WORKER_LINK_RESET,
    FaultKind.INSTANCE_STOP,
    FaultKind.INSTANCE_KILL,
    FaultKind.INSTANCE_PAUSE,
    FaultKind.CONFIGURATION,
)
# Connections to one instance, combined with changes that disturb no request.
CONNECTION_KINDS = (
    FaultKind.CONNECTIONS_SKEWED,
    FaultKind.CONNECTIONS_SKEWED,
    FaultKind.INSTANCE_RELOAD,
    FaultKind.INSTANCE_ROLL,
    FaultKind.WORKER_DRAIN,
    FaultKind.CONFIGURATION,
)
# Lost paths of instances, combined with instances that are stopped, killed and paused, and with
# workers that crash and leave.
PATH_KINDS = (
    FaultKind.PATHS_CUT,
    FaultKind.INSTANCE_STOP,
    FaultKind.INSTANCE_KILL,
    FaultKind.INSTANCE_PAUSE,
    FaultKind.INSTANCE_RELOAD,
    FaultKind.WORKER_CRASH,
    FaultKind.WORKER_DRAIN,
    FaultKind.WORKER_FAULTS,
    FaultKind.CONFIGURATION,
    FaultKind.STORE_LINK_SILENCE,
)
# Statuses of rejections that are none, rejections that are sent twice, and bytes without end,
# combined with instances that are stopped, killed, paused and lose their paths, with workers that
# crash and leave, and with a route that moves.
REJECTION_KINDS = (
    FaultKind.WORKERS_OWN_STATUS,
    FaultKind.WORKERS_REPEAT,
    FaultKind.WORKERS_ENDLESS,
    FaultKind.WORKERS_OWN_STATUS,
    FaultKind.WORKERS_REPEAT,
    FaultKind.WORKERS_ENDLESS,
    FaultKind.INSTANCE_STOP,
    FaultKind.INSTANCE_KILL,
    FaultKind.INSTANCE_PAUSE,
    FaultKind.WORKER_CRASH,
    FaultKind.WORKER_DRAIN,
    FaultKind.WORKER_LINK_RESET,
    FaultKind.PATHS_CUT,
    FaultKind.CONFIGURATION,
)
# Failures that instances retry, combined with instances that forget what they have sent.
BUDGET_KINDS = (
    FaultKind.WORKERS_FAIL,
    FaultKind.WORKERS_FAIL,
    FaultKind.INSTANCE_HERD,
    FaultKind.INSTANCE_KILL,
    FaultKind.INSTANCE_PAUSE,
    FaultKind.INSTANCE_STOP,
    FaultKind.WORKER_LINK_RESET,
    FaultKind.WORKER_FAULTS,
    FaultKind.WORKER_DRAIN,
)
# Engines of several builds, combined with engines and instances that interrupt streams.
BUILD_KINDS = (
    FaultKind.WORKER_RELEASE,
    FaultKind.WORKER_RELEASE,
    FaultKind.WORKER_FAULTS,
    FaultKind.WORKER_LINK_RESET,
    FaultKind.WORKER_LINK_SILENCE,
    FaultKind.WORKER_CRASH,
    FaultKind.INSTANCE_KILL,
    FaultKind.INSTANCE_HERD,
    FaultKind.INSTANCE_STOP,
    FaultKind.INSTANCE_PAUSE,
    FaultKind.STORE_SILENT,
)
# Kinds that a run has to name. Adding one to the default kinds would change the schedules of the
# recorded seeds.
_OPT_IN_KINDS = (
    *ORGANISATION_KINDS,
    *NOTICE_KINDS,
    *CLOCK_KINDS,
    FaultKind.WORKER_LIMIT,
    FaultKind.STORE_RESTORE,
    FaultKind.UPGRADE,
    FaultKind.CRASHING_REQUEST,
    FaultKind.PATHS_CUT,
    FaultKind.INSTANCE_HERD,
    FaultKind.WORKERS_FAIL,
    FaultKind.WORKER_RELEASE,
    FaultKind.CRASHING_PART,
    FaultKind.WORKER_UNFRAMED,
    FaultKind.CONNECTIONS_SKEWED,
    FaultKind.WORKERS_OWN_STATUS,
    FaultKind.WORKERS_REPEAT,
    FaultKind.WORKERS_ENDLESS,
    FaultKind.WORKERS_COPY,
)
# Answers of all kinds that are sent twice, combined with instances that are stopped, killed, paused
# and lose their paths, with reset links, and with workers that leave.
COPY_KINDS = (
    FaultKind.WORKERS_COPY,
    FaultKind.WORKERS_COPY,
    FaultKind.WORKERS_COPY,
    FaultKind.WORKERS_REPEAT,
    FaultKind.INSTANCE_STOP,
    FaultKind.INSTANCE_KILL,
    FaultKind.INSTANCE_PAUSE,
    FaultKind.WORKER_LINK_RESET,
    FaultKind.WORKER_RELEASE,
    FaultKind.PATHS_CUT,
)
_DEFAULT_KINDS = tuple(kind for kind in FaultKind if kind not in _OPT_IN_KINDS)


class PlannedFault(NamedTuple):
    """One scheduled fault.

    Attributes:
        at_s: Start time, in seconds from the start of the traffic.
        duration_s: Duration in seconds, for the kinds that have one.
        kind: Kind of the fault.
        target: Number that selects the target among those present at the start time, modulo
            their count.
    """

    at_s: float
    duration_s: float
    kind: FaultKind
    target: int


def plan_faults(
    seed: int, traffic_s: float, faults_per_s: float, kinds: tuple[FaultKind, ...] = ()
) -> list[PlannedFault]:
    """Generate the faults of a run, in the order of their start times.

    Args:
        seed: Seed of the random generator.
        traffic_s: Duration of the traffic in seconds.
        faults_per_s: Average number of faults per second; faults overlap, and some are repeated
            as a series.
        kinds: Kinds to choose from; if empty, the default kinds.
    """
    rng = random.Random(seed)
    faults: list[PlannedFault] = []
    at_s = _FIRST_FAULT_AT_S
    kinds = kinds or _DEFAULT_KINDS
    last_start_s = traffic_s - _MAX_DURATION_S
    while at_s < last_start_s:
        kind = rng.choice(kinds)
        target = rng.randrange(1000)
        series_length = 3 if rng.random() < _SERIES_PROBABILITY else 1
        for number in range(series_length):
            duration_s = rng.uniform(_MIN_DURATION_S, _MAX_DURATION_S)
            start_s = at_s + 0.6 * number
            if start_s < last_start_s:
                faults.append(PlannedFault(start_s, duration_s, kind, target + number))
        at_s += rng.expovariate(faults_per_s / 1.6)
    return sorted(faults)
