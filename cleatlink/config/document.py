"""Reads a YAML document section by section and collects all errors with their lines.

The code uses PyYAML's node tree instead of plain values, because only nodes have line
numbers, and because plain loading silently keeps the last of two equal keys.
"""

from collections.abc import Mapping
from typing import NamedTuple

import yaml

__all__ = ["Fault", "Section", "parse_document"]

# Depth of nested nodes; no real configuration is deeper.
_MAX_DEPTH = 12


class Fault(NamedTuple):
    """An error in a configuration.

    Attributes:
        line: Line number in the document, from 1; 0 if the error has no line.
        path: Keys from the top level down, joined by dots.
        message: Short description of the error.
    """

    line: int
    path: str
    message: str

    def __str__(self) -> str:
        prefix = f" {self.path}:" if self.path else ""
        return f"line {self.line}:{prefix} {self.message}"


class Section:
    """A mapping in the document.

    Getters don't raise on invalid values: they record an error and return a default.
    """

    def __init__(self, node: yaml.Node, path: str, faults: list[Fault]) -> None:
        self._path = path
        self._faults = faults
        self._node = node
        self._requested_keys: set[str] = set()
        self._values: dict[str, yaml.Node] = {}
        self._sections: dict[str, Section] = {}
        if isinstance(node, yaml.MappingNode):
            self._index_keys(node)
        else:
            self.add_fault("must be a mapping")

    @property
    def path(self) -> str:
        """Keys from the top level down, joined by dots."""
        return self._path

    @property
    def keys(self) -> list[str]:
        """Keys of this mapping, in document order."""
        return list(self._values)

    def add_fault(self, message: str, key: str | None = None) -> None:
        """Record an error in this section, or in one of its keys."""
        node = self._values.get(key, self._node) if key else self._node
        path = self._join(key) if key else self._path
        self._faults.append(Fault(node.start_mark.line + 1, path, message))

    def text(self, key: str, default: str | None = None, choices: tuple[str, ...] = ()) -> str:
        """Read a string; the key is required if there is no default."""
        value = self._scalar(key, default)
        if value is None:
            return default or ""
        if choices and value not in choices:
            self.add_fault(f"must be one of {', '.join(choices)}, not {value!r}", key)
        elif not value:
            self.add_fault("must not be empty", key)
        return value

    def number(self, key: str, default: float | None, low: float, high: float) -> float:
        """Read a number from ``low`` to ``high``; the key is required if there is no default."""
        value = self._scalar(key, None if default is None else str(default))
        if value is None:
            return default or low
        try:
            number = float(value)
        except ValueError:
            self.add_fault(f"must be a number, not {value!r}", key)
            return low if default is None else default
        if not low <= number <= high:
            self.add_fault(f"must be from {low:g} to {high:g}, not {value}", key)
        return number

    def integer(self, key: str, default: int | None, low: int, high: int) -> int:
        """Read a whole number from ``low`` to ``high``."""
        number = self.number(key, default, low, high)
        if number != int(number):
            self.add_fault(f"must be a whole number, not {number:g}", key)
        return int(number)

    def boolean(self, key: str, default: bool) -> bool:
        """Read ``true`` or ``false``."""
        return self.text(key, str(default).lower(), ("true", "false")) == "true"

    def labels(self, key: str) -> Mapping[str, str]:
        """Read a mapping of label names to values."""
        if key not in self._values:
            self._requested_keys.add(key)
            return {}
        section = self.section(key)
        return {name: section.text(name) for name in section.keys}

    def strings(self, key: str) -> tuple[str, ...]:
        """Read a list of strings; return an empty tuple if the key is absent."""
        strings = []
        for node in self._sequence(key):
            if isinstance(node, yaml.ScalarNode) and node.value:
                strings.append(node.value)
            else:
                self.add_fault("must be a list of strings", key)
        return tuple(strings)

    def section(self, key: str) -> "Section":
        """Read a nested mapping; return an empty section if the key is absent."""
        self._requested_keys.add(key)
        if key not in self._sections:
            mark = self._node.start_mark
            empty = yaml.MappingNode("tag:yaml.org,2002:map", [], mark, mark)
            node = self._values.get(key, empty)
            # Cached, so that reading a section again doesn't record its errors twice.
            self._sections[key] = Section(node, self._join(key), self._faults)
        return self._sections[key]

    def named_sections(self, key: str) -> dict[str, "Section"]:
        """Read a mapping whose values are mappings."""
        parent = self.section(key)
        return {name: parent.section(name) for name in parent.keys}

    def listed_sections(self, key: str) -> list["Section"]:
        """Read a list of mappings; return an empty list if the key is absent."""
        nodes = self._sequence(key)
        return [
            Section(node, f"{self._join(key)}[{index}]", self._faults)
            for index, node in enumerate(nodes)
        ]

    def report_unknown_keys(self) -> None:
        """Record an error for each key that was not read."""
        for key in self._values:
            if key not in self._requested_keys:
                self.add_fault("unknown key", key)

    def _index_keys(self, node: yaml.MappingNode) -> None:
        for key_node, value_node in node.value:
            key = str(key_node.value)
            if key in self._values:
                line = key_node.start_mark.line + 1
                self._faults.append(Fault(line, self._join(key), "duplicate key"))
            self._values[key] = value_node

    def _scalar(self, key: str, default: str | None) -> str | None:
        self._requested_keys.add(key)
        node = self._values.get(key)
        if node is None:
            if default is None:
                self.add_fault(f"key {key!r} is missing")
            return default
        if not isinstance(node, yaml.ScalarNode):
            self.add_fault("must be a single value", key)
            return None
        return str(node.value)

    def _sequence(self, key: str) -> list[yaml.Node]:
        self._requested_keys.add(key)
        node = self._values.get(key)
        if node is None:
            return []
        if not isinstance(node, yaml.SequenceNode):
            self.add_fault("must be a list", key)
            return []
        return list(node.value)

    def _join(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key


def parse_document(text: str) -> tuple[Section | None, list[Fault]]:
    """Parse YAML text.

    Returns:
        The top-level section and a list to which its getters add errors, or None and the errors.
    """
    faults: list[Fault] = []
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        return None, [Fault(line, "", f"not YAML: {error.problem}")]
    except (yaml.YAMLError, RecursionError) as error:
        return None, [Fault(0, "", f"not YAML: {str(error).splitlines()[0]}")]
    if node is None:
        return None, [Fault(1, "", "document is empty")]
    if _is_too_deep(node, _MAX_DEPTH):
        return None, [Fault(1, "", f"nested more than {_MAX_DEPTH} levels deep, or recursive")]
    return Section(node, "", faults), faults


def _is_too_deep(node: yaml.Node, remaining_levels: int) -> bool:
    """Check whether a node tree has more than the remaining number of levels."""
    if remaining_levels == 0:
        return True
    if isinstance(node, yaml.MappingNode):
        return any(_is_too_deep(value, remaining_levels - 1) for _, value in node.value)
    if isinstance(node, yaml.SequenceNode):
        return any(_is_too_deep(value, remaining_levels - 1) for value in node.value)
    return False
