"""Placement as simply as it can be written: filter every endpoint for every request."""

from cleatlink.core.data import Configuration, Endpoint, Placement, Refusal, Request, Role
from cleatlink.core.errors import ErrorKind
from cleatlink.core.labels import matches_selector
from cleatlink.routing import Context, FleetView, rank_names
from cleatlink.routing.fleet_view import EndpointLoad, endpoint_labels

__all__ = ["place_naively"]


def place_naively(
    request: Request, configuration: Configuration, view: FleetView, context: Context
) -> Placement | Refusal:
    """Place a request by looking at everything."""
    needed = request.prompt_tokens + request.max_output_tokens
    decodes = _filter(request, configuration, view, context, Role.DECODE)
    prefills = _filter(request, configuration, view, context, Role.PREFILL)
    if not decodes or not prefills:
        return Refusal(ErrorKind.NO_ENDPOINT, "")
    roomy = [load for load in decodes if load.free_tokens >= needed and load.running < load.slots]
    if not roomy:
        return Refusal(ErrorKind.NO_ROOM, "")
    here = [load for load in roomy if load.endpoint.data_centre == context.data_centre]
    decode = min(here or roomy, key=lambda load: load.busy_share)
    beside = [load for load in prefills if load.endpoint.data_centre == decode.endpoint.data_centre]
    by_name = {load.endpoint.name: load for load in beside or prefills}
    mean = sum(load.waiting_tokens for load in by_name.values()) / len(by_name)
    for name in rank_names(request.prefix_hash, by_name):
        load = by_name[name]
        if load.waiting_tokens + request.prompt_tokens <= 1.25 * (mean + request.prompt_tokens):
            return Placement(load.endpoint, decode.endpoint, "")
    best = min(by_name.values(), key=lambda load: load.prefill_wait_s)
    return Placement(best.endpoint, decode.endpoint, "")


def _filter(
    request: Request,
    configuration: Configuration,
    view: FleetView,
    context: Context,
    role: Role,
) -> list[EndpointLoad]:
    wanted = configuration.classes[request.request_class]
    return [
        view.estimate_load(endpoint, context.now)
        for endpoint in view.fleet.endpoints
        if _serves(configuration, endpoint, request.service, role)
        and matches_selector(wanted.selector, endpoint_labels(configuration, endpoint))
        and endpoint.name not in context.excluded
        and view.is_usable(endpoint, context.now)
    ]


def _serves(configuration: Configuration, endpoint: Endpoint, service: str, role: Role) -> bool:
    pool = configuration.pools.get(endpoint.pool)
    if pool is None or pool.service != service:
        return False
    return pool.role is role or (pool.role is Role.BOTH and role is not Role.PLAIN)
