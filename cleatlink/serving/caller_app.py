"""HTTP app for callers.

A model request is admitted, classified, driven by a ``ModelRequestDriver`` (placement and
attempts), and its answer is forwarded and counted. Each step refuses a request with an
error kind; ``_build_error_response`` counts the refusal and builds the response.
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
from cleatlink.serving.endpoints import PlainAnswer
from cleatlink.serving.metrics import Metrics
from cleatlink.serving.model_request_driver import (
    AnswerEvents,
    DriverComponents,
    Finished,
    ModelRequestDriver,
    Refused,
    join_text,
)
from cleatlink.serving.peers import Peers
from cleatlink.serving.plain_call_driver import ClassifiedCall, PlainCallDriver, run_keyed_call

__all__ = ["CallerApp", "CallerComponents", "build_caller_app"]

_BASE_BODY_TIMEOUT_S = 10.0
# Each received byte extends the timeout, so a body of any size that arrives at this rate is read.
_MIN_BODY_BYTES_PER_S = 8_192
# Upper limit for the body size limit of any configuration.
_MAX_BODY_BYTES = 64_000_000
_LIFETIME_SCOPE_KEY = "cleatlink.request_lifetime"
_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
# Errors that may not occur with a newer configuration.
_CONFIGURATION_DEPENDENT_KINDS = frozenset(
    {
        ErrorKind.UNKNOWN_MODEL,
        ErrorKind.UNKNOWN_SERVICE,
        ErrorKind.UNKNOWN_CLASS,
        ErrorKind.TOO_LARGE,
    }
)
_DONE_EVENT = b"data: [DONE]\n\n"


class CallerComponents(NamedTuple):
    """Components of the instance that serving callers needs.

    Attributes:
        configuration: Returns the active configuration; None before the first one.
        get_admission_refusal: Returns a refusal while this instance accepts no new requests.
        begin_request: Counts a new request in progress and returns its name.
        end_request: Counts the end of a request in progress.
        get_driver_components: Returns the components that request drivers share.
        peers: Connection to the other instances.
        metrics: Metrics of the instance.
        nursery: Runs calls that must complete even if their caller disconnects.
        describe: Returns the content of ``/status``.
    """

    configuration: Callable[[], Configuration | None]
    get_admission_refusal: Callable[[], Refusal | None]
    begin_request: Callable[[], str]
    end_request: Callable[[], None]
    get_driver_components: Callable[[], DriverComponents]
    peers: Peers
    metrics: Metrics
    nursery: trio.Nursery
    describe: Callable[[], dict[str, object]]


class CallerApp(QuartTrio):
    """The HTTP app; a request is in progress until its response has been written."""

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Serve one request, and clean up after it even if its connection fails."""
        lifetime = _RequestLifetime()
        scope[_LIFETIME_SCOPE_KEY] = lifetime  # type: ignore[literal-required]
        try:
            await super().__call__(scope, receive, send)
        finally:
            await lifetime.end()


class _RequestLifetime:
    """Tracks one request from its admission until its response is written."""

    def __init__(self) -> None:
        self._end_request: Callable[[], None] | None = None
        self._driver: ModelRequestDriver | None = None

    def begin(self, components: CallerComponents) -> str:
        """Count the request as in progress, and return its name."""
        self._end_request = components.end_request
        return components.begin_request()

    def attach_driver(self, driver: ModelRequestDriver) -> None:
        """Set the driver that is closed at the end of the request."""
        self._driver = driver

    async def end(self) -> None:
        """Close the driver, and count the end of the request."""
        try:
            if self._driver is not None:
                self._driver.close()
                await self._driver.close_stream()
        finally:
            if self._end_request is not None:
                self._end_request()


def _get_lifetime() -> _RequestLifetime:
    """Return the lifetime of the current request."""
    lifetime: _RequestLifetime = request.scope[_LIFETIME_SCOPE_KEY]  # type: ignore[literal-required]
    return lifetime


def build_caller_app(components: CallerComponents) -> CallerApp:
    """Build the HTTP app that serves callers."""
    app = CallerApp("cleatlink")
    app.config["MAX_CONTENT_LENGTH"] = _MAX_BODY_BYTES
    app.config["RESPONSE_TIMEOUT"] = None
    _add_model_routes(app, components)
    _add_service_routes(app, components)
    _add_status_routes(app, components)
    _add_error_handlers(app, components)
    return app


def _add_model_routes(app: CallerApp, components: CallerComponents) -> None:
    @app.post("/v1/chat/completions")
    async def chat() -> Response:
        return await _serve_model(components, chat=True)

    @app.post("/v1/completions")
    async def completions() -> Response:
        return await _serve_model(components, chat=False)

    @app.get("/v1/models")
    async def models() -> Response:
        configuration = components.configuration()
        services = configuration.services.values() if configuration else ()
        data = [
            {"id": model, "object": "model", "created": 0, "owned_by": service.name}
            for service in services
            if service.kind is ServiceKind.MODEL
            for model in service.models
        ]
        return _json_response({"object": "list", "data": data})


def _add_service_routes(app: CallerApp, components: CallerComponents) -> None:
    @app.route("/services/<name>/", defaults={"path": ""}, methods=_METHODS)
    @app.route("/services/<name>/<path:path>", methods=_METHODS)
    async def call(name: str, path: str) -> Response:
        return await _serve_plain_call(components, name, f"/{path}")


def _add_status_routes(app: CallerApp, components: CallerComponents) -> None:
    @app.get("/healthz")
    async def health() -> Response:
        return _json_response({"healthy": True})

    @app.get("/readyz")
    async def ready() -> Response:
        refusal = components.get_admission_refusal()
        body = {"ready": refusal is None, "reason": refusal.kind.value if refusal else None}
        return _json_response(body, 200 if refusal is None else 503)

    @app.get("/metrics")
    async def metrics() -> Response:
        content, headers = components.metrics.render()
        return Response(content, headers=headers)

    @app.get("/status")
    async def status() -> Response:
        return _json_response(components.describe())


def _add_error_handlers(app: CallerApp, components: CallerComponents) -> None:
    @app.errorhandler(RequestError)
    async def request_error(error: RequestError) -> Response:
        return _build_error_response(components, _make_refusal(components, error))

    @app.errorhandler(RequestEntityTooLarge)
    async def too_large(error: RequestEntityTooLarge) -> Response:
        return _build_error_response(components, Refusal(ErrorKind.TOO_LARGE, "body is too large"))

    @app.errorhandler(HTTPException)
    async def http_error(error: HTTPException) -> Response:
        kind = ErrorKind.NOT_FOUND if error.code in (404, 405) else ErrorKind.BAD_REQUEST
        return _build_error_response(components, Refusal(kind, error.name))

    @app.errorhandler(Exception)
    async def internal(error: Exception) -> Response:
        eliot.write_traceback()
        return _build_error_response(components, Refusal(ErrorKind.INTERNAL, "internal error"))


async def _serve_model(components: CallerComponents, chat: bool) -> Response:
    """Serve a model request."""
    arrived_at = trio.current_time()
    configuration = _admit(components)
    body = await _read_body(configuration.limits.body_bytes)
    lifetime = _get_lifetime()
    name = lifetime.begin(components)
    classified = classify_model(
        body, chat, IncomingRequest(name, _read_headers(), arrived_at), configuration
    )
    driver = ModelRequestDriver(classified, components.get_driver_components())
    lifetime.attach_driver(driver)
    components.metrics.count_request(classified.request.request_class)
    with eliot.start_action(action_type="request: model", request=name):
        responder = _ModelResponder(driver, classified, components, arrived_at)
        return await (
            responder.stream_response() if classified.stream else responder.complete_response()
        )


class _ModelResponder:
    """Builds the response to a model request from its driver's output, and counts it."""

    def __init__(
        self,
        driver: ModelRequestDriver,
        classified: ClassifiedRequest,
        components: CallerComponents,
        arrived_at: float,
    ) -> None:
        self._driver = driver
        self._classified = classified
        self._components = components
        self._arrived_at = arrived_at
        self._first_output_at = 0.0

    async def stream_response(self) -> Response:
        """Respond with server-sent events, starting when the first token has arrived."""
        first = await self._next_output()
        if isinstance(first, Refused):
            return self._close_and_refuse(first.refusal)
        response = Response(
            IterableBody(self._encode_events(first)), content_type="text/event-stream"
        )
        response.headers["Cache-Control"] = "no-cache"
        response.headers["X-Request-Id"] = self._classified.request.name
        response.timeout = None
        return response

    async def complete_response(self) -> Response:
        """Respond with one JSON document when the answer is complete."""
        while True:
            output = await self._next_output()
            if isinstance(output, Refused):
                return self._close_and_refuse(output.refusal)
            if isinstance(output, Finished):
                break
        self._record_answer()
        response = _json_response(_build_completion_body(self._classified, self._driver.forwarded))
        response.headers["X-Request-Id"] = self._classified.request.name
        return response

    async def _encode_events(self, first: AnswerEvents | Finished) -> AsyncIterator[bytes]:
        output: AnswerEvents | Finished | Refused = first
        while isinstance(output, AnswerEvents):
            yield b"".join(b"id: %d\ndata: %b\n\n" % event for event in output.events)
            output = await self._next_output()
        if isinstance(output, Refused):
            self._driver.close()
            yield b"data: %b\n\n" % msgspec.json.encode(
                _build_error_body(self._components, output.refusal)
            )
            return
        self._record_answer()
        yield _DONE_EVENT

    async def _next_output(self) -> AnswerEvents | Finished | Refused:
        output = await self._driver.advance()
        if not self._first_output_at:
            self._first_output_at = trio.current_time()
        return output

    def _close_and_refuse(self, refusal: Refusal) -> Response:
        self._driver.close()
        return _build_error_response(self._components, refusal)

    def _record_answer(self) -> None:
        """Count the answer, and whether it met both latency targets of its class."""
        self._driver.close()
        request_class = self._classified.request_class
        tokens = len(self._driver.forwarded)
        ttft_s = self._first_output_at - self._arrived_at
        s_per_token = (trio.current_time() - self._first_output_at) / max(1, tokens - 1)
        met_targets = (
            ttft_s <= request_class.ttft_target_s and s_per_token <= request_class.token_target_s
        )
        self._components.metrics.count_answer(request_class.name, tokens, met_targets)


async def _serve_plain_call(components: CallerComponents, service_name: str, path: str) -> Response:
    """Serve a call to a plain service."""
    arrived_at = trio.current_time()
    configuration = _admit_call(components)
    body = await _read_call_body(configuration.limits.body_bytes)
    headers = _read_headers()
    name = _get_lifetime().begin(components)
    call_request, request_class, service = classify_call(
        service_name, IncomingRequest(name, headers, arrived_at), configuration
    )
    components.metrics.count_request(request_class.name)
    repeatable = is_repeatable(service.unrepeatable, request.method, path)
    query = request.query_string.decode("latin-1")
    target = f"{path}?{query}" if query else path
    classified = ClassifiedCall(
        call_request, request_class, repeatable, request.method, target, headers, body
    )
    with eliot.start_action(action_type="request: call", request=name):
        result = await _run_plain_call(components, classified, configuration)
    if isinstance(result, Refusal):
        return _build_error_response(components, result)
    components.metrics.count_answer(request_class.name, 0, True)
    response = Response(result.body, status=result.status, headers=dict(result.headers))
    response.headers["X-Request-Id"] = name
    return response


async def _run_plain_call(
    components: CallerComponents, classified: ClassifiedCall, configuration: Configuration
) -> PlainAnswer | Refusal:
    """Run a call; if it is unrepeatable and has a key, claim the key from its owner first."""
    key = classified.headers.get(KEY_HEADER)
    driver_components = components.get_driver_components()
    if key is None or classified.repeatable:
        return await PlainCallDriver(classified, driver_components).run()
    home_data_centre = find_home_data_centre(key, configuration.data_centres)
    if parse_key_time(key) is None or home_data_centre is None:
        detail = f"{KEY_HEADER} must be a UUIDv7, or data-centre:UUIDv7"
        return Refusal(ErrorKind.BAD_REQUEST, detail)
    return await _run_despite_disconnect(
        components,
        lambda: run_keyed_call(
            classified, key, home_data_centre, driver_components, components.peers
        ),
    )


async def _run_despite_disconnect(
    components: CallerComponents, run: Callable[[], Awaitable[PlainAnswer | Refusal]]
) -> PlainAnswer | Refusal:
    """Complete a call with a key even if its caller disconnects, so that its outcome is known."""
    results: list[PlainAnswer | Refusal] = []
    done = trio.Event()

    async def run_and_signal() -> None:
        try:
            results.append(await run())
        finally:
            done.set()
            components.end_request()

    components.begin_request()
    components.nursery.start_soon(run_and_signal)
    await done.wait()
    return results[0]


def _admit(components: CallerComponents) -> Configuration:
    """Return the active configuration, or refuse the request before any work is done for it.

    Raises:
        RequestError: This instance accepts no new requests.
    """
    refusal = components.get_admission_refusal()
    if refusal is not None:
        raise RequestError(refusal.kind, refusal.detail)
    configuration = components.configuration()
    assert configuration is not None, "admit must refuse requests while there is no configuration"
    return configuration


def _make_refusal(components: CallerComponents, error: RequestError) -> Refusal:
    """Convert an error to a refusal, which is retryable if a newer configuration may allow it."""
    if (
        error.kind not in _CONFIGURATION_DEPENDENT_KINDS
        or not components.peers.knows_newer_configuration
    ):
        return Refusal(error.kind, error.detail)
    kind = ErrorKind.KEY_UNAVAILABLE if KEY_HEADER in request.headers else ErrorKind.NOT_READY
    return Refusal(kind, f"{error.detail}; a newer configuration is on its way")


def _admit_call(components: CallerComponents) -> Configuration:
    """Admit a call to a plain service, like ``_admit``."""
    try:
        return _admit(components)
    except RequestError as error:
        raise _leave_key_open(error) from None


async def _read_call_body(max_bytes: int) -> bytes:
    """Read the body of a call to a plain service, like ``_read_body``."""
    try:
        return await _read_body(max_bytes)
    except RequestError as error:
        raise (_leave_key_open(error) if error.kind is ErrorKind.SLOW_SENDER else error) from None


def _leave_key_open(error: RequestError) -> RequestError:
    """Return the error for a call that is refused before its key's owner was asked.

    A refusal of a call with a key must not state that the call did not run, because the
    same call may have run through another instance; only the key's owner knows.
    """
    if KEY_HEADER not in request.headers:
        return error
    detail = f"{error.detail}; ask again with the same key"
    return RequestError(ErrorKind.KEY_UNAVAILABLE, detail)


async def _read_body(max_bytes: int) -> bytes:
    """Read the request body, within the limits on its size and duration.

    Raises:
        RequestError: The body is too large or arrives too slowly.
    """
    body = bytearray()
    try:
        with trio.fail_after(_BASE_BODY_TIMEOUT_S) as scope:
            base_deadline = scope.deadline
            async for chunk in request.body:
                body += chunk
                scope.deadline = base_deadline + len(body) / _MIN_BODY_BYTES_PER_S
                if len(body) > max_bytes:
                    raise RequestError(ErrorKind.TOO_LARGE, f"body has more than {max_bytes} bytes")
    except trio.TooSlowError:
        detail = f"body came slower than {_MIN_BODY_BYTES_PER_S} bytes a second"
        raise RequestError(ErrorKind.SLOW_SENDER, detail) from None
    return bytes(body)


def _read_headers() -> dict[str, str]:
    return {name.lower(): value for name, value in request.headers.items()}


def _build_error_response(components: CallerComponents, refusal: Refusal) -> Response:
    """Count a refusal, and build its response as ``ERROR_RESPONSES`` defines it."""
    error_response = ERROR_RESPONSES[refusal.kind]
    response = _json_response(_build_error_body(components, refusal), error_response.status)
    response.headers["X-Ran"] = error_response.ran
    retry_after_s = _get_retry_after_s(refusal)
    if retry_after_s is not None:
        # The header allows only whole seconds; the body has the exact value.
        response.headers["Retry-After"] = str(max(1, round(retry_after_s)))
    return response


def _build_error_body(components: CallerComponents, refusal: Refusal) -> dict[str, Any]:
    components.metrics.count_refusal(refusal.kind)
    error_response = ERROR_RESPONSES[refusal.kind]
    return {
        "error": {
            "message": refusal.detail,
            "type": "invalid_request_error" if error_response.status < 500 else "server_error",
            "code": refusal.kind.value,
            "param": None,
            "ran": error_response.ran,
            "retry_after_s": _get_retry_after_s(refusal),
        }
    }


def _get_retry_after_s(refusal: Refusal) -> float | None:
    if refusal.retry_after_s is not None:
        return refusal.retry_after_s
    return ERROR_RESPONSES[refusal.kind].retry_after_s


def _build_completion_body(classified: ClassifiedRequest, events: list[bytes]) -> dict[str, Any]:
    """Build the JSON document of a complete answer from the events of its stream."""
    text = join_text(events, classified.chat)
    last_event = msgspec.json.decode(events[-1]) if events else {"choices": [{}]}
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": last_event["choices"][0].get("finish_reason"),
        "logprobs": None,
    }
    if classified.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    prompt_tokens = classified.request.prompt_tokens
    return {
        "id": classified.request.name,
        "object": "chat.completion" if classified.chat else "text_completion",
        "created": last_event.get("created", 0),
        "model": classified.request.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": len(events),
            "total_tokens": prompt_tokens + len(events),
        },
    }


def _json_response(value: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status=status, content_type="application/json")
