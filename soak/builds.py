"""Earlier builds of the program, taken from the history into folders of their own."""

import subprocess
import tarfile
from io import BytesIO
from pathlib import Path

__all__ = ["LANDED", "extract_build"]

_ROOT = Path(__file__).parent.parent
# Versions that were given out since instances tell each other what they know, the oldest first.
LANDED = ("8d4f081", "e627dcc", "c558fa2", "820ff69", "709868b", "4207a6e")


def extract_build(commit: str, folder: Path) -> Path:
    """Write a build's sources into a folder.

    Args:
        commit: The build's commit.
        folder: Where to; a folder of the commit's name is made in it.

    Returns:
        The folder that its packages lie in.

    Raises:
        subprocess.CalledProcessError: The history has no such commit.
    """
    tree = folder / commit
    command = ["git", "-C", str(_ROOT), "archive", "--format=tar", commit]
    packed = subprocess.run(command, capture_output=True, check=True).stdout
    with tarfile.open(fileobj=BytesIO(packed)) as archive:
        archive.extractall(tree, filter="data")
    return tree
