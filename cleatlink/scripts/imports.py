"""Imports much at once without the garbage collector, which would look at it again and again."""

import gc
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["lasting_imports"]


@contextmanager
def lasting_imports() -> Iterator[None]:
    """Import what lasts as long as the process: no collection looks at it, now or later."""
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()
