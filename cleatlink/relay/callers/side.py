"""Answers to those who are no callers: the platform, peers, whoever reads the metrics."""

from typing import Protocol, TypedDict

import msgspec

from cleatlink.core.routes import CallerLimits
from cleatlink.relay.callers.server import Exchange, Handler

__all__ = [
    "HeldRequest",
    "InstanceState",
    "InstanceStatus",
    "MetricsHandler",
    "PeerHandler",
    "ReadyHandler",
]

_STATUS_PATH = b"/status"


class HeldRequest(TypedDict):
    """A request in quarantine.

    Attributes:
        asks: Its identity, as in the log.
        endpoints: The endpoints' lives that it ended.
        last_ago_s: Seconds since the last of them.
        for_s: Seconds until it may be tried again.
    """

    asks: str
    endpoints: list[str]
    last_ago_s: float
    for_s: float


class InstanceStatus(TypedDict):
    """What an instance knows just now.

    Attributes:
        name: Its name.
        version: Version of the program; told for operators, and compared by nobody.
        table_revision: Revision of the route table in force.
        store_era: How often the configuration service came back from a copy, as far as it told.
        endpoints: Endpoints that are registered.
        unusable: Registrations that can't be used, with the reason.
        instances: Instances that are heard, itself included.
        leads: Whether it gives orders.
        quarantine: Requests that are held back.
    """

    name: str
    version: str
    table_revision: int
    store_era: int
    endpoints: int
    unusable: dict[str, str]
    instances: int
    leads: bool
    quarantine: list[HeldRequest]


class InstanceState(Protocol):
    """What is told of an instance."""

    @property
    def ready(self) -> bool:
        """Whether it takes new connections."""

    def snapshot(self) -> bytes:
        """Give all that it knows, encoded for a peer."""

    def render_metrics(self) -> bytes:
        """Give its metrics as text."""

    def status(self) -> InstanceStatus:
        """Give what it knows just now."""


class SideHandler(Handler):
    """Answers a question of the platform, an operator or a peer."""

    def __init__(self, state: InstanceState) -> None:
        self._state = state

    @property
    def limits(self) -> CallerLimits:
        """Default limits."""
        return CallerLimits()

    @property
    def closing(self) -> bool:
        """Connections are kept."""
        return False

    async def refuse(self, exchange: Exchange, status: int) -> None:
        """Answer with the status alone."""
        await exchange.answer(status, (), b"")


class ReadyHandler(SideHandler):
    """Tells whether the instance takes new connections."""

    async def handle(self, exchange: Exchange) -> None:
        """Answer 200 or 503, whatever the path."""
        await exchange.answer(200 if self._state.ready else 503, (), b"")


class PeerHandler(SideHandler):
    """Gives peers what this instance knows."""

    async def handle(self, exchange: Exchange) -> None:
        """Answer with a snapshot."""
        await exchange.answer(200, (), self._state.snapshot())


class MetricsHandler(SideHandler):
    """Gives the metrics, and what is known just now."""

    async def handle(self, exchange: Exchange) -> None:
        """Answer with the metrics as text, or on ``/status`` with the status as JSON."""
        if exchange.request.target == _STATUS_PATH:
            body = msgspec.json.encode(self._state.status())
            await exchange.answer(200, ((b"Content-Type", b"application/json"),), body)
            return
        headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        await exchange.answer(200, headers, self._state.render_metrics())
