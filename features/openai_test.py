"""Tests an entry on a real socket with the OpenAI client library and with invalid HTTP."""

import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import httpx
import openai
import pytest
import trio

from cleatlink.serving.http_server import serve_app
from cleatlink.serving.settings import Address
from standins.engine import expected_tokens
from standins.fakes import Caller
from standins.world import CONFIGURATION, PROMPT, World, expected_text


def run_with_client(send: Callable[[openai.OpenAI], Any]) -> Any:
    """Serve an entry on a socket and call ``send`` with a client in another thread."""
    results: list[Any] = []

    async def action(world: World, address: str) -> None:
        client = openai.OpenAI(base_url=f"{address}/v1", api_key="none", max_retries=0)
        results.append(await trio.to_thread.run_sync(send, client))

    run_on_socket(World(), action)
    return results[0]


def run_on_socket(world: World, action: Callable[[World, str], Awaitable[None]]) -> None:
    """Serve an entry on a socket in real time and run an action with its URL.

    The system chooses the port.
    """

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            world._nursery = nursery
            await world._start_fleet()
            await world.start_entry("e1", "a")
            world.publish_fleet()
            await world.wait_ready("e1")
            app = world.entries["e1"].app
            listen = Address("127.0.0.1", 0)
            address = await serve_app(nursery, app, listen, trio.sleep_forever, 1.0)
            await action(world, f"http://{address}")
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_streamed_chat() -> None:
    def send(client: openai.OpenAI) -> list[str]:
        messages: Any = [{"role": "user", "content": PROMPT}]
        stream = client.chat.completions.create(
            model="m", messages=messages, max_tokens=12, stream=True
        )
        return [chunk.choices[0].delta.content or "" for chunk in stream]

    assert run_with_client(send) == expected_tokens(PROMPT, 12)


def test_chat_without_streaming() -> None:
    def send(client: openai.OpenAI) -> Any:
        messages: Any = [{"role": "user", "content": PROMPT}]
        return client.chat.completions.create(model="m", messages=messages, max_tokens=12)

    answer = run_with_client(send)
    assert answer.choices[0].message.content == expected_text(12)
    assert answer.choices[0].finish_reason == "length"
    assert answer.usage.completion_tokens == 12


def test_completion_without_streaming_and_model_list() -> None:
    def send(client: openai.OpenAI) -> tuple[str, list[str]]:
        answer = client.completions.create(model="m", prompt=PROMPT, max_tokens=9)
        return answer.choices[0].text, [model.id for model in client.models.list()]

    assert run_with_client(send) == (expected_text(9), ["m"])


def test_refusal_raises_error_of_client_library() -> None:
    def send(client: openai.OpenAI) -> tuple[int, Any]:
        with pytest.raises(openai.NotFoundError) as caught:
            client.completions.create(model="none", prompt="x", max_tokens=9)
        return caught.value.status_code, caught.value.body

    status, body = run_with_client(send)
    assert status == 404
    assert body["code"] == "unknown_model"
    assert body["ran"] == "no"


def test_invalid_requests_are_refused_without_traceback() -> None:
    """Sends bodies that are too large, unknown paths and methods, and invalid headers."""

    def send(client: openai.OpenAI) -> list[tuple[int, str]]:
        base = str(client.base_url).removesuffix("/v1/")
        answers = []
        with httpx.Client(base_url=base) as http_client:
            for method, path, content, headers in (
                ("POST", "/v1/completions", b"x" * 1_100_000, {}),
                ("POST", "/v1/completions", b"", {}),
                ("GET", "/v1/completions", b"", {}),
                ("GET", "/nothing", b"", {}),
                ("POST", "/services/none/x", b"", {}),
                ("POST", "/services/orders/orders", b"", {"idempotency-key": "no-uuid"}),
                ("POST", "/v1/completions", b"{}", {"x-request-class": "a" * 200}),
            ):
                answer = http_client.request(method, path, content=content, headers=headers)
                assert b"Traceback" not in answer.content
                answers.append((answer.status_code, answer.json()["error"]["code"]))
        return answers

    assert run_with_client(send) == [
        (413, "too_large"),
        (400, "bad_request"),
        (404, "not_found"),
        (404, "not_found"),
        (404, "unknown_service"),
        (400, "bad_request"),
        (404, "unknown_model"),
    ]


def test_malformed_bytes_do_not_affect_the_next_caller() -> None:
    """Malformed and pipelined bytes get a short answer; the next caller is served."""

    def send(client: openai.OpenAI) -> list[bytes]:
        host, port = str(client.base_url.host), int(client.base_url.port or 0)
        answers = []
        for malformed in (
            b"\x00\x01\x02\r\n\r\n",
            b"GET / HTTP/1.1\r\nbroken header\r\n\r\n",
            b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n" + b"\xff" * 200 + b"\r\n\r\n",
            b"GET / HTTP/1.1\r\nx: " + b"a" * 100_000 + b"\r\n\r\n",
        ):
            with socket.create_connection((host, port), timeout=10) as connection:
                connection.sendall(malformed)
                connection.shutdown(socket.SHUT_WR)
                answers.append(read_all(connection))
        answers.append(client.completions.create(model="m", prompt=PROMPT, max_tokens=3).id)
        return answers

    answers = run_with_client(send)
    assert all(b"Traceback" not in answer for answer in answers[:4])
    assert b"400" in answers[0].splitlines()[0]
    assert b"200" in answers[2].splitlines()[0]
    assert answers[4]


def read_all(connection: socket.socket) -> bytes:
    data = b""
    try:
        while received := connection.recv(65_536):
            data += received
    except ConnectionResetError:
        pass
    return data


def test_caller_that_stops_reading_is_disconnected() -> None:
    """The caller's connection stays open, so only the TCP user timeout can detect it."""

    async def action(world: World, address: str) -> None:
        host, _, port = address.removeprefix("http://").partition(":")
        body = json.dumps({"model": "m", "prompt": "x", "max_tokens": 8000, "stream": True})
        head = f"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n"
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.connect((host, int(port)))
            connection.sendall((head + body).encode())
            with trio.fail_after(30):
                while not any(world.fleet.memory().values()):
                    await trio.sleep(0.01)
                while any(world.fleet.memory().values()):
                    await trio.sleep(0.05)
        decode_counts = world.fleet.engines["d1"].counts + world.fleet.engines["d2"].counts
        assert decode_counts["cancels"] == 1

    world = World()
    world.engine_settings["token_s"] = 0.001
    run_on_socket(world, action)


def test_slow_sender_is_refused() -> None:
    async def action(world: World) -> None:
        caller = Caller(world.entries["e1"].app)
        caller.withhold_body = True
        await caller.request("POST", "/v1/completions", b"{}", {})
        world.callers.append(caller)

    world = World()
    world.run(action)
    assert world.callers[0].status == 408
    assert world.callers[0].error["code"] == "slow_sender"
    assert "Retry-After".lower() in world.callers[0].headers


def test_full_instance_refuses_with_retry_after() -> None:
    async def action(world: World) -> None:
        limited = CONFIGURATION.replace("max_attempts: 4", "requests_in_flight: 3, max_attempts: 4")
        world.platform.publish("config", limited)
        await trio.sleep(2)
        for _ in range(4):
            world.start_model_request("e1", 500)
            await trio.sleep(0.05)

    world = World()
    world.run(action)
    refused = world.callers[3]
    assert (refused.status, refused.error["code"], refused.error["ran"]) == (503, "busy", "no")
    assert refused.error["retry_after_s"] > 0
    assert json.loads(refused.body)["error"]["type"] == "server_error"
