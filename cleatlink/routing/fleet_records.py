"""Route tables and registrations, merged upwards only, whatever their source.

The configuration service and the peers tell the same facts at different times.
Each fact carries what orders it, and only a later one replaces what is known, so
that the order of arrival does not matter and nothing ever reverts: a table the
operator's revision, a registration its life first, then the era and revision of
the service that keeps it.
"""

from typing import NamedTuple

from cleatlink.core.decoding import ReadFault
from cleatlink.core.revisions import NO_REVISION, StoreRevision
from cleatlink.core.routes import RoutedEndpoint, RouteTable

__all__ = ["EndpointRecord", "FleetRecords"]

# Anybody may have written a name: longer ones are cut where they are shown.
_MOST_LABEL = 80


class EndpointRecord(NamedTuple):
    """A registration as of a revision.

    Attributes:
        name: The name that it stands under.
        revision: Orders what was written under this name within one life.
        endpoint: None once it was removed, and for one that can't be used.
        fault: Why it can't be used; None if it can, or was removed.
    """

    name: str
    revision: StoreRevision
    endpoint: RoutedEndpoint | None
    fault: ReadFault | None = None

    @property
    def label(self) -> str:
        """Its name as logs and pages show it."""
        return self.name[:_MOST_LABEL]


class FleetRecords:
    """What is known, with the revision at which it was learned."""

    def __init__(self) -> None:
        self._table: RouteTable | None = None
        self._records: dict[str, EndpointRecord] = {}
        self._born: dict[str, int] = {}
        # The life that was removed last under each name.
        self._removed_lives: dict[str, str] = {}
        self._revision = NO_REVISION
        self._newest = NO_REVISION
        # Highest revision of any record, also of one before which some are missing.
        self._newest_offered = NO_REVISION

    @property
    def table(self) -> RouteTable | None:
        """The route table in force; None before the first."""
        return self._table

    @property
    def table_revision(self) -> int:
        """Revision of the table in force; 0 before the first."""
        return self._table.revision if self._table is not None else 0

    @property
    def revision(self) -> StoreRevision:
        """Highest revision of the registrations that is known to be complete."""
        return self._revision

    @property
    def newest(self) -> StoreRevision:
        """Highest revision of a registration or removal before which none is missing.

        Peers compare it: one that counted records beyond a gap would look as if it lacked nothing.
        """
        return self._newest

    @property
    def records(self) -> tuple[EndpointRecord, ...]:
        """All records, removed ones included."""
        return tuple(self._records.values())

    def get(self, name: str) -> EndpointRecord | None:
        """Give the record of an endpoint."""
        return self._records.get(name)

    def offer_table(self, table: RouteTable) -> bool:
        """Take a table if it is newer than the one in force."""
        if table.revision <= self.table_revision:
            return False
        self._table = table
        return True

    def offer_record(self, record: EndpointRecord) -> EndpointRecord | None:
        """Take a record if it is newer; gives the one it replaced, or an empty one.

        What an older life of an endpoint wrote is never newer, whatever its revision: it was
        on its way while the next life began.

        Returns:
            What was known before, or None if the offered record is not newer.
        """
        known = self._records.get(record.name)
        if known is None:
            # Whoever knew everything up to here, and not this one, saw it go.
            if record.endpoint is not None and record.revision <= self._revision:
                return None
            known = EndpointRecord(record.name, NO_REVISION, None)
        elif record.revision <= known.revision:
            return None
        born = record.endpoint.born if record.endpoint is not None else 0
        if born and born < self._born.get(record.name, 0):
            return None
        if born:
            self._born[record.name] = born
        if known.endpoint is not None and record.endpoint is None:
            self._removed_lives[record.name] = known.endpoint.name
        self._records[record.name] = record
        self._newest_offered = max(self._newest_offered, record.revision)
        return known

    def was_removed(self, endpoint: RoutedEndpoint) -> bool:
        """Tell whether this very life was registered before, and removed."""
        return self._removed_lives.get(endpoint.answers_to) == endpoint.name

    def note_complete(self, revision: StoreRevision) -> None:
        """Note that every change up to a revision is known."""
        self._revision = max(self._revision, revision)
        self._newest = self._find_newest()

    def _find_newest(self) -> StoreRevision:
        if self._newest_offered <= self._revision:
            return self._newest_offered
        known = (record.revision for record in self._records.values())
        complete = (revision for revision in known if revision <= self._revision)
        # A record beyond the gap may have replaced the newest one before it.
        return max(self._newest, max(complete, default=NO_REVISION))

    def changes_of_list(
        self, records: list[EndpointRecord], revision: StoreRevision
    ) -> list[EndpointRecord]:
        """Give what a whole list as of a revision changes: its records, and what it lacks."""
        names = {record.name for record in records}
        return records + self.missing_since(names, revision)

    def changes_of_snapshot(
        self, records: list[EndpointRecord], revision: StoreRevision
    ) -> list[EndpointRecord]:
        """Give what a peer's records change; it knew all of them up to a revision.

        They name removals, too. But what was lost with a copy is in no record of the new era:
        a peer that knows of one tells by its silence what is gone.
        """
        if revision.era <= self._revision.era:
            return records
        return self.changes_of_list(
            [record for record in records if record.revision.era == revision.era], revision
        )

    def missing_since(self, names: set[str], revision: StoreRevision) -> list[EndpointRecord]:
        """Give removals for endpoints that a whole list at ``revision`` no longer has."""
        return [
            EndpointRecord(record.name, revision, None)
            for record in self._records.values()
            if record.endpoint is not None
            and record.name not in names
            and record.revision < revision
        ]
