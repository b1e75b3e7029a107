"""Callers of the demo: model requests and keyed calls, and what they got."""

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

__all__ = ["Ask", "Caller", "make_key", "pick_ask"]

_Lines = AsyncGenerator[str, None]
_PAGES = "A page of the chapter, with its panels and balloons, as the reader sees it. "


class Ask(NamedTuple):
    """One model request to send; ``cancel_after`` tokens the caller goes."""

    request_class: str
    model: str
    prompt: str
    max_tokens: int
    cancel_after: int | None = None
    cancel_after_s: float | None = None


def pick_ask(rng: random.Random, number: int) -> Ask:
    """Pick a request of one of both deployments' kinds."""
    kind = rng.choices(("translation", "tagging", "question", "verdict"), (5, 1, 3, 1))[0]
    model = {"translation": "bublina-translate", "tagging": "bublina-tagger"}.get(
        kind, "conseiller"
    )
    pages = rng.randrange(100, 400) if kind in ("tagging", "verdict") else rng.randrange(1, 6)
    return Ask(kind, model, f"{number}: {kind}. " + _PAGES * pages, rng.randrange(8, 40))


def make_key(rng: random.Random) -> str:
    """Make a UUIDv7 of the present time."""
    milliseconds = int(time.time() * 1000)
    value = milliseconds << 80 | 0x7 << 76 | rng.getrandbits(12) << 64
    return str(uuid.UUID(int=value | 0x2 << 62 | rng.getrandbits(62)))


class Caller:
    """Sends requests to entries and keeps what came back."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client
        self.models: list[ModelResult] = []
        self.calls: list[CallResult] = []

    async def ask(self, entry: str, address: str, ask: Ask) -> ModelResult:
        """Ask one model request as a stream and note the result."""
        answer = _Answer(ask, entry)
        with trio.move_on_after(ask.cancel_after_s or 1e9) as scope:
            await answer.receive(self._client, address)
        if scope.cancelled_caught:
            answer.outcome = "cancelled"
        result = answer.result()
        self.models.append(result)
        return result

    async def call(self, address: str, request_class: str, path: str, key: str) -> CallResult:
        """Send one keyed call and note the result."""
        method = "POST" if request_class == "work-order" else "GET"
        headers = {"Idempotency-Key": key, "X-Request-Class": request_class}
        try:
            answer = await self._client.request(
                method, f"http://{address}{path}", headers=headers, content=b"{}"
            )
            error = answer.json()["error"] if answer.status_code != 200 else {}
            result = CallResult(
                request_class,
                key,
                answer.status_code,
                error.get("ran", "yes"),
                error.get("code", ""),
            )
        except httpx.HTTPError:
            result = CallResult(request_class, key, 0, "unknown", "connection")
        self.calls.append(result)
        return result


class _Answer:
    """One answer on its way in."""

    def __init__(self, ask: Ask, entry: str) -> None:
        self._ask = ask
        self._entry = entry
        self._ids: list[int] = []
        self._text: list[str] = []
        self._ends = 0
        self._kind = ""
        self._times: list[float] = []
        self._started = time.monotonic()
        self.outcome = "cut"

    async def receive(self, client: httpx.AsyncClient, address: str) -> None:
        """Send the request and take what comes until the end."""
        body = {
            "model": self._ask.model,
            "prompt": self._ask.prompt,
            "max_tokens": self._ask.max_tokens,
            "stream": True,
        }
        headers = {"X-Request-Class": self._ask.request_class}
        url = f"http://{address}/v1/completions"
        try:
            async with client.stream("POST", url, json=body, headers=headers) as response:
                if response.status_code != httpx.codes.OK:
                    self._refuse(json.loads(await response.aread()))
                    return
                async with aclosing(cast(_Lines, response.aiter_lines())) as lines:
                    async for line in lines:
                        if self._take(line):
                            return
        except httpx.HTTPError:
            self.outcome = "cut"

    def result(self) -> ModelResult:
        """Give what the caller saw."""
        ttft_s = self._times[0] - self._started if self._times else 0.0
        gaps = max(1, len(self._times) - 1)
        return ModelResult(
            self._ask.request_class,
            self.outcome,
            self._kind,
            tuple(self._ids),
            "".join(self._text),
            "".join(expected_tokens(self._ask.prompt, self._ask.max_tokens)),
            self._ends,
            ttft_s,
            (self._times[-1] - self._times[0]) / gaps if self._times else 0.0,
            self._entry,
        )

    def _refuse(self, body: dict[str, Any]) -> None:
        self.outcome = "refused"
        self._kind = body["error"]["code"]

    def _take(self, line: str) -> bool:
        """Take one line; tell whether to stop."""
        if line.startswith("id: "):
            self._ids.append(int(line[4:]))
        elif line == "data: [DONE]":
            self._ends += 1
            self.outcome = "whole"
        elif line.startswith("data: "):
            data = json.loads(line[6:])
            if "error" in data:
                self.outcome, self._kind = "broken", data["error"]["code"]
                return True
            self._text.append(data["choices"][0]["text"])
            self._times.append(time.monotonic())
            if self._ask.cancel_after is not None and len(self._ids) >= self._ask.cancel_after:
                self.outcome = "cancelled"
                return True
        return False
