"""Reads a caller's request: what is asked, by whom, in which class, until when.

The body goes on to the engines as it came, so only what routing needs is
checked here. Every check answers with one kind of error and a plain sentence.
"""

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec

from cleatlink.core.data import Configuration, Request, RequestClass, Service, ServiceKind
from cleatlink.core.errors import ErrorKind, RequestError
from cleatlink.routing.prefix import hash_prefix

__all__ = [
    "CLASS_HEADER",
    "DEADLINE_HEADER",
    "KEY_HEADER",
    "ORGANISATION_HEADER",
    "Arrival",
    "ModelOrder",
    "classify_call",
    "classify_model",
    "prompt_bytes",
]

CLASS_HEADER = "x-request-class"
DEADLINE_HEADER = "x-deadline-s"
KEY_HEADER = "idempotency-key"
ORGANISATION_HEADER = "x-organisation"

_ANONYMOUS = "anonymous"
# Characters of a model's or organisation's name; longer ones are a mistake.
_MAX_NAME = 128
# A rough measure that needs no tokenizer; engines report the true counts.
_BYTES_PER_TOKEN = 4
_DEFAULT_OUTPUT_TOKENS = 256


class ModelOrder(NamedTuple):
    """A model request as classified, with the body that engines get."""

    request: Request
    request_class: RequestClass
    body: dict[str, Any]
    chat: bool
    stream: bool


class Arrival(NamedTuple):
    """A request as it came in.

    Attributes:
        name: Name given to the request, unique over all instances.
        headers: Its headers, names in lower case.
        at: When it arrived, by the monotonic clock.
    """

    name: str
    headers: Mapping[str, str]
    at: float


def classify_model(
    raw: bytes, chat: bool, arrival: Arrival, configuration: Configuration
) -> ModelOrder:
    """Classify a model request.

    Raises:
        RequestError: It can't be served as it stands.
    """
    body = _decode_body(raw)
    model = _field(body, "model", str, "")
    service = _service_of(configuration, model)
    request_class = _class_of(configuration, service, arrival.headers)
    prompt = prompt_bytes(body, chat)
    tokens = len(prompt) // _BYTES_PER_TOKEN + 1
    if tokens > configuration.limits.prompt_tokens:
        limit = configuration.limits.prompt_tokens
        raise RequestError(ErrorKind.TOO_LARGE, f"prompt has {tokens} tokens; {limit} are allowed")
    output = _output_tokens(body, configuration)
    if _field(body, "n", int, 1) != 1:
        raise RequestError(ErrorKind.BAD_REQUEST, "n must be 1")
    request = Request(
        arrival.name,
        _organisation_of(arrival.headers),
        service.name,
        model,
        request_class.name,
        tokens,
        output,
        hash_prefix(prompt),
        _deadline_of(arrival, request_class),
        math.inf if request_class.runs_late else arrival.at + request_class.ttft_target_s,
    )
    stream = _field(body, "stream", bool, False)
    return ModelOrder(request, request_class, body, chat, stream)


def classify_call(
    service_name: str, arrival: Arrival, configuration: Configuration
) -> tuple[Request, RequestClass, Service]:
    """Classify a call of a plain service.

    Raises:
        RequestError: It can't be served as it stands.
    """
    service = configuration.services.get(service_name)
    if service is None or service.kind is not ServiceKind.PLAIN:
        raise RequestError(ErrorKind.UNKNOWN_SERVICE, f"no plain service {service_name!r}")
    request_class = _class_of(configuration, service, arrival.headers)
    organisation = _organisation_of(arrival.headers)
    deadline = _deadline_of(arrival, request_class)
    request = Request(
        arrival.name, organisation, service.name, "", request_class.name, 0, 0, 0, deadline
    )
    return request, request_class, service


def prompt_bytes(body: Mapping[str, Any], chat: bool) -> bytes:
    """Give the prompt's text; a chat's messages are joined by line ends.

    Raises:
        RequestError: There is no prompt in the usual form.
    """
    if not chat:
        prompt = body.get("prompt")
        if not isinstance(prompt, str) or not prompt:
            raise RequestError(ErrorKind.BAD_REQUEST, "prompt must be a string that is not empty")
        return prompt.encode(errors="replace")
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise RequestError(ErrorKind.BAD_REQUEST, "messages must be a list that is not empty")
    return "\n".join(_message_text(message) for message in messages).encode(errors="replace")


def _message_text(message: object) -> str:
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


def _field(body: Mapping[str, Any], key: str, kind: type, default: Any) -> Any:
    """Read a field of one type; null stands for the default."""
    value = body.get(key)
    if value is None:
        return default
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise RequestError(ErrorKind.BAD_REQUEST, f"{key} must be of type {kind.__name__}")
    return value


def _output_tokens(body: Mapping[str, Any], configuration: Configuration) -> int:
    limit = configuration.limits.output_tokens
    default = _field(body, "max_completion_tokens", int, min(_DEFAULT_OUTPUT_TOKENS, limit))
    output: int = _field(body, "max_tokens", int, default)
    if not 1 <= output <= limit:
        raise RequestError(ErrorKind.BAD_REQUEST, f"max_tokens must be from 1 to {limit}")
    return output


def _service_of(configuration: Configuration, model: str) -> Service:
    for service in configuration.services.values():
        if model in service.models:
            return service
    raise RequestError(ErrorKind.UNKNOWN_MODEL, f"no service has the model {model[:64]!r}")


def _class_of(
    configuration: Configuration, service: Service, headers: Mapping[str, str]
) -> RequestClass:
    """Take the class that the caller names, or the service's first one."""
    name = headers.get(CLASS_HEADER)
    for request_class in configuration.classes.values():
        if request_class.service == service.name and name in (None, request_class.name):
            return request_class
    raise RequestError(
        ErrorKind.UNKNOWN_CLASS, f"service {service.name} has no class {str(name)[:64]!r}"
    )


def _organisation_of(headers: Mapping[str, str]) -> str:
    name = headers.get(ORGANISATION_HEADER, _ANONYMOUS)
    if not 0 < len(name) <= _MAX_NAME or not name.isprintable():
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            f"{ORGANISATION_HEADER} must have 1 to {_MAX_NAME} printable characters",
        )
    return name


def _deadline_of(arrival: Arrival, request_class: RequestClass) -> float:
    """Give the deadline: the caller's, but never later than the class allows."""
    text = arrival.headers.get(DEADLINE_HEADER)
    if text is None:
        return arrival.at + request_class.deadline_s
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds < math.inf:
        raise RequestError(
            ErrorKind.BAD_REQUEST, f"{DEADLINE_HEADER} must be a number of seconds above 0"
        )
    return arrival.at + min(seconds, request_class.deadline_s)
