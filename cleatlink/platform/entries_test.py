"""Valid store entries are used and invalid ones are skipped, whatever data the store contains."""

import base64
import json
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.core.decoding import ReadFaultKind
from cleatlink.core.errors import PlatformError
from cleatlink.platform.configuration import parse_configuration
from cleatlink.platform.entries import parse_item, parse_record
from cleatlink.routing.fleet_records import EndpointRecord

VALID_ENTRY: dict[str, Any] = {
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


def encode_item(value: bytes | str, key: str = "servers/i-1") -> msgspec.Raw:
    """Encode an item the way the store returns it."""
    text = base64.b64encode(value).decode() if isinstance(value, bytes) else value
    return msgspec.Raw(json.dumps({"private_key": key, "value": text, "revision": 7}).encode())


def decode_record(raw: msgspec.Raw) -> EndpointRecord:
    item = parse_item(raw)
    assert item is not None
    return parse_record(item, 0)


def encode_entry(**changes: Any) -> bytes:
    """Encode an entry with changed fields; None removes a field."""
    fields = {**VALID_ENTRY, **changes}
    return json.dumps({key: value for key, value in fields.items() if value is not None}).encode()


def test_valid_entry_yields_an_endpoint() -> None:
    record = decode_record(
        encode_item(encode_entry(stage="decode", models=[{"name": "m"}], other=[1]))
    )
    assert record.fault is None
    assert record.endpoint is not None
    assert (record.endpoint.name, record.endpoint.registered_name) == ("i-1", "i-1")


def test_incarnations_have_distinct_names_but_the_same_registered_name() -> None:
    names = set()
    for born in (0, 1700000000000, 1700000000001):
        endpoint = decode_record(encode_item(encode_entry(born=born or None))).endpoint
        assert endpoint is not None
        assert (endpoint.born, endpoint.registered_name) == (born, "i-1")
        names.add(endpoint.name)
    assert len(names) == 3


@pytest.mark.parametrize("field", list(VALID_ENTRY))
def test_entry_without_a_required_field_yields_no_endpoint(field: str) -> None:
    record = decode_record(encode_item(encode_entry(**{field: None})))
    assert record.endpoint is None
    assert record.fault is not None
    assert record.fault.kind is ReadFaultKind.FIELDS
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
def test_field_of_the_wrong_type_or_out_of_range_is_rejected(changes: dict[str, Any]) -> None:
    record = decode_record(encode_item(encode_entry(**changes)))
    assert (record.endpoint, record.fault is None) == (None, False)


@pytest.mark.parametrize(
    ("raw", "kind"),
    [
        (encode_item(b"\xff\xfe\x00"), ReadFaultKind.JSON),
        (encode_item(b'{"service":'), ReadFaultKind.JSON),
        (encode_item(b"[]"), ReadFaultKind.FIELDS),
        (encode_item(b"[" * 5000), ReadFaultKind.FIELDS),
        (encode_item("no base64!"), ReadFaultKind.ENCODING),
        (encode_item("AAA"), ReadFaultKind.ENCODING),
        (encode_item(encode_entry(version="v" * 100_000)), ReadFaultKind.SIZE),
        (encode_item(encode_entry(), "servers/"), ReadFaultKind.KEY),
        (encode_item(encode_entry(), "servers/a/b"), ReadFaultKind.KEY),
        (
            msgspec.Raw(b'{"private_key":"servers/i-1","revision":1,"value":7}'),
            ReadFaultKind.FIELDS,
        ),
    ],
)
def test_record_of_an_invalid_entry_has_the_reason(raw: msgspec.Raw, kind: ReadFaultKind) -> None:
    record = decode_record(raw)
    assert record.endpoint is None
    assert record.fault is not None
    assert record.fault.kind is kind
    assert len(record.fault.detail) <= 160


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_no_exception(data: bytes) -> None:
    parse_item(msgspec.Raw(data))
    decode_record(encode_item(data))


@given(JSON)
def test_arbitrary_json_raises_no_exception(value: Any) -> None:
    data = json.dumps(value).encode()
    parse_item(msgspec.Raw(data))
    decode_record(encode_item(data))


@given(
    st.dictionaries(st.sampled_from([*VALID_ENTRY, "stage", "born", "models"]), JSON, max_size=4)
)
def test_arbitrary_field_values_raise_no_exception(changes: dict[str, Any]) -> None:
    record = decode_record(encode_item(encode_entry(**changes)))
    assert (record.endpoint is None) is (record.fault is not None)


@given(JSON)
def test_arbitrary_json_is_rejected_as_configuration(value: Any) -> None:
    item = parse_item(encode_item(json.dumps(value).encode(), "op/config"))
    assert item is not None
    with pytest.raises(PlatformError):
        parse_configuration(item)
