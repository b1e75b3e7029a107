"""How the endpoint client reads an endpoint's refusal: backoff, shutdown and execution status."""

import httpx
import pytest

from cleatlink.core.errors import EndpointRefusedError, OutcomeUnknownError
from cleatlink.serving.endpoints import _parse_error_response

BODY = {"error": {"code": "no_room", "ran": "no"}}


@pytest.mark.parametrize(
    ("headers", "backoff_s"),
    [
        ({}, 0.0),
        ({"Retry-After": "3"}, 3.0),
        ({"Retry-After": "0.5"}, 0.5),
        ({"Retry-After": "-1"}, 0.0),
        ({"Retry-After": "Thu, 03 Dec 2026 04:00:00 GMT"}, 0.0),
        ({"Retry-After": "99999999"}, 300.0),
    ],
)
async def test_refusal_has_the_backoff_of_its_retry_after_header(
    headers: dict[str, str], backoff_s: float
) -> None:
    refusal = await _parse_error_response(httpx.Response(503, headers=headers, json=BODY))
    assert isinstance(refusal, EndpointRefusedError)
    assert (refusal.backoff_s, refusal.leaving) == (backoff_s, False)


async def test_answer_of_a_call_that_may_have_run_is_not_a_refusal() -> None:
    response = httpx.Response(503, headers={"Retry-After": "3"}, json={"error": {"ran": "yes"}})
    assert isinstance(await _parse_error_response(response), OutcomeUnknownError)
