"""Measures the time of one placement by fleet size, compared with the naive placement."""

import random
import statistics
import time
from collections.abc import Callable
from functools import cache
from typing import Any, NamedTuple

from bench.naive import place_naively
from cleatlink.config import load_configuration
from cleatlink.core.data import (
    Configuration,
    Endpoint,
    Fleet,
    LoadReport,
    Placement,
    Refusal,
    Request,
    Role,
)
from cleatlink.routing import (
    Context,
    FleetView,
    place_request,
    release_request,
    reserve_request,
)

__all__ = ["FleetSample", "make_fleet_sample", "measure_decisions"]

_MODEL_COUNT = 23
_DATA_CENTRE_COUNT = 11
_ORGANISATION_COUNT = 32_000
_MAX_IN_FLIGHT = 200
_REPORT_TIME_S = 1_000.0


class FleetSample(NamedTuple):
    """A generated fleet and requests for it.

    Attributes:
        configuration: Configuration of the fleet.
        view: View of the fleet, with one load report from each endpoint.
        requests: Generated requests.
    """

    configuration: Configuration
    view: FleetView
    requests: list[Request]


def make_fleet_sample(endpoint_count: int, request_count: int, seed: int) -> FleetSample:
    """Generate a fleet, and requests for its models.

    The configuration has 23 models and 11 data centres. A small fleet serves only some of the
    models, and the requests ask only for those.

    Args:
        endpoint_count: Number of endpoints.
        request_count: Number of requests.
        seed: Seed of the load reports and requests.
    """
    rng = random.Random(seed)
    configuration = _make_configuration()
    fleet = Fleet(1, tuple(_make_endpoint(index) for index in range(endpoint_count)), ())
    view = FleetView()
    view.set_configuration(configuration)
    view.update_fleet(fleet)
    for endpoint in fleet.endpoints:
        view.add_report(_make_report(endpoint, rng), _REPORT_TIME_S)
    service_count = min(_MODEL_COUNT, max(1, endpoint_count // 8))
    requests = [_make_request(number, service_count, rng) for number in range(request_count)]
    return FleetSample(configuration, view, requests)


def measure_decisions(endpoint_count: int, request_count: int, seed: int) -> dict[str, Any]:
    """Measure cleatlink's placement and then the naive one, on equal fleets.

    Args:
        endpoint_count: Number of endpoints.
        request_count: Requests placed by cleatlink; the naive version places a twentieth of
            them, but at least 20.
        seed: Seed of the fleet and the requests.

    Returns:
        One row: median microseconds of one placement, their ratio, and the shares of requests
        that were placed.
    """
    cleatlink = _measure(make_fleet_sample(endpoint_count, request_count, seed), _place, seed)
    naive = _measure(
        make_fleet_sample(endpoint_count, max(20, request_count // 20), seed), _place_naively, seed
    )
    return {
        "endpoints": endpoint_count,
        "models": min(_MODEL_COUNT, max(1, endpoint_count // 8)),
        "ours_us": cleatlink[0],
        "naive_us": naive[0],
        "speedup": naive[0] / cleatlink[0],
        "ours_placed": cleatlink[1],
        "naive_placed": naive[1],
    }


def _place(sample: FleetSample, request: Request, context: Context) -> Placement | Refusal:
    request_class = sample.configuration.classes[request.request_class]
    return place_request(request, request_class, sample.view, context)


def _place_naively(sample: FleetSample, request: Request, context: Context) -> Placement | Refusal:
    return place_naively(request, sample.configuration, sample.view, context)


def _measure(
    sample: FleetSample,
    place: Callable[[FleetSample, Request, Context], Placement | Refusal],
    seed: int,
) -> tuple[float, float]:
    """Return the median microseconds of a placement and the share of requests placed."""
    rng = random.Random(seed)
    context = Context("dc0", frozenset(), _REPORT_TIME_S + 1, rng)
    for request in sample.requests[:20]:
        place(sample, request, context)
    times_s, placed_count = [], 0
    for number, request in enumerate(sample.requests):
        started = time.perf_counter()
        result = place(sample, request, context)
        times_s.append(time.perf_counter() - started)
        if isinstance(result, Placement):
            placed_count += 1
            reserve_request(sample.view, request, result, _REPORT_TIME_S + 1)
        if number >= _MAX_IN_FLIGHT:
            release_request(
                sample.view, sample.requests[number - _MAX_IN_FLIGHT], _REPORT_TIME_S + 1
            )
    return statistics.median(times_s) * 1e6, placed_count / len(times_s)


@cache
def _make_configuration() -> Configuration:
    services = "".join(f"  s{i}: {{ kind: model, models: [m{i}] }}\n" for i in range(_MODEL_COUNT))
    pools = "".join(
        f"  {role}{i}: {{ service: s{i}, role: {role}, labels: {{ tier: fast }} }}\n"
        for i in range(_MODEL_COUNT)
        for role in ("prefill", "decode")
    )
    classes = "".join(
        f'  c{i}: {{ service: s{i}, selector: "tier=fast, dc!=none, !spot" }}\n'
        for i in range(_MODEL_COUNT)
    )
    data_centres = "".join(f"  dc{i}: {{ region: r{i % 3} }}\n" for i in range(_DATA_CENTRE_COUNT))
    text = f"version: 1\ndata_centres:\n{data_centres}services:\n{services}"
    configuration, faults = load_configuration(f"{text}pools:\n{pools}classes:\n{classes}", 1)
    assert configuration is not None, faults
    return configuration


def _make_endpoint(index: int) -> Endpoint:
    role = ("prefill", "decode")[index % 2]
    model = (index // 8) % _MODEL_COUNT
    data_centre = f"dc{(index // 2) % min(_DATA_CENTRE_COUNT, 4)}"
    return Endpoint(f"n{index}", f"10.0.0.1:{index}", data_centre, f"{role}{model}")


def _make_report(endpoint: Endpoint, rng: random.Random) -> LoadReport:
    running, waiting_tokens, free_tokens = (
        rng.randrange(30),
        rng.randrange(20_000),
        rng.randrange(20_000, 90_000),
    )
    return LoadReport(
        endpoint.name,
        "1",
        Role.BOTH,
        32,
        running,
        waiting_tokens,
        100_000,
        free_tokens,
        False,
        20_000.0,
    )


def _make_request(number: int, service_count: int, rng: random.Random) -> Request:
    service = rng.randrange(service_count)
    return Request(
        f"r{number}",
        f"o{rng.randrange(_ORGANISATION_COUNT)}",
        f"s{service}",
        f"m{service}",
        f"c{service}",
        rng.choice((50, 400, 3_000, 12_000)),
        rng.randrange(20, 400),
        rng.getrandbits(64),
        _REPORT_TIME_S + 60,
    )
