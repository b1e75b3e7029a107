"""An entry instance on the network: callers, endpoints, platform and peers, on trio."""

from cleatlink.serving.daemon import run_daemon
from cleatlink.serving.entry import Entry, Outside
from cleatlink.serving.settings import Address, Settings, check_settings, parse_address

__all__ = [
    "Address",
    "Entry",
    "Outside",
    "Settings",
    "check_settings",
    "parse_address",
    "run_daemon",
]
