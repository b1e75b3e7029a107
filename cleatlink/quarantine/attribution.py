"""Attributes crashes of endpoints to requests, or to parts that prompts have in common."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from cleatlink.quarantine.crash import Crash
from cleatlink.quarantine.prompts import PromptParts

__all__ = [
    "NO_CRASHES",
    "Attributions",
    "CrashAttribution",
    "PartAttribution",
    "attribute_crashes",
]


class CrashAttribution(NamedTuple):
    """Crashes that are attributed to a request, or to parts of prompts.

    Attributes:
        incarnations: Endpoint incarnations that it crashed according to the evidence.
        independent_crashes: Number of these crashes, where crashes that happened together count
            once, and for parts those of one request.
        last_crash_at: Time of the last of these crashes; minus infinity without any.
    """

    incarnations: tuple[str, ...] = ()
    independent_crashes: int = 0
    last_crash_at: float = -math.inf


NO_CRASHES = CrashAttribution()


class PartAttribution(NamedTuple):
    """Crashes that are attributed to parts of prompts.

    Attributes:
        parts: The parts; a prompt that contains all of them is known to crash endpoints.
        organisations: Organisations whose requests were in progress with these parts.
        crashes: The crashes.
    """

    parts: frozenset[bytes]
    organisations: frozenset[bytes]
    crashes: CrashAttribution

    def concerns(self, prompt: PromptParts) -> bool:
        """Check whether the crashes count against a prompt.

        Crashes of one organisation count only against its own prompts, so that no caller can have
        parts of another organisation quarantined.
        """
        is_known_caller = prompt.organisation in self.organisations or len(self.organisations) > 1
        return is_known_caller and self.parts.issubset(prompt.parts)


class Attributions(NamedTuple):
    """The result for all known crashes.

    Attributes:
        request_counts: Crashes that count against each request.
        part_counts: Crashes that count against each part of prompts, and against each service.
        requests: The crashes that are attributed to each request that has any.
        parts: The crashes that are attributed to parts of prompts.
    """

    request_counts: Counter[bytes]
    part_counts: Counter[bytes]
    requests: dict[bytes, CrashAttribution]
    parts: list[PartAttribution]


# Crashes from which on a part is distinguished from the others of its prompt.
_MIN_PART_CRASHES = 2

_NamedCrash = tuple[str, Crash]


def attribute_crashes(crashes: Mapping[str, Crash]) -> Attributions:
    """Attribute each crash to the parts or the request with the highest count.

    A crash whose highest count is shared by several requests is attributed to none. Otherwise
    innocent requests would be quarantined: of six requests that were retried beside another
    that crashed endpoints, some shared its first three crashes and were refused with it. Nor is
    it attributed while the service has that count.

    Args:
        crashes: The crashes, by the incarnation that crashed.
    """
    ordered = sorted(crashes.items(), key=lambda item: item[1].crashed_at)
    request_counts = _count_requests([crash for _, crash in ordered])
    part_counts = _count_parts([crash for _, crash in ordered])
    by_request: dict[bytes, list[_NamedCrash]] = defaultdict(list)
    by_parts: dict[frozenset[bytes], list[_NamedCrash]] = defaultdict(list)
    for incarnation, crash in ordered:
        highest = max((request_counts[request] for request in crash.suspects), default=0)
        service_count = _service_count(crash, part_counts)
        min_part_count = max(_MIN_PART_CRASHES, highest, service_count + 1)
        parts = _find_top_parts(crash, part_counts, min_part_count)
        top_requests = [item for item in crash.suspects if request_counts[item] == highest]
        if parts:
            by_parts[parts].append((incarnation, crash))
        elif len(top_requests) == 1 and highest > service_count:
            by_request[top_requests[0]].append((incarnation, crash))
    return Attributions(
        request_counts,
        part_counts,
        {request: _attribute_request(request, items) for request, items in by_request.items()},
        [_attribute_parts(parts, items) for parts, items in by_parts.items()],
    )


def _find_top_parts(crash: Crash, counts: Counter[bytes], min_count: int) -> frozenset[bytes]:
    """Return the suspected parts with the highest count, if it is conclusive.

    Args:
        crash: The crash.
        counts: The counts of all parts and services.
        min_count: The lowest count that is conclusive.
    """
    parts = crash.requests_by_part().keys() - _services(crash)
    highest = max(map(counts.__getitem__, parts), default=0)
    if highest < min_count:
        return frozenset()
    return frozenset(part for part in parts if counts[part] == highest)


def _service_count(crash: Crash, counts: Counter[bytes]) -> int:
    """Return the count of the service of a crash's prompts; 0 if it is cleared or unknown.

    A suspect with no higher count is not blamed: no answer of the service shows that its endpoints
    run anything at all.
    """
    suspected_services = _services(crash) & crash.requests_by_part().keys()
    return max((counts[service] for service in suspected_services), default=0)


def _services(crash: Crash) -> set[bytes]:
    return {prompt.service for prompt in crash.prompts.values()}


def _attribute_request(request: bytes, crashes: Sequence[_NamedCrash]) -> CrashAttribution:
    count = _count_requests([crash for _, crash in crashes])[request]
    return _summarise(crashes, count)


def _attribute_parts(parts: frozenset[bytes], crashes: Sequence[_NamedCrash]) -> PartAttribution:
    """Attribute crashes to parts; only requests whose prompts contain all of them count."""
    organisations: set[bytes] = set()
    counter = _IndependentCrashes()
    for _, crash in crashes:
        requests = _find_requests_with(crash, parts)
        organisations.update(crash.prompts[request].organisation for request in requests)
        counter.add(crash.crashed_at, requests)
    return PartAttribution(parts, frozenset(organisations), _summarise(crashes, counter.count))


def _find_requests_with(crash: Crash, parts: frozenset[bytes]) -> dict[bytes, float]:
    """Return the suspects whose prompts contain all of some parts, with their seconds."""
    first, *others = (crash.requests_by_part()[part] for part in parts)
    return {
        request: seconds
        for request, seconds in first.items()
        if all(request in requests for requests in others)
    }


def _summarise(crashes: Sequence[_NamedCrash], independent_crashes: int) -> CrashAttribution:
    incarnations = tuple(incarnation for incarnation, _ in crashes)
    return CrashAttribution(incarnations, independent_crashes, crashes[-1][1].crashed_at)


class _IndependentCrashes:
    """Counts the crashes of a part, where those that happened together count once.

    A crash counts if another request started at that endpoint after the last crash that counted:
    the same request, retried, may itself be the cause.
    """

    def __init__(self) -> None:
        self.count = 0
        self._last_at = -math.inf
        self._requests: set[bytes] = set()

    def add(self, crashed_at: float, requests: Mapping[bytes, float]) -> None:
        """Add a crash; crashes are added in the order in which they happened.

        Args:
            crashed_at: When it happened.
            requests: The requests with the part, with the seconds each had been in progress.
        """
        if any(
            request not in self._requests and crashed_at - seconds > self._last_at
            for request, seconds in requests.items()
        ):
            self.count += 1
            self._last_at = crashed_at
        self._requests.update(requests)


def _count_requests(crashes: Iterable[Crash]) -> Counter[bytes]:
    """Count the crashes of each suspect, where crashes that happened together count once.

    A crash counts if the request started at that endpoint after the last crash that counted.

    Args:
        crashes: The crashes, the oldest first.
    """
    counts: Counter[bytes] = Counter()
    last_at: dict[bytes, float] = {}
    for crash in crashes:
        for request, seconds in crash.suspects.items():
            if crash.crashed_at - seconds > last_at.get(request, -math.inf):
                counts[request] += 1
                last_at[request] = crash.crashed_at
    return counts


def _count_parts(crashes: Sequence[Crash]) -> Counter[bytes]:
    """Count the crashes of each part and each service.

    Args:
        crashes: The crashes, the oldest first.
    """
    counts: Counter[bytes] = Counter()
    for crash in crashes:
        counts.update(crash.requests_by_part().keys())
    # Long prompts have many parts that are in progress at one crash only.
    repeated = {part for part, count in counts.items() if count > 1}
    counters: dict[bytes, _IndependentCrashes] = defaultdict(_IndependentCrashes)
    for crash in crashes:
        requests_by_part = crash.requests_by_part()
        for part in requests_by_part.keys() & repeated:
            counters[part].add(crash.crashed_at, requests_by_part[part])
    counts.update({part: counter.count - counts[part] for part, counter in counters.items()})
    return counts
