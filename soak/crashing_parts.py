"""Sends requests that have one part of their prompts in common, which crashes workers."""

import itertools
import random

import trio

from soak.fleet import SoakFleet
from soak.records import CrashingPart
from soak.workers import CRASHING_PART_PREFIX
from standins.relay.raw_client import Caller

__all__ = ["send_prompts_with_crashing_part"]

# The requests are sent for several times as long as it takes until the part is quarantined.
_REQUEST_COUNT = 40
_INTERVAL_S = 0.3
_TIMEOUT_S = 3.0
_PATHS = ("/stream/x", "/resume/x")
# The first part of all prompts in the soak.
_SHARED_PART = "a"
_NUMBERS = itertools.count(1)


async def send_prompts_with_crashing_part(
    fleet: SoakFleet, rng: random.Random, number: int
) -> None:
    """Send requests that are all different, through random instances.

    Args:
        fleet: The fleet.
        rng: Chooses instances and routes.
        number: Number of the part.
    """
    part, began_at = f"{CRASHING_PART_PREFIX}{number:x}", trio.current_time()
    try:
        async with trio.open_nursery() as nursery:
            for _ in range(_REQUEST_COUNT):
                address = rng.choice(fleet.instances).caller_address
                nursery.start_soon(_send, address, rng.choice(_PATHS), part)
                await trio.sleep(_INTERVAL_S)
    finally:
        fleet.crashing_parts.append(CrashingPart(part, began_at, trio.current_time()))


async def _send(address: str, path: str, part: str) -> None:
    number = next(_NUMBERS)
    headers = {
        "Token-Counts": "100,50",
        "Model": "m",
        "Prompt-Prefix": f"{_SHARED_PART}:50,{part}:30,{number:08x}:20",
        "Deadline-Milliseconds": "8000",
    }
    caller = Caller(address)
    try:
        with trio.move_on_after(_TIMEOUT_S):
            await caller.ask(path, "POST", body=b"%d" % number, headers=headers)
    except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
        # The instance is down.
        pass
    finally:
        caller.close()
