"""What instances tell each other: who is there, what they know, where they placed work."""

import msgspec

from cleatlink.core.revisions import StoreRevision
from cleatlink.relay.peers.endpoint_messages import (
    CrashItem,
    CrashNews,
    EndpointHint,
    EndpointPaceNews,
    EndpointSpending,
    HintKind,
    NoticeNews,
    PaceItem,
    ShedNews,
)
from cleatlink.relay.peers.snapshots import RecordItem, Snapshot
from cleatlink.relay.peers.waiting_messages import PlainCalls, WaitItem, WaitNews
from cleatlink.relay.peers.work_messages import Changes, WorkItem, WorkList
from cleatlink.routing.fleet_records import EndpointRecord
from cleatlink.routing.pace import PaceSummary

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
