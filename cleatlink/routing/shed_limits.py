"""What engines that turned streams away can hold, in the measure of what is believed of them.

An engine that has no room for a stream shows that less is free there than was believed, to all
instances alike. Until some of the work that is believed to be there ends, or the word is old,
nothing of that size fits; asked all the same, it refuses again, and each time costs a call.
Where nothing is believed to be there, nothing can be waited for, and it is asked again soon.
"""

import math
from typing import NamedTuple

__all__ = ["ShedLimits"]

# A word holds for so long without a new one: belief is wrong by what was lost or comes late, and
# heartbeats mend that within a second.
_HOLDS_S = 1.0


class _Word(NamedTuple):
    """What a refusal showed.

    Attributes:
        below_tokens: The engine holds less than this.
        until: When it is no longer believed.
    """

    below_tokens: int
    until: float


class ShedLimits:
    """Refusals by endpoint; every method takes the time as an argument."""

    def __init__(self) -> None:
        self._words: dict[str, _Word] = {}

    def note_refused(self, name: str, held_tokens: int, tokens: int, now: float) -> bool:
        """Note that an endpoint had no room for a stream.

        Args:
            name: The endpoint.
            held_tokens: What is believed to be held there without the stream.
            tokens: Size of the stream at its end.
            now: The time.

        Returns:
            Whether this says more than what was known.
        """
        below_tokens = held_tokens + tokens
        is_news = below_tokens < self.below_tokens(name, now)
        if is_news or name not in self._words:
            self._words[name] = _Word(below_tokens, now + _HOLDS_S)
        return is_news

    def note_held(self, name: str, held_tokens: int) -> None:
        """Note that an endpoint took a stream, and holds so much with it."""
        word = self._words.get(name)
        if word is not None and held_tokens >= word.below_tokens:
            del self._words[name]

    def below_tokens(self, name: str, now: float) -> float:
        """Give what an endpoint holds less than, in tokens; infinite if nothing is known."""
        word = self._words.get(name)
        if word is None or word.until <= now:
            return math.inf
        return word.below_tokens

    def forget(self, name: str) -> None:
        """Forget an endpoint."""
        self._words.pop(name, None)
