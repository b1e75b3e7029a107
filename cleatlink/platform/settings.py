"""Parses the platform's settings file into the relay's settings."""

import tomllib
from pathlib import Path
from typing import Any

from cleatlink.core.address import Address
from cleatlink.core.errors import ConfigurationError
from cleatlink.core.table_reader import TableReader
from cleatlink.organisations import LimitTolerance
from cleatlink.relay.settings import RelaySettings
from cleatlink.routing.spill_over import CROSSING_SHARE

__all__ = ["SettingsError", "load_settings", "read_settings"]

_MS = 1000.0


class SettingsError(ConfigurationError):
    """The settings file is invalid; ``faults`` has one sentence for each reason."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


def load_settings(path: Path, metrics_listen: Address | None = None) -> RelaySettings:
    """Load a settings file.

    Raises:
        SettingsError: The file can't be read, or a setting is missing or invalid.
    """
    try:
        tables = tomllib.loads(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError([f"can't be read: {error}"]) from None
    return read_settings(tables, metrics_listen)


def read_settings(tables: dict[str, Any], metrics_listen: Address | None = None) -> RelaySettings:
    """Build the settings from the tables of a parsed settings file.

    Raises:
        SettingsError: A setting is missing or invalid.
    """
    reader = TableReader(tables)
    ports = reader.list("internal_ports")
    if not ports or not all(isinstance(port, int) for port in ports):
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
        tunnel_listen=Address(reader.text("ip"), ports[-1]) if len(set(ports)) > 1 else None,
        drain_s=reader.number("bounds.grace_s"),
        retry_ratio=reader.number("bounds.retry_budget_ratio"),
        retry_allowance=reader.number("bounds.retry_allowance"),
        retry_window_s=reader.number("bounds.budget_window_s"),
        endpoint_leave_s=reader.number("bounds.drain_ms") / _MS,
        lease_s=reader.number("bounds.lease_ms") / _MS,
        history_s=reader.number("platform.history_s"),
        limit_tolerance=_read_tolerance(reader),
        memory_mb=reader.optional_number("limits.memory_mb", 0.0),
        size=_read_core_count(reader),
        data_centres=tuple(reader.optional_table("zones")),
        is_first_start=reader.optional_flag("bootstrap", default=False),
        crossing_share=reader.optional_number("routing.crossing_share", CROSSING_SHARE),
    )
    if reader.faults:
        raise SettingsError(reader.faults)
    return settings


def _read_tolerance(reader: TableReader) -> LimitTolerance:
    """Return how far organisations may exceed their limits; the settings are optional."""
    default = LimitTolerance()
    return LimitTolerance(
        reader.optional_number("bounds.quota_overshoot", default.overshoot),
        reader.optional_number("bounds.quota_slack", default.slack),
        reader.optional_number("bounds.quota_window_s", default.window_s) or default.window_s,
    )


def _read_core_count(reader: TableReader) -> float:
    """Return the number of processor cores for the process; the settings are optional."""
    share = reader.optional_number("limits.cpu_share", 1.0)
    return share * reader.optional_number("limits.cores", 1.0) or 1.0
