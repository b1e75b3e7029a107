"""Stand-in for a plain service that counts executions by key and can be slow or leaving."""

from collections import Counter

import trio
from quart import Response, request
from quart_trio import QuartTrio

__all__ = ["PlainService"]


class PlainService:
    """Counts every execution before it answers, so that tests can detect repeated calls.

    Attributes:
        name: Name of the service.
        executions: Number of executions by key.
        delay_s: Duration of each execution in seconds.
        leaving: Whether the service reports that it is leaving.
        status: Status of the answer to each execution.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.executions: Counter[str] = Counter()
        self.delay_s = 0.0
        self.leaving = False
        self.status = 200

    async def execute(self, method: str, path: str, key: str, body: bytes) -> bytes:
        """Execute a call: count it, wait ``delay_s`` seconds, return the call's own content."""
        self.executions[key] += 1
        await trio.sleep(self.delay_s)
        return f"{method} {path} {key} ".encode() + body


def build_app(service: PlainService) -> QuartTrio:
    """Build the app that serves a plain service; ``/admin`` is for demos and tests."""
    app = QuartTrio(__name__)

    @app.get("/load")
    async def load() -> dict[str, object]:
        return {"endpoint": service.name, "leaving": service.leaving}

    @app.get("/admin/ledger")
    async def ledger() -> dict[str, object]:
        return {"executions": service.executions}

    @app.post("/admin/faults")
    async def faults() -> dict[str, object]:
        changes = await request.get_json()
        service.delay_s = changes.get("delay_s", service.delay_s)
        service.leaving = changes.get("leaving", service.leaving)
        service.status = changes.get("status", service.status)
        return {}

    @app.route("/<path:path>", methods=["GET", "POST", "PUT", "DELETE", "PATCH"])
    async def call(path: str) -> Response:
        key = request.headers.get("Idempotency-Key") or f"{request.method} /{path}"
        body = await request.data
        content = await service.execute(request.method, f"/{path}", key, body)
        return Response(content, status=service.status)

    return app
