"""Sources of earlier builds of the program, extracted from the git history."""

import subprocess
import tarfile
from io import BytesIO
from pathlib import Path

__all__ = ["RELEASED_COMMITS", "extract_build"]

_ROOT = Path(__file__).parent.parent
# Commits of the released builds whose instances exchange messages with peers, oldest first.
RELEASED_COMMITS = ("8d4f081", "e627dcc", "c558fa2", "820ff69", "709868b", "4207a6e")


def extract_build(commit: str, folder: Path) -> Path:
    """Extract the sources of a build.

    Args:
        commit: Commit of the build.
        folder: Parent folder; the sources are written to a subfolder named after the commit.

    Returns:
        The subfolder, which contains the packages.

    Raises:
        subprocess.CalledProcessError: The git history does not contain the commit.
    """
    source_folder = folder / commit
    command = ["git", "-C", str(_ROOT), "archive", "--format=tar", commit]
    archive_bytes = subprocess.run(command, capture_output=True, check=True).stdout
    with tarfile.open(fileobj=BytesIO(archive_bytes)) as archive:
        archive.extractall(source_folder, filter="data")
    return source_folder
