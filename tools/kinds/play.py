"""Plays days of site variants with a bench, several at a time."""

import shutil
import subprocess
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

import msgspec

__all__ = ["Play", "Played", "Tree", "copy_without", "play_all"]

_RUN_LINE = "cleatlink.scripts.main entry"
# A line of the instance that leads, for each order of another role.
_ORDER_LINE = '"orders: plans a role change"'


class Tree(NamedTuple):
    """A work tree of cleatlink under a label."""

    label: str
    folder: Path


class Play(NamedTuple):
    """A day to be played.

    Attributes:
        kind: Name of the kind of engines.
        site: The variant's file.
        day: Name of the day.
        seed: Seed of its chance.
        tree: What plays it.
        counts_orders: Whether orders of roles are counted, by the instances' lines.
    """

    kind: str
    site: Path
    day: str
    seed: int
    tree: Tree
    counts_orders: bool = False


class Played(NamedTuple):
    """What a play came to; without a figure it failed, or broke a rule."""

    play: Play
    worth: float | None
    note: str
    orders: int = 0


class _Report(msgspec.Struct):
    """The part of a bench's report that is read."""

    worth: float = msgspec.field(name="G")
    fault: str | None = None
    breaks: dict[str, int] = {}


def copy_without(tree: Tree, mechanism: str, folder: Path) -> Tree:
    """Copy a work tree whose instances run without a mechanism."""
    ignored = shutil.ignore_patterns(".venv", "journal", "target", "__pycache__")
    shutil.copytree(tree.folder, folder, ignore=ignored)
    deploy = folder / "deploy" / "system.toml"
    text = deploy.read_text("utf-8")
    if _RUN_LINE not in text:
        raise ValueError(f"{deploy} does not run {_RUN_LINE}")
    deploy.write_text(text.replace(_RUN_LINE, f"{_RUN_LINE} --without {mechanism}"), "utf-8")
    return Tree(f"without {mechanism}", folder)


def play_all(bench: Path, plays: list[Play], jobs: int, scratch: Path) -> list[Played]:
    """Play days, ``jobs`` of them at a time, in the order given."""
    for folder in {play.tree.folder for play in plays}:
        _run([str(bench), "build"], folder)
    with ThreadPoolExecutor(jobs) as pool:
        numbered = enumerate(plays)
        return list(pool.map(lambda item: _play(bench, item[1], scratch / f"{item[0]}"), numbered))


def _play(bench: Path, play: Play, report: Path) -> Played:
    command = [str(bench), "run", str(play.site), play.day, "--seed", str(play.seed)]
    why = f"trial: {play.tree.label}, engines: {play.kind}, {play.day}"
    command += ["--log", "all"] if play.counts_orders else []
    ran = _run([*command, "--report", str(report), "--why", why], play.tree.folder)
    if not report.exists():
        return Played(play, None, _last_line(ran.stdout + ran.stderr))
    found = msgspec.json.decode(report.read_bytes(), type=_Report)
    if found.fault is not None or found.breaks:
        return Played(play, None, found.fault or f"rules broken: {', '.join(found.breaks)}")
    return Played(play, found.worth, "", ran.stdout.count(_ORDER_LINE))


def _run(command: list[str], folder: Path) -> "subprocess.CompletedProcess[str]":
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)


def _last_line(text: str) -> str:
    return text.strip().rpartition("\n")[2]
