"""Sends requests that crash workers: one request repeatedly, or many that share a part."""

import itertools
import random

import trio

from soak.fleet import SoakFleet
from soak.records import CrashingPart
from soak.traffic import STREAM_HEADERS
from soak.workers import CRASHING_BODY_PREFIX, CRASHING_PART_PREFIX
from standins.relay.raw_client import Caller

__all__ = ["send_crashing_request", "send_prompts_with_crashing_part"]

# Both kinds of requests are sent for longer than it takes until they are quarantined.
_REQUEST_COUNT = 20
_REQUEST_INTERVAL_S = 0.4
_PROMPT_COUNT = 40
_PROMPT_INTERVAL_S = 0.3
_TIMEOUT_S = 3.0
_REQUEST_TARGETS: tuple[tuple[str, dict[str, str]], ...] = (
    ("/unsafe/x", {}),
    ("/stream/x", STREAM_HEADERS),
    ("/resume/x", STREAM_HEADERS),
)
_PROMPT_PATHS = ("/stream/x", "/resume/x")
# The first part of all prompts in the soak.
_SHARED_PART = "a"
_NUMBERS = itertools.count(1)


async def send_crashing_request(fleet: SoakFleet, rng: random.Random, number: int) -> None:
    """Send a request that crashes workers repeatedly, each time through a random instance.

    Args:
        fleet: The fleet.
        rng: Chooses instances.
        number: Number of the request, which also selects its route.
    """
    path, headers = _REQUEST_TARGETS[number % len(_REQUEST_TARGETS)]
    body = CRASHING_BODY_PREFIX + str(number).encode()
    for _ in range(_REQUEST_COUNT):
        await _send(rng.choice(fleet.instances).caller_address, path, body, headers)
        await trio.sleep(_REQUEST_INTERVAL_S)


async def send_prompts_with_crashing_part(
    fleet: SoakFleet, rng: random.Random, number: int
) -> None:
    """Send requests that are all different and share a part, through random instances.

    Args:
        fleet: The fleet.
        rng: Chooses instances and routes.
        number: Number of the part.
    """
    part, began_at = f"{CRASHING_PART_PREFIX}{number:x}", trio.current_time()
    try:
        async with trio.open_nursery() as nursery:
            for _ in range(_PROMPT_COUNT):
                address = rng.choice(fleet.instances).caller_address
                nursery.start_soon(_send_prompt, address, rng.choice(_PROMPT_PATHS), part)
                await trio.sleep(_PROMPT_INTERVAL_S)
    finally:
        fleet.crashing_parts.append(CrashingPart(part, began_at, trio.current_time()))


async def _send_prompt(address: str, path: str, part: str) -> None:
    number = next(_NUMBERS)
    prompt = f"{_SHARED_PART}:50,{part}:30,{number:08x}:20"
    await _send(address, path, b"%d" % number, {**STREAM_HEADERS, "Prompt-Prefix": prompt})


async def _send(address: str, path: str, body: bytes, headers: dict[str, str]) -> None:
    caller = Caller(address)
    try:
        with trio.move_on_after(_TIMEOUT_S):
            await caller.ask(path, "POST", body=body, headers=headers)
    except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
        # The instance is down; the next attempt uses another one.
        pass
    finally:
        caller.close()
