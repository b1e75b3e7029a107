"""Choose the prefill and the decode endpoint of a request, or the reason for a refusal.

The decode endpoint is chosen before the prefill endpoint, because a prefill's result is kept
for seconds only and is wasted if no decode has capacity for it. Two random candidates are
compared, so that instances with the same outdated reports do not all choose the endpoint that
looked idle.
"""

import random
from collections.abc import Iterable, Iterator
from itertools import islice
from typing import NamedTuple

from cleatlink.core.data import Endpoint, Placement, Refusal, Request, RequestClass, Role
from cleatlink.core.errors import ErrorKind
from cleatlink.routing.endpoint_group import EndpointGroup, sample_endpoints
from cleatlink.routing.fleet_view import EndpointLoad, FleetView, Reservation
from cleatlink.routing.hashing import PREFIX_TOKENS

__all__ = [
    "Context",
    "note_decode_started",
    "place_plain_call",
    "place_request",
    "release_request",
    "reserve_request",
]

# Decode endpoints drawn at random; the least busy of them is chosen.
_DECODE_SAMPLE_SIZE = 2
# Endpoints compared for a prefill: by prefix affinity, and drawn at random.
_AFFINITY_CANDIDATES = 3
_RANDOM_CANDIDATES = 3
_NO_PREFILL = Refusal(ErrorKind.NO_ENDPOINT, "no prefill endpoint is eligible")


class Context(NamedTuple):
    """What a placement depends on besides the request and the view of the fleet.

    Attributes:
        data_centre: Data centre of this instance; its endpoints are preferred.
        excluded: Endpoints that already failed this request.
        now: Reading of the monotonic clock, in seconds.
        rng: Seeded random generator.
    """

    data_centre: str
    excluded: frozenset[str]
    now: float
    rng: random.Random


def place_request(
    request: Request, request_class: RequestClass, view: FleetView, context: Context
) -> Placement | Refusal:
    """Choose the prefill and the decode endpoint of a model request.

    Args:
        request: The classified request.
        request_class: Its class.
        view: Known state of the fleet.
        context: Time, random generator and excluded endpoints.

    Returns:
        The chosen endpoints, or the reason why there are none.
    """
    needed = request.prompt_tokens + request.max_output_tokens
    decode = _find_decode(view, request_class, needed, context)
    if isinstance(decode, Refusal):
        return decode if _has_prefill(view, request_class, context) else _NO_PREFILL
    prefill = _find_prefill(request, view, request_class, decode.endpoint.data_centre, context)
    if prefill is None:
        return _NO_PREFILL
    finish_s = _finish_s(request, view, prefill)
    if context.now + finish_s > request.deadline:
        return Refusal(ErrorKind.DEADLINE_NOT_RUN, f"prefill would take {finish_s:.1f} s")
    if context.now + finish_s > request.first_token_deadline:
        return Refusal(ErrorKind.TARGET_MISSED, f"prefill would take {finish_s:.2f} s", finish_s)
    if prefill.prefill_wait_s > request_class.queue_limit_s:
        return Refusal(ErrorKind.NO_ROOM, "prefill is kept free for more urgent classes")
    reason = f"decode {decode.busy_share:.0%} busy; prefill queue {prefill.prefill_wait_s:.3f} s"
    return Placement(prefill.endpoint, decode.endpoint, reason)


def place_plain_call(
    request_class: RequestClass, view: FleetView, context: Context
) -> Endpoint | Refusal:
    """Choose an endpoint of a plain service at random, in this data centre if it has any."""
    usable = [
        endpoint
        for endpoint in view.usable_endpoints(request_class.name, Role.PLAIN, context.now)
        if endpoint.name not in context.excluded
    ]
    if not usable:
        return Refusal(ErrorKind.NO_ENDPOINT, "no endpoint of the service is eligible")
    near = [endpoint for endpoint in usable if endpoint.data_centre == context.data_centre]
    return context.rng.choice(near or usable)


def reserve_request(view: FleetView, request: Request, placement: Placement, now: float) -> None:
    """Reserve capacity on both endpoints of a placement until it is released.

    The prefill is sent immediately, so load reports soon include it; the decode begins only
    when the prefill is done.
    """
    memory = request.prompt_tokens + request.max_output_tokens
    prefill = Reservation(placement.prefill.name, request.prompt_tokens, 0, now)
    view.reserve(f"{request.name}/prefill", prefill, now)
    decode = Reservation(placement.decode.name, 0, memory, None)
    view.reserve(f"{request.name}/decode", decode, now)


def note_decode_started(view: FleetView, request: Request, now: float) -> None:
    """Record that a request's prefill is done and its decode begins."""
    view.release(f"{request.name}/prefill", now)
    view.note_started(f"{request.name}/decode", now)


def release_request(view: FleetView, request: Request, now: float) -> None:
    """Release both reservations of a request."""
    view.release(f"{request.name}/prefill", now)
    view.release(f"{request.name}/decode", now)


def _find_decode(
    view: FleetView, request_class: RequestClass, needed: int, context: Context
) -> EndpointLoad | Refusal:
    """Choose a decode endpoint with enough free memory, in this data centre if possible.

    A few random endpoints are compared first, and all of them only if none of those has capacity.
    """
    local = view.endpoint_group(request_class.name, Role.DECODE, context.data_centre).endpoints
    in_fleet = view.endpoint_group(request_class.name, Role.DECODE).endpoints
    for endpoints in (local, in_fleet):
        drawn = sample_endpoints(endpoints, _DECODE_SAMPLE_SIZE, context.rng)
        best = _least_busy(view, drawn, needed, context)
        if best is None and len(endpoints) > len(drawn):
            best = _least_busy(view, endpoints, needed, context)
        if best is not None:
            return best
    if not any(_is_eligible(view, endpoint, context) for endpoint in in_fleet):
        return Refusal(ErrorKind.NO_ENDPOINT, "no decode endpoint is eligible")
    return Refusal(ErrorKind.NO_ROOM, f"no decode endpoint has room for {needed} tokens")


def _least_busy(
    view: FleetView, endpoints: Iterable[Endpoint], needed: int, context: Context
) -> EndpointLoad | None:
    """Return the least busy of some endpoints that have a free slot and enough memory."""
    best = None
    for endpoint in endpoints:
        if _is_eligible(view, endpoint, context):
            load = view.estimate_load(endpoint, context.now)
            has_capacity = load.free_tokens >= needed and load.running < load.slots
            if has_capacity and (best is None or load.busy_share < best.busy_share):
                best = load
    return best


def _find_prefill(
    request: Request,
    view: FleetView,
    request_class: RequestClass,
    data_centre: str,
    context: Context,
) -> EndpointLoad | None:
    """Choose the endpoint that would finish the prefill first, near the decode if possible.

    The candidates are endpoints known to have the prefix cached, the first endpoints on the hash
    ring from the prefix's hash, where later requests with the prefix go too, and a few at random.
    """
    group = view.endpoint_group(request_class.name, Role.PREFILL, data_centre)
    if not any(_is_eligible(view, endpoint, context) for endpoint in group.endpoints):
        group = view.endpoint_group(request_class.name, Role.PREFILL)
    ranked = (
        item for item in _by_affinity(request, view, group) if _is_eligible(view, item, context)
    )
    loads = [
        view.estimate_load(endpoint, context.now)
        for endpoint in islice(ranked, _AFFINITY_CANDIDATES)
    ]
    loads += [
        view.estimate_load(endpoint, context.now)
        for endpoint in sample_endpoints(group.endpoints, _RANDOM_CANDIDATES, context.rng)
        if _is_eligible(view, endpoint, context)
    ]
    # Among equal times, min() returns the first, which has the highest prefix affinity.
    return min(loads, key=lambda load: _finish_s(request, view, load), default=None)


def _finish_s(request: Request, view: FleetView, load: EndpointLoad) -> float:
    """Estimate the seconds until an endpoint would finish the prefill of a request."""
    tokens = load.waiting_tokens + request.prompt_tokens
    if load.endpoint.name in view.cache_holders(request.prefix_hash):
        tokens -= min(request.prompt_tokens, PREFIX_TOKENS)
    return tokens / load.prefill_tokens_per_s


def _has_prefill(view: FleetView, request_class: RequestClass, context: Context) -> bool:
    group = view.endpoint_group(request_class.name, Role.PREFILL)
    return any(_is_eligible(view, endpoint, context) for endpoint in group.endpoints)


def _by_affinity(request: Request, view: FleetView, group: EndpointGroup) -> Iterator[Endpoint]:
    """Yield the endpoints known to have the prefix cached, then those of the hash ring."""
    for name in sorted(view.cache_holders(request.prefix_hash) & group.by_name.keys()):
        yield group.by_name[name]
    yield from group.iterate_ring(request.prefix_hash)


def _is_eligible(view: FleetView, endpoint: Endpoint, context: Context) -> bool:
    return endpoint.name not in context.excluded and view.is_usable(endpoint, context.now)
