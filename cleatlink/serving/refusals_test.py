"""What an endpoint's refusal says of itself, on the own interface."""

import httpx
import pytest

from cleatlink.core.errors import EndpointRefusedError, OutcomeUnknownError
from cleatlink.serving.endpoints import _read_refusal

BODY = {"error": {"code": "no_room", "ran": "no"}}


@pytest.mark.parametrize(
    ("headers", "rest_s"),
    [
        ({}, 0.0),
        ({"Retry-After": "3"}, 3.0),
        ({"Retry-After": "0.5"}, 0.5),
        ({"Retry-After": "-1"}, 0.0),
        ({"Retry-After": "Thu, 03 Dec 2026 04:00:00 GMT"}, 0.0),
        ({"Retry-After": "99999999"}, 300.0),
    ],
)
async def test_refusal_says_for_how_long(headers: dict[str, str], rest_s: float) -> None:
    found = await _read_refusal(httpx.Response(503, headers=headers, json=BODY))
    assert isinstance(found, EndpointRefusedError)
    assert (found.rest_s, found.leaving) == (rest_s, False)


async def test_answer_that_proves_nothing_asks_for_nothing() -> None:
    response = httpx.Response(503, headers={"Retry-After": "3"}, json={"error": {"ran": "yes"}})
    assert isinstance(await _read_refusal(response), OutcomeUnknownError)
