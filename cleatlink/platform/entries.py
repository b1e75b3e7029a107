"""Reads items of the platform's store, and the entries that workers write there of themselves.

Other writers may leave anything under the same keys. What can't be read names no worker, says
why, and takes nothing from the others.
"""

from typing import Annotated, Any, Literal

import msgspec

from cleatlink.core.address import parse_address
from cleatlink.core.data import Role
from cleatlink.core.decoding import FaultKind, UnreadableError, decode_base64, decode_json
from cleatlink.core.errors import ConfigurationError
from cleatlink.core.revisions import StoreRevision
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.routing.fleet_records import EndpointRecord

__all__ = [
    "CONFIG_KEY",
    "WORKERS",
    "Item",
    "decode_value",
    "read_item",
    "read_record",
]

CONFIG_KEY = "op/config"
WORKERS = "servers/"
# Far above any entry; the largest configuration that the store takes fits its own bound.
_MOST_ENTRY_BYTES = 65_536
# Numbers that a JSON reader with doubles keeps whole.
_MOST_NUMBER = 2**53
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MOST_NUMBER)]
_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class Item(msgspec.Struct):
    """An item of the store as it was written, or that it is gone."""

    private_key: str
    revision: int
    value: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET

    @property
    def is_gone(self) -> bool:
        """Whether there is no value any more."""
        return self.value is msgspec.UNSET


class _Entry(msgspec.Struct):
    """What a worker says of itself; all of it is always there but for the last three.

    ``stage`` is the role of an engine, and ``born`` the Unix millisecond of this start.
    """

    service: _Text
    address: _Text
    zone: _Text
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MOST_NUMBER)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0)]
    sequence: _Count
    stage: Literal["prefill", "decode"] | None = None
    models: list[dict[str, Any]] | None = None
    born: _Count = 0


def read_item(raw: msgspec.Raw) -> Item | None:
    """Read an item; None if not even its key and revision can be read."""
    try:
        return decode_json(raw, Item)
    except UnreadableError:
        return None


def decode_value(item: Item, most_bytes: int) -> bytes:
    """Give the bytes of an item's value.

    Raises:
        UnreadableError: It is too large, or not written as values are.
    """
    assert item.value is not msgspec.UNSET, "it is not gone"
    return decode_base64(decode_json(item.value, str), most_bytes)


def read_record(item: Item, era: int) -> EndpointRecord:
    """Read a worker's entry as of an era; one that can't be used names no endpoint."""
    name = item.private_key.removeprefix(WORKERS)
    revision = StoreRevision(era, item.revision)
    if item.is_gone:
        return EndpointRecord(name, revision, None)
    try:
        return EndpointRecord(name, revision, _read_endpoint(name, item))
    except UnreadableError as error:
        return EndpointRecord(name, revision, None, error.fault)


def _read_endpoint(name: str, item: Item) -> RoutedEndpoint:
    if not name or "/" in name:
        raise UnreadableError(FaultKind.KEY, "the key is no worker's")
    entry = decode_json(decode_value(item, _MOST_ENTRY_BYTES), _Entry)
    try:
        address = parse_address(entry.address)
    except ConfigurationError as error:
        raise UnreadableError(FaultKind.FIELDS, str(error)) from error
    if not address.port:
        raise UnreadableError(FaultKind.FIELDS, "the address has no port")
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
    )
