"""Messages between instances: heartbeats, membership, usage of limits and shared state."""

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
    """Heartbeat of an instance; it is sent to every peer and has to stay small.

    Attributes:
        name: Name of the sender.
        incarnation: Start number of the sender; it grows with each start.
        data_centre: Data centre of the sender.
        address: Address at which the sender receives messages from peers.
        leaving: Whether the sender is stopping.
        table: Revision of the route table that the sender uses.
        newest: Revision number of the newest registration that the sender knows.
        work: All work that the sender has placed and that has not ended.
        fence: Highest fencing token of any order that the sender knows of.
        switching: Endpoints that are changing their role, with the remaining seconds.
        vote: Instance that the sender considers the leader; empty for none.
        members: Number of instances that the sender has ever known.
        totals: Units that the sender has admitted since its start, by organisation; only the
            organisations whose total changed recently.
        spenders: Number of organisations for which the sender has admitted units.
        age_s: Whole seconds since the sender's start.
        era: Era of the store revision that ``newest`` belongs to.
        limited_endpoints: Number of endpoints from whose limits the sender has taken units.
        finds_source: Whether the sender's last call to the configuration service was answered,
            so that the sender can watch the service for other instances.
        size: CPU capacity of the sender, in cores; 0 if the sender does not accept bundles.
        number: Sequence number of the message; 0 if the sender does not number its messages.
        work_apart: Whether the sender's work is sent in separate messages and ``work`` is empty.
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
        """Store revision of the newest registration that the sender knows."""
        return StoreRevision(self.era, self.newest)


class Member(msgspec.Struct, array_like=True, frozen=True):
    """An instance in a roster; the address is empty if the sender receives nothing from it."""

    name: str
    address: str


class Roster(msgspec.Struct, array_like=True, frozen=True, tag="r"):
    """Membership list of the sender; it is sent to a few peers at a time."""

    name: str
    members: list[Member]


class PaceNews(msgspec.Struct, array_like=True, frozen=True, tag="p"):
    """Service rates that the sender knows; the message is sent to a few peers at a time.

    Attributes:
        name: Name of the sender.
        paces: Measured rates by service name, with the age of each measurement in seconds.
    """

    name: str
    paces: dict[str, tuple[PaceSummary, float]]


class Spending(msgspec.Struct, array_like=True, frozen=True, tag="s"):
    """Units that the sender has admitted for organisations, sent without waiting for a heartbeat.

    Attributes:
        name: Name of the sender.
        incarnation: Start number of the sender; it grows with each start.
        totals: Units admitted since the sender's start, by organisation.
        levels: Remaining units of each limit, for a peer that is starting; empty for others.
        age_s: Seconds for which the sender has counted admitted units.
        spenders: Number of organisations for which the sender has admitted units.
    """

    name: str
    incarnation: int
    totals: dict[str, int]
    levels: dict[str, float]
    age_s: float
    spenders: int


class BundleItem(msgspec.Struct, array_like=True, frozen=True):
    """An encoded message of one instance in a bundle.

    Attributes:
        sender: Instance that created the message.
        incarnation: Start number of that instance; it grows with each start.
        number: Sequence number of the message at that instance.
        age_ms: Total time for which the message was held on its way, in milliseconds.
        urgent: Whether the message is forwarded at once instead of with the next bundle.
        data: The encoded message.
    """

    sender: str
    incarnation: int
    number: int
    age_ms: int
    urgent: bool
    data: bytes


class Bundle(msgspec.Struct, array_like=True, frozen=True, tag="d"):
    """Messages of one or more instances.

    Attributes:
        name: Name of the instance that sent the bundle.
        pass_on: Whether the receiver forwards the items to the instances of its data centre.
        items: The messages in the bundle.
    """

    name: str
    pass_on: bool
    items: list[BundleItem]


class SourceNews(msgspec.Struct, array_like=True, frozen=True, tag="g"):
    """Changed registrations, sent by an instance that watches the service for its data centre.

    Attributes:
        name: Name of the sender.
        era: Era of the store revisions.
        after: Revision number that the changes follow: a receiver that knows all changes up to
            it knows all changes up to ``revision`` after applying this message.
        revision: Revision number up to which the message has all changes.
        records: The changed registrations.
        found_ago_s: Seconds since the configuration service became reachable for the sender again.
    """

    name: str
    era: int
    after: int
    revision: int
    records: list[RecordItem]
    found_ago_s: float

    def changes(self) -> list[EndpointRecord]:
        """Return the changed registrations as endpoint records."""
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
    """Decode a datagram; return None if it is not a known message."""
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
