"""Parses a caller's request: service or model, organisation, request class and deadline.

The body is forwarded to the engines unchanged, so this module checks only the fields that
routing needs. A failed check raises one kind of error with a message for the caller.
"""

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec

from cleatlink.core.data import Configuration, Request, RequestClass, Service, ServiceKind
from cleatlink.core.errors import ErrorKind, RequestError
from cleatlink.routing.hashing import hash_prefix

__all__ = [
    "CLASS_HEADER",
    "DEADLINE_HEADER",
    "KEY_HEADER",
    "ORGANISATION_HEADER",
    "IncomingRequest",
    "ClassifiedRequest",
    "classify_call",
    "classify_model",
    "extract_prompt",
]

CLASS_HEADER = "x-request-class"
DEADLINE_HEADER = "x-deadline-s"
KEY_HEADER = "idempotency-key"
ORGANISATION_HEADER = "x-organisation"

_ANONYMOUS = "anonymous"
# Maximum length of an organisation's name, in characters; a longer name is treated as an error.
_MAX_ORGANISATION_LENGTH = 128
# Approximate ratio that avoids a tokenizer; engines report the exact token counts.
_BYTES_PER_TOKEN = 4
_DEFAULT_OUTPUT_TOKENS = 256


class ClassifiedRequest(NamedTuple):
    """A classified model request, with the body to send to engines."""

    request: Request
    request_class: RequestClass
    body: dict[str, Any]
    chat: bool
    stream: bool


class IncomingRequest(NamedTuple):
    """A request as received from the caller.

    Attributes:
        name: Name assigned to the request, unique over all instances.
        headers: HTTP headers, with names in lower case.
        arrived_at: Arrival time, a reading of the monotonic clock.
    """

    name: str
    headers: Mapping[str, str]
    arrived_at: float


def classify_model(
    raw: bytes, chat: bool, incoming: IncomingRequest, configuration: Configuration
) -> ClassifiedRequest:
    """Classify a model request.

    Raises:
        RequestError: The request is invalid or names an unknown model or class.
    """
    body = _decode_body(raw)
    model = _read_field(body, "model", str, "")
    service = _find_service(configuration, model)
    request_class = _find_class(configuration, service, incoming.headers)
    prompt = extract_prompt(body, chat)
    tokens = len(prompt) // _BYTES_PER_TOKEN + 1
    if tokens > configuration.limits.prompt_tokens:
        limit = configuration.limits.prompt_tokens
        raise RequestError(ErrorKind.TOO_LARGE, f"prompt has {tokens} tokens; {limit} are allowed")
    output = _read_output_tokens(body, configuration)
    if _read_field(body, "n", int, 1) != 1:
        raise RequestError(ErrorKind.BAD_REQUEST, "n must be 1")
    request = Request(
        incoming.name,
        _read_organisation(incoming.headers),
        service.name,
        model,
        request_class.name,
        tokens,
        output,
        hash_prefix(prompt),
        _compute_deadline(incoming, request_class),
        math.inf
        if request_class.runs_after_missed_target
        else incoming.arrived_at + request_class.ttft_target_s,
    )
    stream = _read_field(body, "stream", bool, False)
    return ClassifiedRequest(request, request_class, body, chat, stream)


def classify_call(
    service_name: str, incoming: IncomingRequest, configuration: Configuration
) -> tuple[Request, RequestClass, Service]:
    """Classify a call to a plain service.

    Raises:
        RequestError: The call is invalid or names an unknown service or class.
    """
    service = configuration.services.get(service_name)
    if service is None or service.kind is not ServiceKind.PLAIN:
        raise RequestError(ErrorKind.UNKNOWN_SERVICE, f"no plain service {service_name!r}")
    request_class = _find_class(configuration, service, incoming.headers)
    organisation = _read_organisation(incoming.headers)
    deadline = _compute_deadline(incoming, request_class)
    request = Request(
        incoming.name, organisation, service.name, "", request_class.name, 0, 0, 0, deadline
    )
    return request, request_class, service


def extract_prompt(body: Mapping[str, Any], chat: bool) -> bytes:
    """Return the text of the prompt; the messages of a chat are joined by newlines.

    Raises:
        RequestError: The prompt or the messages are missing or have the wrong type.
    """
    if not chat:
        prompt = body.get("prompt")
        if not isinstance(prompt, str) or not prompt:
            raise RequestError(ErrorKind.BAD_REQUEST, "prompt must be a string that is not empty")
        return prompt.encode(errors="replace")
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise RequestError(ErrorKind.BAD_REQUEST, "messages must be a list that is not empty")
    return "\n".join(_read_message_text(message) for message in messages).encode(errors="replace")


def _read_message_text(message: object) -> str:
    if not isinstance(message, dict) or not isinstance(message.get("role"), str):
        raise RequestError(ErrorKind.BAD_REQUEST, "each message needs a role")
    content = message.get("content")
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        parts = [part.get("text", "") for part in content if isinstance(part, dict)]
        return "".join(part for part in parts if isinstance(part, str))
    raise RequestError(ErrorKind.BAD_REQUEST, "each message needs content")


def _decode_body(raw: bytes) -> dict[str, Any]:
    try:
        return msgspec.json.decode(raw, type=dict[str, Any])
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise RequestError(ErrorKind.BAD_REQUEST, f"body is not a JSON object: {error}") from None


def _read_field(body: Mapping[str, Any], key: str, kind: type, default: Any) -> Any:
    """Return a field of the given type, or the default if the field is missing or null."""
    value = body.get(key)
    if value is None:
        return default
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise RequestError(ErrorKind.BAD_REQUEST, f"{key} must be of type {kind.__name__}")
    return value


def _read_output_tokens(body: Mapping[str, Any], configuration: Configuration) -> int:
    limit = configuration.limits.output_tokens
    default = _read_field(body, "max_completion_tokens", int, min(_DEFAULT_OUTPUT_TOKENS, limit))
    output: int = _read_field(body, "max_tokens", int, default)
    if not 1 <= output <= limit:
        raise RequestError(ErrorKind.BAD_REQUEST, f"max_tokens must be from 1 to {limit}")
    return output


def _find_service(configuration: Configuration, model: str) -> Service:
    for service in configuration.services.values():
        if model in service.models:
            return service
    raise RequestError(ErrorKind.UNKNOWN_MODEL, f"no service has the model {model[:64]!r}")


def _find_class(
    configuration: Configuration, service: Service, headers: Mapping[str, str]
) -> RequestClass:
    """Return the class named in the header, or the first class of the service."""
    name = headers.get(CLASS_HEADER)
    for request_class in configuration.classes.values():
        if request_class.service == service.name and name in (None, request_class.name):
            return request_class
    raise RequestError(
        ErrorKind.UNKNOWN_CLASS, f"service {service.name} has no class {str(name)[:64]!r}"
    )


def _read_organisation(headers: Mapping[str, str]) -> str:
    name = headers.get(ORGANISATION_HEADER, _ANONYMOUS)
    if not 0 < len(name) <= _MAX_ORGANISATION_LENGTH or not name.isprintable():
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            f"{ORGANISATION_HEADER} must have 1 to {_MAX_ORGANISATION_LENGTH} printable characters",
        )
    return name


def _compute_deadline(incoming: IncomingRequest, request_class: RequestClass) -> float:
    """Return the caller's deadline, limited to the deadline of the request class."""
    text = incoming.headers.get(DEADLINE_HEADER)
    if text is None:
        return incoming.arrived_at + request_class.deadline_s
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds < math.inf:
        raise RequestError(
            ErrorKind.BAD_REQUEST, f"{DEADLINE_HEADER} must be a number of seconds above 0"
        )
    return incoming.arrived_at + min(seconds, request_class.deadline_s)
