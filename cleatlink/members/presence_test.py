"""Tests of the share of instances that are sending heartbeats."""

from cleatlink.members.presence import InstancePresence


def test_silent_instance_counts_until_its_retention_ends() -> None:
    presence = InstancePresence()
    assert presence.live_share(1.6, 0.0) == 1.0
    for name in ("b", "c", "d"):
        presence.record_heartbeat(name, 10.0)
    assert presence.live_share(1.6, 11.0) == 1.0
    presence.record_heartbeat("b", 15.0)
    assert presence.live_share(1.6, 15.0) == 0.5
    assert presence.live_share(1.6, 400.0) == 1.0


def test_instance_that_reported_its_stop_does_not_count() -> None:
    presence = InstancePresence()
    presence.record_heartbeat("b", 0.0)
    presence.record_heartbeat("c", 0.0)
    presence.record_leaving("c")
    presence.record_leaving("nobody")
    assert presence.live_share(1.6, 10.0) == 0.5
