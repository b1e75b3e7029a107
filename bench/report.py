"""The form in which every benchmark gives its figures."""

import json
import subprocess
from collections.abc import Sequence
from typing import Any

import click

__all__ = ["print_report"]


def print_report(seed: int, rows: Sequence[dict[str, Any]], as_json: bool) -> None:
    """Print rows as one JSON document, or as lines for people."""
    if as_json:
        click.echo(json.dumps({"seed": seed, "commit": _read_commit(), "rows": rows}, indent=1))
        return
    for row in rows:
        click.echo("  ".join(f"{key}={_show(value)}" for key, value in row.items()))


def _show(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def _read_commit() -> str:
    command = ["git", "rev-parse", "--short", "HEAD"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip() or "unknown"
