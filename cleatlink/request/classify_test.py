"""Tests that invalid input of callers raises a RequestError with a message, and nothing else."""

import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.config import load_configuration
from cleatlink.core.errors import ErrorKind, RequestError
from cleatlink.request.classify import (
    ClassifiedRequest,
    IncomingRequest,
    classify_call,
    classify_model,
)

TEXT = (Path(__file__).parents[2] / "examples/bublina.yaml").read_text()
CONFIGURATION, _ = load_configuration(TEXT, 1)
VALID_BODY = {"model": "bublina-translate", "prompt": "Hello"}


def classify(body: object, chat: bool = False, **headers: str) -> ClassifiedRequest:
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    assert CONFIGURATION is not None
    return classify_model(raw, chat, IncomingRequest("r", named, 100.0), CONFIGURATION)


def test_request_without_optional_headers_gets_the_defaults() -> None:
    classified = classify(VALID_BODY, x_organisation="o")
    assert classified.request.request_class == "translation"
    assert classified.request.organisation == "o"
    assert classified.request.deadline == 120.0
    assert not classified.stream


def test_headers_set_class_and_deadline_within_the_class_limit() -> None:
    classified = classify(VALID_BODY, x_request_class="summary", x_deadline_s="5")
    assert (classified.request.request_class, classified.request.deadline) == ("summary", 105.0)
    assert classify(VALID_BODY, x_deadline_s="5000").request.deadline == 120.0


def test_chat_content_in_parts_has_the_same_prefix_as_plain_text() -> None:
    parts = [{"type": "text", "text": "a"}, {"type": "image_url"}, {"type": "text", "text": "b"}]
    messages = [{"role": "user", "content": parts}, {"role": "user", "content": "c"}]
    plain_messages = [{"role": "user", "content": "ab"}, {"role": "user", "content": "c"}]
    model = "bublina-translate"
    in_parts = classify({"model": model, "messages": messages}, chat=True)
    as_text = classify({"model": model, "messages": plain_messages}, chat=True)
    assert in_parts.request.prefix_hash == as_text.request.prefix_hash


@pytest.mark.parametrize(
    ("body", "headers", "kind"),
    [
        (b"{", {}, ErrorKind.BAD_REQUEST),
        (b"[]", {}, ErrorKind.BAD_REQUEST),
        (b"\xff\xfe", {}, ErrorKind.BAD_REQUEST),
        (b"[" * 100_000, {}, ErrorKind.BAD_REQUEST),
        ({**VALID_BODY, "model": 7}, {}, ErrorKind.BAD_REQUEST),
        ({**VALID_BODY, "model": "no-such"}, {}, ErrorKind.UNKNOWN_MODEL),
        ({**VALID_BODY, "prompt": ""}, {}, ErrorKind.BAD_REQUEST),
        ({**VALID_BODY, "prompt": ["a"]}, {}, ErrorKind.BAD_REQUEST),
        ({**VALID_BODY, "max_tokens": 0}, {}, ErrorKind.BAD_REQUEST),
        ({**VALID_BODY, "max_tokens": True}, {}, ErrorKind.BAD_REQUEST),
        ({**VALID_BODY, "max_tokens": 10**30}, {}, ErrorKind.BAD_REQUEST),
        ({**VALID_BODY, "n": 2}, {}, ErrorKind.BAD_REQUEST),
        ({**VALID_BODY, "stream": "yes"}, {}, ErrorKind.BAD_REQUEST),
        ({**VALID_BODY, "prompt": "x" * 500_000}, {}, ErrorKind.TOO_LARGE),
        (VALID_BODY, {"x_request_class": "pages"}, ErrorKind.UNKNOWN_CLASS),
        (VALID_BODY, {"x_request_class": ""}, ErrorKind.UNKNOWN_CLASS),
        (VALID_BODY, {"x_deadline_s": "nan"}, ErrorKind.BAD_REQUEST),
        (VALID_BODY, {"x_deadline_s": "-1"}, ErrorKind.BAD_REQUEST),
        (VALID_BODY, {"x_organisation": ""}, ErrorKind.BAD_REQUEST),
        (VALID_BODY, {"x_organisation": "a" * 129}, ErrorKind.BAD_REQUEST),
    ],
)
def test_invalid_input_is_rejected(body: object, headers: dict[str, str], kind: ErrorKind) -> None:
    with pytest.raises(RequestError) as raised:
        classify(body, **headers)
    assert raised.value.kind is kind
    assert raised.value.detail
    assert len(raised.value.detail) < 300


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
FIELDS = st.sampled_from(["model", "prompt", "messages", "max_tokens", "stream", "n"])


@given(st.dictionaries(FIELDS, JSON), st.booleans(), st.text(max_size=6))
def test_any_json_object_is_classified_or_rejected(
    body: dict[str, object], chat: bool, deadline: str
) -> None:
    try:
        classified = classify({**VALID_BODY, **body}, chat, x_deadline_s=deadline or "1")
    except RequestError as error:
        assert error.detail
    else:
        assert classified.request.prompt_tokens >= 1
        assert classified.request.deadline > 100.0


@given(st.binary(max_size=60), st.booleans())
def test_arbitrary_bytes_are_rejected(raw: bytes, chat: bool) -> None:
    with pytest.raises(RequestError):
        classify(raw, chat)


def test_calls_are_accepted_for_plain_services_only() -> None:
    assert CONFIGURATION is not None
    request, request_class, service = classify_call(
        "reader-api", IncomingRequest("r", {}, 1.0), CONFIGURATION
    )
    assert (request_class.name, service.name, request.deadline) == ("pages", "reader-api", 11.0)
    for name in ("lm-bublina", "nothing"):
        with pytest.raises(RequestError):
            classify_call(name, IncomingRequest("r", {}, 1.0), CONFIGURATION)
