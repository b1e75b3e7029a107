"""Limit levels and totals that a starting instance receives before its first route table."""

import pytest

from cleatlink.core.organisations import Organisation, UsageLimit
from cleatlink.limits import PeerTotals
from cleatlink.organisations import LimitTolerance, OrganisationLimits

EXACT = LimitTolerance(0.0, 0.0, 8.0)
RATE, BURST = 10.0, 100.0
ORGANISATION = Organisation("a", (), None, UsageLimit(RATE, BURST, counts_tokens=True))


def limits_without_table() -> OrganisationLimits:
    """Return the limits of an instance that has no route table yet."""
    return OrganisationLimits(EXACT, 0.0)


def level(limits: OrganisationLimits, now: float) -> float:
    """Return the units left in the organisation's bucket."""
    return limits.admit(ORGANISATION, 1, now).level


def test_level_received_before_the_table_is_kept() -> None:
    """Guards against dropping levels that arrive first: half a burst would be admitted again."""
    limits = limits_without_table()
    limits.adopt_levels({"a": -30.0}, 500.0, 1.0)
    limits.use_table([ORGANISATION])
    assert level(limits, 1.5) == pytest.approx(-30.0 + 0.5 * RATE)


def test_level_received_before_the_table_is_capped_at_the_burst() -> None:
    limits = limits_without_table()
    limits.adopt_levels({"a": 1_000.0}, 500.0, 1.0)
    limits.use_table([ORGANISATION])
    assert level(limits, 1.5) == BURST


def test_units_spent_by_peers_before_the_table_are_deducted() -> None:
    limits = limits_without_table()
    limits.record_peer_totals(PeerTotals("n1", 1, {"a": 400}, 1, 500.0), 1.0)
    limits.adopt_levels({"a": 60.0}, 500.0, 1.0)
    limits.record_peer_totals(PeerTotals("n1", 1, {"a": 450}, 1, 500.5), 1.5)
    limits.use_table([ORGANISATION])
    assert level(limits, 2.0) == pytest.approx(60.0 - 50.0 + RATE)


def test_received_level_is_ignored_for_an_organisation_without_a_limit() -> None:
    limits = limits_without_table()
    limits.adopt_levels({"a": -30.0}, 500.0, 1.0)
    unlimited = ORGANISATION._replace(limit=None)
    limits.use_table([unlimited])
    assert limits.admit(unlimited, 10**9, 1.0).granted
