"""The pure core: vocabulary, labels and errors, without I/O, clock or chance."""

from cleatlink.core import data, errors, labels

__all__ = ["data", "errors", "labels"]
