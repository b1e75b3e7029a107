"""Imports many modules without garbage collections, which would scan them repeatedly."""

import gc
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["imports_without_gc"]


@contextmanager
def imports_without_gc() -> Iterator[None]:
    """Pause garbage collection during imports, and exclude the imported objects from later ones.

    Imported modules live as long as the process, so scanning them frees nothing.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()
