"""Revisions of route tables that an instance knows, and whether its own table is current."""

from cleatlink.routing.table_tracker import TableFreshness, TableTracker


def test_instance_is_behind_until_the_newest_table_is_in_force() -> None:
    tables = TableTracker()
    tables.set_in_force(3, 0.0)
    assert (tables.revision_in_force, tables.newest_revision, tables.is_behind) == (3, 3, False)
    assert tables.note_revision(5, 1.0)
    assert tables.note_revision(8, 2.0)
    tables.set_in_force(5, 3.0)
    assert (tables.revision_in_force, tables.newest_revision, tables.is_behind) == (5, 8, True)
    assert tables.behind_s(4.0) == 3.0
    tables.set_in_force(8, 4.0)
    assert (tables.is_behind, tables.behind_s(9.0)) == (False, 0.0)


def test_older_revisions_are_ignored() -> None:
    tables = TableTracker()
    tables.set_in_force(5, 0.0)
    assert not tables.note_revision(4, 1.0)
    assert not tables.note_revision(5, 1.0)
    tables.set_in_force(4, 1.0)
    assert (tables.revision_in_force, tables.newest_revision) == (5, 5)


def test_time_behind_starts_with_the_first_newer_table() -> None:
    tables = TableTracker()
    tables.set_in_force(1, 0.0)
    tables.note_revision(2, 10.0)
    tables.set_in_force(2, 11.0)
    tables.note_revision(3, 20.0)
    assert tables.behind_s(20.5) == 0.5


def test_table_is_current_only_if_no_newer_one_exists() -> None:
    tables = TableTracker()
    tables.note_service_response(0.0)
    tables.set_in_force(3, 0.0)
    assert tables.freshness(0.0) is TableFreshness.CURRENT
    tables.note_revision(5, 1.0)
    assert tables.freshness(1.0) is TableFreshness.BEHIND
    tables.set_in_force(4, 2.0)
    assert tables.freshness(2.0) is TableFreshness.BEHIND
    tables.set_in_force(5, 3.0)
    assert tables.freshness(3.0) is TableFreshness.CURRENT


def test_table_is_current_for_four_seconds_after_the_last_confirmation() -> None:
    tables = TableTracker()
    tables.set_in_force(3, 0.0)
    assert tables.freshness(0.0) is TableFreshness.UNCONFIRMED, "the service has never responded"
    tables.note_service_response(10.0)
    assert tables.freshness(14.0) is TableFreshness.CURRENT
    assert tables.freshness(14.1) is TableFreshness.UNCONFIRMED
    tables.note_service_response(15.0)
    assert tables.freshness(15.0) is TableFreshness.CURRENT
    tables.note_revision(4, 30.0)
    assert tables.freshness(30.0) is TableFreshness.BEHIND, (
        "a known newer table takes precedence over an old confirmation"
    )


def test_instance_without_a_table_is_unconfirmed() -> None:
    tables = TableTracker()
    tables.note_service_response(0.0)
    assert tables.freshness(0.0) is TableFreshness.UNCONFIRMED
