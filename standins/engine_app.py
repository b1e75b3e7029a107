"""Serves the simulated model engine over HTTP, with the usual completions API."""

import json
from collections.abc import AsyncIterator
from typing import Any

import httpx
from quart import Response, request
from quart_trio import QuartTrio

from standins.engine import Chunk, Engine, EngineSettings, KvReference, Order, OrderRefusedError

__all__ = ["build_app", "build_engine", "encode_event_data"]


def build_engine(settings: EngineSettings) -> Engine:
    """Build an engine that fetches KV from other engines over HTTP."""
    client = httpx.AsyncClient(timeout=30.0)

    async def fetch(kv: KvReference) -> int:
        try:
            answer = await client.post(
                f"http://{kv.engine}/kv/export",
                json={"request": kv.request, "attempt": kv.attempt},
            )
        except httpx.HTTPError as error:
            raise OrderRefusedError(410, "kv_gone") from error
        if answer.status_code != 200:
            raise OrderRefusedError(410, "kv_gone")
        return int(answer.json()["tokens"])

    return Engine(settings, fetch)


def build_app(engine: Engine) -> QuartTrio:
    """Build the app that serves an engine; ``/admin`` is for demos and tests."""
    app = QuartTrio(__name__)

    @app.errorhandler(OrderRefusedError)
    async def refuse_order(error: OrderRefusedError) -> tuple[dict[str, Any], int]:
        return {"error": {"code": error.code, "ran": "no"}}, error.status

    @app.post("/v1/completions")
    async def completions() -> Response:
        return await _serve_order(engine, chat=False)

    @app.post("/v1/chat/completions")
    async def chat() -> Response:
        return await _serve_order(engine, chat=True)

    @app.post("/v1/resume")
    async def resume() -> Response:
        body = await request.get_json()
        chunks = await engine.resume(body["request"], body["attempt"], body["position"])
        return _build_stream_response(chunks, chat=body["chat"], model=body["model"])

    @app.post("/v1/cancel")
    async def cancel() -> dict[str, Any]:
        body = await request.get_json()
        engine.cancel(body["request"], body["attempt"])
        return {}

    @app.post("/kv/export")
    async def export() -> dict[str, Any]:
        body = await request.get_json()
        return {"tokens": await engine.export_kv(body["request"], body["attempt"])}

    @app.get("/load")
    async def load() -> dict[str, Any]:
        return engine.report() | engine.cache_events(request.args.get("events_after", 0, type=int))

    @app.post("/v1/orders")
    async def apply_command() -> dict[str, Any]:
        body = await request.get_json()
        engine.apply_command(body["kind"], body["value"], body["fence"])
        return {}

    @app.get("/admin/ledger")
    async def ledger() -> dict[str, Any]:
        held = ["/".join(map(str, key)) for key in engine.memory]
        totals = {"memory": engine.memory_used, "held": held, "counts": engine.counts}
        return totals | {"state": engine.state, "fence": engine.fence}

    @app.post("/admin/faults")
    async def faults() -> dict[str, Any]:
        body = await request.get_json()
        engine.leaving = body.pop("leaving", engine.leaving)
        engine.faults.update(body)
        return {}

    return app


async def _serve_order(engine: Engine, chat: bool) -> Response:
    """Prefill or decode, depending on ``kv_transfer_params`` in the body."""
    body = await request.get_json()
    transfer = body["kv_transfer_params"]
    order = _read_order(body)
    if transfer.get("do_remote_decode"):
        kv = await engine.prefill(order)
        answer = {
            "kv_transfer_params": {
                "do_remote_prefill": True,
                "remote_engine_id": kv.engine,
                "remote_host": request.host.rpartition(":")[0],
                "remote_port": int(request.host.rpartition(":")[2]),
                "remote_block_ids": [kv.attempt],
            }
        }
        return Response(json.dumps(answer), content_type="application/json")
    address = f"{transfer['remote_host']}:{transfer['remote_port']}"
    is_local = transfer["remote_engine_id"] == engine.settings.name
    kv = KvReference(
        engine.settings.name if is_local else address,
        order.request,
        transfer["remote_block_ids"][0],
    )
    return _build_stream_response(await engine.decode(order, kv), chat, body["model"])


def _read_order(body: dict[str, Any]) -> Order:
    prompt = body.get("prompt")
    if prompt is None:
        prompt = "\n".join(str(message["content"]) for message in body["messages"])
    resumed = body.get("resume") or {"position": 0, "text": ""}
    return Order(
        request.headers["X-Request-Id"],
        int(request.headers["X-Attempt"]),
        prompt,
        body["max_tokens"],
        resumed["position"],
        resumed["text"],
    )


def _build_stream_response(chunks: AsyncIterator[Chunk], chat: bool, model: str) -> Response:
    async def events() -> AsyncIterator[bytes]:
        async for chunk in chunks:
            yield _encode_event(chunk, chat, model)

    response = Response(events(), content_type="text/event-stream")
    response.timeout = None
    return response


def encode_event_data(chunk: Chunk, chat: bool, model: str) -> bytes:
    """Encode the data of a chunk as a completions API chunk in JSON."""
    content: dict[str, Any] = {"delta": {"content": chunk.text}} if chat else {"text": chunk.text}
    choice = {"index": 0, "finish_reason": "length" if chunk.last else None, **content}
    data = {
        "id": chunk.owner.rpartition(".")[0],
        "object": "chat.completion.chunk" if chat else "text_completion",
        "created": 0,
        "model": model,
        "choices": [choice],
    }
    return json.dumps(data).encode()


def _encode_event(chunk: Chunk, chat: bool, model: str) -> bytes:
    """Encode a chunk as a server-sent event; the ``[DONE]`` event follows the last chunk."""
    owner = chunk.owner.encode()
    data = encode_event_data(chunk, chat, model)
    event = b"id: %b:%d\ndata: %b\n\n" % (owner, chunk.position, data)
    if chunk.last:
        event += b"id: %b:%d\ndata: [DONE]\n\n" % (owner, chunk.position + 1)
    return event
