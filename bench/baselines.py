"""Two simple policies to compare with: round robin and least reported load."""

from itertools import count

from cleatlink.core.data import Endpoint, Placement, Refusal, Request, RequestClass, Role
from cleatlink.core.errors import ErrorKind
from cleatlink.routing import Context, FleetView

__all__ = ["RoundRobin", "place_least_load"]

_NOTHING = Refusal(ErrorKind.NO_ENDPOINT, "no endpoint is eligible")


class RoundRobin:
    """Takes eligible endpoints in turns, whatever their load."""

    def __init__(self) -> None:
        self._turns = count()

    def __call__(
        self, request: Request, wanted: RequestClass, view: FleetView, context: Context
    ) -> Placement | Refusal:
        """Place a request."""
        turn = next(self._turns)
        prefills = _eligible(view, wanted, Role.PREFILL, context)
        decodes = _eligible(view, wanted, Role.DECODE, context)
        if not prefills or not decodes:
            return _NOTHING
        return Placement(prefills[turn % len(prefills)], decodes[turn % len(decodes)], "turn")


def place_least_load(
    request: Request, wanted: RequestClass, view: FleetView, context: Context
) -> Placement | Refusal:
    """Take the endpoints whose last reports show the least load."""
    prefills = _eligible(view, wanted, Role.PREFILL, context)
    decodes = _eligible(view, wanted, Role.DECODE, context)
    if not prefills or not decodes:
        return _NOTHING
    prefill = min(prefills, key=lambda endpoint: view.last_report(endpoint).waiting_tokens)
    decode = min(decodes, key=lambda endpoint: view.last_report(endpoint).running)
    return Placement(prefill, decode, "least reported load")


def _eligible(
    view: FleetView, wanted: RequestClass, role: Role, context: Context
) -> list[Endpoint]:
    endpoints = view.usable_endpoints(wanted.name, role, context.now)
    return [endpoint for endpoint in endpoints if endpoint.name not in context.excluded]
