"""Whatever stands in the store, the entries that can be read are used, and the others are not."""

import base64
import json
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.core.decoding import FaultKind
from cleatlink.core.errors import PlatformError
from cleatlink.platform.entries import read_item, read_record
from cleatlink.platform.tables import read_table
from cleatlink.routing.fleet_records import EndpointRecord

GOOD: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.1:8000",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)


def item_of(value: bytes | str, key: str = "servers/i-1") -> msgspec.Raw:
    """Write an item as the store gives it."""
    text = base64.b64encode(value).decode() if isinstance(value, bytes) else value
    return msgspec.Raw(json.dumps({"private_key": key, "value": text, "revision": 7}).encode())


def read(raw: msgspec.Raw) -> EndpointRecord:
    item = read_item(raw)
    assert item is not None
    return read_record(item, 0)


def entry(**changes: Any) -> bytes:
    """Write an entry with other fields; None leaves one out."""
    fields = {**GOOD, **changes}
    return json.dumps({key: value for key, value in fields.items() if value is not None}).encode()


def test_good_entry() -> None:
    record = read(item_of(entry(stage="decode", models=[{"name": "m"}], other=[1])))
    assert record.fault is None
    assert record.endpoint is not None
    assert (record.endpoint.name, record.endpoint.answers_to) == ("i-1", "i-1")


def test_lives_have_names_of_their_own_and_answer_to_one() -> None:
    names = set()
    for born in (0, 1700000000000, 1700000000001):
        endpoint = read(item_of(entry(born=born or None))).endpoint
        assert endpoint is not None
        assert (endpoint.born, endpoint.answers_to) == (born, "i-1")
        names.add(endpoint.name)
    assert len(names) == 3


@pytest.mark.parametrize("field", list(GOOD))
def test_entry_without_a_field_names_no_endpoint(field: str) -> None:
    record = read(item_of(entry(**{field: None})))
    assert record.endpoint is None
    assert record.fault is not None
    assert record.fault.kind is FaultKind.FIELDS
    assert field in record.fault.detail


@pytest.mark.parametrize(
    "changes",
    [
        {"service": 7},
        {"service": ""},
        {"address": "here"},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:99999"},
        {"address": ["10.0.0.1:80"]},
        {"zone": {}},
        {"slots": "4"},
        {"slots": 0},
        {"slots": True},
        {"slots": -1},
        {"state": "asleep"},
        {"state": 1},
        {"stage": "thinking"},
        {"sequence": -1},
        {"sequence": 10**30},
        {"cold_remaining_ms": "soon"},
        {"born": "yesterday"},
        {"born": 1.5},
        {"born": -1},
        {"models": "m"},
    ],
    ids=str,
)
def test_field_of_another_type_or_out_of_range(changes: dict[str, Any]) -> None:
    record = read(item_of(entry(**changes)))
    assert (record.endpoint, record.fault is None) == (None, False)


@pytest.mark.parametrize(
    ("raw", "kind"),
    [
        (item_of(b"\xff\xfe\x00"), FaultKind.JSON),
        (item_of(b'{"service":'), FaultKind.JSON),
        (item_of(b"[]"), FaultKind.FIELDS),
        (item_of(b"[" * 5000), FaultKind.FIELDS),
        (item_of("no base64!"), FaultKind.ENCODING),
        (item_of("AAA"), FaultKind.ENCODING),
        (item_of(entry(version="v" * 100_000)), FaultKind.SIZE),
        (item_of(entry(), "servers/"), FaultKind.KEY),
        (item_of(entry(), "servers/a/b"), FaultKind.KEY),
        (msgspec.Raw(b'{"private_key":"servers/i-1","revision":1,"value":7}'), FaultKind.FIELDS),
    ],
)
def test_reason_is_told(raw: msgspec.Raw, kind: FaultKind) -> None:
    record = read(raw)
    assert record.endpoint is None
    assert record.fault is not None
    assert record.fault.kind is kind
    assert len(record.fault.detail) <= 160


@given(st.binary(max_size=200))
def test_any_bytes_raise_nothing(data: bytes) -> None:
    read_item(msgspec.Raw(data))
    read(item_of(data))


@given(JSON)
def test_any_json_raises_nothing(value: Any) -> None:
    data = json.dumps(value).encode()
    read_item(msgspec.Raw(data))
    read(item_of(data))


@given(st.dictionaries(st.sampled_from([*GOOD, "stage", "born", "models"]), JSON, max_size=4))
def test_any_values_of_fields_raise_nothing(changes: dict[str, Any]) -> None:
    record = read(item_of(entry(**changes)))
    assert (record.endpoint is None) is (record.fault is not None)


@given(JSON)
def test_any_configuration_is_read_or_refused(value: Any) -> None:
    item = read_item(item_of(json.dumps(value).encode(), "op/config"))
    assert item is not None
    with pytest.raises(PlatformError):
        read_table(item)
