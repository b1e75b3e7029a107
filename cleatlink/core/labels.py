"""Labels and selectors in the equality and set syntax that operators know.

A selector is a list of requirements joined by commas, all of which must hold::

    tier=fast, dc!=kladno, work in (translate, tag), gpu, !spot
"""

import re
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

__all__ = ["Operator", "Requirement", "Selector", "match", "parse_selector"]

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
    """How a requirement compares a label."""

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
    """Requirements which must all hold; none at all selects everything."""

    requirements: tuple[Requirement, ...]


def parse_selector(text: str) -> tuple[Selector | None, str | None]:
    """Parse a selector.

    Args:
        text: The selector as an operator wrote it.

    Returns:
        The selector and no error, or no selector and what is wrong.
    """
    requirements = []
    position = 0
    while position < len(text.rstrip()):
        found = _REQUIREMENT.match(text, position)
        if found is None:
            return None, f"selector is not understood at {text[position:].strip()!r}"
        requirements.append(_requirement(found))
        position = found.end()
    if text.rstrip().endswith(","):
        return None, "selector ends in a comma"
    return Selector(tuple(requirements)), None


def match(selector: Selector, labels: Mapping[str, str]) -> bool:
    """Tell whether labels satisfy every requirement of a selector.

    As operators know it, ``!=`` and ``notin`` also hold where the key is absent.
    """
    return all(_holds(requirement, labels) for requirement in selector.requirements)


def _requirement(found: re.Match[str]) -> Requirement:
    """Turn one match of the requirement pattern into data."""
    if found["set_key"]:
        values = frozenset(re.findall(_NAME, found["values"]))
        return Requirement(found["set_key"], Operator(found["set_op"]), values)
    if found["key"]:
        operator = Operator.NOT_IN if found["op"] == "!=" else Operator.IN
        return Requirement(found["key"], operator, frozenset([found["value"]]))
    operator = Operator.ABSENT if found["absent"] else Operator.EXISTS
    return Requirement(found["exists"], operator, frozenset())


def _holds(requirement: Requirement, labels: Mapping[str, str]) -> bool:
    """Tell whether one requirement holds."""
    value = labels.get(requirement.key)
    if requirement.operator is Operator.IN:
        return value in requirement.values
    if requirement.operator is Operator.NOT_IN:
        return value not in requirement.values
    return (value is not None) == (requirement.operator is Operator.EXISTS)
