"""Reads a YAML document section by section and gathers every fault with its line.

PyYAML's node tree is used instead of plain values because only nodes know
their line, and because plain loading silently keeps the last of two equal keys.
"""

from collections.abc import Mapping
from typing import NamedTuple

import yaml

__all__ = ["Fault", "Section", "parse_document"]

_MAX_DEPTH = 12


class Fault(NamedTuple):
    """One thing that is wrong with a configuration.

    Attributes:
        line: Line in the document, from 1; 0 where there is none.
        path: Keys from the top, joined by dots.
        message: What is wrong, in a few words.
    """

    line: int
    path: str
    message: str

    def __str__(self) -> str:
        where = f" {self.path}:" if self.path else ""
        return f"line {self.line}:{where} {self.message}"


class Section:
    """A mapping of the document; each getter notes what is wrong and goes on."""

    def __init__(self, node: yaml.Node, path: str, faults: list[Fault]) -> None:
        self._path = path
        self._faults = faults
        self._node = node
        self._known: set[str] = set()
        self._values: dict[str, yaml.Node] = {}
        self._sections: dict[str, Section] = {}
        if isinstance(node, yaml.MappingNode):
            self._read_keys(node)
        else:
            self.fault("must be a mapping")

    @property
    def path(self) -> str:
        """Keys from the top, joined by dots."""
        return self._path

    @property
    def keys(self) -> list[str]:
        """Keys of this mapping, in the order of the document."""
        return list(self._values)

    def fault(self, message: str, key: str | None = None) -> None:
        """Note that this section, or one key of it, is wrong."""
        node = self._values.get(key, self._node) if key else self._node
        path = self._join(key) if key else self._path
        self._faults.append(Fault(node.start_mark.line + 1, path, message))

    def text(self, key: str, default: str | None = None, choices: tuple[str, ...] = ()) -> str:
        """Read a string; no default makes the key required."""
        value = self._scalar(key, default)
        if value is None:
            return default or ""
        if choices and value not in choices:
            self.fault(f"must be one of {', '.join(choices)}, not {value!r}", key)
        elif not value:
            self.fault("must not be empty", key)
        return value

    def number(self, key: str, default: float | None, low: float, high: float) -> float:
        """Read a number from ``low`` to ``high``; no default makes it required."""
        value = self._scalar(key, None if default is None else str(default))
        if value is None:
            return default or low
        try:
            number = float(value)
        except ValueError:
            self.fault(f"must be a number, not {value!r}", key)
            return low if default is None else default
        if not low <= number <= high:
            self.fault(f"must be from {low:g} to {high:g}, not {value}", key)
        return number

    def integer(self, key: str, default: int | None, low: int, high: int) -> int:
        """Read a whole number from ``low`` to ``high``."""
        number = self.number(key, default, low, high)
        if number != int(number):
            self.fault(f"must be a whole number, not {number:g}", key)
        return int(number)

    def boolean(self, key: str, default: bool) -> bool:
        """Read ``true`` or ``false``."""
        return self.text(key, str(default).lower(), ("true", "false")) == "true"

    def labels(self, key: str) -> Mapping[str, str]:
        """Read a mapping of label names to values."""
        if key not in self._values:
            self._known.add(key)
            return {}
        section = self.section(key)
        return {name: section.text(name) for name in section.keys}

    def texts(self, key: str) -> tuple[str, ...]:
        """Read a list of strings; an absent key is an empty list."""
        texts = []
        for node in self._sequence(key):
            if isinstance(node, yaml.ScalarNode) and node.value:
                texts.append(node.value)
            else:
                self.fault("must be a list of strings", key)
        return tuple(texts)

    def section(self, key: str) -> "Section":
        """Read a mapping below this one; an absent key is an empty mapping."""
        self._known.add(key)
        if key not in self._sections:
            mark = self._node.start_mark
            empty = yaml.MappingNode("tag:yaml.org,2002:map", [], mark, mark)
            node = self._values.get(key, empty)
            # Kept, so that a section read again notes its faults only once.
            self._sections[key] = Section(node, self._join(key), self._faults)
        return self._sections[key]

    def named_sections(self, key: str) -> dict[str, "Section"]:
        """Read a mapping whose values are mappings."""
        parent = self.section(key)
        return {name: parent.section(name) for name in parent.keys}

    def listed_sections(self, key: str) -> list["Section"]:
        """Read a list of mappings; an absent key is an empty list."""
        nodes = self._sequence(key)
        return [
            Section(node, f"{self._join(key)}[{index}]", self._faults)
            for index, node in enumerate(nodes)
        ]

    def finish(self) -> None:
        """Note every key that nothing asked for."""
        for key in self._values:
            if key not in self._known:
                self.fault("unknown key", key)

    def _read_keys(self, node: yaml.MappingNode) -> None:
        for key_node, value_node in node.value:
            key = str(key_node.value)
            if key in self._values:
                line = key_node.start_mark.line + 1
                self._faults.append(Fault(line, self._join(key), "key stands twice"))
            self._values[key] = value_node

    def _scalar(self, key: str, default: str | None) -> str | None:
        self._known.add(key)
        node = self._values.get(key)
        if node is None:
            if default is None:
                self.fault(f"key {key!r} is missing")
            return default
        if not isinstance(node, yaml.ScalarNode):
            self.fault("must be a single value", key)
            return None
        return str(node.value)

    def _sequence(self, key: str) -> list[yaml.Node]:
        self._known.add(key)
        node = self._values.get(key)
        if node is None:
            return []
        if not isinstance(node, yaml.SequenceNode):
            self.fault("must be a list", key)
            return []
        return list(node.value)

    def _join(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key


def parse_document(text: str) -> tuple[Section | None, list[Fault]]:
    """Parse YAML text into its top section, with faults as data."""
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
        return None, [Fault(1, "", f"nested more than {_MAX_DEPTH} deep, or refers to itself")]
    return Section(node, "", faults), faults


def _is_too_deep(node: yaml.Node, left: int) -> bool:
    """Tell whether a tree is deeper than any real configuration."""
    if left == 0:
        return True
    if isinstance(node, yaml.MappingNode):
        return any(_is_too_deep(value, left - 1) for _, value in node.value)
    if isinstance(node, yaml.SequenceNode):
        return any(_is_too_deep(value, left - 1) for value in node.value)
    return False
