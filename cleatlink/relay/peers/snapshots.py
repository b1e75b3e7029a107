"""Snapshots of the routes and endpoints that an instance knows, fetched by its peers."""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

import msgspec

from cleatlink.core.data import Role
from cleatlink.core.decoding import ReadFault
from cleatlink.core.revisions import StoreRevision
from cleatlink.core.routes import RoutedEndpoint, RouteTable
from cleatlink.routing.fleet_records import EndpointRecord

__all__ = [
    "RegisteredEndpoint",
    "RegistrationRecord",
    "Snapshot",
    "SnapshotPart",
    "decode_snapshot",
    "endpoint_builds",
]


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


class RegisteredEndpoint(NamedTuple):
    """An endpoint in a registration; see ``RoutedEndpoint``.

    No fields can be added: earlier builds decode it as a tuple of these nine.
    """

    name: str
    address: str
    data_centre: str
    service: str
    role: Role
    slots: int
    leaving: bool = False
    registration: str = ""
    born: int = 0


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
    endpoint: RegisteredEndpoint | None
    fault: ReadFault | None = None

    @classmethod
    def from_record(cls, record: EndpointRecord) -> "RegistrationRecord":
        """Build an item from a registration; its endpoint's build is sent separately."""
        endpoint = record.endpoint
        fields = None if endpoint is None else RegisteredEndpoint(*endpoint[:-1])
        return cls(record.name, record.revision.number, fields, record.fault)

    def to_record(self, era: int, build: str) -> EndpointRecord:
        """Return the registration.

        Args:
            era: Era of its revision.
            build: Build of its endpoint.
        """
        endpoint = None if self.endpoint is None else RoutedEndpoint(*self.endpoint, build)
        return EndpointRecord(self.name, StoreRevision(era, self.revision), endpoint, self.fault)


def endpoint_builds(records: Iterable[EndpointRecord]) -> list[str]:
    """Return the builds of the endpoints of registrations; empty for those without one."""
    return ["" if item.endpoint is None else item.endpoint.build for item in records]


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The routes and endpoints that an instance knows, sent to a peer that lacks some.

    Attributes:
        table: The route table in force.
        records: All registrations, including removed ones.
        revision: Number of the revision up to which the registrations are complete.
        era: Era of that revision.
        eras: Eras of the revisions of ``records``, in the same order; empty if all are 0.
        builds: Builds of the endpoints of ``records``, in the same order; empty from earlier builds
            of this program.
    """

    table: RouteTable | None
    records: list[RegistrationRecord]
    revision: int
    era: int = 0
    eras: list[int] = []
    builds: list[str] = []

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
        items = [RegistrationRecord.from_record(item) for item in record_list]
        eras = [item.revision.era for item in record_list]
        return cls(
            table,
            items,
            revision.number,
            revision.era,
            eras if any(eras) else [],
            endpoint_builds(record_list),
        )

    def endpoint_records(self) -> list[EndpointRecord]:
        """Return the registrations."""
        eras = self.eras or [0] * len(self.records)
        builds = self.builds or [""] * len(self.records)
        return [
            item.to_record(era, build)
            for item, era, build in zip(self.records, eras, builds, strict=False)
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
