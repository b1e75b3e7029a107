"""Label selectors in the usual equality-based and set-based syntax.

A selector is a comma-separated list of requirements, all of which must be met::

    tier=fast, dc!=kladno, work in (translate, tag), gpu, !spot
"""

import re
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

__all__ = ["Operator", "Requirement", "Selector", "matches_selector", "parse_selector"]

_NAME = r"[A-Za-z0-9](?:[A-Za-z0-9._/-]{0,61}[A-Za-z0-9])?"
_VALUES = rf"\(\s*{_NAME}(?:\s*,\s*{_NAME})*\s*\)"
_REQUIREMENT = re.compile(
    rf"\s*(?:"
    rf"(?P<set_key>{_NAME})\s+(?P<set_op>in|notin)\s*(?P<values>{_VALUES})"
    rf"|(?P<key>{_NAME})\s*(?P<op>==|=|!=)\s*(?P<value>{_NAME})"
    rf"|(?P<absent>!\s*)?(?P<exists>{_NAME})"
    rf")\s*(?:,|$)"
)


class Operator(StrEnum):
    """Comparison that a requirement applies to a label."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    ABSENT = "absent"


class Requirement(NamedTuple):
    """One condition on one label."""

    key: str
    operator: Operator
    values: frozenset[str]


class Selector(NamedTuple):
    """Requirements that must all be met; an empty selector matches everything."""

    requirements: tuple[Requirement, ...]


def parse_selector(text: str) -> tuple[Selector | None, str | None]:
    """Parse a selector.

    Args:
        text: The selector, as written in the configuration.

    Returns:
        The selector and None, or None and an error message.
    """
    requirements = []
    position = 0
    while position < len(text.rstrip()):
        matched = _REQUIREMENT.match(text, position)
        if matched is None:
            return None, f"selector has a syntax error at {text[position:].strip()!r}"
        requirements.append(_build_requirement(matched))
        position = matched.end()
    if text.rstrip().endswith(","):
        return None, "selector ends in a comma"
    return Selector(tuple(requirements)), None


def matches_selector(selector: Selector, labels: Mapping[str, str]) -> bool:
    """Check whether labels meet all requirements of a selector.

    Both ``!=`` and ``notin`` also match if the key is absent.
    """
    return all(_is_met(requirement, labels) for requirement in selector.requirements)


def _build_requirement(matched: re.Match[str]) -> Requirement:
    """Build a requirement from a match of the requirement pattern."""
    if matched["set_key"]:
        values = frozenset(re.findall(_NAME, matched["values"]))
        return Requirement(matched["set_key"], Operator(matched["set_op"]), values)
    if matched["key"]:
        operator = Operator.NOT_IN if matched["op"] == "!=" else Operator.IN
        return Requirement(matched["key"], operator, frozenset([matched["value"]]))
    operator = Operator.ABSENT if matched["absent"] else Operator.EXISTS
    return Requirement(matched["exists"], operator, frozenset())


def _is_met(requirement: Requirement, labels: Mapping[str, str]) -> bool:
    """Check whether labels meet one requirement."""
    value = labels.get(requirement.key)
    if requirement.operator is Operator.IN:
        return value in requirement.values
    if requirement.operator is Operator.NOT_IN:
        return value not in requirement.values
    return (value is not None) == (requirement.operator is Operator.EXISTS)
