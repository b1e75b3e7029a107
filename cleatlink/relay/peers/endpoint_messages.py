"""What instances tell each other of endpoints: crashes, notices, limits, speeds, room and reach."""

from enum import StrEnum

import msgspec

from cleatlink.quarantine import CrashReport

__all__ = [
    "CrashItem",
    "CrashNews",
    "EndpointHint",
    "EndpointPaceNews",
    "EndpointSpending",
    "HintKind",
    "NoticeNews",
    "PaceItem",
    "ShedNews",
]


class CrashItem(msgspec.Struct, array_like=True, frozen=True):
    """A crash of an endpoint, and the requests that were in progress there.

    Attributes:
        life: Name of the endpoint's life that ended.
        age_s: Seconds since then.
        suspects: Identities of the requests, with the seconds for which they had been.
        cleared: Those that have been served since, and are no suspects any more.
    """

    life: str
    age_s: float
    suspects: list[tuple[bytes, float]]
    cleared: list[bytes]

    @classmethod
    def of(cls, report: CrashReport) -> "CrashItem":
        """Describe a report."""
        suspects = sorted((name, round(s, 3)) for name, s in report.suspects.items())
        return cls(report.life, round(report.age_s, 3), suspects, sorted(report.cleared))

    def report(self) -> CrashReport:
        """Give it as a report; a clock that runs backwards makes nothing younger than now."""
        suspects = {name: max(0.0, seconds) for name, seconds in self.suspects}
        return CrashReport(self.life, max(0.0, self.age_s), suspects, frozenset(self.cleared))


class CrashNews(msgspec.Struct, array_like=True, frozen=True, tag="q"):
    """What an instance knows of requests that crash endpoints.

    Attributes:
        name: Sender.
        crashes: Some of the crashes that it knows of.
        trials: Requests that are tried carefully, with the seconds since then.
    """

    name: str
    crashes: list[CrashItem]
    trials: list[tuple[bytes, float]]


class NoticeNews(msgspec.Struct, array_like=True, frozen=True, tag="n"):
    """What endpoints said of themselves in answers to the sender, or to others before.

    Attributes:
        name: Sender.
        leaving: Lives of endpoints that take no new work.
        rests: Lives of endpoints that want a rest, with the seconds that are left of it.
    """

    name: str
    leaving: list[str]
    rests: list[tuple[str, float]]


class EndpointSpending(msgspec.Struct, array_like=True, frozen=True, tag="l"):
    """Limits that endpoints named, and what the sender took of them.

    Attributes:
        name: Sender.
        incarnation: Grows with each start of the sender.
        words: Endpoints' lives with the calls a second that each takes from all instances, 0
            for one that names no limit any more, and the seconds since it said so.
        totals: Calls since the sender's start, by life; all, or those that changed lately.
        returned: Calls of these that were not sent after all.
        spenders: Of how many lives' limits the sender took something.
        age_s: Seconds for which the sender has kept account.
        levels: What is left of the limits, for a peer that starts; empty for others.
    """

    name: str
    incarnation: int
    words: list[tuple[str, float, float]]
    totals: dict[str, int]
    returned: dict[str, int]
    spenders: int
    age_s: float
    levels: dict[str, float]


class PaceItem(msgspec.Struct, array_like=True, frozen=True):
    """A measurement of an endpoint, in steps that take a byte each.

    Attributes:
        kind: What was measured, as in ``PaceKind``.
        log: Logarithm of measured by expected time, in steps of 1/32.
        age: Time since then, in steps of 0.5 s.
    """

    kind: int
    log: int
    age: int


class EndpointPaceNews(msgspec.Struct, array_like=True, frozen=True, tag="e"):
    """What the sender itself measured of some endpoints lately, in place of what it told before.

    Attributes:
        name: Sender.
        incarnation: Grows with each start of the sender.
        number: Grows with each such message of the sender.
        lives: Its newest measurements by the endpoint's life.
    """

    name: str
    incarnation: int
    number: int
    lives: dict[str, list[PaceItem]]


class ShedNews(msgspec.Struct, array_like=True, frozen=True, tag="o"):
    """Decodes that had no room for a stream just now.

    Attributes:
        name: Sender.
        refused: Names of the decodes with the size of the stream at its end, in tokens.
    """

    name: str
    refused: list[tuple[str, int]]


class HintKind(StrEnum):
    """What a hint says of an endpoint."""

    UNREACHED = "unreached"
    SLOW = "slow"


class EndpointHint(msgspec.Struct, array_like=True, frozen=True, tag="h"):
    """What an instance met at an endpoint that others should not have to meet too."""

    name: str
    endpoint: str
    kind: HintKind
