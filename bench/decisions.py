"""What one placement costs, by the size of the fleet, beside the naive version."""

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

__all__ = ["Sample", "make_sample", "measure_decisions"]

_MODELS = 23
_DATA_CENTRES = 11
_ORGANISATIONS = 32_000
_IN_FLIGHT = 200
_NOW = 1_000.0


class Sample(NamedTuple):
    """A generated fleet and requests for it."""

    configuration: Configuration
    view: FleetView
    requests: list[Request]


def make_sample(endpoints: int, requests: int, seed: int) -> Sample:
    """Generate a fleet with 23 models over 11 data centres, and requests."""
    rng = random.Random(seed)
    configuration = _make_configuration()
    fleet = Fleet(1, tuple(_make_endpoint(index) for index in range(endpoints)), ())
    view = FleetView()
    view.set_configuration(configuration)
    view.update_fleet(fleet)
    for endpoint in fleet.endpoints:
        view.add_report(_make_report(endpoint, rng), _NOW)
    services = min(_MODELS, max(1, endpoints // 8))
    asked = [_make_request(number, services, rng) for number in range(requests)]
    return Sample(configuration, view, asked)


def measure_decisions(endpoints: int, requests: int, seed: int) -> dict[str, Any]:
    """Measure microseconds for one placement, ours and naive, in turns."""
    ours = _measure(make_sample(endpoints, requests, seed), _place_ours, seed)
    naive = _measure(make_sample(endpoints, max(20, requests // 20), seed), _place_naively, seed)
    return {
        "endpoints": endpoints,
        "models": min(_MODELS, max(1, endpoints // 8)),
        "ours_us": ours[0],
        "naive_us": naive[0],
        "speedup": naive[0] / ours[0],
        "ours_placed": ours[1],
        "naive_placed": naive[1],
    }


def _place_ours(sample: Sample, request: Request, context: Context) -> Placement | Refusal:
    request_class = sample.configuration.classes[request.request_class]
    return place_request(request, request_class, sample.view, context)


def _place_naively(sample: Sample, request: Request, context: Context) -> Placement | Refusal:
    return place_naively(request, sample.configuration, sample.view, context)


def _measure(
    sample: Sample,
    place: Callable[[Sample, Request, Context], Placement | Refusal],
    seed: int,
) -> tuple[float, float]:
    """Give the median microseconds of a placement and the share that was placed."""
    rng = random.Random(seed)
    context = Context("dc0", frozenset(), _NOW + 1, rng)
    for request in sample.requests[:20]:
        place(sample, request, context)
    times, placed = [], 0
    for number, request in enumerate(sample.requests):
        started = time.perf_counter()
        found = place(sample, request, context)
        times.append(time.perf_counter() - started)
        if isinstance(found, Placement):
            placed += 1
            reserve_request(sample.view, request, found, _NOW + 1)
        if number >= _IN_FLIGHT:
            release_request(sample.view, sample.requests[number - _IN_FLIGHT], _NOW + 1)
    return statistics.median(times) * 1e6, placed / len(times)


@cache
def _make_configuration() -> Configuration:
    services = "".join(f"  s{i}: {{ kind: model, models: [m{i}] }}\n" for i in range(_MODELS))
    pools = "".join(
        f"  {role}{i}: {{ service: s{i}, role: {role}, labels: {{ tier: fast }} }}\n"
        for i in range(_MODELS)
        for role in ("prefill", "decode")
    )
    classes = "".join(
        f'  c{i}: {{ service: s{i}, selector: "tier=fast, dc!=none, !spot" }}\n'
        for i in range(_MODELS)
    )
    places = "".join(f"  dc{i}: {{ region: r{i % 3} }}\n" for i in range(_DATA_CENTRES))
    text = f"version: 1\ndata_centres:\n{places}services:\n{services}"
    configuration, faults = load_configuration(f"{text}pools:\n{pools}classes:\n{classes}", 1)
    assert configuration is not None, faults
    return configuration


def _make_endpoint(index: int) -> Endpoint:
    role = ("prefill", "decode")[index % 2]
    model = (index // 8) % _MODELS
    place = f"dc{(index // 2) % min(_DATA_CENTRES, 4)}"
    return Endpoint(f"n{index}", f"10.0.0.1:{index}", place, f"{role}{model}")


def _make_report(endpoint: Endpoint, rng: random.Random) -> LoadReport:
    running, waiting, free = rng.randrange(30), rng.randrange(20_000), rng.randrange(20_000, 90_000)
    return LoadReport(
        endpoint.name, "1", Role.BOTH, 32, running, waiting, 100_000, free, False, 20_000.0
    )


def _make_request(number: int, services: int, rng: random.Random) -> Request:
    service = rng.randrange(services)
    return Request(
        f"r{number}",
        f"o{rng.randrange(_ORGANISATIONS)}",
        f"s{service}",
        f"m{service}",
        f"c{service}",
        rng.choice((50, 400, 3_000, 12_000)),
        rng.randrange(20, 400),
        rng.getrandbits(64),
        _NOW + 60,
    )
