"""The HTTP app that peers ask; it only moves questions and answers."""

from collections.abc import Awaitable, Callable

from quart import Response, request
from quart_trio import QuartTrio

from cleatlink.core.errors import PeerError

__all__ = ["build_peer_app"]

_MAX_BODY_BYTES = 4_000_000


def build_peer_app(answer: Callable[[str, bytes], Awaitable[bytes]]) -> QuartTrio:
    """Build the app around the function that answers peers."""
    app = QuartTrio("cleatlink.peers")
    app.config["MAX_CONTENT_LENGTH"] = _MAX_BODY_BYTES

    @app.post("/peer/<path>")
    async def ask(path: str) -> Response:
        body = await request.data
        return Response(await answer(path, body), content_type="application/msgpack")

    @app.errorhandler(PeerError)
    async def not_understood(error: PeerError) -> Response:
        return Response(b"", status=400)

    return app
