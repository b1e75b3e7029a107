"""One crash of an endpoint: the requests that were in progress, and what is cleared of it."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cleatlink.quarantine.prompts import MAX_PARTS, PromptParts

__all__ = ["Crash", "CrashReport", "outliving_s"]

# Requests kept for one crash: twice the number that large engines run at once.
_MAX_REQUESTS = 128
# Requests, services and parts kept as cleared of one crash.
_MAX_CLEARED = 512
# What was in progress at a crash is cleared by an answer that has been going on for this many times
# as long as it had been in progress, and for this minimum time in seconds.
_OUTLIVED_FACTOR = 2.0
_MIN_OUTLIVED_S = 0.5


class CrashReport(NamedTuple):
    """Report of one crash, as exchanged between instances.

    Attributes:
        incarnation: Name of the endpoint's incarnation that crashed; an incarnation crashes only
            once.
        age_s: Seconds since the crash.
        suspects: Identities of the requests in progress at the crash, each with the seconds for
            which it had been in progress.
        cleared: Identities of requests that completed since, and parts and services of prompts
            whose answers outlived the crash, at any endpoint.
        prompts: The prompts of the suspects that have any, by their identities.
    """

    incarnation: str
    age_s: float
    suspects: Mapping[bytes, float]
    cleared: frozenset[bytes] = frozenset()
    prompts: Mapping[bytes, PromptParts] = {}


class Crash:
    """One known crash; each of its requests is either a suspect or cleared."""

    __slots__ = ("_requests_by_part", "cleared", "crashed_at", "prompts", "suspects")

    def __init__(self, crashed_at: float) -> None:
        self.crashed_at = crashed_at
        # Seconds for which each had been in progress; of several copies, the shortest time.
        self.suspects: dict[bytes, float] = {}
        # The prompts of those suspects that have one.
        self.prompts: dict[bytes, PromptParts] = {}
        # Requests, services of prompts and parts of prompts.
        self.cleared: set[bytes] = set()
        self._requests_by_part: dict[bytes, dict[bytes, float]] | None = None

    def add(self, suspects: Mapping[bytes, float], prompts: Mapping[bytes, PromptParts]) -> bool:
        """Add suspects up to the maximum number.

        Returns:
            Whether anything was new.
        """
        is_new = False
        self._requests_by_part = None
        for request, seconds in sorted(suspects.items()):
            if request in self.cleared:
                continue
            known = self.suspects.get(request)
            if known is None and len(self.suspects) >= _MAX_REQUESTS:
                continue
            if known is None or seconds < known:
                self.suspects[request] = seconds
                is_new = True
            is_new |= self._add_prompt(request, prompts.get(request))
        return is_new

    def _add_prompt(self, request: bytes, prompt: PromptParts | None) -> bool:
        """Add the prompt of a suspect; of contradicting reports, the smallest value is kept."""
        known = self.prompts.get(request)
        if prompt is None:
            return False
        prompt = prompt._replace(parts=prompt.parts[-MAX_PARTS:])
        if known is not None and known <= prompt:
            return False
        self.prompts[request] = prompt
        return True

    def clear(self, items: Iterable[bytes]) -> bool:
        """Clear requests and parts, also unknown ones, so that no later report suspects them.

        Returns:
            Whether one of them was a suspect.
        """
        new_items = set(items) - self.cleared
        if not new_items:
            return False
        suspected = self.suspects.keys() | self.requests_by_part().keys()
        self._requests_by_part = None
        for item in sorted(new_items):
            self.suspects.pop(item, None)
            self.prompts.pop(item, None)
            if len(self.cleared) < _MAX_CLEARED:
                self.cleared.add(item)
        return not suspected.isdisjoint(new_items)

    def outlived_parts(self, prompt: PromptParts, answered_s: float) -> frozenset[bytes]:
        """Return the suspects among a prompt's parts and its service that an answer clears.

        Args:
            prompt: The prompt.
            answered_s: Seconds for which its answer has been going on.
        """
        if answered_s < _MIN_OUTLIVED_S:
            return frozenset()
        requests_by_part = self.requests_by_part()
        return frozenset(
            part
            for part in (prompt.service, *prompt.parts)
            if part in requests_by_part
            and answered_s >= outliving_s(min(requests_by_part[part].values()))
        )

    def requests_by_part(self) -> dict[bytes, dict[bytes, float]]:
        """Return the requests with each part, and each service, that is not cleared.

        Returns:
            The suspects whose prompts contain it, with the seconds each had been in progress.
        """
        if self._requests_by_part is None:
            requests_by_part: dict[bytes, dict[bytes, float]] = {}
            for request, prompt in self.prompts.items():
                for part in (prompt.service, *prompt.parts):
                    if part not in self.cleared:
                        requests = requests_by_part.setdefault(part, {})
                        requests[request] = self.suspects[request]
            self._requests_by_part = requests_by_part
        return self._requests_by_part


def outliving_s(in_progress_s: float) -> float:
    """Return the seconds after which an answer clears what was in progress at a crash.

    Args:
        in_progress_s: Seconds for which it had been in progress.
    """
    return max(_MIN_OUTLIVED_S, _OUTLIVED_FACTOR * in_progress_s)
