"""Tools for those who work on cleatlink."""
