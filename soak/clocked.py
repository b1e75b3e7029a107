"""Runs the program with clocks that the soak can set on: a machine that was suspended, a step.

    python -m soak.clocked FILE entry ...

FILE holds the seconds by which each of the two clocks is ahead.
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
_BYTES = struct.calcsize(_FORMAT)


class ClockOffsets(NamedTuple):
    """By how many seconds clocks are ahead.

    Attributes:
        steady: The one that waits and ages go by: the time for which a machine was suspended.
        wall: The time of day, which may also be behind.
    """

    steady: float = 0.0
    wall: float = 0.0


def write_offsets(file: Path, offsets: ClockOffsets) -> None:
    """Set the clocks of the program that reads a file."""
    file.write_bytes(struct.pack(_FORMAT, *offsets))


def read_offsets(descriptor: int) -> ClockOffsets:
    """Read how the clocks are set; while the file is being written they are as they were made."""
    data = os.pread(descriptor, _BYTES, 0)
    return ClockOffsets(*struct.unpack(_FORMAT, data)) if len(data) == _BYTES else ClockOffsets()


def _set_clocks(file: Path) -> None:
    descriptor = os.open(file, os.O_RDONLY)

    def steady_s(_: clock.SuspendAwareClock) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME) + read_offsets(descriptor).steady

    def wall_s() -> float:
        return time.time() + read_offsets(descriptor).wall

    patch.object(clock.SuspendAwareClock, "current_time", steady_s).start()
    patch.object(clock, "unix_s", wall_s).start()


if __name__ == "__main__":
    _set_clocks(Path(sys.argv.pop(1)))
    # The program takes its clocks when it is imported.
    from cleatlink.scripts.main import main

    main()
