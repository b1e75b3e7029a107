"""HTTP handlers for the platform, for peers and for readers of metrics and status."""

import msgspec

from cleatlink.core.routes import CallerLimits
from cleatlink.relay.callers.server import Handler
from cleatlink.relay.exchange import Exchange
from cleatlink.relay.peers.deflate import DEFLATE_HEADERS, accepts_deflate
from cleatlink.relay.peers.snapshots import SnapshotPart
from cleatlink.relay.status import InstanceState

__all__ = [
    "MetricsHandler",
    "PeerHandler",
    "ReadyHandler",
]

_STATUS_PATH = b"/status"


class InternalHandler(Handler):
    """Base of the handlers for the platform, operators and peers."""

    def __init__(self, state: InstanceState) -> None:
        self._state = state

    @property
    def limits(self) -> CallerLimits:
        """Default limits."""
        return CallerLimits()

    @property
    def asks_to_close(self) -> bool:
        """Never asks to close a connection."""
        return False

    async def refuse(self, exchange: Exchange, status: int) -> None:
        """Answer with the status and no body."""
        await exchange.answer(status, (), b"")


class ReadyHandler(InternalHandler):
    """Reports whether the instance accepts new connections."""

    async def handle(self, exchange: Exchange) -> None:
        """Answer 200 or 503, for any path."""
        await exchange.answer(200 if self._state.ready else 503, (), b"")


class PeerHandler(InternalHandler):
    """Serves snapshots of the state of this instance to peers."""

    async def handle(self, exchange: Exchange) -> None:
        """Answer with the part that the path names, compressed if the peer accepts that."""
        request = exchange.request
        is_compressed = accepts_deflate(request.headers)
        headers = DEFLATE_HEADERS if is_compressed else ()
        body = self._state.snapshot(
            SnapshotPart.from_path(request.target), is_compressed=is_compressed
        )
        await exchange.answer(200, headers, body)


class MetricsHandler(InternalHandler):
    """Serves the metrics and the current status."""

    async def handle(self, exchange: Exchange) -> None:
        """Answer with the metrics as text, or on ``/status`` with the status as JSON."""
        if exchange.request.target == _STATUS_PATH:
            body = msgspec.json.encode(self._state.status())
            await exchange.answer(200, ((b"Content-Type", b"application/json"),), body)
            return
        headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        await exchange.answer(200, headers, self._state.render_metrics())
