"""Stand-in for the platform, which publishes the configuration and the instance list.

Routers only read and watch these documents. The platform can be down or answer
from an old replica, and counts every call.
"""

from typing import Any

import trio
from quart import Response, request
from quart_trio import QuartTrio

__all__ = ["Platform", "build_app"]

_DOCUMENT_KINDS = ("config", "instances")


class Platform:
    """Keeps every published revision of both documents.

    Attributes:
        published: Revisions by kind of document, oldest first.
        down: Whether the platform refuses all calls.
        stale_kinds: Kinds of documents that are answered from an old replica.
        call_count: Number of calls received.
    """

    def __init__(self) -> None:
        self.published: dict[str, list[dict[str, Any]]] = {kind: [] for kind in _DOCUMENT_KINDS}
        self.down = False
        self.stale_kinds: set[str] = set()
        self.call_count = 0
        self._changed = trio.Event()

    def publish(self, kind: str, value: Any) -> int:
        """Publish a document, wake its watchers and return the new revision."""
        revision = len(self.published[kind]) + 1
        self.published[kind].append({"revision": revision, "value": value})
        self._wake_watchers()
        return revision

    def set_faults(self, down: bool, stale_kinds: set[str]) -> None:
        """Set the faults and wake the watchers.

        Args:
            down: Whether the platform refuses all calls.
            stale_kinds: Kinds of documents to answer from an old replica.
        """
        self.down, self.stale_kinds = down, stale_kinds
        self._wake_watchers()

    def read(self, kind: str) -> dict[str, Any] | None:
        """Return the newest revision, the first revision if stale, or None if there is none."""
        documents = self.published[kind]
        if not documents:
            return None
        return documents[0] if kind in self.stale_kinds else documents[-1]

    async def watch(self, kind: str, after: int, wait_s: float) -> dict[str, Any] | None:
        """Wait for a revision other than ``after``; return None if none is published.

        Older revisions count too, because a stale replica does not know newer ones. The wait ends
        after ``wait_s`` seconds, or when the platform goes down.
        """
        with trio.move_on_after(wait_s):
            while not self.down:
                document = self.read(kind)
                if document is not None and document["revision"] != after:
                    return document
                await self._changed.wait()
        return None

    def _wake_watchers(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def build_app(platform: Platform) -> QuartTrio:
    """Build the app that serves the platform; ``/admin`` is for demos and tests."""
    app = QuartTrio(__name__)

    @app.get("/v1/<kind>")
    async def read(kind: str) -> Response | tuple[dict[str, Any], int]:
        platform.call_count += 1
        if platform.down or kind not in _DOCUMENT_KINDS:
            return Response(b"", status=503 if platform.down else 404)
        after = request.args.get("after", type=int)
        if after is None:
            document = platform.read(kind)
        else:
            wait_s = min(request.args.get("wait", 10.0, type=float), 60.0)
            document = await platform.watch(kind, after, wait_s)
        if platform.down:
            return Response(b"", status=503)
        return (document, 200) if document is not None else Response(b"", status=204)

    @app.post("/admin/publish/<kind>")
    async def publish(kind: str) -> dict[str, Any]:
        return {"revision": platform.publish(kind, await request.get_json())}

    @app.post("/admin/faults")
    async def faults() -> dict[str, Any]:
        body = await request.get_json()
        platform.set_faults(bool(body.get("down")), set(body.get("stale", ())))
        return {"calls": platform.call_count}

    return app
