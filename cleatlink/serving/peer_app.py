"""HTTP app for peers: passes each request to a handler and returns its answer."""

from collections.abc import Awaitable, Callable

from quart import Response, request
from quart_trio import QuartTrio

from cleatlink.core.errors import PeerError

__all__ = ["build_peer_app"]

_MAX_BODY_BYTES = 4_000_000


def build_peer_app(handle_request: Callable[[str, bytes], Awaitable[bytes]]) -> QuartTrio:
    """Build the app with the function that handles the requests of peers."""
    app = QuartTrio("cleatlink.peers")
    app.config["MAX_CONTENT_LENGTH"] = _MAX_BODY_BYTES

    @app.post("/peer/<path>")
    async def handle(path: str) -> Response:
        body = await request.data
        return Response(await handle_request(path, body), content_type="application/msgpack")

    @app.errorhandler(PeerError)
    async def reject_invalid_request(error: PeerError) -> Response:
        return Response(b"", status=400)

    return app
