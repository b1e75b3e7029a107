"""Reads and watches the platform's store: the configuration and the workers' entries."""

from urllib.parse import quote

import msgspec
import trio

from cleatlink.core.address import Address
from cleatlink.core.decoding import FaultKind, ReadFault, UnreadableError, decode_json
from cleatlink.core.errors import EndpointError, PlatformError
from cleatlink.core.routes import RouteTable
from cleatlink.platform.entries import (
    CONFIG_KEY,
    WORKERS,
    Item,
    read_item,
    read_record,
)
from cleatlink.platform.tables import read_table
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.protocol import OutgoingRequest
from cleatlink.relay.following.source import ConfigurationSource, HistoryGoneError, SourceChange
from cleatlink.routing.fleet_records import EndpointRecord

__all__ = ["PlatformStore"]

_ANSWER_S = 1.0
_CONNECT_S = 0.5
_SILENCE_S = 1.5
_MOST_BYTES = 64_000_000
_MS = 1000.0


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
        self._address = address
        self._connection: EndpointConnection | None = None

    async def read(self) -> SourceChange:
        """Read everything."""
        records: list[EndpointRecord] = []
        revision: int | None = None
        after = ""
        while True:
            page = await self._read_page(after)
            # Changes after the first page are told by a watch from there.
            revision = page.at if revision is None else revision
            items = [item for item in map(read_item, page.items) if item is not None]
            records += [read_record(item) for item in items if item.private_key > after]
            if not page.more:
                break
            if not items or items[-1].private_key <= after:
                raise PlatformError("the list of workers does not go on")
            after = items[-1].private_key
        table, fault = None, None
        body = await self._get(f"/kv-key?private_key={quote(CONFIG_KEY, safe='')}", _ANSWER_S)
        if body is not None:
            table, fault = _read_configuration(read_item(msgspec.Raw(body)))
        return SourceChange(table, records, revision, whole=True, table_fault=fault)

    async def _read_page(self, after: str) -> _Page:
        path = f"/kv-range?path_prefix={quote(WORKERS, safe='')}"
        path += f"&after={quote(after, safe='')}" if after else ""
        body = await self._get(path, _ANSWER_S)
        if body is None:
            raise PlatformError("the list of workers is missing")
        return decode_json(body, _Page)

    async def watch(self, after: int, wait_s: float) -> SourceChange:
        """Wait for changes after a revision."""
        path = f"/kv-watch?path_prefix=&after={after}&wait_ms={int(wait_s * _MS)}"
        body = await self._get(path, wait_s + _ANSWER_S)
        if body is None:
            raise PlatformError("no watch is to be had")
        answer = decode_json(body, _Events)
        table: RouteTable | None = None
        fault: ReadFault | None = None
        records = []
        for item in map(read_item, answer.events):
            if item is None:
                continue
            if item.private_key == CONFIG_KEY and not item.is_gone:
                found, fault = _read_configuration(item)
                table = found or table
            elif item.private_key.startswith(WORKERS):
                records.append(read_record(item))
        return SourceChange(table, records, answer.at, whole=False, table_fault=fault)

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _get(self, path: str, timeout_s: float) -> bytes | None:
        """Make a reading call; None stands for 404."""
        try:
            with trio.fail_after(timeout_s):
                return await self._ask(path)
        except (EndpointError, trio.TooSlowError) as error:
            self.close()
            raise PlatformError(repr(error)) from error
        except BaseException:
            self.close()
            raise

    async def _ask(self, path: str) -> bytes | None:
        if self._connection is None or not self._connection.usable:
            self.close()
            self._connection = await EndpointConnection.open(
                str(self._address), _SILENCE_S, _CONNECT_S
            )
        headers = ((b"Host", str(self._address).encode()),)
        request = OutgoingRequest(b"GET", path.encode(), headers, b"")
        head = await self._connection.exchange(request)
        body = await self._connection.read_body(_MOST_BYTES)
        if not self._connection.finish(trio.current_time()):
            self.close()
        if head.status == 404:
            return None
        if head.status == 410:
            raise HistoryGoneError("the history is gone")
        if head.status != 200:
            raise PlatformError(f"status {head.status}")
        return body


def _read_configuration(item: Item | None) -> tuple[RouteTable | None, ReadFault | None]:
    """Read the configuration; without a table there is a reason."""
    if item is None:
        return None, ReadFault(FaultKind.JSON, "no item of the store")
    try:
        return read_table(item), None
    except UnreadableError as error:
        return None, error.fault
