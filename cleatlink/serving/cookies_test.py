"""Cookies of plain services belong to the callers, not to the instance."""

import trio

from cleatlink.serving.endpoints import HttpEndpointClient
from standins.socket_endpoint import serve_on_socket

_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nset-cookie: session=first; Path=/\r\n\r\n"


async def test_cookie_of_one_caller_is_sent_with_the_call_of_another() -> None:
    requests: list[bytes] = []

    async def serve(stream: trio.SocketStream) -> None:
        requests.append(bytes(await stream.receive_some()))
        await stream.send_all(_RESPONSE)

    client = HttpEndpointClient(connect_timeout_s=1.0)
    async with trio.open_nursery() as nursery:
        endpoint = await serve_on_socket(nursery, serve)
        answer = await client.call(endpoint, "GET", "/x", {}, b"")
        await client.call(endpoint, "GET", "/x", {}, b"")
        await client.call(endpoint, "GET", "/x", {"cookie": "session=own"}, b"")
        await client.close()
        nursery.cancel_scope.cancel()
    assert answer.headers["set-cookie"] == "session=first; Path=/"
    cookies = [
        line
        for request in requests
        for line in request.lower().split(b"\r\n")
        if line.startswith(b"cookie:")
    ]
    assert cookies == [b"cookie: session=own"]
