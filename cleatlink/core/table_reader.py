"""Reads settings from nested tables and collects all errors in them."""

from typing import Any

from cleatlink.core.address import Address, parse_address
from cleatlink.core.errors import ConfigurationError

__all__ = ["TableReader"]


class TableReader:
    """Reads values from nested tables and records an error for each missing or invalid value."""

    def __init__(self, tables: dict[str, Any]) -> None:
        """Create a reader with an empty list of errors.

        Args:
            tables: Nested tables; a path is the keys of a value, joined by dots.
        """
        self._tables = tables
        self.faults: list[str] = []

    def value(self, path: str, expected_type: type | tuple[type, ...]) -> Any:
        """Return a value, or record an error and return None if it is missing or invalid."""
        setting: Any = self._tables
        for key in path.split("."):
            setting = setting.get(key) if isinstance(setting, dict) else None
        if setting is None:
            self.faults.append(f"{path} is missing")
        elif isinstance(setting, bool) or not isinstance(setting, expected_type):
            self.faults.append(f"{path} has the wrong type, {type(setting).__name__}")
            setting = None
        return setting

    def text(self, path: str) -> str:
        """Return a string; record an error if it is empty."""
        setting = self.value(path, str)
        if setting == "":
            self.faults.append(f"{path} is empty")
        return setting or ""

    def number(self, path: str) -> float:
        """Return a number; record an error if it is negative."""
        setting = self.value(path, (int, float))
        if setting is not None and setting < 0:
            self.faults.append(f"{path} is negative")
        return float(setting or 0)

    def optional_number(self, path: str, default: float) -> float:
        """Return a non-negative number, or the default if the value is absent."""
        table, _, key = path.rpartition(".")
        setting = self._tables.get(table)
        if not isinstance(setting, dict) or setting.get(key) is None:
            return default
        return self.number(path)

    def optional_flag(self, path: str, default: bool) -> bool:
        """Return a top-level true or false, or the default if the value is absent."""
        setting = self._tables.get(path)
        if setting is None:
            return default
        if not isinstance(setting, bool):
            self.faults.append(f"{path} has the wrong type, {type(setting).__name__}")
            return default
        return setting

    def optional_table(self, path: str) -> dict[str, Any]:
        """Return a top-level table, or an empty one if it is absent."""
        setting = self._tables.get(path, {})
        if not isinstance(setting, dict):
            self.faults.append(f"{path} has the wrong type, {type(setting).__name__}")
            return {}
        return setting

    def address(self, path: str) -> Address:
        """Return an IP address with a port."""
        text = self.text(path)
        try:
            return parse_address(text) if text else Address("", 0)
        except ConfigurationError as error:
            self.faults.append(f"{path}: {error}")
            return Address("", 0)

    def list(self, path: str) -> list[Any]:
        """Return a list; record an error and return an empty one if it is missing or invalid."""
        setting = self.value(path, list)
        return setting or []
