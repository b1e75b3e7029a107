"""What an instance answers to peers that copy from it, encoded once for each change."""

from typing import NamedTuple

from cleatlink.core.revisions import NO_REVISION, StoreRevision
from cleatlink.core.routes import RouteTable
from cleatlink.relay.peers.deflate import compress
from cleatlink.relay.peers.messages import encode
from cleatlink.relay.peers.snapshots import Part, Snapshot
from cleatlink.routing.fleet_records import EndpointRecord, FleetRecords

__all__ = ["EncodedParts"]


class _Contents(NamedTuple):
    """What a part holds."""

    table: RouteTable | None
    records: tuple[EndpointRecord, ...]
    revision: StoreRevision


class _EncodedPart:
    """One part, in the form in which it was asked for since it changed last."""

    def __init__(self) -> None:
        self._contents: _Contents | None = None
        self._plain = b""
        self._compressed = b""

    def use(self, contents: _Contents) -> None:
        """Encode the contents unless they are as they were."""
        if contents == self._contents:
            return
        self._contents = contents
        self._plain = encode(Snapshot.of(*contents))
        self._compressed = b""

    @property
    def plain(self) -> bytes:
        """The part as encoded."""
        return self._plain

    @property
    def compressed(self) -> bytes:
        """The part as encoded and compressed."""
        if not self._compressed:
            self._compressed = compress(self._plain)
        return self._compressed


class EncodedParts:
    """Encodes parts of what an instance knows, whoever asks, once for each change."""

    def __init__(self, records: FleetRecords) -> None:
        """Prepare.

        Args:
            records: What the instance knows.
        """
        self._records = records
        self._parts = {part: _EncodedPart() for part in Part}

    def get(self, part: Part, *, is_compressed: bool) -> bytes:
        """Give a part as it is now.

        Args:
            part: What of it.
            is_compressed: Whether to compress it.
        """
        encoded = self._parts[part]
        encoded.use(self._contents_of(part))
        return encoded.compressed if is_compressed else encoded.plain

    def _contents_of(self, part: Part) -> _Contents:
        known = self._records
        if part is Part.TABLE:
            return _Contents(known.table, (), NO_REVISION)
        table = known.table if part is Part.WHOLE else None
        return _Contents(table, known.records, known.revision)
