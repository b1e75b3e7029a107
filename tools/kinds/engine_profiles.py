"""Kinds of engines and fleets on which a changed policy is compared with an earlier commit.

They cover the range of inference engines: decode steps of 0.2 to 20 ms, prefills of 5 to 60 prompt
tokens per millisecond, memory for 3 to 200 streams, few and many slots, fast and slow role
changes. A kind also changes the sizes of requests if its engines could not serve the requests of
the site in time.
"""

from typing import NamedTuple

__all__ = ["ENGINE_PROFILES", "EngineProfile"]


class EngineProfile(NamedTuple):
    """A kind of engine, as changes to a site; a field that is None keeps the value of the site.

    Attributes:
        name: Name in tables and on the command line.
        decode_step_ms: Duration of a decode step with a single stream.
        prompt_tokens_per_ms: Prompt tokens that a prefill computes per millisecond.
        memory_tokens: Size of an engine's KV cache, in tokens.
        slots: Maximum number of concurrent streams of an engine.
        transfer_setup_ms: Time to start the transfer of a prompt's KV cache.
        role_switch_s: Duration of a role change.
        engine_count_factor: Factor for the number of engines.
        mean_prompt_tokens: Mean number of prompt tokens.
        mean_output_events: Mean number of events in an answer.
    """

    name: str
    decode_step_ms: float | None = None
    prompt_tokens_per_ms: float | None = None
    memory_tokens: int | None = None
    slots: int | None = None
    transfer_setup_ms: float | None = None
    role_switch_s: float | None = None
    engine_count_factor: float = 1.0
    mean_prompt_tokens: float | None = None
    mean_output_events: float | None = None


ENGINE_PROFILES = (
    EngineProfile("own"),
    EngineProfile("quick, memory of 3 streams", 0.6, 30.0, 12_000),
    EngineProfile("quickest, memory of 200", 0.2, 60.0, 780_000, slots=256),
    EngineProfile("middling", 10.0, 20.0, 80_000),
    EngineProfile("slow", 16.0, 12.0, 120_000),
    EngineProfile(
        "slowest, short answers",
        20.0,
        8.0,
        160_000,
        mean_prompt_tokens=1_500.0,
        mean_output_events=30.0,
    ),
    EngineProfile("slow prompts", 2.0, 5.0, 100_000, mean_prompt_tokens=1_200.0),
    EngineProfile("few slots", 3.0, 33.0, 200_000, slots=4),
    EngineProfile("slow hand-over", 5.0, 33.0, 60_000, transfer_setup_ms=200.0),
    EngineProfile("slow change of role", 5.0, 33.0, 41_000, role_switch_s=15.0),
    EngineProfile("many small engines", 5.0, 33.0, 14_000, slots=8, engine_count_factor=3.0),
    EngineProfile("two engines", 1.0, 50.0, 60_000, engine_count_factor=0.45),
)
