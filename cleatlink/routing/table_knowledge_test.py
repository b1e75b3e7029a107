"""What an instance knows of the route tables that exist."""

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


def test_older_table_changes_nothing() -> None:
    tables = TableKnowledge()
    tables.use(5, 0.0)
    assert not tables.hear(4, 1.0)
    assert not tables.hear(5, 1.0)
    tables.use(4, 1.0)
    assert (tables.in_force, tables.newest) == (5, 5)


def test_time_behind_counts_from_the_first_newer_table() -> None:
    tables = TableKnowledge()
    tables.use(1, 0.0)
    tables.hear(2, 10.0)
    tables.use(2, 11.0)
    tables.hear(3, 20.0)
    assert tables.behind_s(20.5) == 0.5


def test_only_a_current_table_may_deny() -> None:
    tables = TableKnowledge()
    tables.use(3, 0.0)
    assert tables.standing is TableStanding.CURRENT
    tables.hear(5, 1.0)
    assert tables.standing is TableStanding.BEHIND
    tables.use(4, 2.0)
    assert tables.standing is TableStanding.BEHIND
    tables.use(5, 3.0)
    assert tables.standing is TableStanding.CURRENT
