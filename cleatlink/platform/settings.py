"""Reads the platform's settings file into the relay's settings."""

import tomllib
from pathlib import Path
from typing import Any

from cleatlink.core.address import Address, parse_address
from cleatlink.core.errors import ConfigurationError
from cleatlink.organisations import LimitTolerance
from cleatlink.relay.settings import RelaySettings

__all__ = ["SettingsError", "load_settings", "read_settings"]

_MS = 1000.0


class SettingsError(ConfigurationError):
    """The settings file can't be used; ``faults`` has one sentence for each reason."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class _Reader:
    """Takes values out of nested tables and notes each one that is missing or wrong."""

    def __init__(self, tables: dict[str, Any]) -> None:
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


def load_settings(path: Path, metrics_listen: Address | None = None) -> RelaySettings:
    """Load a settings file.

    Raises:
        SettingsError: It can't be read, or something in it is missing or wrong.
    """
    try:
        tables = tomllib.loads(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError([f"can't be read: {error}"]) from None
    return read_settings(tables, metrics_listen)


def read_settings(tables: dict[str, Any], metrics_listen: Address | None = None) -> RelaySettings:
    """Read settings from tables.

    Raises:
        SettingsError: Something is missing or wrong.
    """
    reader = _Reader(tables)
    ports = reader.list("internal_ports")
    if not ports or not isinstance(ports[0], int):
        reader.faults.append("internal_ports has no port")
        ports = [0]
    settings = RelaySettings(
        name=reader.text("node"),
        data_centre=reader.text("zone"),
        listen=reader.address("listen.front"),
        ready_listen=reader.address("listen.ready"),
        peer_listen=Address(reader.text("ip"), ports[0]),
        peers=tuple(
            Address(str(seed).rpartition(":")[0], ports[0]) for seed in reader.list("seeds")
        ),
        store=reader.address("platform.address"),
        metrics_listen=metrics_listen,
        drain_s=reader.number("bounds.grace_s"),
        retry_ratio=reader.number("bounds.retry_budget_ratio"),
        retry_allowance=reader.number("bounds.retry_allowance"),
        retry_window_s=reader.number("bounds.budget_window_s"),
        leaving_s=reader.number("bounds.drain_ms") / _MS,
        lease_s=reader.number("bounds.lease_ms") / _MS,
        history_s=reader.number("platform.history_s"),
        limit_tolerance=_read_tolerance(reader),
    )
    if reader.faults:
        raise SettingsError(reader.faults)
    return settings


def _read_tolerance(reader: _Reader) -> LimitTolerance:
    """Read by how much organisations may pass their limits; not every platform tells."""
    usual = LimitTolerance()
    return LimitTolerance(
        reader.optional_number("bounds.quota_overshoot", usual.overshoot),
        reader.optional_number("bounds.quota_slack", usual.slack),
        reader.optional_number("bounds.quota_window_s", usual.window_s) or usual.window_s,
    )
