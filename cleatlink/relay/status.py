"""What is told of an instance to operators, peers and the platform."""

from typing import Protocol, TypedDict

from cleatlink.relay.peers.snapshots import Part

__all__ = ["HeldRequest", "InstanceState", "InstanceStatus"]


class HeldRequest(TypedDict):
    """A request in quarantine.

    Attributes:
        asks: Its identity, as in the log.
        endpoints: The endpoints' lives that it ended.
        last_ago_s: Seconds since the last of them.
        for_s: Seconds until it may be tried again.
    """

    asks: str
    endpoints: list[str]
    last_ago_s: float
    for_s: float


class InstanceStatus(TypedDict):
    """What an instance knows just now.

    Attributes:
        name: Its name.
        version: Version of the program; told for operators, and compared by nobody.
        table_revision: Revision of the route table in force.
        store_era: How often the configuration service came back from a copy, as far as it told.
        endpoints: Endpoints that are registered.
        unusable: Registrations that can't be used, with the reason.
        instances: Instances that are heard, itself included.
        leads: Whether it gives orders.
        quarantine: Requests that are held back.
        leaving: Lives of endpoints that take no new work, with who told it first.
        limits: Calls a second that endpoints take of all instances, by life.
    """

    name: str
    version: str
    table_revision: int
    store_era: int
    endpoints: int
    unusable: dict[str, str]
    instances: int
    leads: bool
    quarantine: list[HeldRequest]
    leaving: dict[str, str]
    limits: dict[str, float]


class InstanceState(Protocol):
    """What is told of an instance."""

    @property
    def ready(self) -> bool:
        """Whether it takes new connections."""

    def snapshot(self, part: Part, *, is_compressed: bool) -> bytes:
        """Give a part of what it knows, encoded for a peer.

        Args:
            part: What of it.
            is_compressed: Whether to compress it.
        """

    def render_metrics(self) -> bytes:
        """Give its metrics as text."""

    def status(self) -> InstanceStatus:
        """Give what it knows just now."""
