"""Records which requests were in progress at endpoints that crashed, and attributes the crashes.

A crash ends all requests in progress at an endpoint, so a single crash does not show which of them
caused it. The cause is in progress at every crash that it causes; others are there by chance. The
cause is one request, or a part that the prompts of different requests have in common. So a crash
counts for the requests in progress, and for the parts of their prompts.

Each crash is attributed to the suspect that was in progress at the most crashes. What completed, at
any endpoint, is no longer a suspect of earlier crashes: a request that completed, and the parts of
a prompt whose answer went on for longer than it had at the crash. If several parts share the
highest count, the crash is attributed to them together: only a prompt that contains all of them is
known to crash endpoints. If several requests share it, it is attributed to none.

Endpoints can also crash whatever they run. So the service of the prompts counts like a part that
all of them contain, and a crash is attributed to parts only if they were in progress at more
crashes than the service without any completed answer.

Crashes that happen together count only once: copies of one request may be in progress at several
endpoints that fail at the same time by chance. A crash counts for a suspect only if it was started
at that endpoint after the last crash that counted. For parts it also has to be another request.

The evidence is a set that only grows until it expires. Reports may arrive in any order, late,
repeatedly and from any instance, and the same reports lead to the same result.
"""

from collections.abc import Iterable

from cleatlink.quarantine.attribution import (
    NO_CRASHES,
    Attributions,
    CrashAttribution,
    PartAttribution,
    attribute_crashes,
)
from cleatlink.quarantine.crash import Crash, CrashReport, outliving_s
from cleatlink.quarantine.prompts import PromptParts

__all__ = ["CrashEvidence"]

# Only the newest crashes are kept: at one crash a minute, those of the last hour.
_MAX_CRASHES = 64


class CrashEvidence:
    """The known crashes; methods that depend on the time get it as an argument."""

    def __init__(self, retention_s: float) -> None:
        """Start without crashes.

        Args:
            retention_s: Seconds for which a crash is kept.
        """
        self._retention_s = retention_s
        self._crashes: dict[str, Crash] = {}
        self._attributions: Attributions | None = None

    def __len__(self) -> int:
        return len(self._crashes)

    def add_report(self, report: CrashReport, now: float) -> bool:
        """Add a report.

        Returns:
            Whether anything in it was new.
        """
        if report.age_s >= self._retention_s or not (report.suspects or report.cleared):
            return False
        crashed_at = now - report.age_s
        crash = self._crashes.get(report.incarnation)
        if crash is None:
            crash = self._crashes[report.incarnation] = Crash(crashed_at)
        # The age in a report is too low by the time for which it was in transit.
        crash.crashed_at = min(crash.crashed_at, crashed_at)
        is_new = crash.add(report.suspects, report.prompts)
        is_new |= crash.clear(report.cleared)
        if is_new:
            self._drop_oldest()
            self._attributions = None
        return is_new

    def clear_request(self, identity: bytes) -> list[str]:
        """Clear a request of all crashes so far.

        Returns:
            The crashed incarnations at which it was a suspect.
        """
        incarnations = [
            incarnation
            for incarnation, crash in self._crashes.items()
            if identity in crash.suspects
        ]
        for incarnation in incarnations:
            self._crashes[incarnation].clear((identity,))
        if incarnations:
            self._attributions = None
        return incarnations

    def clear_answered(
        self, identity: bytes, prompt: PromptParts, started_at: float, answered_s: float
    ) -> dict[str, frozenset[bytes]]:
        """Clear a request and the parts of its prompt of earlier crashes: its answer goes on.

        Args:
            identity: Identity of the request.
            prompt: The parts of its prompt.
            started_at: When it was sent to its endpoint; only crashes before that are considered.
            answered_s: Seconds for which its answer has been going on; infinite if it completed.

        Returns:
            What is no longer suspected, by the crashed incarnation.
        """
        if not (self.suspicion(identity) or self.is_part_suspected(prompt)):
            return {}
        is_request_cleared = answered_s >= self._outliving_s(identity)
        cleared: dict[str, frozenset[bytes]] = {}
        for incarnation, crash in self._crashes.items():
            if crash.crashed_at >= started_at:
                continue
            outlived = crash.outlived_parts(prompt, answered_s)
            if is_request_cleared and identity in crash.suspects:
                outlived |= {identity}
            if outlived:
                crash.clear(outlived)
                cleared[incarnation] = outlived
        if cleared:
            self._attributions = None
        return cleared

    def _outliving_s(self, identity: bytes) -> float:
        """Return the seconds after which an answer to a request clears it of its crashes.

        Copies of a request can be in progress at the same time, so that the youngest one had just
        begun when another one caused the crash. Its other crashes show how long it runs by then.
        """
        seconds = (crash.suspects.get(identity, 0.0) for crash in self._crashes.values())
        return outliving_s(max(seconds, default=0.0))

    def remove_expired(self, now: float) -> None:
        """Remove crashes that are older than the retention time."""
        expired = [
            incarnation
            for incarnation, crash in self._crashes.items()
            if now - crash.crashed_at >= self._retention_s
        ]
        for incarnation in expired:
            del self._crashes[incarnation]
        if expired:
            self._attributions = None

    def suspicion(self, identity: bytes) -> int:
        """Return how many crashes count against a request, without those it is cleared of."""
        return self._attribute().request_counts[identity]

    def unexplained_crashes(self, service: bytes) -> int:
        """Return how many crashes no answer of a service has followed that went on.

        Args:
            service: Digest of the service.
        """
        return self._attribute().part_counts[service]

    def is_part_suspected(self, prompt: PromptParts) -> bool:
        """Check whether a crash counts against a part of a prompt or its service."""
        counts = self._attribute().part_counts
        return any(counts[part] for part in (prompt.service, *prompt.parts))

    def attribution(self, identity: bytes) -> CrashAttribution:
        """Return the crashes that are attributed to a request."""
        return self._attribute().requests.get(identity, NO_CRASHES)

    def attributions(self) -> dict[bytes, CrashAttribution]:
        """Return the attributed crashes of each request that has any."""
        return dict(self._attribute().requests)

    def part_attributions(self) -> list[PartAttribution]:
        """Return the crashes that are attributed to parts of prompts, by the parts."""
        return list(self._attribute().parts)

    def crash_report(self, incarnation: str, now: float) -> CrashReport | None:
        """Return a report of a crash; None if the crash is not known."""
        crash = self._crashes.get(incarnation)
        if crash is None:
            return None
        return CrashReport(
            incarnation,
            now - crash.crashed_at,
            dict(crash.suspects),
            frozenset(crash.cleared),
            dict(crash.prompts),
        )

    def clearance_report(
        self, incarnation: str, cleared: Iterable[bytes], now: float
    ) -> CrashReport | None:
        """Return a report of what was cleared of a crash; None if the crash is not known."""
        crash = self._crashes.get(incarnation)
        if crash is None:
            return None
        return CrashReport(incarnation, now - crash.crashed_at, {}, frozenset(cleared))

    def crashed_incarnations(self) -> list[str]:
        """Return the crashed incarnations, the newest crash first."""
        return sorted(self._crashes, key=lambda incarnation: -self._crashes[incarnation].crashed_at)

    def _attribute(self) -> Attributions:
        if self._attributions is None:
            self._attributions = attribute_crashes(self._crashes)
        return self._attributions

    def _drop_oldest(self) -> None:
        while len(self._crashes) > _MAX_CRASHES:
            oldest = min(
                self._crashes, key=lambda incarnation: self._crashes[incarnation].crashed_at
            )
            del self._crashes[oldest]
