"""Notes: what a dead instance left is cancelled once, what lives is left alone."""

from cleatlink.request.notes import GRACE_S, Note, NoteBook, Orphan

NOTE = Note("r", "e1", 1, 0, ("p1", "d1"), 30.0)


def test_dead_owner_is_cancelled_after_the_grace() -> None:
    book = NoteBook()
    book.put(NOTE, 100.0)
    book.declare_dead("e1", 1, 101.0)
    assert book.take_due(101.0 + GRACE_S - 0.1) == []
    assert book.take_due(101.0 + GRACE_S) == [
        Orphan("r", 0, "d1", 130.0),
        Orphan("r", 0, "p1", 130.0),
    ]
    assert book.take_due(200.0) == []


def test_later_attempt_adds_its_endpoints() -> None:
    book = NoteBook()
    book.put(NOTE, 100.0)
    book.put(NOTE._replace(attempt=1, endpoints=("p2", "d1")), 101.0)
    book.put(NOTE, 101.0)
    book.declare_dead("e1", 1, 102.0)
    due = book.take_due(110.0)
    assert {(orphan.address, orphan.attempt) for orphan in due} == {("p1", 1), ("p2", 1), ("d1", 1)}


def test_alive_again_dropped_and_expired_are_left_alone() -> None:
    book = NoteBook()
    book.put(NOTE, 100.0)
    book.declare_dead("e1", 1, 101.0)
    book.declare_alive("e1", 1)
    assert book.take_due(110.0) == []
    book.declare_dead("e1", 2, 110.0)
    assert book.take_due(115.0) == []
    book.drop("r")
    assert len(book) == 0
    book.put(NOTE, 100.0)
    book.declare_dead("e1", 1, 101.0)
    assert book.take_due(131.0) == []
    assert len(book) == 0
