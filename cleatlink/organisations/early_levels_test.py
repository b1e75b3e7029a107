"""What an instance that starts hears of limits before it has its first route table."""

import pytest

from cleatlink.core.organisations import Organisation, TokenLimit
from cleatlink.limits import PeerTotals
from cleatlink.organisations import LimitTolerance, OrganisationLimits

EXACT = LimitTolerance(0.0, 0.0, 8.0)
RATE, BURST = 10.0, 100.0
ORGANISATION = Organisation("a", (), None, TokenLimit(RATE, BURST, counts_tokens=True))


def start() -> OrganisationLimits:
    """Start an instance without a table."""
    return OrganisationLimits(EXACT, 0.0)


def level(limits: OrganisationLimits, now: float) -> float:
    """Give what is left of the organisation's limit."""
    return limits.ask(ORGANISATION, 1, now).level


def test_level_told_before_the_table_is_kept() -> None:
    """What peers told to who starts was lost if its table came later: half a burst passed anew."""
    limits = start()
    limits.adopt({"a": -30.0}, 500.0, 1.0)
    limits.use_table([ORGANISATION])
    assert level(limits, 1.5) == pytest.approx(-30.0 + 0.5 * RATE)


def test_level_told_before_the_table_is_no_more_than_the_burst() -> None:
    limits = start()
    limits.adopt({"a": 1_000.0}, 500.0, 1.0)
    limits.use_table([ORGANISATION])
    assert level(limits, 1.5) == BURST


def test_what_peers_take_before_the_table_is_taken_out() -> None:
    limits = start()
    limits.take_totals(PeerTotals("n1", 1, {"a": 400}, 1, 500.0), 1.0)
    limits.adopt({"a": 60.0}, 500.0, 1.0)
    limits.take_totals(PeerTotals("n1", 1, {"a": 450}, 1, 500.5), 1.5)
    limits.use_table([ORGANISATION])
    assert level(limits, 2.0) == pytest.approx(60.0 - 50.0 + RATE)


def test_level_of_a_name_without_a_limit_is_of_no_use() -> None:
    limits = start()
    limits.adopt({"a": -30.0}, 500.0, 1.0)
    free = ORGANISATION._replace(limit=None)
    limits.use_table([free])
    assert limits.ask(free, 10**9, 1.0).granted
