"""Messages between instances: heartbeats, membership, usage of limits and shared state."""

import msgspec

from cleatlink.core.revisions import StoreRevision
from cleatlink.relay.peers.endpoint_messages import (
    CrashItem,
    CrashUpdate,
    EndpointHint,
    EndpointLimitUsage,
    EndpointNoticeUpdate,
    EndpointSpeedUpdate,
    HintKind,
    OverloadUpdate,
    SpeedMeasurement,
)
from cleatlink.relay.peers.retry_messages import PredecessorRetryUsage, RetryUsageUpdate
from cleatlink.relay.peers.snapshots import RegistrationRecord, Snapshot
from cleatlink.relay.peers.stream_build_messages import (
    StreamBuildAnswer,
    StreamBuildQuery,
    StreamBuildUpdate,
)
from cleatlink.relay.peers.wait_queue_messages import (
    PlainCallTotals,
    WaitQueueItem,
    WaitQueueUpdate,
)
from cleatlink.relay.peers.work_messages import WorkChanges, WorkItem, WorkList
from cleatlink.routing.fleet_records import EndpointRecord
from cleatlink.routing.service_times import ServiceTimeSummary

__all__ = [
    "HeartbeatMessage",
    "Bundle",
    "BundleItem",
    "WorkChanges",
    "CrashItem",
    "CrashUpdate",
    "EndpointHint",
    "EndpointSpeedUpdate",
    "EndpointLimitUsage",
    "HintKind",
    "Member",
    "Message",
    "EndpointNoticeUpdate",
    "SpeedMeasurement",
    "ServiceTimeUpdate",
    "PlainCallTotals",
    "Roster",
    "OverloadUpdate",
    "RegistrationUpdate",
    "OrganisationUsage",
    "PredecessorRetryUsage",
    "RetryUsageUpdate",
    "StreamBuildAnswer",
    "StreamBuildQuery",
    "StreamBuildUpdate",
    "WaitQueueItem",
    "WaitQueueUpdate",
    "WorkItem",
    "WorkList",
    "decode_datagram",
    "encode",
]


class HeartbeatMessage(msgspec.Struct, array_like=True, frozen=True, tag="b"):
    """Heartbeat of an instance; it is sent to every peer and has to stay small.

    Attributes:
        name: Name of the sender.
        incarnation: Start number of the sender; it grows with each start.
        data_centre: Data centre of the sender.
        address: Address at which the sender receives messages from peers.
        leaving: Whether the sender is stopping.
        table_revision: Revision of the route table that the sender uses.
        newest_registration: Revision number of the newest registration that the sender knows.
        work: All work that the sender has placed and that has not ended.
        highest_fence: Highest fencing token of any role order that the sender knows of.
        switching_endpoints: Endpoints that are changing their role, with the remaining seconds.
        leader_vote: Instance that the sender considers the leader; empty for none.
        member_count: Number of instances that the sender has ever known.
        totals: Units that the sender has admitted since its start, by organisation; only the
            organisations whose total changed recently.
        used_name_count: Number of organisations for which the sender has admitted units.
        age_s: Whole seconds since the sender's start.
        era: Era of the store revision that ``newest_registration`` belongs to.
        limited_endpoint_count: Number of endpoints from whose limits the sender has taken units.
        source_is_reachable: Whether the sender's last call to the configuration service was
            answered, so that the sender can watch the service for other instances.
        size: CPU capacity of the sender, in cores; 0 if the sender does not accept bundles.
        number: Sequence number of the message; 0 if the sender does not number its messages.
        work_apart: Whether the sender's work is sent in separate messages and ``work`` is empty.
        tunnel_port: Port at which the sender connects to endpoints on behalf of its peers; 0 if it
            does not.
        lost_services: Services to a large share of whose endpoints the sender has no path.
        is_cut_off: Whether one of these services has engines, so that the sender can't send role
            orders to many of them.
        knows_retry_usage: Whether the sender knows what earlier processes of it used of the retry
            budgets.
        keeps_stream_builds: Whether the sender remembers the builds of streams for its peers.
    """

    name: str
    incarnation: int
    data_centre: str
    address: str
    leaving: bool
    table_revision: int
    newest_registration: int
    work: list[WorkItem]
    highest_fence: int
    switching_endpoints: dict[str, float]
    leader_vote: str
    member_count: int
    totals: dict[str, int] = {}
    used_name_count: int = 0
    age_s: int = 0
    era: int = 0
    limited_endpoint_count: int = 0
    source_is_reachable: bool = False
    size: float = 0.0
    number: int = 0
    work_apart: bool = False
    tunnel_port: int = 0
    lost_services: list[str] = []
    is_cut_off: bool = False
    knows_retry_usage: bool = False
    keeps_stream_builds: bool = False

    @property
    def newest_registration_revision(self) -> StoreRevision:
        """Store revision of the newest registration that the sender knows."""
        return StoreRevision(self.era, self.newest_registration)


class Member(msgspec.Struct, array_like=True, frozen=True):
    """An instance in a roster; the address is empty if the sender receives nothing from it."""

    name: str
    address: str


class Roster(msgspec.Struct, array_like=True, frozen=True, tag="r"):
    """Membership list of the sender; it is sent to a few peers at a time."""

    name: str
    members: list[Member]


class ServiceTimeUpdate(msgspec.Struct, array_like=True, frozen=True, tag="p"):
    """Service rates that the sender knows; the message is sent to a few peers at a time.

    Attributes:
        name: Name of the sender.
        service_times: Measured rates by service name, with the age of each measurement in seconds.
    """

    name: str
    service_times: dict[str, tuple[ServiceTimeSummary, float]]


class OrganisationUsage(msgspec.Struct, array_like=True, frozen=True, tag="s"):
    """Units that the sender has admitted for organisations, sent without waiting for a heartbeat.

    Attributes:
        name: Name of the sender.
        incarnation: Start number of the sender; it grows with each start.
        totals: Units admitted since the sender's start, by organisation.
        levels: Remaining units of each limit, for a peer that is starting; empty for others.
        age_s: Seconds for which the sender has counted admitted units.
        used_name_count: Number of organisations for which the sender has admitted units.
    """

    name: str
    incarnation: int
    totals: dict[str, int]
    levels: dict[str, float]
    age_s: float
    used_name_count: int


class BundleItem(msgspec.Struct, array_like=True, frozen=True):
    """An encoded message of one instance in a bundle.

    Attributes:
        origin: Instance that created the message.
        incarnation: Start number of that instance; it grows with each start.
        number: Sequence number of the message at that instance.
        age_ms: Total time for which the message was held on its way, in milliseconds.
        is_urgent: Whether reflectors forward the message after a shorter wait for further messages.
        data: The encoded message.
    """

    origin: str
    incarnation: int
    number: int
    age_ms: int
    is_urgent: bool
    data: bytes


class Bundle(msgspec.Struct, array_like=True, frozen=True, tag="d"):
    """Messages of one or more instances.

    Attributes:
        name: Name of the instance that sent the bundle.
        forward: Whether the receiver forwards the items to the instances of its data centre.
        items: The messages in the bundle.
    """

    name: str
    forward: bool
    items: list[BundleItem]


class RegistrationUpdate(msgspec.Struct, array_like=True, frozen=True, tag="g"):
    """Changed registrations, sent by an instance that watches the service for its data centre.

    Attributes:
        name: Name of the sender.
        era: Era of the store revisions.
        base_revision: Revision number that the changes follow: a receiver that knows all changes up
            to it knows all changes up to ``revision`` after applying this message.
        revision: Revision number up to which the message has all changes.
        records: The changed registrations.
        reachable_for_s: Seconds since the configuration service became reachable for the sender
            again.
        builds: Builds of the endpoints of ``records``, in the same order; empty from earlier builds
            of this program.
    """

    name: str
    era: int
    base_revision: int
    revision: int
    records: list[RegistrationRecord]
    reachable_for_s: float
    builds: list[str] = []

    def endpoint_records(self) -> list[EndpointRecord]:
        """Return the changed registrations as endpoint records."""
        builds = self.builds or [""] * len(self.records)
        return [
            item.to_record(self.era, build)
            for item, build in zip(self.records, builds, strict=False)
        ]


Message = (
    HeartbeatMessage
    | WorkChanges
    | Roster
    | ServiceTimeUpdate
    | EndpointHint
    | OrganisationUsage
    | CrashUpdate
    | EndpointNoticeUpdate
    | EndpointLimitUsage
    | EndpointSpeedUpdate
    | OverloadUpdate
    | RegistrationUpdate
    | WorkList
    | Bundle
    | WaitQueueUpdate
    | PlainCallTotals
    | RetryUsageUpdate
    | PredecessorRetryUsage
    | StreamBuildUpdate
    | StreamBuildQuery
    | StreamBuildAnswer
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
