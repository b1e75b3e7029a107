"""Takes settings out of nested tables, with all that is wrong with them at once."""

from typing import Any

from cleatlink.core.address import Address, parse_address
from cleatlink.core.errors import ConfigurationError

__all__ = ["TableReader"]


class TableReader:
    """Takes values out of nested tables and notes each one that is missing or wrong."""

    def __init__(self, tables: dict[str, Any]) -> None:
        """Start without faults.

        Args:
            tables: Tables within tables; paths name a value by its keys with dots between.
        """
        self._tables = tables
        self.faults: list[str] = []

    def value(self, path: str, kind: type | tuple[type, ...]) -> Any:
        """Give a value, or None with a fault noted."""
        found: Any = self._tables
        for key in path.split("."):
            found = found.get(key) if isinstance(found, dict) else None
        if found is None:
            self.faults.append(f"{path} is missing")
        elif isinstance(found, bool) or not isinstance(found, kind):
            self.faults.append(f"{path} has the wrong type, {type(found).__name__}")
            found = None
        return found

    def text(self, path: str) -> str:
        """Give a text that is not empty."""
        found = self.value(path, str)
        if found == "":
            self.faults.append(f"{path} is empty")
        return found or ""

    def number(self, path: str) -> float:
        """Give a number that is not negative."""
        found = self.value(path, (int, float))
        if found is not None and found < 0:
            self.faults.append(f"{path} is negative")
        return float(found or 0)

    def optional_number(self, path: str, default: float) -> float:
        """Give a number that is not negative, or the default where there is none."""
        table, _, key = path.rpartition(".")
        found = self._tables.get(table)
        if not isinstance(found, dict) or found.get(key) is None:
            return default
        return self.number(path)

    def address(self, path: str) -> Address:
        """Give an IP number and a port."""
        text = self.text(path)
        try:
            return parse_address(text) if text else Address("", 0)
        except ConfigurationError as error:
            self.faults.append(f"{path}: {error}")
            return Address("", 0)

    def list(self, path: str) -> list[Any]:
        """Give a list."""
        found = self.value(path, list)
        return found or []
