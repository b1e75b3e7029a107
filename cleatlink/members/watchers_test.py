"""Who watches the configuration service."""

from hypothesis import given
from hypothesis import strategies as st

from cleatlink.members.watchers import WATCHERS, is_watcher

NAMES = st.sets(st.text(min_size=1), min_size=1, max_size=40)


def watchers(names: set[str]) -> set[str]:
    return {name for name in names if is_watcher(name, names - {name})}


@given(NAMES)
def test_as_many_watch_as_are_wanted(names: set[str]) -> None:
    assert len(watchers(names)) == min(WATCHERS, len(names))


@given(NAMES, st.text(min_size=1))
def test_one_that_comes_or_goes_changes_one_at_the_most(names: set[str], other: str) -> None:
    assert len(watchers(names | {other}) - watchers(names) - {other}) == 0
    assert len(watchers(names) - watchers(names | {other})) <= 1


@given(NAMES, st.sets(st.text(min_size=1)))
def test_somebody_watches_whatever_each_hears(names: set[str], unheard: set[str]) -> None:
    """The first by rank watches also if it hears fewer than the others do."""
    first = next(name for name in names if is_watcher(name, names - {name}, count=1))
    assert is_watcher(first, names - {first} - unheard)
