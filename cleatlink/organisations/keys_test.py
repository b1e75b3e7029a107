"""Keys: how they are read, and whose they are."""

import pytest

from cleatlink.core.organisations import Organisation, digest_key
from cleatlink.organisations import KeyTable, read_key


@pytest.mark.parametrize(
    "value", [b"Bearer k1", b"bearer k1", b"BEARER k1", b"  Bearer  k1 ", b"Bearer k1\t"]
)
def test_key_is_read(value: bytes) -> None:
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
def test_what_is_no_single_key_is_none(values: list[bytes]) -> None:
    assert read_key(values) is None


def test_key_leads_to_its_organisation() -> None:
    first = Organisation("first", (digest_key(b"k1"), digest_key(b"k2")))
    second = Organisation("second", (digest_key(b"\xff\x00"),))
    table = KeyTable([first, second])
    assert len(table) == 3
    assert table.find(digest_key(b"k2")) is first
    assert table.find(digest_key(b"\xff\x00")) is second
    assert table.find(digest_key(b"k")) is None
    assert table.find(digest_key(b"K1")) is None
    assert table.find(digest_key(b"")) is None


def test_no_key_is_kept_in_the_clear() -> None:
    organisation = Organisation("first", (digest_key(b"secret-key"),))
    assert "secret" not in repr(organisation)
    assert "secret" not in repr(vars(KeyTable([organisation])))
