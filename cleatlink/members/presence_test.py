"""Tests of the share of instances that are sending heartbeats."""

from cleatlink.members.presence import Presence


def test_silent_instance_counts_until_its_retention_ends() -> None:
    presence = Presence()
    assert presence.heard_share(1.6, 0.0) == 1.0
    for name in ("b", "c", "d"):
        presence.note_heard(name, 10.0)
    assert presence.heard_share(1.6, 11.0) == 1.0
    presence.note_heard("b", 15.0)
    assert presence.heard_share(1.6, 15.0) == 0.5
    assert presence.heard_share(1.6, 400.0) == 1.0


def test_instance_that_reported_its_stop_does_not_count() -> None:
    presence = Presence()
    presence.note_heard("b", 0.0)
    presence.note_heard("c", 0.0)
    presence.note_leaving("c")
    presence.note_leaving("nobody")
    assert presence.heard_share(1.6, 10.0) == 0.5
