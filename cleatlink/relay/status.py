"""The state that an instance reports to operators, peers and the platform."""

from typing import Protocol, TypedDict

from cleatlink.relay.peers.snapshots import SnapshotPart

__all__ = ["QuarantinedParts", "QuarantinedRequest", "InstanceState", "InstanceStatus"]


class QuarantinedRequest(TypedDict):
    """A request in quarantine.

    Attributes:
        asks: Identity of the request, as in the log.
        endpoints: Incarnations of endpoints that crashed during the request.
        last_ago_s: Seconds since the last of these crashes.
        for_s: Seconds until the request may be retried.
    """

    asks: str
    endpoints: list[str]
    last_ago_s: float
    for_s: float


class QuarantinedParts(TypedDict):
    """Parts of prompts in quarantine; a prompt that contains all of them is refused.

    Attributes:
        parts: Digests of the parts, as in the log.
        endpoints: Incarnations of endpoints that crashed during requests with these parts.
        last_ago_s: Seconds since the last of these crashes.
        for_s: Seconds until a request with these parts may be tried.
    """

    parts: list[str]
    endpoints: list[str]
    last_ago_s: float
    for_s: float


class InstanceStatus(TypedDict):
    """The current status of an instance.

    Attributes:
        name: Name of the instance.
        version: Version of the program, for operators only; no code compares it.
        table_revision: Revision of the route table in force.
        store_era: Number of times that the configuration service was restored from a copy, by its
            own count.
        endpoints: Number of registered endpoints.
        unusable: Unusable registrations, each with the reason.
        instances: Number of instances whose heartbeats arrive, this one included.
        leads: Whether the instance is the leader, which gives orders to the others.
        quarantine: Requests in quarantine.
        quarantined_parts: Parts of prompts in quarantine.
        leaving: Incarnations of endpoints that accept no new work, with the first source of that
            notice.
        limits: Calls per second that endpoints accept from all instances, by incarnation.
        unreachable: Incarnations of endpoints to which the last direct connection failed.
        lost_paths: Incarnations of endpoints that peers reach and this instance does not.
    """

    name: str
    version: str
    table_revision: int
    store_era: int
    endpoints: int
    unusable: dict[str, str]
    instances: int
    leads: bool
    quarantine: list[QuarantinedRequest]
    quarantined_parts: list[QuarantinedParts]
    leaving: dict[str, str]
    limits: dict[str, float]
    unreachable: list[str]
    lost_paths: list[str]


class InstanceState(Protocol):
    """The interface through which the state of an instance is read."""

    @property
    def ready(self) -> bool:
        """Whether the instance accepts new connections."""

    def snapshot(self, part: SnapshotPart, *, is_compressed: bool) -> bytes:
        """Return a part of the instance's state, encoded for a peer.

        Args:
            part: Which part of the state.
            is_compressed: Whether to compress the result.
        """

    def render_metrics(self) -> bytes:
        """Return the metrics of the instance as text."""

    def status(self) -> InstanceStatus:
        """Return the current status of the instance."""
