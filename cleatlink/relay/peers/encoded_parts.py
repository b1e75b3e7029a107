"""The state that peers copy from an instance, encoded once after each change."""

from typing import NamedTuple

from cleatlink.core.revisions import NO_REVISION, StoreRevision
from cleatlink.core.routes import RouteTable
from cleatlink.relay.peers.deflate import compress
from cleatlink.relay.peers.messages import encode
from cleatlink.relay.peers.snapshots import Snapshot, SnapshotPart
from cleatlink.routing.fleet_records import EndpointRecord, FleetRecords

__all__ = ["EncodedParts"]


class _PartContents(NamedTuple):
    """The contents of a part."""

    table: RouteTable | None
    records: tuple[EndpointRecord, ...]
    revision: StoreRevision


class _EncodedPart:
    """One part, with the encodings made since its last change."""

    def __init__(self) -> None:
        self._contents: _PartContents | None = None
        self._plain = b""
        self._compressed = b""

    def update(self, contents: _PartContents) -> None:
        """Encode the contents if they have changed."""
        if contents == self._contents:
            return
        self._contents = contents
        self._plain = encode(Snapshot.from_records(*contents))
        self._compressed = b""

    @property
    def plain(self) -> bytes:
        """The part, encoded without compression."""
        return self._plain

    @property
    def compressed(self) -> bytes:
        """The part, encoded and compressed."""
        if not self._compressed:
            self._compressed = compress(self._plain)
        return self._compressed


class EncodedParts:
    """Encodes parts of an instance's state once after each change, for all requesting peers."""

    def __init__(self, records: FleetRecords) -> None:
        """Initialise the parts without encoding them.

        Args:
            records: Route table and endpoint records of the instance.
        """
        self._records = records
        self._parts = {part: _EncodedPart() for part in SnapshotPart}

    def get(self, part: SnapshotPart, *, is_compressed: bool) -> bytes:
        """Return the current encoding of a part.

        Args:
            part: The requested part.
            is_compressed: Whether to compress the encoding.
        """
        encoded = self._parts[part]
        encoded.update(self._contents_of(part))
        return encoded.compressed if is_compressed else encoded.plain

    def _contents_of(self, part: SnapshotPart) -> _PartContents:
        fleet_records = self._records
        if part is SnapshotPart.TABLE:
            return _PartContents(fleet_records.table, (), NO_REVISION)
        table = fleet_records.table if part is SnapshotPart.WHOLE else None
        return _PartContents(table, fleet_records.records, fleet_records.complete_revision)
