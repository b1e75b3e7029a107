"""All that an instance knows of routes and endpoints, for a peer that knows less."""

from collections.abc import Iterable
from enum import Enum

import msgspec

from cleatlink.core.decoding import ReadFault
from cleatlink.core.revisions import StoreRevision
from cleatlink.core.routes import RoutedEndpoint, RouteTable
from cleatlink.routing.fleet_records import EndpointRecord

__all__ = ["Part", "RecordItem", "Snapshot", "decode_snapshot"]


class Part(Enum):
    """A part of what an instance knows; its value is the path under which peers ask for it."""

    TABLE = b"/table"
    REGISTRATIONS = b"/registrations"
    WHOLE = b"/snapshot"

    @classmethod
    def of_target(cls, target: bytes) -> "Part":
        """Give the part that a request asks for; a path that is not known means everything."""
        path = target.partition(b"?")[0]
        return next((part for part in cls if part.value == path), cls.WHOLE)


class RecordItem(msgspec.Struct, array_like=True, frozen=True):
    """A registration as of a revision; its era stands beside it in the snapshot.

    It gets no more fields: earlier builds read it as a tuple of these four.

    Attributes:
        name: The name that it stands under.
        revision: Number of the revision.
        endpoint: None once it was removed, and for one that can't be used.
        fault: Why it can't be used.
    """

    name: str
    revision: int
    endpoint: RoutedEndpoint | None
    fault: ReadFault | None = None


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """All that an instance knows, for a peer that knows less.

    Attributes:
        table: The route table in force.
        records: All registrations, removed ones included.
        revision: Number of the revision up to which all of them are known.
        era: Era of that revision.
        eras: Eras of the records' revisions, in their order; empty where all are 0.
    """

    table: RouteTable | None
    records: list[RecordItem]
    revision: int
    era: int = 0
    eras: list[int] = []

    @classmethod
    def of(
        cls, table: RouteTable | None, records: Iterable[EndpointRecord], revision: StoreRevision
    ) -> "Snapshot":
        """Describe all that is known.

        Args:
            table: The route table in force.
            records: All registrations, removed ones included.
            revision: The revision up to which all of them are known.
        """
        known = list(records)
        items = [
            RecordItem(item.name, item.revision.number, item.endpoint, item.fault) for item in known
        ]
        eras = [item.revision.era for item in known]
        return cls(table, items, revision.number, revision.era, eras if any(eras) else [])

    def endpoint_records(self) -> list[EndpointRecord]:
        """Give the registrations."""
        eras = self.eras or [0] * len(self.records)
        return [
            EndpointRecord(item.name, StoreRevision(era, item.revision), item.endpoint, item.fault)
            for item, era in zip(self.records, eras, strict=False)
        ]

    @property
    def complete_revision(self) -> StoreRevision:
        """The revision up to which all registrations are known."""
        return StoreRevision(self.era, self.revision)


_DECODER = msgspec.msgpack.Decoder(Snapshot)


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot.

    Raises:
        msgspec.MsgspecError: It is none of ours.
    """
    return _DECODER.decode(data)
