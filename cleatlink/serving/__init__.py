"""Serving: callers, endpoints, platform and peers over the network, on trio."""

from cleatlink.serving.entry import Entry
from cleatlink.serving.settings import Address, Settings, check_settings, parse_address

__all__ = ["Address", "Entry", "Settings", "check_settings", "parse_address"]
