"""cleatlink: a router for inference fleets whose prefill and decode pools are separate.

The package is primarily a library. ``cleatlink.core`` defines the shared types, the other
packages build on it, and ``cleatlink.scripts`` provides the command-line interface.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
