"""Callers' side: the HTTP app, as a row of filters from request to answer.

classify -> admit -> place and attempt (the flight) -> relay -> settle. Each
filter refuses with one kind of error; ``_refuse`` counts it and answers.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

import eliot
import msgspec
import trio
from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, Scope
from quart import Response, request
from quart.wrappers.response import IterableBody
from quart_trio import QuartTrio
from werkzeug.exceptions import HTTPException, RequestEntityTooLarge

from cleatlink.core.data import Configuration, Refusal, ServiceKind
from cleatlink.core.errors import ERROR_RESPONSES, ErrorKind, RequestError
from cleatlink.request import find_home_data_centre, is_repeatable, parse_key_time
from cleatlink.request.classify import (
    KEY_HEADER,
    ClassifiedRequest,
    IncomingRequest,
    classify_call,
    classify_model,
)
from cleatlink.serving.calls import CallFlight, CallOrder, run_keyed_call
from cleatlink.serving.endpoints import PlainAnswer
from cleatlink.serving.flight import (
    Finished,
    FlightParts,
    ModelFlight,
    Refused,
    Tokens,
    join_text,
)
from cleatlink.serving.metrics import Metrics
from cleatlink.serving.peers import Peers

__all__ = ["CallerApp", "CallerParts", "build_caller_app"]

_BODY_TIMEOUT_S = 10.0
# What has come of a body gives it more time, as far as it comes at this pace at least.
_SLOWEST_BYTES_A_S = 8_192
# The most that any configuration may allow.
_MAX_BODY_BYTES = 64_000_000
_VISIT = "cleatlink.visit"
_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
# Errors that a newer configuration may do away with.
_BY_CONFIGURATION = frozenset(
    {
        ErrorKind.UNKNOWN_MODEL,
        ErrorKind.UNKNOWN_SERVICE,
        ErrorKind.UNKNOWN_CLASS,
        ErrorKind.TOO_LARGE,
    }
)
_DONE_EVENT = b"data: [DONE]\n\n"


class CallerParts(NamedTuple):
    """What the callers' side needs of the instance.

    Attributes:
        configuration: Gives the configuration in force.
        admit: Gives a refusal while this instance takes no new work.
        enter: Counts a request in.
        leave: Counts a request out.
        flight_parts: What flights share.
        peers: This instance among the others.
        metrics: The instance's counters.
        nursery: Runs what must end although its caller has gone.
        describe: Describes the instance for ``/status``.
    """

    configuration: Callable[[], Configuration | None]
    admit: Callable[[], Refusal | None]
    enter: Callable[[], str]
    leave: Callable[[], None]
    flight_parts: Callable[[], FlightParts]
    peers: Peers
    metrics: Metrics
    nursery: trio.Nursery
    describe: Callable[[], dict[str, object]]


class CallerApp(QuartTrio):
    """The app; a request counts as in progress until its answer has been written."""

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Serve one request, and tear it down whatever happens to its connection."""
        visit = _Visit()
        scope[_VISIT] = visit  # type: ignore[literal-required]
        try:
            await super().__call__(scope, receive, send)
        finally:
            await visit.end()


class _Visit:
    """One request's stay at this instance, from its admission to its last byte."""

    def __init__(self) -> None:
        self._leave: Callable[[], None] | None = None
        self._flight: ModelFlight | None = None

    def begin(self, parts: CallerParts) -> str:
        """Count the request in, and give its name."""
        self._leave = parts.leave
        return parts.enter()

    def attach(self, flight: ModelFlight) -> None:
        """Have a flight closed at the end."""
        self._flight = flight

    async def end(self) -> None:
        """Close the flight and count the request out."""
        try:
            if self._flight is not None:
                self._flight.close()
                await self._flight.close_stream()
        finally:
            if self._leave is not None:
                self._leave()


def _visit() -> _Visit:
    """Give the present request's visit."""
    visit: _Visit = request.scope[_VISIT]  # type: ignore[literal-required]
    return visit


def build_caller_app(parts: CallerParts) -> CallerApp:
    """Build the app that callers reach."""
    app = CallerApp("cleatlink")
    app.config["MAX_CONTENT_LENGTH"] = _MAX_BODY_BYTES
    app.config["RESPONSE_TIMEOUT"] = None
    _add_model_routes(app, parts)
    _add_service_routes(app, parts)
    _add_status_routes(app, parts)
    _add_error_handlers(app, parts)
    return app


def _add_model_routes(app: CallerApp, parts: CallerParts) -> None:
    @app.post("/v1/chat/completions")
    async def chat() -> Response:
        return await _serve_model(parts, chat=True)

    @app.post("/v1/completions")
    async def completions() -> Response:
        return await _serve_model(parts, chat=False)

    @app.get("/v1/models")
    async def models() -> Response:
        configuration = parts.configuration()
        services = configuration.services.values() if configuration else ()
        data = [
            {"id": model, "object": "model", "created": 0, "owned_by": service.name}
            for service in services
            if service.kind is ServiceKind.MODEL
            for model in service.models
        ]
        return _json({"object": "list", "data": data})


def _add_service_routes(app: CallerApp, parts: CallerParts) -> None:
    @app.route("/services/<name>/", defaults={"path": ""}, methods=_METHODS)
    @app.route("/services/<name>/<path:path>", methods=_METHODS)
    async def call(name: str, path: str) -> Response:
        return await _serve_call(parts, name, f"/{path}")


def _add_status_routes(app: CallerApp, parts: CallerParts) -> None:
    @app.get("/healthz")
    async def health() -> Response:
        return _json({"healthy": True})

    @app.get("/readyz")
    async def ready() -> Response:
        refusal = parts.admit()
        body = {"ready": refusal is None, "reason": refusal.kind.value if refusal else None}
        return _json(body, 200 if refusal is None else 503)

    @app.get("/metrics")
    async def metrics() -> Response:
        content, headers = parts.metrics.render()
        return Response(content, headers=headers)

    @app.get("/status")
    async def status() -> Response:
        return _json(parts.describe())


def _add_error_handlers(app: CallerApp, parts: CallerParts) -> None:
    @app.errorhandler(RequestError)
    async def request_error(error: RequestError) -> Response:
        return _refuse(parts, _judge(parts, error))

    @app.errorhandler(RequestEntityTooLarge)
    async def too_large(error: RequestEntityTooLarge) -> Response:
        return _refuse(parts, Refusal(ErrorKind.TOO_LARGE, "body is too large"))

    @app.errorhandler(HTTPException)
    async def http_error(error: HTTPException) -> Response:
        kind = ErrorKind.NOT_FOUND if error.code in (404, 405) else ErrorKind.BAD_REQUEST
        return _refuse(parts, Refusal(kind, error.name))

    @app.errorhandler(Exception)
    async def internal(error: Exception) -> Response:
        eliot.write_traceback()
        return _refuse(parts, Refusal(ErrorKind.INTERNAL, "internal error"))


async def _serve_model(parts: CallerParts, chat: bool) -> Response:
    """Pass a model request through the filters."""
    arrived = trio.current_time()
    configuration = _admit(parts)
    raw = await _read_body(configuration.limits.body_bytes)
    visit = _visit()
    name = visit.begin(parts)
    order = classify_model(raw, chat, IncomingRequest(name, _headers(), arrived), configuration)
    flight = ModelFlight(order, parts.flight_parts())
    visit.attach(flight)
    parts.metrics.count_request(order.request.request_class)
    with eliot.start_action(action_type="request: model", request=name):
        answer = _Relay(flight, order, parts, arrived)
        return await (answer.stream() if order.stream else answer.whole())


class _Relay:
    """Passes one flight's answer on to the caller and settles it."""

    def __init__(
        self, flight: ModelFlight, order: ClassifiedRequest, parts: CallerParts, arrived: float
    ) -> None:
        self._flight = flight
        self._order = order
        self._parts = parts
        self._arrived = arrived
        self._first_at = 0.0

    async def stream(self) -> Response:
        """Answer as server-sent events, once the first token is there."""
        first = await self._next()
        if isinstance(first, Refused):
            return self._refused(first.refusal)
        response = Response(IterableBody(self._events(first)), content_type="text/event-stream")
        response.headers["Cache-Control"] = "no-cache"
        response.headers["X-Request-Id"] = self._order.request.name
        response.timeout = None
        return response

    async def whole(self) -> Response:
        """Answer with one JSON document."""
        while True:
            output = await self._next()
            if isinstance(output, Refused):
                return self._refused(output.refusal)
            if isinstance(output, Finished):
                break
        self._settle()
        response = _json(_join_answer(self._order, self._flight.relayed))
        response.headers["X-Request-Id"] = self._order.request.name
        return response

    async def _events(self, first: Tokens | Finished) -> AsyncIterator[bytes]:
        output: Tokens | Finished | Refused = first
        while isinstance(output, Tokens):
            yield b"".join(b"id: %d\ndata: %b\n\n" % event for event in output.events)
            output = await self._next()
        if isinstance(output, Refused):
            self._flight.close()
            yield b"data: %b\n\n" % msgspec.json.encode(_error_body(self._parts, output.refusal))
            return
        self._settle()
        yield _DONE_EVENT

    async def _next(self) -> Tokens | Finished | Refused:
        output = await self._flight.advance()
        if not self._first_at:
            self._first_at = trio.current_time()
        return output

    def _refused(self, refusal: Refusal) -> Response:
        self._flight.close()
        return _refuse(self._parts, refusal)

    def _settle(self) -> None:
        """Count the answer, and whether both latency targets were met."""
        self._flight.close()
        request_class = self._order.request_class
        tokens = len(self._flight.relayed)
        ttft_s = self._first_at - self._arrived
        token_s = (trio.current_time() - self._first_at) / max(1, tokens - 1)
        good = ttft_s <= request_class.ttft_target_s and token_s <= request_class.token_target_s
        self._parts.metrics.count_answer(request_class.name, tokens, good)


async def _serve_call(parts: CallerParts, service_name: str, path: str) -> Response:
    """Pass a plain service's call through the filters."""
    arrived = trio.current_time()
    configuration = _admit_call(parts)
    body = await _read_body(configuration.limits.body_bytes)
    headers = _headers()
    name = _visit().begin(parts)
    request_, request_class, service = classify_call(
        service_name, IncomingRequest(name, headers, arrived), configuration
    )
    parts.metrics.count_request(request_class.name)
    repeatable = is_repeatable(service.unrepeatable, request.method, path)
    query = request.query_string.decode("latin-1")
    target = f"{path}?{query}" if query else path
    order = CallOrder(request_, request_class, repeatable, request.method, target, headers, body)
    with eliot.start_action(action_type="request: call", request=name):
        result = await _run_call(parts, order, configuration)
    if isinstance(result, Refusal):
        return _refuse(parts, result)
    parts.metrics.count_answer(request_class.name, 0, True)
    response = Response(result.body, status=result.status, headers=dict(result.headers))
    response.headers["X-Request-Id"] = name
    return response


async def _run_call(
    parts: CallerParts, order: CallOrder, configuration: Configuration
) -> PlainAnswer | Refusal:
    """Run a call; one with a key and that may not be repeated goes to the key's owner."""
    key = order.headers.get(KEY_HEADER)
    flight_parts = parts.flight_parts()
    if key is None or order.repeatable:
        return await CallFlight(order, flight_parts).run()
    home = find_home_data_centre(key, configuration.data_centres)
    if parse_key_time(key) is None or home is None:
        detail = f"{KEY_HEADER} must be a UUIDv7, or data-centre:UUIDv7"
        return Refusal(ErrorKind.BAD_REQUEST, detail)
    return await _run_to_the_end(
        parts, lambda: run_keyed_call(order, key, home, flight_parts, parts.peers)
    )


async def _run_to_the_end(
    parts: CallerParts, run: Callable[[], Awaitable[PlainAnswer | Refusal]]
) -> PlainAnswer | Refusal:
    """Run a keyed call also when its caller goes, so that its outcome is known."""
    results: list[PlainAnswer | Refusal] = []
    done = trio.Event()

    async def work() -> None:
        try:
            results.append(await run())
        finally:
            done.set()
            parts.leave()

    parts.enter()
    parts.nursery.start_soon(work)
    await done.wait()
    return results[0]


def _admit(parts: CallerParts) -> Configuration:
    """Refuse early, while nothing has been spent on the request."""
    refusal = parts.admit()
    if refusal is not None:
        raise RequestError(refusal.kind, refusal.detail)
    configuration = parts.configuration()
    assert configuration is not None, "an instance without configuration is not ready"
    return configuration


def _judge(parts: CallerParts, error: RequestError) -> Refusal:
    """Give the refusal for an error; none that is final while a newer configuration exists."""
    if error.kind not in _BY_CONFIGURATION or not parts.peers.knows_newer_configuration:
        return Refusal(error.kind, error.detail)
    kind = ErrorKind.KEY_UNAVAILABLE if KEY_HEADER in request.headers else ErrorKind.NOT_READY
    return Refusal(kind, f"{error.detail}; a newer configuration is on its way")


def _admit_call(parts: CallerParts) -> Configuration:
    """Admit a call; one with a key is never refused as ``not run`` before its owner is asked.

    Another copy of it may have run through another instance.
    """
    try:
        return _admit(parts)
    except RequestError as error:
        if KEY_HEADER not in request.headers:
            raise
        detail = f"{error.detail}; ask again with the same key"
        raise RequestError(ErrorKind.KEY_UNAVAILABLE, detail) from None


async def _read_body(limit: int) -> bytes:
    """Read the body, but no more and no longer than is allowed."""
    body = bytearray()
    try:
        with trio.fail_after(_BODY_TIMEOUT_S) as scope:
            until = scope.deadline
            async for part in request.body:
                body += part
                scope.deadline = until + len(body) / _SLOWEST_BYTES_A_S
                if len(body) > limit:
                    raise RequestError(ErrorKind.TOO_LARGE, f"body has more than {limit} bytes")
    except trio.TooSlowError:
        detail = f"body came slower than {_SLOWEST_BYTES_A_S} bytes a second"
        raise RequestError(ErrorKind.SLOW_SENDER, detail) from None
    return bytes(body)


def _headers() -> dict[str, str]:
    return {name.lower(): value for name, value in request.headers.items()}


def _refuse(parts: CallerParts, refusal: Refusal) -> Response:
    """Answer with an error; the table says how."""
    answer = ERROR_RESPONSES[refusal.kind]
    response = _json(_error_body(parts, refusal), answer.status)
    response.headers["X-Ran"] = answer.ran
    retry_after_s = _retry_after_s(refusal)
    if retry_after_s is not None:
        # The header knows whole seconds only; the body has the exact number.
        response.headers["Retry-After"] = str(max(1, round(retry_after_s)))
    return response


def _error_body(parts: CallerParts, refusal: Refusal) -> dict[str, Any]:
    parts.metrics.count_refusal(refusal.kind)
    answer = ERROR_RESPONSES[refusal.kind]
    return {
        "error": {
            "message": refusal.detail,
            "type": "invalid_request_error" if answer.status < 500 else "server_error",
            "code": refusal.kind.value,
            "param": None,
            "ran": answer.ran,
            "retry_after_s": _retry_after_s(refusal),
        }
    }


def _retry_after_s(refusal: Refusal) -> float | None:
    if refusal.retry_after_s is not None:
        return refusal.retry_after_s
    return ERROR_RESPONSES[refusal.kind].retry_after_s


def _join_answer(order: ClassifiedRequest, events: list[bytes]) -> dict[str, Any]:
    """Join a stream's events into the whole-answer form."""
    text = join_text(events, order.chat)
    last = msgspec.json.decode(events[-1]) if events else {"choices": [{}]}
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": last["choices"][0].get("finish_reason"),
        "logprobs": None,
    }
    if order.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    prompt_tokens = order.request.prompt_tokens
    return {
        "id": order.request.name,
        "object": "chat.completion" if order.chat else "text_completion",
        "created": last.get("created", 0),
        "model": order.request.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": len(events),
            "total_tokens": prompt_tokens + len(events),
        },
    }


def _json(value: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status=status, content_type="application/json")
