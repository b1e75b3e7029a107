"""Snapshots of the routes and endpoints that an instance knows, fetched by its peers."""

from collections.abc import Iterable
from enum import Enum

import msgspec

from cleatlink.core.decoding import ReadFault
from cleatlink.core.revisions import StoreRevision
from cleatlink.core.routes import RoutedEndpoint, RouteTable
from cleatlink.routing.fleet_records import EndpointRecord

__all__ = ["SnapshotPart", "RegistrationRecord", "Snapshot", "decode_snapshot"]


class SnapshotPart(Enum):
    """A part of an instance's state; the value is the request path."""

    TABLE = b"/table"
    REGISTRATIONS = b"/registrations"
    WHOLE = b"/snapshot"

    @classmethod
    def from_path(cls, target: bytes) -> "SnapshotPart":
        """Return the part that a request path selects; unknown paths select the whole state."""
        path = target.partition(b"?")[0]
        return next((part for part in cls if part.value == path), cls.WHOLE)


class RegistrationRecord(msgspec.Struct, array_like=True, frozen=True):
    """A registration at a revision; the snapshot holds the era of the revision separately.

    No fields can be added: earlier builds decode it as a tuple of these four.

    Attributes:
        name: Name of the registration.
        revision: Number of the revision.
        endpoint: The endpoint; None if the registration was removed or is invalid.
        fault: Why the registration is invalid; None if it is valid.
    """

    name: str
    revision: int
    endpoint: RoutedEndpoint | None
    fault: ReadFault | None = None


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The routes and endpoints that an instance knows, sent to a peer that lacks some.

    Attributes:
        table: The route table in force.
        records: All registrations, including removed ones.
        revision: Number of the revision up to which the registrations are complete.
        era: Era of that revision.
        eras: Eras of the revisions of ``records``, in the same order; empty if all are 0.
    """

    table: RouteTable | None
    records: list[RegistrationRecord]
    revision: int
    era: int = 0
    eras: list[int] = []

    @classmethod
    def from_records(
        cls, table: RouteTable | None, records: Iterable[EndpointRecord], revision: StoreRevision
    ) -> "Snapshot":
        """Build a snapshot.

        Args:
            table: The route table in force.
            records: All registrations, including removed ones.
            revision: The revision up to which the registrations are complete.
        """
        record_list = list(records)
        items = [
            RegistrationRecord(item.name, item.revision.number, item.endpoint, item.fault)
            for item in record_list
        ]
        eras = [item.revision.era for item in record_list]
        return cls(table, items, revision.number, revision.era, eras if any(eras) else [])

    def endpoint_records(self) -> list[EndpointRecord]:
        """Return the registrations."""
        eras = self.eras or [0] * len(self.records)
        return [
            EndpointRecord(item.name, StoreRevision(era, item.revision), item.endpoint, item.fault)
            for item, era in zip(self.records, eras, strict=False)
        ]

    @property
    def complete_revision(self) -> StoreRevision:
        """The revision up to which the registrations are complete."""
        return StoreRevision(self.era, self.revision)


_DECODER = msgspec.msgpack.Decoder(Snapshot)


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot.

    Raises:
        msgspec.MsgspecError: The data is not an encoded snapshot.
    """
    return _DECODER.decode(data)
