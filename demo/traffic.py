"""Callers of the demo: send model requests and keyed calls, and record the results."""

import json
import random
import time
import uuid
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Any, NamedTuple, cast

import httpx
import trio

from demo.evidence import CallResult, ModelResult
from standins.engine import expected_tokens

__all__ = ["Caller", "ModelRequest", "make_key", "pick_model_request"]

_Lines = AsyncGenerator[str, None]
# Sentence that prompts repeat to reach their length.
_PROMPT_PAGE = "A page of the chapter, with its panels and balloons, as the reader sees it. "


class ModelRequest(NamedTuple):
    """A model request to send.

    Attributes:
        request_class: Class of the request.
        model: Name of the model.
        prompt: The prompt.
        max_tokens: Maximum number of tokens to generate.
        cancel_after_tokens: Number of tokens after which the caller disconnects; None for never.
        cancel_after_s: Seconds after which the caller disconnects; None for never.
    """

    request_class: str
    model: str
    prompt: str
    max_tokens: int
    cancel_after_tokens: int | None = None
    cancel_after_s: float | None = None


def pick_model_request(rng: random.Random, number: int) -> ModelRequest:
    """Pick a request of a random class of either example deployment."""
    request_class = rng.choices(("translation", "tagging", "question", "verdict"), (5, 1, 3, 1))[0]
    model = {"translation": "bublina-translate", "tagging": "bublina-tagger"}.get(
        request_class, "conseiller"
    )
    page_count = (
        rng.randrange(100, 400) if request_class in ("tagging", "verdict") else rng.randrange(1, 6)
    )
    return ModelRequest(
        request_class,
        model,
        f"{number}: {request_class}. " + _PROMPT_PAGE * page_count,
        rng.randrange(8, 40),
    )


def make_key(rng: random.Random) -> str:
    """Create a UUIDv7 with the current time."""
    milliseconds = int(time.time() * 1000)
    value = milliseconds << 80 | 0x7 << 76 | rng.getrandbits(12) << 64
    return str(uuid.UUID(int=value | 0x2 << 62 | rng.getrandbits(62)))


class Caller:
    """Sends requests to entries and records the results."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client
        self.model_results: list[ModelResult] = []
        self.call_results: list[CallResult] = []

    async def send_model_request(
        self, entry: str, address: str, request: ModelRequest
    ) -> ModelResult:
        """Send a model request, read the response as a stream and record the result."""
        reader = _ResponseReader(request, entry)
        with trio.move_on_after(request.cancel_after_s or 1e9) as scope:
            await reader.receive(self._client, address)
        if scope.cancelled_caught:
            reader.outcome = "cancelled"
        result = reader.result()
        self.model_results.append(result)
        return result

    async def send_call(self, address: str, request_class: str, path: str, key: str) -> CallResult:
        """Send a call with an idempotency key and record the result."""
        method = "POST" if request_class == "work-order" else "GET"
        headers = {"Idempotency-Key": key, "X-Request-Class": request_class}
        try:
            response = await self._client.request(
                method, f"http://{address}{path}", headers=headers, content=b"{}"
            )
            error = response.json()["error"] if response.status_code != 200 else {}
            result = CallResult(
                request_class,
                key,
                response.status_code,
                error.get("ran", "yes"),
                error.get("code", ""),
            )
        except httpx.HTTPError:
            result = CallResult(request_class, key, 0, "unknown", "connection")
        self.call_results.append(result)
        return result


class _ResponseReader:
    """Reads the streamed response to one model request."""

    def __init__(self, request: ModelRequest, entry: str) -> None:
        self._request = request
        self._entry = entry
        self._event_ids: list[int] = []
        self._texts: list[str] = []
        self._end_marks = 0
        self._error_code = ""
        self._token_times_s: list[float] = []
        self._started_at = time.monotonic()
        self.outcome = "cut"

    async def receive(self, client: httpx.AsyncClient, address: str) -> None:
        """Send the request and read the response until its end, an error or a cancellation."""
        body = {
            "model": self._request.model,
            "prompt": self._request.prompt,
            "max_tokens": self._request.max_tokens,
            "stream": True,
        }
        headers = {"X-Request-Class": self._request.request_class}
        url = f"http://{address}/v1/completions"
        try:
            async with client.stream("POST", url, json=body, headers=headers) as response:
                if response.status_code != httpx.codes.OK:
                    self._record_refusal(json.loads(await response.aread()))
                    return
                async with aclosing(cast(_Lines, response.aiter_lines())) as lines:
                    async for line in lines:
                        if self._process_line(line):
                            return
        except httpx.HTTPError:
            self.outcome = "cut"

    def result(self) -> ModelResult:
        """Return the result as observed by the caller."""
        ttft_s = self._token_times_s[0] - self._started_at if self._token_times_s else 0.0
        interval_count = max(1, len(self._token_times_s) - 1)
        return ModelResult(
            self._request.request_class,
            self.outcome,
            self._error_code,
            tuple(self._event_ids),
            "".join(self._texts),
            "".join(expected_tokens(self._request.prompt, self._request.max_tokens)),
            self._end_marks,
            ttft_s,
            (self._token_times_s[-1] - self._token_times_s[0]) / interval_count
            if self._token_times_s
            else 0.0,
            self._entry,
        )

    def _record_refusal(self, body: dict[str, Any]) -> None:
        self.outcome = "refused"
        self._error_code = body["error"]["code"]

    def _process_line(self, line: str) -> bool:
        """Process one line of the stream; return whether to stop reading."""
        if line.startswith("id: "):
            self._event_ids.append(int(line[4:]))
        elif line == "data: [DONE]":
            self._end_marks += 1
            self.outcome = "whole"
        elif line.startswith("data: "):
            data = json.loads(line[6:])
            if "error" in data:
                self.outcome, self._error_code = "broken", data["error"]["code"]
                return True
            self._texts.append(data["choices"][0]["text"])
            self._token_times_s.append(time.monotonic())
            if (
                self._request.cancel_after_tokens is not None
                and len(self._event_ids) >= self._request.cancel_after_tokens
            ):
                self.outcome = "cancelled"
                return True
        return False
