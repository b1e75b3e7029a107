"""Interface of the source of route tables and registrations, and the types that it returns."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from cleatlink.core.decoding import ReadFault
from cleatlink.core.errors import PlatformError
from cleatlink.core.revisions import StoreRevision
from cleatlink.core.routes import RouteTable
from cleatlink.routing.fleet_records import EndpointRecord

__all__ = [
    "ConfigurationSource",
    "ConnectionLostError",
    "HistoryUnavailableError",
    "SourceChange",
    "SourceTable",
]


class ConnectionLostError(PlatformError):
    """A connection ended or went silent during a call; the service itself may be well."""


class HistoryUnavailableError(PlatformError):
    """The changes since the last call are not available; everything must be read again.

    The service no longer keeps them, or was restored from a copy that lacks them.
    """


class SourceChange:
    """The result of one call to a source.

    Attributes:
        table: The route table, or None if it did not change.
        records: Registrations that changed.
        revision: All changes up to this revision are now known.
        is_full: Whether ``records`` is the complete list.
        table_fault: Why the present route table can't be used; None if it can.
    """

    __slots__ = ("records", "revision", "table", "table_fault", "is_full")

    def __init__(
        self,
        table: RouteTable | None,
        records: list[EndpointRecord],
        revision: StoreRevision,
        is_full: bool,
        table_fault: ReadFault | None = None,
    ) -> None:
        self.table = table
        self.records = records
        self.revision = revision
        self.is_full = is_full
        self.table_fault = table_fault


class SourceTable(NamedTuple):
    """The current route table of a source.

    Attributes:
        table: The table; None if there is no table, or if it can't be used.
        fault: Why the table can't be used; None if it can, or if there is no table.
    """

    table: RouteTable | None
    fault: ReadFault | None = None


class ConfigurationSource(ABC):
    """A configuration service from which to read and to watch for changes."""

    @property
    @abstractmethod
    def is_receiving(self) -> bool:
        """Whether the answer to a call of ``read`` or ``watch`` is arriving."""

    @abstractmethod
    async def read(self) -> SourceChange:
        """Read everything.

        Raises:
            PlatformError: The service gave no answer, or not one of the documented form.
        """

    @abstractmethod
    async def watch(self, after: StoreRevision, wait_s: float) -> SourceChange:
        """Wait for changes after a revision; return an empty change if the wait times out.

        Args:
            after: Changes after this revision are returned.
            wait_s: Longest wait for a change, in seconds.

        Raises:
            HistoryUnavailableError: The changes since then are not available.
            PlatformError: The service gave no answer, or not one of the documented form.
        """

    @abstractmethod
    async def read_table(self) -> SourceTable:
        """Read only the route table; may be called while ``watch`` waits.

        Raises:
            PlatformError: The service gave no answer, or not one of the documented form.
        """

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""
