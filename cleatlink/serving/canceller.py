"""Sends cancellations to endpoints, with retries until they are acknowledged or time out.

``Canceller.cancel`` is synchronous because it is called during the clean-up of a
request, which must not wait; background tasks send the cancellations.
"""

import trio

from cleatlink.core.errors import EndpointError
from cleatlink.serving.endpoints import EndpointClient
from cleatlink.serving.logs import Log
from cleatlink.serving.metrics import Metrics

__all__ = ["Canceller"]

_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0
_RESPONSE_TIMEOUT_S = 1.0
# An endpoint that is unreachable for this long is assumed to have died and freed its memory.
RETRY_DURATION_S = 120.0


class Canceller:
    """Sends cancellations in background tasks."""

    def __init__(self, client: EndpointClient, metrics: Metrics) -> None:
        self._client = client
        self._metrics = metrics
        self._nursery: trio.Nursery | None = None
        self._pending = 0
        self._log = Log("cancel")

    @property
    def pending(self) -> int:
        """Number of cancellations that are still being sent."""
        return self._pending

    def start(self, nursery: trio.Nursery) -> None:
        """Set the nursery in which cancellations are sent; call this before ``cancel``."""
        self._nursery = nursery

    def cancel(self, address: str, request: str, attempt: int) -> None:
        """Cancel a request at an endpoint, up to and including an attempt.

        Args:
            address: Address of the endpoint.
            request: Name of the request.
            attempt: Number of the last attempt to cancel.
        """
        assert self._nursery is not None, "Canceller.start must be called before cancel"
        self._pending += 1
        self._nursery.start_soon(self._send_with_retries, address, request, attempt)

    async def _send_with_retries(self, address: str, request: str, attempt: int) -> None:
        retry_deadline = trio.current_time() + RETRY_DURATION_S
        backoff_s = _MIN_BACKOFF_S
        try:
            while trio.current_time() < retry_deadline:
                if await self._send_once(address, request, attempt):
                    self._metrics.count_cancel("acknowledged")
                    return
                self._metrics.count_cancel("retried")
                await trio.sleep(backoff_s)
                backoff_s = min(_MAX_BACKOFF_S, 2 * backoff_s)
            self._metrics.count_cancel("given_up")
            self._log.log_message(
                "endpoint did not acknowledge a cancellation, stops retrying",
                address=address,
                request=request,
            )
        finally:
            self._pending -= 1

    async def _send_once(self, address: str, request: str, attempt: int) -> bool:
        with trio.move_on_after(_RESPONSE_TIMEOUT_S):
            try:
                await self._client.cancel(address, request, attempt)
                return True
            except EndpointError:
                return False
        return False
