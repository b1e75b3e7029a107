"""Shared data types, labels and errors, without I/O, clocks or random numbers."""

from cleatlink.core import data, errors, labels

__all__ = ["data", "errors", "labels"]
