"""Runs the program with clocks that the soak test can shift while it runs.

    python -m soak.shifted_clocks FILE entry ...

FILE contains the offsets of the monotonic clock and of the wall clock in seconds. Shifting both
forward simulates a suspended machine; shifting the wall clock simulates a clock adjustment.
"""

import os
import struct
import sys
import time
from pathlib import Path
from typing import NamedTuple
from unittest.mock import patch

from cleatlink import clock

__all__ = ["ClockOffsets", "read_offsets", "write_offsets"]

_FORMAT = "dd"
_SIZE_BYTES = struct.calcsize(_FORMAT)


class ClockOffsets(NamedTuple):
    """Offsets that are added to the clocks.

    Attributes:
        monotonic_s: Offset of the clock that measures timeouts and ages, in seconds: the time for
            which the machine appears to have been suspended.
        wall_s: Offset of the wall clock in seconds; may be negative.
    """

    monotonic_s: float = 0.0
    wall_s: float = 0.0


def write_offsets(file: Path, offsets: ClockOffsets) -> None:
    """Write the offsets to the file that the program reads."""
    file.write_bytes(struct.pack(_FORMAT, *offsets))


def read_offsets(descriptor: int) -> ClockOffsets:
    """Read the offsets; without offsets while the file is incomplete during a write."""
    data = os.pread(descriptor, _SIZE_BYTES, 0)
    return (
        ClockOffsets(*struct.unpack(_FORMAT, data)) if len(data) == _SIZE_BYTES else ClockOffsets()
    )


def _patch_clocks(file: Path) -> None:
    descriptor = os.open(file, os.O_RDONLY)

    def shifted_monotonic_s(_: clock.SuspendAwareClock) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME) + read_offsets(descriptor).monotonic_s

    def shifted_unix_s() -> float:
        return time.time() + read_offsets(descriptor).wall_s

    patch.object(clock.SuspendAwareClock, "current_time", shifted_monotonic_s).start()
    patch.object(clock, "unix_s", shifted_unix_s).start()


if __name__ == "__main__":
    _patch_clocks(Path(sys.argv.pop(1)))
    # Imported after the patch, because modules bind the clock functions when they are imported.
    from cleatlink.scripts.main import main

    main()
