"""Identification of callers on public and private routes, and withdrawal of keys."""

from cleatlink.core.organisations import Organisation, digest_key
from cleatlink.core.routes import Route, RouteKind
from cleatlink.organisations import (
    ANONYMOUS,
    LimitTolerance,
    OrganisationAccess,
    OrganisationLimits,
)

PRIVATE = Route("r", "h", "/", RouteKind.SAFE, 1.0, 1.0, 1, ())
PUBLIC = PRIVATE._replace(public=True)
FIRST = Organisation("first", (digest_key(b"k1"), digest_key(b"k2")))
SECOND = Organisation("second", (digest_key(b"k3"),))
K1, K9 = [b"Bearer k1"], [b"Bearer k9"]


def gate_with(*organisations: Organisation) -> OrganisationAccess:
    gate = OrganisationAccess(OrganisationLimits(LimitTolerance(), 0.0))
    gate.use_table(organisations)
    return gate


def test_table_without_organisations_accepts_every_request() -> None:
    gate = OrganisationAccess(OrganisationLimits(LimitTolerance(), 0.0))
    gate.use_table(None)
    assert not gate.judges_keys
    assert gate.identify([], PRIVATE) == gate.identify(K1, PRIVATE) == ANONYMOUS


def test_empty_list_of_organisations_rejects_every_key() -> None:
    gate = gate_with()
    assert gate.judges_keys
    assert gate.identify(K1, PRIVATE) is None
    assert gate.identify([], PUBLIC) == ANONYMOUS


def test_public_route_identifies_known_keys_and_accepts_unknown_ones() -> None:
    gate = gate_with(FIRST)
    caller = gate.identify(K1, PUBLIC)
    assert caller is not None
    assert caller.name == "first"
    assert gate.identify(K9, PUBLIC) == ANONYMOUS
    assert gate.identify(K9, PRIVATE) is None


def test_key_is_invalid_once_removed_or_moved_to_another_organisation() -> None:
    gate = gate_with(FIRST, SECOND)
    holder = gate.identify(K1, PRIVATE)
    assert holder is not None
    assert gate.is_key_valid(holder)
    gate.use_table([FIRST._replace(key_digests=(digest_key(b"k2"),)), SECOND])
    assert not gate.is_key_valid(holder)
    gate.use_table([SECOND._replace(key_digests=(digest_key(b"k1"),))])
    assert not gate.is_key_valid(holder)
    gate.use_table(None)
    assert gate.is_key_valid(holder)
    assert gate.is_key_valid(ANONYMOUS)
