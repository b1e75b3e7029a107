"""Where route tables and registrations come from: an interface, and what it is told to."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from cleatlink.core.decoding import ReadFault
from cleatlink.core.errors import PlatformError
from cleatlink.core.revisions import StoreRevision
from cleatlink.core.routes import RouteTable
from cleatlink.routing.fleet_records import EndpointRecord

__all__ = ["ConfigurationSource", "HistoryGoneError", "SourceChange", "SourceTable"]


class HistoryGoneError(PlatformError):
    """The changes since the last call can't be had; all must be read anew.

    They are no longer kept, or the service has come back from a copy that lacks them.
    """


class SourceChange:
    """What one call to a source told.

    Attributes:
        table: A route table, or None if it did not change.
        records: Registrations that changed.
        revision: Everything up to here is now known.
        whole: Whether ``records`` is the whole list.
        table_fault: Why a route table that is there can't be used; None if it can.
    """

    __slots__ = ("records", "revision", "table", "table_fault", "whole")

    def __init__(
        self,
        table: RouteTable | None,
        records: list[EndpointRecord],
        revision: StoreRevision,
        whole: bool,
        table_fault: ReadFault | None = None,
    ) -> None:
        self.table = table
        self.records = records
        self.revision = revision
        self.whole = whole
        self.table_fault = table_fault


class SourceTable(NamedTuple):
    """The route table that a source holds now.

    Attributes:
        table: The table; None if there is none, or none that can be used.
        fault: Why it can't be used; None if it can, or is not there.
    """

    table: RouteTable | None
    fault: ReadFault | None = None


class ConfigurationSource(ABC):
    """A configuration service that is read and watched."""

    @property
    @abstractmethod
    def is_answering(self) -> bool:
        """Whether the answer to a call of ``read`` or ``watch`` is on its way."""

    @abstractmethod
    async def read(self) -> SourceChange:
        """Read everything.

        Raises:
            PlatformError: It did not answer as documented.
        """

    @abstractmethod
    async def watch(self, after: StoreRevision, wait_s: float) -> SourceChange:
        """Wait for changes after a revision; gives none when the wait ran out.

        Args:
            after: Changes after this revision are told.
            wait_s: How long to wait for one, in seconds.

        Raises:
            HistoryGoneError: The changes since then are not to be had.
            PlatformError: It did not answer as documented.
        """

    @abstractmethod
    async def read_table(self) -> SourceTable:
        """Read the route table alone; may be called while a watch waits.

        Raises:
            PlatformError: It did not answer as documented.
        """

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""
