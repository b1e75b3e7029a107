"""Selectors against a naive reading of the same requirements."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.core.labels import Operator, match, parse_selector

KEYS = st.sampled_from(["a", "b", "dc", "work.tier"])
VALUES = st.sampled_from(["x", "y", "fast", "2"])
LABELS = st.dictionaries(KEYS, VALUES)
PART = st.one_of(
    st.tuples(st.just("="), KEYS, st.lists(VALUES, min_size=1, max_size=1)),
    st.tuples(st.just("!="), KEYS, st.lists(VALUES, min_size=1, max_size=1)),
    st.tuples(st.just("in"), KEYS, st.lists(VALUES, min_size=1, max_size=3)),
    st.tuples(st.just("notin"), KEYS, st.lists(VALUES, min_size=1, max_size=3)),
    st.tuples(st.sampled_from(["exists", "!"]), KEYS, st.just([])),
)


def write(part: tuple[str, str, list[str]]) -> str:
    operator, key, values = part
    if operator in ("in", "notin"):
        return f"{key} {operator} ({', '.join(values)})"
    if operator in ("=", "!="):
        return f"{key}{operator}{values[0]}"
    return f"!{key}" if operator == "!" else key


def holds_naively(part: tuple[str, str, list[str]], labels: dict[str, str]) -> bool:
    operator, key, values = part
    if operator in ("=", "in"):
        return key in labels and labels[key] in values
    if operator in ("!=", "notin"):
        return key not in labels or labels[key] not in values
    return (key in labels) is (operator == "exists")


@given(st.lists(PART, max_size=4), LABELS)
def test_selector_agrees_with_naive_reading(
    parts: list[tuple[str, str, list[str]]], labels: dict[str, str]
) -> None:
    selector, error = parse_selector(", ".join(write(part) for part in parts))
    assert error is None
    assert selector is not None
    assert match(selector, labels) == all(holds_naively(part, labels) for part in parts)


@given(st.text(max_size=30))
def test_any_text_gives_a_selector_or_an_error(text: str) -> None:
    selector, error = parse_selector(text)
    assert (selector is None) != (error is None)


@pytest.mark.parametrize(
    "text", ["a in ()", "a in (x", "=x", "a=", "a=x,,b", "a=x,", "a b", "a in x", "-a", "a=x y"]
)
def test_broken_selectors_are_refused(text: str) -> None:
    assert parse_selector(text)[0] is None


def test_operators_are_told_apart() -> None:
    selector, _ = parse_selector("a=x, b notin (y), c, !d")
    assert selector is not None
    operators = [requirement.operator for requirement in selector.requirements]
    assert operators == [Operator.IN, Operator.NOT_IN, Operator.EXISTS, Operator.ABSENT]
