"""Merges route tables and registrations from all sources; older versions never replace newer ones.

The configuration service and the peers send the same data at different times. Each item carries
its version, and only a later version replaces the known one, so the order of arrival does not
matter and nothing reverts. The version of a route table is the operator's revision. Registrations
are ordered by the endpoint's incarnation first, then by the epoch (`era`) and the revision of the
store that keeps them.
"""

from typing import NamedTuple

from cleatlink.core.decoding import ReadFault
from cleatlink.core.revisions import NO_REVISION, StoreRevision
from cleatlink.core.routes import RoutedEndpoint, RouteTable

__all__ = ["EndpointRecord", "FleetRecords"]

# Longer names are truncated for display, because any client of the store may write a name.
_MAX_LABEL_LENGTH = 80


class EndpointRecord(NamedTuple):
    """A registration, or its removal, as of a revision.

    Attributes:
        name: Name under which the endpoint is registered.
        revision: Orders the writes under this name within one incarnation of the endpoint.
        endpoint: The endpoint; None if the registration was removed or is not usable.
        fault: Why the registration is not usable; None if it is usable or was removed.
    """

    name: str
    revision: StoreRevision
    endpoint: RoutedEndpoint | None
    fault: ReadFault | None = None

    @property
    def label(self) -> str:
        """The name as shown in logs and on status pages, truncated."""
        return self.name[:_MAX_LABEL_LENGTH]


class FleetRecords:
    """The known route table and registrations, with their revisions."""

    def __init__(self) -> None:
        self._table: RouteTable | None = None
        self._records: dict[str, EndpointRecord] = {}
        # Start of the newest incarnation by registered name, in ms of the endpoint's clock.
        self._born_at: dict[str, int] = {}
        # The incarnation that was last removed under each name.
        self._removed_incarnations: dict[str, str] = {}
        self._complete_revision = NO_REVISION
        self._newest_record_revision = NO_REVISION
        # Highest revision of any record, including records before which others may be missing.
        self._highest_record_revision = NO_REVISION

    @property
    def table(self) -> RouteTable | None:
        """The route table in force; None before the first one."""
        return self._table

    @property
    def table_revision(self) -> int:
        """Revision of the table in force; 0 before the first one."""
        return self._table.revision if self._table is not None else 0

    @property
    def complete_revision(self) -> StoreRevision:
        """Highest revision up to which all registrations and removals are known."""
        return self._complete_revision

    @property
    def newest_record_revision(self) -> StoreRevision:
        """Highest revision of a known record before which no record is missing.

        Peers compare this value. If it included records beyond a gap, an instance that lacks the
        records of the gap would appear to be complete.
        """
        return self._newest_record_revision

    @property
    def records(self) -> tuple[EndpointRecord, ...]:
        """All records, including removals."""
        return tuple(self._records.values())

    def get(self, name: str) -> EndpointRecord | None:
        """Return the record of a registration, or None."""
        return self._records.get(name)

    def offer_table(self, table: RouteTable) -> bool:
        """Use a table if it is newer than the one in force; return whether it is."""
        if table.revision <= self.table_revision:
            return False
        self._table = table
        return True

    def offer_record(self, record: EndpointRecord) -> EndpointRecord | None:
        """Store a record if it is newer than the known one.

        A record of an older incarnation of the endpoint is never newer, whatever its revision: it
        was in transit while the next incarnation started.

        Returns:
            The previous record (without an endpoint if there was none), or None if ``record`` is
            not newer.
        """
        known = self._records.get(record.name)
        if known is None:
            # All records up to this revision are known, so a registration that is missing here has
            # been removed.
            if record.endpoint is not None and record.revision <= self._complete_revision:
                return None
            known = EndpointRecord(record.name, NO_REVISION, None)
        elif record.revision <= known.revision and not _adds_build(record, known):
            return None
        born_at = record.endpoint.born if record.endpoint is not None else 0
        if born_at and born_at < self._born_at.get(record.name, 0):
            return None
        if born_at:
            self._born_at[record.name] = born_at
        if known.endpoint is not None and record.endpoint is None:
            self._removed_incarnations[record.name] = known.endpoint.name
        self._records[record.name] = record
        self._highest_record_revision = max(self._highest_record_revision, record.revision)
        return known

    def was_removed(self, endpoint: RoutedEndpoint) -> bool:
        """Check whether this incarnation of an endpoint was the last one removed under its name."""
        return self._removed_incarnations.get(endpoint.registered_name) == endpoint.name

    def note_complete(self, revision: StoreRevision) -> None:
        """Record that every change up to a revision is known."""
        self._complete_revision = max(self._complete_revision, revision)
        self._newest_record_revision = self._find_newest_record_revision()

    def _find_newest_record_revision(self) -> StoreRevision:
        if self._highest_record_revision <= self._complete_revision:
            return self._highest_record_revision
        known = (record.revision for record in self._records.values())
        complete = (revision for revision in known if revision <= self._complete_revision)
        # A record beyond the gap may have replaced the newest record before the gap.
        return max(self._newest_record_revision, max(complete, default=NO_REVISION))

    def changes_in_full_list(
        self, records: list[EndpointRecord], revision: StoreRevision
    ) -> list[EndpointRecord]:
        """Return the changes in a full list: its records, and removals of what it lacks."""
        names = {record.name for record in records}
        return records + self.removals_of_missing(names, revision)

    def changes_in_peer_snapshot(
        self, records: list[EndpointRecord], revision: StoreRevision
    ) -> list[EndpointRecord]:
        """Return the changes in the records of a peer that knew all changes up to a revision.

        The records include removals. When the store was restored from a copy, which starts a new
        era, registrations that the copy lacks have no removal in that era. If the peer knows the
        new era, they are removed because they are missing from its records.
        """
        if revision.era <= self._complete_revision.era:
            return records
        return self.changes_in_full_list(
            [record for record in records if record.revision.era == revision.era], revision
        )

    def removals_of_missing(self, names: set[str], revision: StoreRevision) -> list[EndpointRecord]:
        """Return removals of the endpoints that are missing from a full list at ``revision``."""
        return [
            EndpointRecord(record.name, revision, None)
            for record in self._records.values()
            if record.endpoint is not None
            and record.name not in names
            and record.revision < revision
        ]


def _adds_build(record: EndpointRecord, known: EndpointRecord) -> bool:
    """Check whether a record has the build that an earlier build of a peer left out."""
    if record.revision != known.revision or record.endpoint is None or known.endpoint is None:
        return False
    return bool(record.endpoint.build) and not known.endpoint.build
