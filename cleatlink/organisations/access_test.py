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


def access_for(*organisations: Organisation) -> OrganisationAccess:
    access = OrganisationAccess(OrganisationLimits(LimitTolerance(), 0.0))
    access.use_table(organisations)
    return access


def test_table_without_organisations_accepts_every_request() -> None:
    access = OrganisationAccess(OrganisationLimits(LimitTolerance(), 0.0))
    access.use_table(None)
    assert not access.checks_keys
    assert access.identify([], PRIVATE) == access.identify(K1, PRIVATE) == ANONYMOUS


def test_empty_list_of_organisations_rejects_every_key() -> None:
    access = access_for()
    assert access.checks_keys
    assert access.identify(K1, PRIVATE) is None
    assert access.identify([], PUBLIC) == ANONYMOUS


def test_public_route_identifies_known_keys_and_accepts_unknown_ones() -> None:
    access = access_for(FIRST)
    caller = access.identify(K1, PUBLIC)
    assert caller is not None
    assert caller.name == "first"
    assert access.identify(K9, PUBLIC) == ANONYMOUS
    assert access.identify(K9, PRIVATE) is None


def test_key_is_invalid_once_removed_or_moved_to_another_organisation() -> None:
    access = access_for(FIRST, SECOND)
    caller = access.identify(K1, PRIVATE)
    assert caller is not None
    assert access.is_key_valid(caller)
    access.use_table([FIRST._replace(key_digests=(digest_key(b"k2"),)), SECOND])
    assert not access.is_key_valid(caller)
    access.use_table([SECOND._replace(key_digests=(digest_key(b"k1"),))])
    assert not access.is_key_valid(caller)
    access.use_table(None)
    assert access.is_key_valid(caller)
    assert access.is_key_valid(ANONYMOUS)
