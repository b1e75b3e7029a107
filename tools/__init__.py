"""Tools for the development of cleatlink."""
