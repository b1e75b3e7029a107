"""Adapter for one platform: header names, data formats and store calls; it contains no policy."""

from cleatlink.platform.environment import SETTINGS_VARIABLE
from cleatlink.platform.settings import SettingsError, load_settings
from cleatlink.platform.store import PlatformStore
from cleatlink.platform.wire_names import PROTOCOL

__all__ = ["PROTOCOL", "SETTINGS_VARIABLE", "PlatformStore", "SettingsError", "load_settings"]
