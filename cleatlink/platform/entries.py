"""Parses items of the platform's store and the entries by which workers register themselves.

Other writers may store arbitrary data under the same keys. An entry that can't be parsed yields a
record without an endpoint, with the reason, and does not affect other entries.
"""

from typing import Annotated, Any, Literal

import msgspec

from cleatlink.core.address import parse_address
from cleatlink.core.data import Role
from cleatlink.core.decoding import ReadFaultKind, UnreadableError, decode_base64, decode_json
from cleatlink.core.errors import ConfigurationError
from cleatlink.core.revisions import StoreRevision
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.fleet_records import EndpointRecord

__all__ = [
    "CONFIG_KEY",
    "WORKERS_PREFIX",
    "StoreItem",
    "decode_value",
    "parse_item",
    "parse_record",
]

CONFIG_KEY = "op/config"
WORKERS_PREFIX = "servers/"
# Well above the size of any worker's entry. The configuration has its own limit, above the size of
# the largest one in the store.
_MAX_ENTRY_BYTES = 65_536
# Integers up to here are exact in JSON parsers that store numbers as doubles.
_MAX_EXACT_INTEGER = 2**53
_NonNegativeInteger = Annotated[int, msgspec.Meta(ge=0, le=_MAX_EXACT_INTEGER)]
_ShortText = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class StoreItem(msgspec.Struct):
    """An item of the store as it was written; a deleted item has no value."""

    private_key: str
    revision: int
    value: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET

    @property
    def is_deleted(self) -> bool:
        """Whether the item was deleted."""
        return self.value is msgspec.UNSET


class _Entry(msgspec.Struct):
    """A worker's own registration; all fields but the last three are required.

    ``stage`` is the role of an engine. ``born`` is the start time of the process, in Unix
    milliseconds.
    """

    service: _ShortText
    address: _ShortText
    zone: _ShortText
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_EXACT_INTEGER)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0)]
    sequence: _NonNegativeInteger
    stage: Literal["prefill", "decode"] | None = None
    models: list[dict[str, Any]] | None = None
    born: _NonNegativeInteger = 0


def parse_item(raw: msgspec.Raw) -> StoreItem | None:
    """Parse an item; return None if its key or revision can't be parsed."""
    try:
        return decode_json(raw, StoreItem)
    except UnreadableError:
        return None


def decode_value(item: StoreItem, max_bytes: int) -> bytes:
    """Decode the bytes of an item's value.

    Raises:
        UnreadableError: The value is too large or is not a base64 string.
    """
    assert item.value is not msgspec.UNSET, "a deleted item has no value"
    return decode_base64(decode_json(item.value, str), max_bytes)


def parse_record(item: StoreItem, era: int) -> EndpointRecord:
    """Parse a worker's entry; the record of an invalid entry has a fault and no endpoint."""
    name = item.private_key.removeprefix(WORKERS_PREFIX)
    revision = StoreRevision(era, item.revision)
    if item.is_deleted:
        return EndpointRecord(name, revision, None)
    try:
        return EndpointRecord(name, revision, _read_endpoint(name, item))
    except UnreadableError as error:
        return EndpointRecord(name, revision, None, error.fault)


def _read_endpoint(name: str, item: StoreItem) -> RoutedEndpoint:
    if not name or "/" in name:
        raise UnreadableError(ReadFaultKind.KEY, "the key does not name a worker")
    entry = decode_json(decode_value(item, _MAX_ENTRY_BYTES), _Entry)
    try:
        address = parse_address(entry.address)
    except ConfigurationError as error:
        raise UnreadableError(ReadFaultKind.FIELDS, str(error)) from error
    if not address.port:
        raise UnreadableError(ReadFaultKind.FIELDS, "the address has no port")
    return RoutedEndpoint(
        name=f"{name}@{entry.born}" if entry.born else name,
        address=entry.address,
        data_centre=entry.zone,
        service=entry.service,
        role=Role(entry.stage) if entry.stage else Role.PLAIN,
        slots=entry.slots,
        leaving=entry.state == "draining",
        registration=name,
        born=entry.born,
        build=entry.version,
    )
