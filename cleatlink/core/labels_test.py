"""Selectors agree with a simple reference implementation."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.core.labels import Operator, matches_selector, parse_selector

KEYS = st.sampled_from(["a", "b", "dc", "work.tier"])
VALUES = st.sampled_from(["x", "y", "fast", "2"])
LABELS = st.dictionaries(KEYS, VALUES)
REQUIREMENT = st.one_of(
    st.tuples(st.just("="), KEYS, st.lists(VALUES, min_size=1, max_size=1)),
    st.tuples(st.just("!="), KEYS, st.lists(VALUES, min_size=1, max_size=1)),
    st.tuples(st.just("in"), KEYS, st.lists(VALUES, min_size=1, max_size=3)),
    st.tuples(st.just("notin"), KEYS, st.lists(VALUES, min_size=1, max_size=3)),
    st.tuples(st.sampled_from(["exists", "!"]), KEYS, st.just([])),
)


def format_requirement(requirement: tuple[str, str, list[str]]) -> str:
    operator, key, values = requirement
    if operator in ("in", "notin"):
        return f"{key} {operator} ({', '.join(values)})"
    if operator in ("=", "!="):
        return f"{key}{operator}{values[0]}"
    return f"!{key}" if operator == "!" else key


def is_met_by_reference(requirement: tuple[str, str, list[str]], labels: dict[str, str]) -> bool:
    operator, key, values = requirement
    if operator in ("=", "in"):
        return key in labels and labels[key] in values
    if operator in ("!=", "notin"):
        return key not in labels or labels[key] not in values
    return (key in labels) is (operator == "exists")


@given(st.lists(REQUIREMENT, max_size=4), LABELS)
def test_selector_agrees_with_reference_implementation(
    requirements: list[tuple[str, str, list[str]]], labels: dict[str, str]
) -> None:
    selector, error = parse_selector(
        ", ".join(format_requirement(requirement) for requirement in requirements)
    )
    assert error is None
    assert selector is not None
    assert matches_selector(selector, labels) == all(
        is_met_by_reference(requirement, labels) for requirement in requirements
    )


@given(st.text(max_size=30))
def test_any_text_yields_either_a_selector_or_an_error(text: str) -> None:
    selector, error = parse_selector(text)
    assert (selector is None) != (error is None)


@pytest.mark.parametrize(
    "text", ["a in ()", "a in (x", "=x", "a=", "a=x,,b", "a=x,", "a b", "a in x", "-a", "a=x y"]
)
def test_selectors_with_syntax_errors_are_rejected(text: str) -> None:
    assert parse_selector(text)[0] is None


def test_each_operator_is_recognised() -> None:
    selector, _ = parse_selector("a=x, b notin (y), c, !d")
    assert selector is not None
    operators = [requirement.operator for requirement in selector.requirements]
    assert operators == [Operator.IN, Operator.NOT_IN, Operator.EXISTS, Operator.ABSENT]
