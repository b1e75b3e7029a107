"""A naive placement for comparison: it examines every endpoint for every request."""

from cleatlink.core.data import Configuration, Endpoint, Placement, Refusal, Request, Role
from cleatlink.core.errors import ErrorKind
from cleatlink.core.labels import matches_selector
from cleatlink.routing import Context, FleetView, rank_names
from cleatlink.routing.fleet_view import EndpointLoad, endpoint_labels

__all__ = ["place_naively"]


def place_naively(
    request: Request, configuration: Configuration, view: FleetView, context: Context
) -> Placement | Refusal:
    """Choose the prefill and the decode endpoint of a request by examining all endpoints."""
    needed_tokens = request.prompt_tokens + request.max_output_tokens
    decodes = _eligible_loads(request, configuration, view, context, Role.DECODE)
    prefills = _eligible_loads(request, configuration, view, context, Role.PREFILL)
    if not decodes or not prefills:
        return Refusal(ErrorKind.NO_ENDPOINT, "")
    with_capacity = [
        load for load in decodes if load.free_tokens >= needed_tokens and load.running < load.slots
    ]
    if not with_capacity:
        return Refusal(ErrorKind.NO_ROOM, "")
    local = [load for load in with_capacity if load.endpoint.data_centre == context.data_centre]
    decode = min(local or with_capacity, key=lambda load: load.busy_share)
    near_decode = [
        load for load in prefills if load.endpoint.data_centre == decode.endpoint.data_centre
    ]
    by_name = {load.endpoint.name: load for load in near_decode or prefills}
    mean_waiting_tokens = sum(load.waiting_tokens for load in by_name.values()) / len(by_name)
    for name in rank_names(request.prefix_hash, by_name):
        load = by_name[name]
        if load.waiting_tokens + request.prompt_tokens <= 1.25 * (
            mean_waiting_tokens + request.prompt_tokens
        ):
            return Placement(load.endpoint, decode.endpoint, "")
    best = min(by_name.values(), key=lambda load: load.prefill_wait_s)
    return Placement(best.endpoint, decode.endpoint, "")


def _eligible_loads(
    request: Request,
    configuration: Configuration,
    view: FleetView,
    context: Context,
    role: Role,
) -> list[EndpointLoad]:
    request_class = configuration.classes[request.request_class]
    return [
        view.estimate_load(endpoint, context.now)
        for endpoint in view.fleet.endpoints
        if _serves(configuration, endpoint, request.service, role)
        and matches_selector(request_class.selector, endpoint_labels(configuration, endpoint))
        and endpoint.name not in context.excluded
        and view.is_usable(endpoint, context.now)
    ]


def _serves(configuration: Configuration, endpoint: Endpoint, service: str, role: Role) -> bool:
    pool = configuration.pools.get(endpoint.pool)
    if pool is None or pool.service != service:
        return False
    return pool.role is role or (pool.role is Role.BOTH and role is not Role.PLAIN)
