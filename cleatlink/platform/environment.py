"""Name of the environment variable that holds the path of the settings file."""

__all__ = ["SETTINGS_VARIABLE"]

SETTINGS_VARIABLE = "CLEATLINK_BOOT"
