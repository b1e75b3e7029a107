"""An entry instance on the network: callers, endpoints, platform and peers, on trio."""

from cleatlink.serving.daemon import run_daemon
from cleatlink.serving.entry import Entry, EntryDependencies
from cleatlink.serving.settings import Address, Settings, check_settings, parse_address

__all__ = [
    "Address",
    "Entry",
    "EntryDependencies",
    "Settings",
    "check_settings",
    "parse_address",
    "run_daemon",
]
