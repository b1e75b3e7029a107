"""The ``cleatlink-bench`` command."""

import click
import trio

from bench.path import measure_path
from bench.report import print_report

__all__ = ["main"]


@click.group(context_settings={"show_default": True})
def main() -> None:
    """Measure cleatlink; figures are for comparing within one run."""


@main.command()
@click.option("--rounds", default=5, help="Times that each batch is run.")
@click.option("--streams", default=64, help="Streams at once.")
@click.option("--seed", default=0, help="Named in the output; this one draws nothing.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def path(rounds: int, streams: int, seed: int, as_json: bool) -> None:
    """Measure an entry's processor time for each request and streamed token."""
    print_report(seed, trio.run(measure_path, rounds, streams), as_json)


if __name__ == "__main__":
    main()
