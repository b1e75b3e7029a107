"""HTTP clients whose responses count as complete only if they are, and whose heads are checked.

httpcore reads the response to a request that it failed to send, since a server may respond before
it has read the request. The failed send has then taken the kernel's only report of a reset, and a
response without a length would end as if the server had closed the connection.
"""

import ssl
from collections.abc import Iterable
from http.cookiejar import CookieJar, DefaultCookiePolicy
from typing import Any

import httpcore
import httpx

from cleatlink.core.errors import OutcomeUnknownError
from cleatlink.response_heads import InvalidHeadError, ResponseHeadChecker
from cleatlink.unacknowledged_bytes import count_unacknowledged

__all__ = ["MAX_ANSWER_BYTES", "create_client", "read_body"]

# Longest body of an answer or a report that is read, after decompression.
MAX_ANSWER_BYTES = 16_777_216

# Connections of one client, and the idle ones among them that are kept open.
_DEFAULT_LIMITS = httpx.Limits(max_connections=100, max_keepalive_connections=20)


def create_client(
    timeout: httpx.Timeout,
    *,
    limits: httpx.Limits = _DEFAULT_LIMITS,
    ssl_context: ssl.SSLContext | None = None,
) -> httpx.AsyncClient:
    """Create a client that keeps no cookies and reads no settings from the environment.

    Args:
        timeout: Timeouts of each request.
        limits: Limits on connections.
        ssl_context: Settings of TLS; None creates them, which is slow.
    """
    return httpx.AsyncClient(
        timeout=timeout,
        transport=_Transport(limits, ssl_context or ssl.create_default_context()),
        trust_env=False,
        # Keeps none: a cookie belongs to the caller whose answer sets it.
        cookies=CookieJar(DefaultCookiePolicy(allowed_domains=())),
    )


async def read_body(response: httpx.Response, max_bytes: int) -> bytes:
    """Read and decompress the body of a response that is not read yet.

    Raises:
        httpx.HTTPError: The connection failed, or the body is invalid.
        OutcomeUnknownError: The body has more than ``max_bytes`` bytes.
    """
    body = bytearray()
    try:
        async for chunk in response.aiter_bytes():
            body += chunk
            if len(body) > max_bytes:
                # Makes the iteration end with an error, which also ends its nested generators.
                await response.extensions["network_stream"].aclose()
    except httpx.HTTPError:
        if len(body) <= max_bytes:
            raise
    if len(body) > max_bytes:
        raise OutcomeUnknownError(f"response body has more than {max_bytes} bytes")
    return bytes(body)


class _Transport(httpx.AsyncHTTPTransport):
    """The transport of httpx, over streams that tell a failed connection from one that ended."""

    def __init__(self, limits: httpx.Limits, ssl_context: ssl.SSLContext) -> None:
        super().__init__(verify=ssl_context, trust_env=False, limits=limits)
        # httpx has no argument for the backend of its pool.
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=ssl_context,
            max_connections=limits.max_connections,
            max_keepalive_connections=limits.max_keepalive_connections,
            keepalive_expiry=limits.keepalive_expiry,
            network_backend=_Backend(),
        )


class _Backend(httpcore.AsyncNetworkBackend):
    """Opens streams that are checked at their end."""

    def __init__(self) -> None:
        self._backend = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a TCP connection."""
        return _Stream(
            await self._backend.connect_tcp(host, port, timeout, local_address, socket_options)
        )

    async def sleep(self, seconds: float) -> None:
        """Wait before another attempt to connect."""
        await self._backend.sleep(seconds)


class _Stream(httpcore.AsyncNetworkStream):
    """A stream that is read to its regular end only if the server took all data.

    Heads of responses are checked as they arrive.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._has_write_failed = False
        self._head_checker = ResponseHeadChecker()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read data; empty at the regular end."""
        data = await self._stream.read(max_bytes, timeout)
        try:
            self._head_checker.feed(data)
        except InvalidHeadError as error:
            raise httpcore.RemoteProtocolError(str(error)) from error
        if not data and (self._has_write_failed or self._count_unacknowledged()):
            raise httpcore.ReadError("the connection failed or ended before all data was taken")
        return data

    def _count_unacknowledged(self) -> int:
        """Return how many sent bytes the server has not acknowledged; 0 if that is unknown."""
        sock = self._stream.get_extra_info("socket")
        file_descriptor = -1 if sock is None else sock.fileno()
        return 0 if file_descriptor < 0 else count_unacknowledged(file_descriptor) or 0

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write data, after which a response is expected."""
        self._head_checker.expect_response()
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError:
            self._has_write_failed = True
            raise

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Encrypt the connection."""
        return _Stream(await self._stream.start_tls(ssl_context, server_hostname, timeout))

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection."""
        return self._stream.get_extra_info(info)
