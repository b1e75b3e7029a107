"""Reads the processor time and memory of processes from ``/proc``."""

import os
from pathlib import Path

from demo.cluster import Process

__all__ = ["pid_processor_time_s", "processor_time_s", "resident_memory_mb"]

_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def processor_time_s(process: Process) -> float:
    """Return the user and system processor time of a started process, in seconds."""
    return pid_processor_time_s(process.process.pid)


def pid_processor_time_s(pid: int) -> float:
    """Return the user and system processor time of a process id, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


def resident_memory_mb(process: Process) -> float:
    """Return the resident memory of a started process, in megabytes."""
    pages = int(Path(f"/proc/{process.process.pid}/statm").read_text().split()[1])
    return pages * _PAGE_BYTES / 1e6
