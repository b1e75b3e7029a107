"""Messages between instances about the state of endpoints.

They report crashes, notices, limits, speeds, rejections for overload and reachability.
"""

from collections.abc import Iterable
from enum import StrEnum

import msgspec

from cleatlink.quarantine import CrashReport, PromptParts

__all__ = [
    "CrashItem",
    "CrashUpdate",
    "EndpointHint",
    "EndpointSpeedUpdate",
    "EndpointLimitUsage",
    "HintKind",
    "EndpointNoticeUpdate",
    "SpeedMeasurement",
    "OverloadUpdate",
]


# A prompt has digests of its service and its organisation, and any number of parts.
_MIN_PROMPT_DIGESTS = 2


class CrashItem(msgspec.Struct, array_like=True, frozen=True):
    """A crash of an endpoint and the requests that were in progress there.

    Attributes:
        endpoint_incarnation: Name of the endpoint incarnation that ended.
        age_s: Seconds since the crash.
        suspects: Identities of the requests, with the seconds for which each had been in progress.
        cleared: Identities of requests that have been served since and are no longer suspects, and
            parts and services of prompts.
        digests: Services, organisations and parts of the suspects' prompts, each once.
        prompts: For each of the suspects, in their order, the positions in ``digests`` of its
            prompt's service, organisation and parts; empty for one without a prompt.
    """

    endpoint_incarnation: str
    age_s: float
    suspects: list[tuple[bytes, float]]
    cleared: list[bytes]
    digests: list[bytes] = []
    prompts: list[list[int]] = []

    @classmethod
    def from_report(cls, report: CrashReport) -> "CrashItem":
        """Build an item from a crash report."""
        suspects = sorted(
            (identity, round(seconds, 3)) for identity, seconds in report.suspects.items()
        )
        prompts = [report.prompts.get(identity) for identity, _ in suspects]
        digests = _unique_digests(prompts, report.cleared)
        positions = {digest: position for position, digest in enumerate(digests)}
        return cls(
            report.incarnation,
            round(report.age_s, 3),
            suspects,
            sorted(report.cleared),
            digests,
            [_positions_of(prompt, positions) for prompt in prompts] if digests else [],
        )

    def to_report(self) -> CrashReport:
        """Return the item as a crash report.

        Negative ages, which a clock that runs backwards can produce, count as 0.
        """
        suspects = {identity: max(0.0, seconds) for identity, seconds in self.suspects}
        prompts = {
            identity: prompt
            for (identity, _), positions in zip(self.suspects, self.prompts, strict=False)
            if (prompt := self._read_prompt(positions)) is not None
        }
        return CrashReport(
            self.endpoint_incarnation,
            max(0.0, self.age_s),
            suspects,
            frozenset(self.cleared),
            prompts,
        )

    def _read_prompt(self, positions: list[int]) -> PromptParts | None:
        """Return the prompt at some positions; None for none and for invalid positions."""
        if len(positions) < _MIN_PROMPT_DIGESTS:
            return None
        if not all(0 <= position < len(self.digests) for position in positions):
            return None
        service, organisation, *parts = (self.digests[position] for position in positions)
        return PromptParts(service, organisation, tuple(parts))


def _unique_digests(
    prompts: Iterable[PromptParts | None], cleared: frozenset[bytes]
) -> list[bytes]:
    """Return the digests of some prompts, each once, without the parts that are cleared."""
    digests: dict[bytes, None] = {}
    for prompt in prompts:
        if prompt is not None:
            parts = (part for part in prompt.parts if part not in cleared)
            digests.update(dict.fromkeys((prompt.service, prompt.organisation, *parts)))
    return list(digests)


def _positions_of(prompt: PromptParts | None, positions: dict[bytes, int]) -> list[int]:
    """Return the positions of a prompt's digests; parts without a position are left out."""
    if prompt is None:
        return []
    parts = (positions[part] for part in prompt.parts if part in positions)
    return [positions[prompt.service], positions[prompt.organisation], *parts]


class CrashUpdate(msgspec.Struct, array_like=True, frozen=True, tag="q"):
    """What the sender knows about requests that may crash endpoints.

    Attributes:
        name: Name of the sender.
        crashes: Some of the crashes that the sender knows of.
        trials: Identities of quarantined requests that are being tried again, with the seconds
            since each trial began.
    """

    name: str
    crashes: list[CrashItem]
    trials: list[tuple[bytes, float]]


class EndpointNoticeUpdate(msgspec.Struct, array_like=True, frozen=True, tag="n"):
    """Notices that endpoints gave in answers to the sender or, earlier, to other instances.

    Attributes:
        name: Name of the sender.
        leaving: Endpoint incarnations that accept no new work.
        backoffs: Endpoint incarnations that asked for a back-off, with its remaining seconds.
    """

    name: str
    leaving: list[str]
    backoffs: list[tuple[str, float]]


class EndpointLimitUsage(msgspec.Struct, array_like=True, frozen=True, tag="l"):
    """Rate limits that endpoints reported, and the calls that the sender counted against them.

    Attributes:
        name: Name of the sender.
        incarnation: Start number of the sender; it grows with each start.
        reported_limits: Endpoint incarnations with the calls per second that each accepts from all
            instances together, or 0 if it no longer reports a limit, and the seconds since
            its report.
        totals: Calls since the sender's start, by endpoint incarnation; all totals, or those that
            changed recently.
        returned_totals: The part of ``totals`` that was returned because the calls were not sent.
        used_name_count: Number of endpoint incarnations from whose limits the sender has taken
            units.
        age_s: Seconds for which the sender has counted calls.
        levels: Remaining units of each limit, for a peer that is starting; empty for others.
    """

    name: str
    incarnation: int
    reported_limits: list[tuple[str, float, float]]
    totals: dict[str, int]
    returned_totals: dict[str, int]
    used_name_count: int
    age_s: float
    levels: dict[str, float]


class SpeedMeasurement(msgspec.Struct, array_like=True, frozen=True):
    """A speed measurement of an endpoint, quantised so that each field takes one byte.

    Attributes:
        kind: What was measured, a value of ``SpeedSampleKind``.
        log_ratio_steps: Logarithm of the ratio of measured to expected time, in steps of 1/32.
        age_steps: Time since the measurement, in steps of 0.5 s.
    """

    kind: int
    log_ratio_steps: int
    age_steps: int


class EndpointSpeedUpdate(msgspec.Struct, array_like=True, frozen=True, tag="e"):
    """The sender's own recent speed measurements of some endpoints.

    For each endpoint they replace the measurements that the sender reported earlier.

    Attributes:
        name: Name of the sender.
        incarnation: Start number of the sender; it grows with each start.
        number: Sequence number of the sender's messages of this type.
        measurements: The sender's newest measurements, by endpoint incarnation.
    """

    name: str
    incarnation: int
    number: int
    measurements: dict[str, list[SpeedMeasurement]]


class OverloadUpdate(msgspec.Struct, array_like=True, frozen=True, tag="o"):
    """Decode endpoints that have just rejected a stream for lack of capacity.

    Attributes:
        name: Name of the sender.
        rejections: Names of the decode endpoints, with the size of the stream at its end in tokens.
    """

    name: str
    rejections: list[tuple[str, int]]


class HintKind(StrEnum):
    """Problem that a hint reports for an endpoint."""

    UNREACHABLE = "unreached"
    SLOW = "slow"


class EndpointHint(msgspec.Struct, array_like=True, frozen=True, tag="h"):
    """A problem that the sender had with an endpoint, so that its peers can avoid it."""

    name: str
    endpoint: str
    kind: HintKind
