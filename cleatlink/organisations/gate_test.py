"""The gate: keys by route, and keys that are taken away."""

from cleatlink.core.organisations import Organisation, digest_key
from cleatlink.core.routes import Route, RouteKind
from cleatlink.organisations import NOBODY, LimitTolerance, OrganisationGate, OrganisationLimits

CLOSED = Route("r", "h", "/", RouteKind.SAFE, 1.0, 1.0, 1, ())
PUBLIC = CLOSED._replace(public=True)
FIRST = Organisation("first", (digest_key(b"k1"), digest_key(b"k2")))
SECOND = Organisation("second", (digest_key(b"k3"),))
K1, K9 = [b"Bearer k1"], [b"Bearer k9"]


def open_gate(*organisations: Organisation) -> OrganisationGate:
    gate = OrganisationGate(OrganisationLimits(LimitTolerance(), 0.0))
    gate.use_table(organisations)
    return gate


def test_everybody_passes_where_there_are_no_organisations() -> None:
    gate = OrganisationGate(OrganisationLimits(LimitTolerance(), 0.0))
    gate.use_table(None)
    assert not gate.judges_keys
    assert gate.identify([], CLOSED) == gate.identify(K1, CLOSED) == NOBODY


def test_nobody_passes_where_the_last_organisation_was_taken_away() -> None:
    gate = open_gate()
    assert gate.judges_keys
    assert gate.identify(K1, CLOSED) is None
    assert gate.identify([], PUBLIC) == NOBODY


def test_public_route_knows_whom_it_can() -> None:
    gate = open_gate(FIRST)
    known = gate.identify(K1, PUBLIC)
    assert known is not None
    assert known.name == "first"
    assert gate.identify(K9, PUBLIC) == NOBODY
    assert gate.identify(K9, CLOSED) is None


def test_key_that_is_taken_away_or_given_to_another_holds_no_more() -> None:
    gate = open_gate(FIRST, SECOND)
    holder = gate.identify(K1, CLOSED)
    assert holder is not None
    assert gate.still_holds(holder)
    gate.use_table([FIRST._replace(key_digests=(digest_key(b"k2"),)), SECOND])
    assert not gate.still_holds(holder)
    gate.use_table([SECOND._replace(key_digests=(digest_key(b"k1"),))])
    assert not gate.still_holds(holder)
    gate.use_table(None)
    assert gate.still_holds(holder)
    assert gate.still_holds(NOBODY)
