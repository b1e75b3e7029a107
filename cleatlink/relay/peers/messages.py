"""What instances tell each other: who is there, what they know, where they placed work."""

from enum import StrEnum

import msgspec

from cleatlink.core.data import Role
from cleatlink.core.revisions import StoreRevision
from cleatlink.quarantine import CrashReport
from cleatlink.relay.peers.snapshots import RecordItem, Snapshot
from cleatlink.routing.fleet_records import EndpointRecord
from cleatlink.routing.pace import PaceSummary
from cleatlink.routing.reservation import Reservation
from cleatlink.routing.shared_waiting import WaitingGroup

__all__ = [
    "Beat",
    "Bundle",
    "BundleItem",
    "Changes",
    "CrashItem",
    "CrashNews",
    "EndpointHint",
    "EndpointPaceNews",
    "EndpointSpending",
    "HintKind",
    "Member",
    "Message",
    "NoticeNews",
    "PaceItem",
    "PaceNews",
    "PlainCalls",
    "Roster",
    "ShedNews",
    "SourceNews",
    "Spending",
    "WaitItem",
    "WaitNews",
    "WorkItem",
    "WorkList",
    "decode_datagram",
    "encode",
]

_ROLES = {role.value: role for role in Role}
# Longer than anything waits.
_MOST_SPARE_S = 3600.0


class WorkItem(msgspec.Struct, array_like=True, frozen=True):
    """Work that an instance placed on an endpoint.

    Attributes:
        key: The sender's name for it.
        endpoint: Name of the endpoint.
        role: Role of the endpoint in it.
        tokens: Its size.
        left_s: Seconds until its expected end.
        duration_s: Seconds that it is expected to take in all.
        grows: Tokens of its size that come in the course of it.
        suspicion: At how many crashes of endpoints its request was in progress.
    """

    key: str
    endpoint: str
    role: str
    tokens: int
    left_s: float
    duration_s: float
    grows: int
    suspicion: int = 0

    @classmethod
    def of(cls, key: str, work: Reservation, now: float) -> "WorkItem":
        """Describe a reservation."""
        left_s = round(work.ends_at - now, 3)
        duration_s = round(work.duration_s, 3)
        return cls(
            key,
            work.endpoint,
            work.role.value,
            work.tokens,
            left_s,
            duration_s,
            work.grows,
            work.suspicion,
        )

    def reservation(self, now: float) -> Reservation:
        """Give it as a reservation; a role that is not known counts as plain."""
        return Reservation(
            self.endpoint,
            _ROLES.get(self.role, Role.PLAIN),
            self.tokens,
            now + self.left_s,
            self.duration_s,
            self.grows,
            self.suspicion,
        )


class Beat(msgspec.Struct, array_like=True, frozen=True, tag="b"):
    """An instance's heartbeat; it goes to every peer and has to stay small.

    Attributes:
        name: Sender.
        incarnation: Grows with each start of the sender.
        data_centre: Sender's data centre.
        address: Where the sender hears peers.
        leaving: Whether the sender is stopping.
        table: Revision of the route table in force there.
        newest: Number of the revision of the newest registration that it knows.
        work: All its work.
        fence: Highest fence of any order that the sender knows of.
        switching: Endpoints that change their role, with the seconds that are left.
        vote: Instance that the sender takes for the leader; empty for none.
        members: How many instances the sender ever heard of.
        totals: Units that the sender let pass since its start, by organisation, where that
            changed lately.
        spenders: How many organisations the sender let something pass for.
        age_s: Whole seconds since the sender's start.
        era: Era of that revision.
        limited_endpoints: Of how many endpoints' limits the sender took something.
        finds_source: Whether the configuration service answered the sender last, and the sender
            can watch it for others.
        size: Part of processors that the sender has, in cores; 0 for one that takes no bundles.
        number: Counts what the sender tells; 0 for one that does not count.
        work_apart: Whether its work is told in messages of its own in place of here.
    """

    name: str
    incarnation: int
    data_centre: str
    address: str
    leaving: bool
    table: int
    newest: int
    work: list[WorkItem]
    fence: int
    switching: dict[str, float]
    vote: str
    members: int
    totals: dict[str, int] = {}
    spenders: int = 0
    age_s: int = 0
    era: int = 0
    limited_endpoints: int = 0
    finds_source: bool = False
    size: float = 0.0
    number: int = 0
    work_apart: bool = False

    @property
    def newest_revision(self) -> StoreRevision:
        """The revision of the newest registration that the sender knows."""
        return StoreRevision(self.era, self.newest)


class Member(msgspec.Struct, array_like=True, frozen=True):
    """An instance that the sender of a roster knows; without an address it is not heard."""

    name: str
    address: str


class Roster(msgspec.Struct, array_like=True, frozen=True, tag="r"):
    """The instances that an instance ever heard of; it goes to few peers at a time."""

    name: str
    members: list[Member]


class PaceNews(msgspec.Struct, array_like=True, frozen=True, tag="p"):
    """What the sender knows of services' paces; it goes to few peers at a time.

    Attributes:
        name: Sender.
        paces: What was measured by the name of a service, and how many seconds ago.
    """

    name: str
    paces: dict[str, tuple[PaceSummary, float]]


class Spending(msgspec.Struct, array_like=True, frozen=True, tag="s"):
    """What the sender let pass for organisations, told at once.

    Attributes:
        name: Sender.
        incarnation: Grows with each start of the sender.
        totals: Units since its start, by organisation.
        levels: What is left of limits, for a peer that starts; empty for others.
        age_s: Seconds for which the sender has kept account.
        spenders: How many organisations the sender let something pass for.
    """

    name: str
    incarnation: int
    totals: dict[str, int]
    levels: dict[str, float]
    age_s: float
    spenders: int


class Changes(msgspec.Struct, array_like=True, frozen=True, tag="c"):
    """Work that an instance has placed, and the keys of work that is over.

    Attributes:
        name: Sender.
        incarnation: Grows with each start of the sender.
        placed: Work that has begun.
        over: Keys of work that has ended.
        number: Counts what the sender tells of work; 0 for one that does not count.
    """

    name: str
    incarnation: int
    placed: list[WorkItem]
    over: list[str]
    number: int = 0


class WorkList(msgspec.Struct, array_like=True, frozen=True, tag="k"):
    """All work of an instance, in place of what was known of it.

    Attributes:
        name: Sender.
        incarnation: Grows with each start of the sender.
        work: All its work.
        number: Counts what the sender tells of work.
    """

    name: str
    incarnation: int
    work: list[WorkItem]
    number: int


class BundleItem(msgspec.Struct, array_like=True, frozen=True):
    """A message of an instance in a bundle.

    Attributes:
        sender: Who told it first.
        incarnation: Grows with each start of that sender.
        number: Counts what that sender tells.
        age_ms: For how long it was held on its way, in milliseconds.
        urgent: Whether it is passed on at once, in place of with the next bundle.
        data: The message as it was encoded.
    """

    sender: str
    incarnation: int
    number: int
    age_ms: int
    urgent: bool
    data: bytes


class Bundle(msgspec.Struct, array_like=True, frozen=True, tag="d"):
    """Messages of one or of many instances.

    Attributes:
        name: Sender of the bundle.
        pass_on: Whether the receiver passes its items on to the instances of its data centre.
        items: The messages.
    """

    name: str
    pass_on: bool
    items: list[BundleItem]


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


class SourceNews(msgspec.Struct, array_like=True, frozen=True, tag="g"):
    """Registrations that changed, told by an instance that watches for its data centre.

    Attributes:
        name: Sender.
        era: Era of the revisions.
        after: Who knows everything up to here completely knows it up to ``revision`` with this.
        revision: Revision up to which the changes are told.
        records: The changes.
        found_ago_s: Seconds since the sender found the configuration service again.
    """

    name: str
    era: int
    after: int
    revision: int
    records: list[RecordItem]
    found_ago_s: float

    def changes(self) -> list[EndpointRecord]:
        """Give the changes as registrations."""
        return [
            EndpointRecord(
                item.name, StoreRevision(self.era, item.revision), item.endpoint, item.fault
            )
            for item in self.records
        ]


class WaitItem(msgspec.Struct, array_like=True, frozen=True):
    """Streams of one service and urgency that wait for room at the sender.

    Attributes:
        service: The service.
        urgency: Larger goes first.
        is_late: Whether they will be late even if they have room now.
        streams: How many wait.
        tokens: Memory that they hold at their ends, together.
        oldest_s: Seconds since the first of them came.
        spare_s: Seconds for which one of them can still wait and be in time.
    """

    service: str
    urgency: int
    is_late: bool
    streams: int
    tokens: int
    oldest_s: float
    spare_s: float

    @classmethod
    def of(cls, group: WaitingGroup) -> "WaitItem":
        """Describe what waits."""
        spare_s = round(min(_MOST_SPARE_S, group.spare_s), 2)
        oldest_s = round(group.oldest_s, 2)
        return cls(*group._replace(oldest_s=oldest_s, spare_s=spare_s))

    def group(self) -> WaitingGroup:
        """Give it as what waits."""
        return WaitingGroup(*msgspec.structs.astuple(self))


class WaitNews(msgspec.Struct, array_like=True, frozen=True, tag="w"):
    """All that waits for room at the sender; it replaces what the sender told before.

    Attributes:
        name: Sender.
        incarnation: Grows with each start of the sender.
        number: Grows with each message of the sender.
        data_centre: Sender's data centre.
        items: What waits, the most urgent first; bounded.
    """

    name: str
    incarnation: int
    number: int
    data_centre: str
    items: list[WaitItem]


class PlainCalls(msgspec.Struct, array_like=True, frozen=True, tag="f"):
    """The sender's plain calls, as totals since its start; all, or those that changed lately.

    Attributes:
        name: Sender.
        incarnation: Grows with each start of the sender.
        age_s: Seconds since the sender's start.
        arrived: Services, with a rank and the calls of that rank that callers made.
        endpoints: Endpoints' lives, with the calls that ended there, the milliseconds that calls
            were in progress there, and the calls that it refused.
        returns: Requests that were refused just now, with the seconds until they may be back.
    """

    name: str
    incarnation: int
    age_s: float
    arrived: list[tuple[str, int, int]]
    endpoints: list[tuple[str, int, int, int]]
    returns: list[tuple[bytes, float]]


class HintKind(StrEnum):
    """What a hint says of an endpoint."""

    UNREACHED = "unreached"
    SLOW = "slow"


class EndpointHint(msgspec.Struct, array_like=True, frozen=True, tag="h"):
    """What an instance met at an endpoint that others should not have to meet too."""

    name: str
    endpoint: str
    kind: HintKind


Message = (
    Beat
    | Changes
    | Roster
    | PaceNews
    | EndpointHint
    | Spending
    | CrashNews
    | NoticeNews
    | EndpointSpending
    | EndpointPaceNews
    | ShedNews
    | SourceNews
    | WorkList
    | Bundle
    | WaitNews
    | PlainCalls
)
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message | Snapshot) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode_datagram(data: bytes) -> Message | None:
    """Decode a datagram; None if it is none of ours."""
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
