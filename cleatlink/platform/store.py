"""Reads and watches the platform's store: the configuration and the workers' entries."""

from urllib.parse import quote

import msgspec

from cleatlink.core.address import Address
from cleatlink.core.decoding import FaultKind, ReadFault, UnreadableError, decode_json
from cleatlink.core.errors import PlatformError
from cleatlink.core.revisions import StoreRevision
from cleatlink.core.routes import RouteTable
from cleatlink.platform.entries import (
    CONFIG_KEY,
    WORKERS,
    Item,
    read_item,
    read_record,
)
from cleatlink.platform.tables import read_table
from cleatlink.relay.following.source import ConfigurationSource, SourceChange, SourceTable
from cleatlink.relay.following.store_client import StoreAnswer, StoreClient
from cleatlink.relay.whole_read import ListPage, WholeRead

__all__ = ["PlatformStore"]

_ANSWER_S = 1.0
_CONFIG_PATH = f"/kv-key?private_key={quote(CONFIG_KEY, safe='')}"
_MS = 1000.0
# Rises by one each time that the store comes back from a copy.
_ERA_HEADER = b"store-era"


class _Page(msgspec.Struct):
    """A part of a list; items stay as they came, since each may be anybody's."""

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
        # A connection carries one call at a time, and a watch may wait for long.
        self._table_client = StoreClient(address, _ERA_HEADER)
        self._whole_read = WholeRead(self._read_page, self._read_table_of)

    @property
    def is_answering(self) -> bool:
        """Whether the answer to a call of ``read`` or ``watch`` is on its way."""
        return self._client.is_answering

    async def read(self) -> SourceChange:
        """Read everything, all of it of one era; after a failure only what is missing."""
        return await self._whole_read.run()

    async def read_table(self) -> SourceTable:
        """Read the configuration alone."""
        return _read_answer(await self._table_client.get(_CONFIG_PATH, _ANSWER_S))

    async def _read_page(self, after: str) -> ListPage:
        """Read the page of the workers' entries that begins after a key."""
        answer = await self._client.get(_list_path(after), _ANSWER_S)
        if not answer.is_found:
            raise PlatformError("the list of workers is missing")
        page = decode_json(answer.body, _Page)
        items = [item for item in map(read_item, page.items) if item is not None]
        records = {item.private_key: read_record(item, answer.era) for item in items}
        return ListPage(records, StoreRevision(answer.era, page.at), page.more)

    async def _read_table_of(self, era: int) -> SourceTable:
        """Read the configuration, which has to be of an era."""
        answer = await self._client.get(_CONFIG_PATH, _ANSWER_S)
        answer.require_era(era)
        return _read_answer(answer)

    async def watch(self, after: StoreRevision, wait_s: float) -> SourceChange:
        """Wait for changes after a revision.

        A store that came back from a copy may have given the revision out again for something
        else; then only the era of its answer tells.
        """
        self._client.note_era(after.era)
        path = f"/kv-watch?path_prefix=&after={after.number}&wait_ms={int(wait_s * _MS)}"
        answer = await self._client.get(path, wait_s + _ANSWER_S)
        answer.require_era(after.era)
        if not answer.is_found:
            raise PlatformError("no watch is to be had")
        told = decode_json(answer.body, _Events)
        table: RouteTable | None = None
        fault: ReadFault | None = None
        records = []
        for item in map(read_item, told.events):
            if item is None:
                continue
            if item.private_key == CONFIG_KEY and not item.is_gone:
                found = _read_configuration(item)
                table, fault = found.table or table, found.fault
            elif item.private_key.startswith(WORKERS):
                records.append(read_record(item, answer.era))
        revision = StoreRevision(answer.era, told.at)
        return SourceChange(table, records, revision, whole=False, table_fault=fault)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()
        self._table_client.close()


def _list_path(after: str) -> str:
    path = f"/kv-range?path_prefix={quote(WORKERS, safe='')}"
    return path + (f"&after={quote(after, safe='')}" if after else "")


def _read_answer(answer: StoreAnswer) -> SourceTable:
    """Read the configuration out of an answer; there may be none yet."""
    if not answer.is_found:
        return SourceTable(None)
    return _read_configuration(read_item(msgspec.Raw(answer.body)))


def _read_configuration(item: Item | None) -> SourceTable:
    """Read the configuration; without a table there is a reason."""
    if item is None:
        return SourceTable(None, ReadFault(FaultKind.JSON, "no item of the store"))
    try:
        return SourceTable(read_table(item))
    except UnreadableError as error:
        return SourceTable(None, error.fault)
