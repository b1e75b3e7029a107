"""Two simple placement policies for comparison: round robin and least reported load."""

from itertools import count

from cleatlink.core.data import Endpoint, Placement, Refusal, Request, RequestClass, Role
from cleatlink.core.errors import ErrorKind
from cleatlink.routing import Context, FleetView

__all__ = ["RoundRobin", "place_least_load"]

_NO_ENDPOINT = Refusal(ErrorKind.NO_ENDPOINT, "no endpoint is eligible")


class RoundRobin:
    """Rotates through the eligible endpoints regardless of their load."""

    def __init__(self) -> None:
        self._positions = count()

    def __call__(
        self, request: Request, request_class: RequestClass, view: FleetView, context: Context
    ) -> Placement | Refusal:
        """Choose the next eligible prefill and decode endpoint."""
        position = next(self._positions)
        prefills = _eligible_endpoints(view, request_class, Role.PREFILL, context)
        decodes = _eligible_endpoints(view, request_class, Role.DECODE, context)
        if not prefills or not decodes:
            return _NO_ENDPOINT
        return Placement(
            prefills[position % len(prefills)], decodes[position % len(decodes)], "turn"
        )


def place_least_load(
    request: Request, request_class: RequestClass, view: FleetView, context: Context
) -> Placement | Refusal:
    """Choose the endpoints with the least load in their last reports."""
    prefills = _eligible_endpoints(view, request_class, Role.PREFILL, context)
    decodes = _eligible_endpoints(view, request_class, Role.DECODE, context)
    if not prefills or not decodes:
        return _NO_ENDPOINT
    prefill = min(prefills, key=lambda endpoint: view.last_report(endpoint).waiting_tokens)
    decode = min(decodes, key=lambda endpoint: view.last_report(endpoint).running)
    return Placement(prefill, decode, "least reported load")


def _eligible_endpoints(
    view: FleetView, request_class: RequestClass, role: Role, context: Context
) -> list[Endpoint]:
    endpoints = view.usable_endpoints(request_class.name, role, context.now)
    return [endpoint for endpoint in endpoints if endpoint.name not in context.excluded]
