"""The ``cleatlink-soak`` command."""

import json
import sys
import time
from collections import Counter
from typing import Any

import click
import trio

from soak.plan import FaultKind
from soak.regressions import REGRESSIONS
from soak.run import RunResult, RunSettings, run_soak

__all__ = ["main"]


@click.command(context_settings={"show_default": True})
@click.option("--seed", type=int, default=None, help="First seed; else the time.")
@click.option("--runs", default=1, help="How many seeds, one after the other.")
@click.option("--seconds", default=12.0, help="Seconds of traffic with faults in a run.")
@click.option("--instances", default=4, help="Processes of the program.")
@click.option("--callers", default=8, help="Callers at a time.")
@click.option("--rate", default=1.2, help="Faults a second.")
@click.option("--without", default="", help="Switch a mechanism off, to see it reported.")
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    type=click.Choice([kind.name.lower() for kind in FaultKind]),
    help="Only faults of these kinds.",
)
@click.option("--organisations", is_flag=True, help="Callers with keys, one over its limit.")
@click.option("--older", default="", help="A commit: its build and this one side by side.")
@click.option("--regressions", is_flag=True, help="Play the runs that failed once.")
@click.option("--json", "as_json", is_flag=True, help="Print a line of JSON for each run.")
def main(
    seed: int | None,
    runs: int,
    *,
    kinds: tuple[str, ...],
    regressions: bool,
    as_json: bool,
    **fields: Any,
) -> None:
    """Run real programs under random faults, and judge the promises by what others saw.

    Exits with 1 if a promise did not hold; each such seed prints its story.
    """
    fields["kinds"] = tuple(FaultKind[kind.upper()] for kind in kinds)
    first = int(time.time()) if seed is None else seed
    wanted = [RunSettings(first + number, **fields) for number in range(runs)]
    if regressions:
        wanted = [regression.settings for regression in REGRESSIONS]
    failed = 0
    faults: Counter[str] = Counter()
    requests = 0
    for settings in wanted:
        result = trio.run(run_soak, settings)
        failed += bool(result.violations)
        faults.update(fault.kind.name.lower() for fault in result.faults)
        requests += sum(result.requests.values())
        _print_json(result) if as_json else _print_lines(result)
    if not as_json:
        click.echo(
            f"{len(wanted)} runs, {failed} failed, {requests} requests, {faults.total()} faults:"
        )
        click.echo(", ".join(f"{kind} {count}" for kind, count in sorted(faults.items())))
    sys.exit(1 if failed else 0)


def _print_json(result: RunResult) -> None:
    row = {
        "seed": result.settings.seed,
        "violations": [violation._asdict() for violation in result.violations],
        "requests": dict(result.requests),
        "faults": [[fault.at_s, fault.kind.name.lower()] for fault in result.faults],
    }
    click.echo(json.dumps(row))


def _print_lines(result: RunResult) -> None:
    verdict = f"{len(result.violations)} VIOLATIONS" if result.violations else "held"
    total = sum(result.requests.values())
    click.echo(
        f"seed {result.settings.seed}: {verdict}; {total} requests, {len(result.faults)} faults"
    )
    for violation in result.violations:
        click.echo(f"  {violation.check}: {violation.detail} {' '.join(violation.requests)}")
    if not result.violations:
        return
    for fault in result.faults:
        click.echo(f"  {fault.at_s:6.2f} s for {fault.for_s:.2f} s: {fault.kind} ({fault.target})")
    for line in result.story:
        click.echo(f"  {line[:400]}")


if __name__ == "__main__":
    main()
