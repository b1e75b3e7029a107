"""Tests an instance that gets most new connections, at the limit of its processor."""

import pytest
import trio

from soak.overload import OverloadSettings, run_overload

pytestmark = pytest.mark.alone

# Share of what was served before that is still served while most connections go to one instance.
_MIN_SHARE_RATIO = 0.75


def test_most_connections_at_one_saturated_instance_cost_no_answers() -> None:
    """An instance that takes in more than it can process must not delay and refuse all of it."""
    result = trio.run(run_overload, OverloadSettings(instances=8, cpu_share=0.2, rate_per_s=100.0))
    before, skewed = result
    assert before.in_time > 0.95
    assert skewed.first_served >= _MIN_SHARE_RATIO * before.first_served
    assert skewed.in_time >= _MIN_SHARE_RATIO * before.in_time
