"""Imports of the relay's command.

Guards against imports that a relay does not use. Imports take most of the time of a start on small
machines. The module that reads settings once imported a YAML parser, which no relay uses.
"""

import gc
import subprocess
import sys

from cleatlink.scripts.imports import imports_without_gc

UNUSED_MODULES = ("yaml", "httpx", "quart", "hypercorn", "cleatlink.serving", "cleatlink.config")


def test_relay_does_not_import_unused_modules() -> None:
    script = "import sys, cleatlink.scripts.commands; print(*sys.modules)"
    command = [sys.executable, "-c", script]
    finished = subprocess.run(command, capture_output=True, text=True, check=True)
    assert not set(UNUSED_MODULES) & set(finished.stdout.split())


def test_garbage_collection_is_enabled_again_after_failed_imports() -> None:
    try:
        with imports_without_gc():
            assert not gc.isenabled()
            raise ImportError
    except ImportError:
        assert gc.isenabled()
    assert gc.get_freeze_count() > 0
    gc.unfreeze()
