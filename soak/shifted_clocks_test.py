"""Tests of the clock offsets that the soak test sets."""

import os
import subprocess
import sys
from pathlib import Path

from soak.shifted_clocks import ClockOffsets, read_offsets, write_offsets

PROGRAM = """
import sys, time
from pathlib import Path
from cleatlink import clock
from soak.shifted_clocks import _patch_clocks
_patch_clocks(Path(sys.argv[1]))
ahead_s = clock.SuspendAwareClock().current_time() - time.clock_gettime(time.CLOCK_BOOTTIME)
print(round(ahead_s), round(clock.unix_ms() / 1000 - time.time()))
"""


def test_offsets_are_read_as_written(tmp_path: Path) -> None:
    file = tmp_path / "clocks"
    write_offsets(file, ClockOffsets(12.5, -300.0))
    descriptor = os.open(file, os.O_RDONLY)
    try:
        assert read_offsets(descriptor) == ClockOffsets(12.5, -300.0)
        file.write_bytes(b"")
        assert read_offsets(descriptor) == ClockOffsets()
    finally:
        os.close(descriptor)


def test_both_clocks_are_shifted_by_their_offsets(tmp_path: Path) -> None:
    file = tmp_path / "clocks"
    write_offsets(file, ClockOffsets(12.0, -300.0))
    command = [sys.executable, "-c", PROGRAM, str(file)]
    completed = subprocess.run(command, capture_output=True, text=True, check=True)
    assert completed.stdout.split() == ["12", "-300"]
