"""The ``cleatlink-soak`` command."""

import json
import sys
import time
from collections import Counter
from typing import Any

import click
import trio

from soak.fault_schedule import FaultKind
from soak.regressions import REGRESSIONS
from soak.run import RunResult, RunSettings, run_soak

__all__ = ["main"]


@click.command(context_settings={"show_default": True})
@click.option("--seed", type=int, default=None, help="First seed; the current time if omitted.")
@click.option("--runs", default=1, help="Number of runs, with consecutive seeds.")
@click.option("--seconds", default=12.0, help="Seconds of traffic with faults in each run.")
@click.option("--instances", default=4, help="Number of instances, each a process.")
@click.option("--callers", default=8, help="Number of concurrent callers.")
@click.option("--rate", default=1.2, help="Faults per second.")
@click.option("--without", default="", help="Mechanism to disable, to test that it is detected.")
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    type=click.Choice([kind.name.lower() for kind in FaultKind]),
    help="Kind of faults to inject; may be repeated.",
)
@click.option(
    "--organisations", is_flag=True, help="Use keys of organisations, one over its limit."
)
@click.option("--older", default="", help="Commit of an earlier build to run beside this one.")
@click.option("--regressions", is_flag=True, help="Repeat the recorded runs that once failed.")
@click.option("--json", "as_json", is_flag=True, help="Print one line of JSON for each run.")
def main(
    seed: int | None,
    runs: int,
    *,
    kinds: tuple[str, ...],
    regressions: bool,
    as_json: bool,
    **fields: Any,
) -> None:
    """Run instances under random faults, and check the guarantees from outside.

    The exit status is 1 if a check fails. A failed run prints its faults and log lines.
    """
    fields["kinds"] = tuple(FaultKind[kind.upper()] for kind in kinds)
    first_seed = int(time.time()) if seed is None else seed
    planned_runs = [RunSettings(first_seed + number, **fields) for number in range(runs)]
    if regressions:
        planned_runs = [regression.settings for regression in REGRESSIONS]
    failed_runs = 0
    fault_counts: Counter[str] = Counter()
    request_count = 0
    for settings in planned_runs:
        result = trio.run(run_soak, settings)
        failed_runs += bool(result.violations)
        fault_counts.update(fault.kind.name.lower() for fault in result.faults)
        request_count += sum(result.request_counts.values())
        _print_json(result) if as_json else _print_lines(result)
    if not as_json:
        click.echo(
            f"{len(planned_runs)} runs, {failed_runs} failed, {request_count} requests, "
            f"{fault_counts.total()} faults:"
        )
        click.echo(", ".join(f"{kind} {count}" for kind, count in sorted(fault_counts.items())))
    sys.exit(1 if failed_runs else 0)


def _print_json(result: RunResult) -> None:
    run_report = {
        "seed": result.settings.seed,
        "violations": [violation._asdict() for violation in result.violations],
        "requests": dict(result.request_counts),
        "faults": [[fault.at_s, fault.kind.name.lower()] for fault in result.faults],
    }
    click.echo(json.dumps(run_report))


def _print_lines(result: RunResult) -> None:
    verdict = f"{len(result.violations)} VIOLATIONS" if result.violations else "held"
    total = sum(result.request_counts.values())
    click.echo(
        f"seed {result.settings.seed}: {verdict}; {total} requests, {len(result.faults)} faults"
    )
    for violation in result.violations:
        click.echo(f"  {violation.check}: {violation.detail} {' '.join(violation.requests)}")
    if not result.violations:
        return
    for fault in result.faults:
        click.echo(
            f"  {fault.at_s:6.2f} s for {fault.duration_s:.2f} s: {fault.kind} ({fault.target})"
        )
    for line in result.log_excerpt:
        click.echo(f"  {line[:400]}")


if __name__ == "__main__":
    main()
