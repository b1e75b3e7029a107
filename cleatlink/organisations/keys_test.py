"""Parsing of API keys, and lookup of the organisations that own them."""

import pytest

from cleatlink.core.organisations import Organisation, digest_key
from cleatlink.organisations import KeyTable, read_key


@pytest.mark.parametrize(
    "value", [b"Bearer k1", b"bearer k1", b"BEARER k1", b"  Bearer  k1 ", b"Bearer k1\t"]
)
def test_bearer_key_is_parsed(value: bytes) -> None:
    assert read_key([value]) == b"k1"


@pytest.mark.parametrize(
    "values",
    [
        [],
        [b""],
        [b"Bearer"],
        [b"Bearer "],
        [b"k1"],
        [b"Basic k1"],
        [b"Bearer k1 k2"],
        [b"Bearer k1,k2"],
        [b"Bearer k1\tk2"],
        [b"Bearer\tk1"],
        [b"Bearerk1"],
        [b"Bearer " + 4000 * b"k"],
        [b"Bearer k1", b"Bearer k1"],
        [b"Bearer k1", b"Basic x"],
    ],
)
def test_credentials_without_exactly_one_bearer_key_are_rejected(values: list[bytes]) -> None:
    assert read_key(values) is None


def test_key_digest_finds_its_organisation() -> None:
    first = Organisation("first", (digest_key(b"k1"), digest_key(b"k2")))
    second = Organisation("second", (digest_key(b"\xff\x00"),))
    table = KeyTable([first, second])
    assert len(table) == 3
    assert table.find(digest_key(b"k2")) is first
    assert table.find(digest_key(b"\xff\x00")) is second
    assert table.find(digest_key(b"k")) is None
    assert table.find(digest_key(b"K1")) is None
    assert table.find(digest_key(b"")) is None


def test_keys_are_not_kept_in_plain_text() -> None:
    organisation = Organisation("first", (digest_key(b"secret-key"),))
    assert "secret" not in repr(organisation)
    assert "secret" not in repr(vars(KeyTable([organisation])))
