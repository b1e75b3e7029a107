"""Revisions of route tables that an instance knows, and whether its own table is current."""

from cleatlink.routing.table_knowledge import TableKnowledge, TableStanding


def test_instance_is_behind_until_the_newest_table_is_in_force() -> None:
    tables = TableKnowledge()
    tables.use(3, 0.0)
    assert (tables.in_force, tables.newest, tables.is_behind) == (3, 3, False)
    assert tables.hear(5, 1.0)
    assert tables.hear(8, 2.0)
    tables.use(5, 3.0)
    assert (tables.in_force, tables.newest, tables.is_behind) == (5, 8, True)
    assert tables.behind_s(4.0) == 3.0
    tables.use(8, 4.0)
    assert (tables.is_behind, tables.behind_s(9.0)) == (False, 0.0)


def test_older_revisions_are_ignored() -> None:
    tables = TableKnowledge()
    tables.use(5, 0.0)
    assert not tables.hear(4, 1.0)
    assert not tables.hear(5, 1.0)
    tables.use(4, 1.0)
    assert (tables.in_force, tables.newest) == (5, 5)


def test_time_behind_starts_with_the_first_newer_table() -> None:
    tables = TableKnowledge()
    tables.use(1, 0.0)
    tables.hear(2, 10.0)
    tables.use(2, 11.0)
    tables.hear(3, 20.0)
    assert tables.behind_s(20.5) == 0.5


def test_table_is_current_only_if_no_newer_one_exists() -> None:
    tables = TableKnowledge()
    tables.confirm(0.0)
    tables.use(3, 0.0)
    assert tables.standing(0.0) is TableStanding.CURRENT
    tables.hear(5, 1.0)
    assert tables.standing(1.0) is TableStanding.BEHIND
    tables.use(4, 2.0)
    assert tables.standing(2.0) is TableStanding.BEHIND
    tables.use(5, 3.0)
    assert tables.standing(3.0) is TableStanding.CURRENT


def test_table_is_current_for_four_seconds_after_the_last_confirmation() -> None:
    tables = TableKnowledge()
    tables.use(3, 0.0)
    assert tables.standing(0.0) is TableStanding.UNCONFIRMED, "the service has never responded"
    tables.confirm(10.0)
    assert tables.standing(14.0) is TableStanding.CURRENT
    assert tables.standing(14.1) is TableStanding.UNCONFIRMED
    tables.confirm(15.0)
    assert tables.standing(15.0) is TableStanding.CURRENT
    tables.hear(4, 30.0)
    assert tables.standing(30.0) is TableStanding.BEHIND, (
        "a known newer table takes precedence over an old confirmation"
    )


def test_instance_without_a_table_is_unconfirmed() -> None:
    tables = TableKnowledge()
    tables.confirm(0.0)
    assert tables.standing(0.0) is TableStanding.UNCONFIRMED
