"""Tests of the choice of instances that watch the configuration service."""

from hypothesis import given
from hypothesis import strategies as st

from cleatlink.members.watchers import WATCHER_COUNT, is_watcher

NAMES = st.sets(st.text(min_size=1), min_size=1, max_size=40)


def watchers(names: set[str]) -> set[str]:
    return {name for name in names if is_watcher(name, names - {name})}


@given(NAMES)
def test_number_of_watchers_is_the_configured_count(names: set[str]) -> None:
    assert len(watchers(names)) == min(WATCHER_COUNT, len(names))


@given(NAMES, st.text(min_size=1))
def test_added_or_removed_instance_changes_at_most_one_watcher(names: set[str], other: str) -> None:
    assert len(watchers(names | {other}) - watchers(names) - {other}) == 0
    assert len(watchers(names) - watchers(names | {other})) <= 1


@given(NAMES, st.sets(st.text(min_size=1)))
def test_at_least_one_instance_watches_if_views_differ(
    names: set[str], unknown_names: set[str]
) -> None:
    """The first instance by rank watches even if it receives heartbeats from fewer peers."""
    first = next(name for name in names if is_watcher(name, names - {name}, count=1))
    assert is_watcher(first, names - {first} - unknown_names)
