"""Writes the lock file of the libraries that an instance needs at run time.

The full lock file also contains the libraries of the tests. The runtime lock file is the part
of it, with the hashes, for the libraries named here: direct and transitive dependencies.
"""

import re
from pathlib import Path

__all__ = ["RUNTIME_LIBRARIES", "main", "select_blocks"]

RUNTIME_LIBRARIES = (
    "aioprometheus",
    "attrs",
    "boltons",
    "click",
    "eliot",
    "h11",
    "idna",
    "msgspec",
    "orjson",
    "outcome",
    "pyrsistent",
    "quantile-python",
    "sniffio",
    "sortedcontainers",
    "trio",
    "typing-extensions",
    "xxhash",
    "zope-interface",
)
_FILE_HEAD = "# Written by tools.runtime_lock from requirements.lock; do not edit.\n"


def select_blocks(lock: str, names: tuple[str, ...]) -> str:
    """Return the blocks of some libraries in a lock file, in the order of the file.

    Args:
        lock: Text of the lock file.
        names: Names of the libraries.

    Raises:
        ValueError: The lock file lacks a library.
    """
    blocks = re.split(r"(?m)^(?=[a-zA-Z0-9])", lock)
    selected = [block for block in blocks if re.split(r"[=\[ ]", block, maxsplit=1)[0] in names]
    selected_names = {re.split(r"[=\[ ]", block, maxsplit=1)[0] for block in selected}
    missing = set(names) - selected_names
    if missing:
        raise ValueError(f"libraries not in the lock file: {sorted(missing)}")
    return _FILE_HEAD + "".join(selected)


def main() -> None:
    """Write the runtime lock file to the folder of the deploy file."""
    lock = Path("requirements.lock").read_text("utf-8")
    Path("deploy/requirements.lock").write_text(select_blocks(lock, RUNTIME_LIBRARIES), "utf-8")


if __name__ == "__main__":
    main()
