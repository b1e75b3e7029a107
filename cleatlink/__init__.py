"""cleatlink: a router for inference fleets whose prefill and decode pools are separate.

The package is a library first. ``cleatlink.core`` holds the vocabulary, the
other packages build on it, and ``cleatlink.scripts`` holds thin commands.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
