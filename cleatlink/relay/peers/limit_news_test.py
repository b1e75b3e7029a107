"""What who starts is told of organisations' limits."""

import pytest
import trio

from cleatlink.core.organisations import Organisation, TokenLimit
from cleatlink.organisations import LimitTolerance, OrganisationLimits
from cleatlink.relay.peers.limit_news import LimitNews
from cleatlink.relay.peers.messages import encode
from cleatlink.routing.endpoint_limits import EndpointLimits

pytestmark = pytest.mark.virtual_time

DATAGRAM_BYTES = 60_000
EXACT = LimitTolerance(0.0, 0.0, 8.0)
LIMIT = TokenLimit(1.0, 100.0, counts_tokens=True)
ORGANISATIONS = [Organisation(f"organisation-{n}", (), None, LIMIT) for n in range(3_000)]


def open_limits(began_at: float) -> OrganisationLimits:
    """Give the limits of all organisations at an instance that started then."""
    limits = OrganisationLimits(EXACT, began_at)
    limits.use_table(ORGANISATIONS)
    return limits


async def test_levels_of_many_organisations_reach_who_starts() -> None:
    """Levels and totals of many organisations were one message that no datagram holds."""
    now = trio.current_time()
    limits, new_limits = open_limits(now - 500.0), open_limits(now)
    for organisation in ORGANISATIONS:
        assert limits.ask(organisation, 90, now).granted
    told = LimitNews("n1", 1, limits, EndpointLimits(now)).introduction()
    assert max(len(encode(news)) for news in told) < DATAGRAM_BYTES / 2
    new = LimitNews("n2", 1, new_limits, EndpointLimits(now))
    for news in told:
        new.take_spending(news, now)
    assert set(new_limits.levels(now).values()) == {10.0}
    assert sum(len(news.totals) for news in told) == len(ORGANISATIONS)
