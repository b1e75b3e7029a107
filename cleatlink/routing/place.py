"""Places a request: which prefill endpoint and which decode endpoint, or why not.

Decode room is chosen before the prefill, because a prefill's result lives only
seconds: one that finds no room to continue was done for nothing. Among equals
two random choices are compared, so that instances with the same old reports do
not all pick the one that looked idle.
"""

import random
from collections.abc import Iterable, Iterator
from itertools import islice
from typing import NamedTuple

from cleatlink.core.data import Endpoint, Placement, Refusal, Request, RequestClass, Role
from cleatlink.core.errors import ErrorKind
from cleatlink.routing.group import Group, sample
from cleatlink.routing.prefix import PREFIX_TOKENS
from cleatlink.routing.view import EndpointLoad, FleetView, Reservation

__all__ = [
    "Context",
    "note_decode",
    "place_call",
    "place_request",
    "release_request",
    "reserve_request",
]

# Decode endpoints drawn at random, of which the less busy is taken.
_CHOICES = 2
# Endpoints looked at for a prefill: by affinity, and at random.
_WALK = 3
_SAMPLE = 3
_NO_PREFILL = Refusal(ErrorKind.NO_ENDPOINT, "no prefill endpoint is eligible")


class Context(NamedTuple):
    """What a decision is given besides the request and the view.

    Attributes:
        data_centre: Where this instance runs; endpoints there go first.
        excluded: Endpoints that already failed this request.
        now: Reading of the monotonic clock, in seconds.
        rng: The seeded generator.
    """

    data_centre: str
    excluded: frozenset[str]
    now: float
    rng: random.Random


def place_request(
    request: Request, request_class: RequestClass, view: FleetView, context: Context
) -> Placement | Refusal:
    """Place a model request.

    Args:
        request: The classified request.
        request_class: Its class.
        view: What is known of the fleet.
        context: Time, chance and what was tried before.

    Returns:
        Where the request goes, or why it goes nowhere.
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
    if context.now + finish_s > request.first_token_by:
        return Refusal(ErrorKind.TARGET_MISSED, f"prefill would take {finish_s:.2f} s", finish_s)
    if prefill.wait_s > request_class.queue_limit_s:
        return Refusal(ErrorKind.NO_ROOM, "prefill is kept free for more urgent classes")
    reason = f"decode {decode.busy:.0%} busy; prefill queue {prefill.wait_s:.3f} s"
    return Placement(prefill.endpoint, decode.endpoint, reason)


def place_call(
    request_class: RequestClass, view: FleetView, context: Context
) -> Endpoint | Refusal:
    """Place a call of a plain service: nearby first, at random among equals."""
    usable = [
        endpoint
        for endpoint in view.candidates(request_class.name, Role.PLAIN, context.now)
        if endpoint.name not in context.excluded
    ]
    if not usable:
        return Refusal(ErrorKind.NO_ENDPOINT, "no endpoint of the service is eligible")
    near = [endpoint for endpoint in usable if endpoint.data_centre == context.data_centre]
    return context.rng.choice(near or usable)


def reserve_request(view: FleetView, request: Request, placement: Placement, now: float) -> None:
    """Count a placement against both endpoints until it is released.

    The prefill is sent at once, so reports can soon show it; the decode only
    begins when the prefill is done.
    """
    memory = request.prompt_tokens + request.max_output_tokens
    prefill = Reservation(placement.prefill.name, request.prompt_tokens, 0, now)
    view.reserve(f"{request.name}/prefill", prefill, now)
    decode = Reservation(placement.decode.name, 0, memory, None)
    view.reserve(f"{request.name}/decode", decode, now)


def note_decode(view: FleetView, request: Request, now: float) -> None:
    """Note that a request's prefill is done and its decode begins."""
    view.release(f"{request.name}/prefill", now)
    view.note_started(f"{request.name}/decode", now)


def release_request(view: FleetView, request: Request, now: float) -> None:
    """Release what a request reserved."""
    view.release(f"{request.name}/prefill", now)
    view.release(f"{request.name}/decode", now)


def _find_decode(
    view: FleetView, request_class: RequestClass, needed: int, context: Context
) -> EndpointLoad | Refusal:
    """Find room, nearby first: a few at random, and all only if none of them has it."""
    near = view.group(request_class.name, Role.DECODE, context.data_centre).endpoints
    everywhere = view.group(request_class.name, Role.DECODE).endpoints
    for endpoints in (near, everywhere):
        drawn = sample(endpoints, _CHOICES, context.rng)
        best = _least_busy(view, drawn, needed, context)
        if best is None and len(endpoints) > len(drawn):
            best = _least_busy(view, endpoints, needed, context)
        if best is not None:
            return best
    if not any(_allowed(view, endpoint, context) for endpoint in everywhere):
        return Refusal(ErrorKind.NO_ENDPOINT, "no decode endpoint is eligible")
    return Refusal(ErrorKind.NO_ROOM, f"no decode endpoint has room for {needed} tokens")


def _least_busy(
    view: FleetView, endpoints: Iterable[Endpoint], needed: int, context: Context
) -> EndpointLoad | None:
    """Give the least busy of some endpoints that has room."""
    best = None
    for endpoint in endpoints:
        if _allowed(view, endpoint, context):
            load = view.load(endpoint, context.now)
            roomy = load.free_tokens >= needed and load.running < load.slots
            if roomy and (best is None or load.busy < best.busy):
                best = load
    return best


def _find_prefill(
    request: Request,
    view: FleetView,
    request_class: RequestClass,
    data_centre: str,
    context: Context,
) -> EndpointLoad | None:
    """Take the endpoint that would be done first, beside the decode where possible.

    Looked at are those known to have the prefix cached, the first ones on the
    ring from the prefix, where it comes to be cached, and a few at random.
    """
    group = view.group(request_class.name, Role.PREFILL, data_centre)
    if not any(_allowed(view, endpoint, context) for endpoint in group.endpoints):
        group = view.group(request_class.name, Role.PREFILL)
    walk = (item for item in _by_affinity(request, view, group) if _allowed(view, item, context))
    loads = [view.load(endpoint, context.now) for endpoint in islice(walk, _WALK)]
    loads += [
        view.load(endpoint, context.now)
        for endpoint in sample(group.endpoints, _SAMPLE, context.rng)
        if _allowed(view, endpoint, context)
    ]
    # The first of equals wins, which is the first by affinity.
    return min(loads, key=lambda load: _finish_s(request, view, load), default=None)


def _finish_s(request: Request, view: FleetView, load: EndpointLoad) -> float:
    """Estimate the seconds until an endpoint would have prefilled a request."""
    tokens = load.waiting_tokens + request.prompt_tokens
    if load.endpoint.name in view.cache_holders(request.prefix_hash):
        tokens -= min(request.prompt_tokens, PREFIX_TOKENS)
    return tokens / load.prefill_tokens_per_s


def _has_prefill(view: FleetView, request_class: RequestClass, context: Context) -> bool:
    group = view.group(request_class.name, Role.PREFILL)
    return any(_allowed(view, endpoint, context) for endpoint in group.endpoints)


def _by_affinity(request: Request, view: FleetView, group: Group) -> Iterator[Endpoint]:
    """Go through endpoints known to have the prefix, then through the ring."""
    for name in sorted(view.cache_holders(request.prefix_hash) & group.by_name.keys()):
        yield group.by_name[name]
    yield from group.walk(request.prefix_hash)


def _allowed(view: FleetView, endpoint: Endpoint, context: Context) -> bool:
    return endpoint.name not in context.excluded and view.usable(endpoint, context.now)
