"""Reads and watches the platform's store: the configuration and the workers' entries."""

from urllib.parse import quote

import msgspec

from cleatlink.core.address import Address
from cleatlink.core.decoding import ReadFault, ReadFaultKind, UnreadableError, decode_json
from cleatlink.core.errors import PlatformError
from cleatlink.core.revisions import StoreRevision
from cleatlink.core.routes import RouteTable
from cleatlink.platform.configuration import parse_configuration
from cleatlink.platform.entries import (
    CONFIG_KEY,
    WORKERS_PREFIX,
    StoreItem,
    parse_item,
    parse_record,
)
from cleatlink.relay.following.source import ConfigurationSource, SourceChange, SourceTable
from cleatlink.relay.following.store_client import StoreAnswer, StoreClient
from cleatlink.relay.full_read import FullRead, ListPage

__all__ = ["PlatformStore"]

_RESPONSE_TIMEOUT_S = 1.0
_CONFIG_PATH = f"/kv-key?private_key={quote(CONFIG_KEY, safe='')}"
_MS = 1000.0
# The store raises its era by one each time that it is restored from a backup.
_ERA_HEADER = b"store-era"


class _Page(msgspec.Struct):
    """A page of a list; items are parsed one by one, since other writers may store invalid ones."""

    items: list[msgspec.Raw]
    at: int
    more: bool = False


class _Events(msgspec.Struct):
    events: list[msgspec.Raw]
    at: int


class PlatformStore(ConfigurationSource):
    """The platform's store over HTTP."""

    def __init__(self, address: Address) -> None:
        self._client = StoreClient(address, _ERA_HEADER)
        # A connection carries one call at a time, and a long watch would block reads of the table.
        self._table_client = StoreClient(address, _ERA_HEADER)
        self._full_read = FullRead(self._read_page, self._read_table_of_era)

    @property
    def is_receiving(self) -> bool:
        """Whether a response to ``read`` or ``watch`` is being received."""
        return self._client.is_receiving

    async def read(self) -> SourceChange:
        """Read table and entries, all of one era; after a failure, read only what is missing."""
        return await self._full_read.run()

    async def read_table(self) -> SourceTable:
        """Read only the configuration."""
        return _parse_table_response(
            await self._table_client.get(_CONFIG_PATH, _RESPONSE_TIMEOUT_S)
        )

    async def _read_page(self, after: str) -> ListPage:
        """Read the page of the workers' entries that begins after a key."""
        answer = await self._client.get(_list_path(after), _RESPONSE_TIMEOUT_S)
        if not answer.is_found:
            raise PlatformError("the list of workers is missing")
        page = decode_json(answer.body, _Page)
        items = [item for item in map(parse_item, page.items) if item is not None]
        records = {item.private_key: parse_record(item, answer.era) for item in items}
        return ListPage(records, StoreRevision(answer.era, page.at), page.more)

    async def _read_table_of_era(self, era: int) -> SourceTable:
        """Read the configuration; raise an error if it belongs to another era."""
        answer = await self._client.get(_CONFIG_PATH, _RESPONSE_TIMEOUT_S)
        answer.require_era(era)
        return _parse_table_response(answer)

    async def watch(self, after: StoreRevision, wait_s: float) -> SourceChange:
        """Wait for changes after a revision.

        A store that was restored from a backup may reuse the revision for other changes; only the
        era of its response shows this.
        """
        self._client.record_era(after.era)
        path = f"/kv-watch?path_prefix=&after={after.number}&wait_ms={int(wait_s * _MS)}"
        answer = await self._client.get(path, wait_s + _RESPONSE_TIMEOUT_S)
        answer.require_era(after.era)
        if not answer.is_found:
            raise PlatformError("the store does not support watches")
        update = decode_json(answer.body, _Events)
        table: RouteTable | None = None
        fault: ReadFault | None = None
        records = []
        for item in map(parse_item, update.events):
            if item is None:
                continue
            if item.private_key == CONFIG_KEY and not item.is_deleted:
                configuration = _parse_configuration(item)
                table, fault = configuration.table or table, configuration.fault
            elif item.private_key.startswith(WORKERS_PREFIX):
                records.append(parse_record(item, answer.era))
        revision = StoreRevision(answer.era, update.at)
        return SourceChange(table, records, revision, is_full=False, table_fault=fault)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()
        self._table_client.close()


def _list_path(after: str) -> str:
    path = f"/kv-range?path_prefix={quote(WORKERS_PREFIX, safe='')}"
    return path + (f"&after={quote(after, safe='')}" if after else "")


def _parse_table_response(answer: StoreAnswer) -> SourceTable:
    """Parse the configuration in a response; the store may not have one yet."""
    if not answer.is_found:
        return SourceTable(None)
    return _parse_configuration(parse_item(msgspec.Raw(answer.body)))


def _parse_configuration(item: StoreItem | None) -> SourceTable:
    """Parse the configuration; an invalid one yields a fault instead of a table."""
    if item is None:
        return SourceTable(None, ReadFault(ReadFaultKind.JSON, "the response is not a store item"))
    try:
        return SourceTable(parse_configuration(item))
    except UnreadableError as error:
        return SourceTable(None, error.fault)
