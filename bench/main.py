"""The ``cleatlink-bench`` command."""

import itertools

import click
import trio

from bench.control import measure_control
from bench.decisions import measure_decisions
from bench.limits import PATTERNS, STRATEGIES, measure_limit
from bench.organisations import measure_organisations
from bench.path import measure_path
from bench.peers import measure_peers, profile_peers
from bench.policy import FAULTS, POLICIES, WORKLOADS, Cell, measure_policy
from bench.relay import measure_relay
from bench.report import print_report

__all__ = ["main"]


@click.group(context_settings={"show_default": True})
def main() -> None:
    """Measure cleatlink; compare results only within one run."""


@main.command()
@click.option("--rounds", default=5, help="Number of runs of each batch.")
@click.option("--streams", default=64, help="Requests in each batch.")
@click.option(
    "--seed", default=0, help="Printed in the JSON output; this benchmark draws no random numbers."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def path(rounds: int, streams: int, seed: int, as_json: bool) -> None:
    """Measure processor time per request and per token, of an entry and of a relay instance."""
    rows = trio.run(measure_path, rounds, streams)
    rows.append(trio.run(measure_relay, rounds, streams))
    print_report(seed, rows, as_json)


@main.command()
@click.option("--nodes", default="2,4,8,16", help="Numbers of entries, separated by commas.")
@click.option("--endpoints", default="2", help="Numbers of endpoints, separated by commas.")
@click.option(
    "--seed", default=0, help="Printed in the JSON output; this benchmark draws no random numbers."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def control(nodes: str, endpoints: str, seed: int, as_json: bool) -> None:
    """Measure the control plane's cost for each entry, without traffic."""
    rows = [
        trio.run(measure_control, int(node_count), int(endpoint_count))
        for endpoint_count in endpoints.split(",")
        for node_count in nodes.split(",")
    ]
    print_report(seed, rows, as_json)


@main.command()
@click.option("--endpoints", default="8,55,600,6000", help="Fleet sizes, separated by commas.")
@click.option("--requests", default=2000, help="Number of placements at each size.")
@click.option("--seed", default=1, help="Seed of the fleet and the requests.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def decisions(endpoints: str, requests: int, seed: int, as_json: bool) -> None:
    """Measure the time of one placement, compared with the naive placement."""
    sizes = [int(size) for size in endpoints.split(",")]
    print_report(seed, [measure_decisions(size, requests, seed) for size in sizes], as_json)


@main.command()
@click.option("--workloads", default=",".join(WORKLOADS), help="Workloads, separated by commas.")
@click.option(
    "--loads", default="0.7,1.0,1.3,2.0", help="Loads as shares of capacity, separated by commas."
)
@click.option("--faults", default="none", help=f"Any of {', '.join(FAULTS)}, separated by commas.")
@click.option("--entries", default="1", help="Numbers of entries, separated by commas.")
@click.option("--policies", default=",".join(POLICIES), help="Policies, separated by commas.")
@click.option("--seed", default=1, help="Seed of the requests.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def policy(seed: int, as_json: bool, **options: str) -> None:
    """Measure goodput and wasted prefill under load, in virtual time."""
    cells = itertools.product(
        options["policies"].split(","),
        options["workloads"].split(","),
        map(float, options["loads"].split(",")),
        options["faults"].split(","),
        map(int, options["entries"].split(",")),
    )
    rows = [row for cell in cells for row in measure_policy(Cell(*cell), seed)]
    print_report(seed, rows, as_json)


@main.command()
@click.option("--ways", default=",".join(STRATEGIES), help="Strategies, separated by commas.")
@click.option(
    "--patterns", default=",".join(PATTERNS), help="Demand patterns, separated by commas."
)
@click.option("--instances", default="8,60", help="Fleet sizes, separated by commas.")
@click.option("--seed", default=1, help="Seed of the requests and of datagram losses.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def limits(seed: int, as_json: bool, **options: str) -> None:
    """Compare strategies for enforcing one limit across instances, in virtual time."""
    cells = itertools.product(
        options["patterns"].split(","),
        map(int, options["instances"].split(",")),
        options["ways"].split(","),
    )
    rows = [measure_limit(strategy, pattern, count, seed) for pattern, count, strategy in cells]
    print_report(seed, rows, as_json)


@main.command()
@click.option(
    "--counts", default="16,1000,32000", help="Numbers of organisations, separated by commas."
)
@click.option(
    "--seed", default=0, help="Printed in the JSON output; this benchmark draws no random numbers."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def organisations(counts: str, seed: int, as_json: bool) -> None:
    """Measure API key lookups, and parsing and applying a new table."""
    rows = [measure_organisations(int(count)) for count in counts.split(",")]
    print_report(seed, rows, as_json)


@main.command()
@click.option("--instances", default="8,30,60,90", help="Fleet sizes, separated by commas.")
@click.option("--profile", is_flag=True, help="Profile the fleet and print a row per step instead.")
@click.option("--seed", default=1, help="Seed of the load.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def peers(instances: str, profile: bool, seed: int, as_json: bool) -> None:
    """Measure the cost of peers for an instance at one request per second, in virtual time."""
    rows = []
    for count in map(int, instances.split(",")):
        rows += profile_peers(count, seed) if profile else [measure_peers(count, seed)]
    print_report(seed, rows, as_json)


if __name__ == "__main__":
    main()
