"""Tests the state of organisations' limits that a starting instance receives."""

import pytest
import trio

from cleatlink.core.organisations import Organisation, UsageLimit
from cleatlink.organisations import LimitTolerance, OrganisationLimits
from cleatlink.relay.peers.messages import encode
from cleatlink.relay.peers.organisation_usage_channel import OrganisationUsageChannel
from cleatlink.routing.endpoint_limits import EndpointLimits

pytestmark = pytest.mark.virtual_time

DATAGRAM_BYTES = 60_000
EXACT = LimitTolerance(0.0, 0.0, 8.0)
LIMIT = UsageLimit(1.0, 100.0, counts_tokens=True)
ORGANISATIONS = [Organisation(f"organisation-{n}", (), None, LIMIT) for n in range(3_000)]


def create_limits(started_at: float) -> OrganisationLimits:
    """Return the limits of all organisations at an instance that started at ``started_at``."""
    limits = OrganisationLimits(EXACT, started_at)
    limits.use_table(ORGANISATIONS)
    return limits


async def test_starting_instance_receives_levels_of_many_organisations() -> None:
    """Guards against one message with all organisations, which is too large for a datagram."""
    now = trio.current_time()
    limits, new_limits = create_limits(now - 500.0), create_limits(now)
    for organisation in ORGANISATIONS:
        assert limits.admit(organisation, 90, now).granted
    messages = OrganisationUsageChannel("n1", 1, limits, EndpointLimits(now)).initial_messages()
    assert max(len(encode(message)) for message in messages) < DATAGRAM_BYTES / 2
    new = OrganisationUsageChannel("n2", 1, new_limits, EndpointLimits(now))
    for message in messages:
        new.record_usage(message, now)
    assert set(new_limits.levels(now).values()) == {10.0}
    assert sum(len(message.totals) for message in messages) == len(ORGANISATIONS)
