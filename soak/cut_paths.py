"""Runs the program with paths to workers that the soak test can cut while it runs.

    python -m soak.cut_paths FILE entry ...

FILE contains the name of a ``PathCut``, or nothing while no path is cut. Other instances, which
have files of their own, still reach the workers.
"""

import sys
from functools import partial
from pathlib import Path
from unittest.mock import patch

import trio

from cleatlink.relay import daemon
from cleatlink.relay.endpoints.streams import EndpointStream
from cleatlink.relay.instance import RelayInstance
from standins.relay.cut_paths import CuttableConnector, PathCut

__all__ = ["read_cut", "write_cut"]

_POLL_INTERVAL_S = 0.02


def write_cut(file: Path, cut: PathCut | None) -> None:
    """Write the cut to the file that the program reads."""
    file.write_text("" if cut is None else cut.name)


def read_cut(file: Path) -> PathCut | None:
    """Read the cut; none while the file is incomplete during a write."""
    return PathCut.__members__.get(file.read_text())


class FileControlledConnector(CuttableConnector):
    """Opens connections to workers unless a file says that the paths are cut."""

    def __init__(self, file: Path) -> None:
        super().__init__()
        self._file = file
        self._is_following = False

    async def connect(self, address: str, ack_timeout_s: float) -> EndpointStream:
        """Connect to a worker if the paths are not cut."""
        if not self._is_following:
            self._is_following = True
            trio.lowlevel.spawn_system_task(self._follow_file)
        return await super().connect(address, ack_timeout_s)

    async def _follow_file(self) -> None:
        current: PathCut | None = None
        while True:
            wanted = read_cut(self._file)
            if wanted is not current:
                current = wanted
                if wanted is None:
                    self.restore()
                else:
                    self.cut(wanted)
            await trio.sleep(_POLL_INTERVAL_S)


if __name__ == "__main__":
    connector = FileControlledConnector(Path(sys.argv.pop(1)))
    patch.object(daemon, "RelayInstance", partial(RelayInstance, connector=connector)).start()
    from cleatlink.scripts.main import main

    main()
