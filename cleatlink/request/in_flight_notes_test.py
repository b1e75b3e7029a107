"""Tests that work of dead instances is cancelled once and other work is not cancelled."""

from cleatlink.request.in_flight_notes import (
    RESUME_GRACE_S,
    InFlightNote,
    InFlightNotes,
    OrphanedWork,
)

NOTE = InFlightNote("r", "e1", 1, 0, ("p1", "d1"), 30.0)


def test_work_of_a_dead_instance_is_cancelled_once_after_the_grace_period() -> None:
    notes = InFlightNotes()
    notes.add(NOTE, 100.0)
    notes.mark_dead("e1", 1, 101.0)
    assert notes.take_due(101.0 + RESUME_GRACE_S - 0.1) == []
    assert notes.take_due(101.0 + RESUME_GRACE_S) == [
        OrphanedWork("r", 0, "d1", 130.0),
        OrphanedWork("r", 0, "p1", 130.0),
    ]
    assert notes.take_due(200.0) == []


def test_note_of_a_later_attempt_adds_its_endpoints() -> None:
    notes = InFlightNotes()
    notes.add(NOTE, 100.0)
    notes.add(NOTE._replace(attempt=1, endpoints=("p2", "d1")), 101.0)
    notes.add(NOTE, 101.0)
    notes.mark_dead("e1", 1, 102.0)
    orphans = notes.take_due(110.0)
    assert {(orphan.address, orphan.attempt) for orphan in orphans} == {
        ("p1", 1),
        ("p2", 1),
        ("d1", 1),
    }


def test_work_of_live_instances_and_removed_or_expired_notes_is_not_cancelled() -> None:
    notes = InFlightNotes()
    notes.add(NOTE, 100.0)
    notes.mark_dead("e1", 1, 101.0)
    notes.mark_alive("e1", 1)
    assert notes.take_due(110.0) == []
    notes.mark_dead("e1", 2, 110.0)
    assert notes.take_due(115.0) == []
    notes.remove("r")
    assert len(notes) == 0
    notes.add(NOTE, 100.0)
    notes.mark_dead("e1", 1, 101.0)
    assert notes.take_due(131.0) == []
    assert len(notes) == 0
