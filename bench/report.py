"""Prints the results of benchmarks."""

import json
import subprocess
from collections.abc import Sequence
from typing import Any

import click

__all__ = ["print_report"]


def print_report(seed: int, rows: Sequence[dict[str, Any]], as_json: bool) -> None:
    """Print the rows as one JSON document, or as one readable line each.

    Args:
        seed: Seed of the benchmark, included in the JSON document.
        rows: Measured values by column name.
        as_json: Whether to print JSON.
    """
    if as_json:
        click.echo(json.dumps({"seed": seed, "commit": _read_commit(), "rows": rows}, indent=1))
        return
    for row in rows:
        click.echo("  ".join(f"{key}={_format_value(value)}" for key, value in row.items()))


def _format_value(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def _read_commit() -> str:
    command = ["git", "rev-parse", "--short", "HEAD"]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    return result.stdout.strip() or "unknown"
