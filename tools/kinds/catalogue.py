"""Kinds of engines and fleets on which a change of policy is held against an earlier commit.

They span what inference engines do: 0.2 to 20 ms a step, 5 to 60 tokens of a prompt a
millisecond, memory of 3 to 200 streams, few and many slots, quick and slow changes of role.
Sizes of requests go with them where an engine could not serve a site's own requests in time.
"""

from typing import NamedTuple

__all__ = ["KINDS", "Kind"]


class Kind(NamedTuple):
    """What differs from the site's own engines; None leaves the site's figure.

    Attributes:
        name: Its name in tables.
        step_ms: Milliseconds of a decode's step with one stream.
        prompt_tokens_ms: Tokens of a prompt that a prefill computes in a millisecond.
        memory_tokens: Tokens that fit an engine's memory.
        slots: Streams that an engine runs at once.
        handover_ms: Milliseconds that it takes to begin moving a prompt's memory.
        switch_s: Seconds that a change of role takes.
        engines: Factor on the number of engines.
        prompt: Tokens of a prompt, on the average.
        output: Events of an answer, on the average.
    """

    name: str
    step_ms: float | None = None
    prompt_tokens_ms: float | None = None
    memory_tokens: int | None = None
    slots: int | None = None
    handover_ms: float | None = None
    switch_s: float | None = None
    engines: float = 1.0
    prompt: float | None = None
    output: float | None = None


KINDS = (
    Kind("own"),
    Kind("quick, memory of 3 streams", 0.6, 30.0, 12_000),
    Kind("quickest, memory of 200", 0.2, 60.0, 780_000, slots=256),
    Kind("middling", 10.0, 20.0, 80_000),
    Kind("slow", 16.0, 12.0, 120_000),
    Kind("slowest, short answers", 20.0, 8.0, 160_000, prompt=1_500.0, output=30.0),
    Kind("slow prompts", 2.0, 5.0, 100_000, prompt=1_200.0),
    Kind("few slots", 3.0, 33.0, 200_000, slots=4),
    Kind("slow hand-over", 5.0, 33.0, 60_000, handover_ms=200.0),
    Kind("slow change of role", 5.0, 33.0, 41_000, switch_s=15.0),
    Kind("many small engines", 5.0, 33.0, 14_000, slots=8, engines=3.0),
    Kind("two engines", 1.0, 50.0, 60_000, engines=0.45),
)
