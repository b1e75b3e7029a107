"""Places a request: which prefill endpoint and which decode endpoint, or why not.

Decode room is chosen before the prefill, because a prefill's result lives only
seconds: one that finds no room to continue was done for nothing. Among equals
two random choices are compared, so that instances with the same old reports do
not all pick the one that looked idle.
"""

import random
from typing import NamedTuple

from cleatlink.core.data import Endpoint, Placement, Refusal, Request, RequestClass, Role
from cleatlink.core.errors import ErrorKind
from cleatlink.routing.prefix import rank_names
from cleatlink.routing.view import EndpointLoad, FleetView, Reservation

__all__ = ["Context", "place_call", "place_request", "release_request", "reserve_request"]

# The first choice by prefix keeps a prompt unless it is this much above the mean.
_AFFINITY_BOUND = 1.25
_CHOICES = 2


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
    prefills = _usable(view, request_class, Role.PREFILL, context)
    decodes = _usable(view, request_class, Role.DECODE, context)
    if not prefills or not decodes:
        missing = "prefill" if not prefills else "decode"
        return Refusal(ErrorKind.NO_ENDPOINT, f"no {missing} endpoint is eligible")
    needed = request.prompt_tokens + request.max_output_tokens
    roomy = [load for load in decodes if load.free_tokens >= needed and load.running < load.slots]
    if not roomy:
        return Refusal(ErrorKind.NO_ROOM, f"no decode endpoint has room for {needed} tokens")
    decode = _pick_decode(roomy, context)
    prefill = _pick_prefill(request, prefills, decode.endpoint.data_centre, view)
    finish_s = prefill.wait_s + request.prompt_tokens / prefill.prefill_tokens_per_s
    if context.now + finish_s > request.deadline:
        return Refusal(ErrorKind.DEADLINE_NOT_RUN, f"prefill would take {finish_s:.1f} s")
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
    """Count a placement against both endpoints until it is released."""
    memory = request.prompt_tokens + request.max_output_tokens
    view.reserve(
        f"{request.name}/prefill",
        Reservation(placement.prefill.name, request.prompt_tokens, 0, now),
    )
    view.reserve(f"{request.name}/decode", Reservation(placement.decode.name, 0, memory, now))


def release_request(view: FleetView, request: Request) -> None:
    """Release what a request reserved."""
    view.release(f"{request.name}/prefill")
    view.release(f"{request.name}/decode")


def _usable(
    view: FleetView, request_class: RequestClass, role: Role, context: Context
) -> list[EndpointLoad]:
    return [
        view.load(endpoint)
        for endpoint in view.candidates(request_class.name, role, context.now)
        if endpoint.name not in context.excluded
    ]


def _pick_decode(loads: list[EndpointLoad], context: Context) -> EndpointLoad:
    """Take the less busy of two random nearby endpoints; far ones when none is near."""
    near = [load for load in loads if load.endpoint.data_centre == context.data_centre]
    pool = near or loads
    chosen = context.rng.sample(pool, min(_CHOICES, len(pool)))
    return min(chosen, key=lambda load: load.busy)


def _pick_prefill(
    request: Request, loads: list[EndpointLoad], data_centre: str, view: FleetView
) -> EndpointLoad:
    """Follow prefix affinity with bounded load, beside the decode where possible.

    Endpoints known to have the prefix cached come before the hashed order, which
    alone would not find it again after its first choice was away for a while.
    """
    near = [load for load in loads if load.endpoint.data_centre == data_centre]
    pool = near or loads
    by_name = {load.endpoint.name: load for load in pool}
    mean = sum(load.waiting_tokens for load in pool) / len(pool)
    bound = _AFFINITY_BOUND * (mean + request.prompt_tokens)
    ranked = rank_names(request.prefix_hash, by_name)
    ranked.sort(key=lambda name: not view.has_cached(name, request.prefix_hash))
    for name in ranked:
        if by_name[name].waiting_tokens + request.prompt_tokens <= bound:
            return by_name[name]
    return min(pool, key=lambda load: load.wait_s)
