"""Cancels at endpoints, tried again until acknowledged or of no more use.

Giving the order is a plain call, because it happens where a request is torn
down and may not wait; the sending runs in the canceller's own tasks.
"""

import trio

from cleatlink.core.errors import EndpointError
from cleatlink.serving.endpoints import EndpointClient
from cleatlink.serving.logs import Log
from cleatlink.serving.metrics import Metrics

__all__ = ["Canceller"]

_FIRST_PAUSE_S = 0.1
_MAX_PAUSE_S = 2.0
_ANSWER_TIMEOUT_S = 1.0
# An endpoint that is out of reach for this long is dead, and its memory with it.
KEEP_TRYING_S = 120.0


class Canceller:
    """Sends cancels in the background."""

    def __init__(self, client: EndpointClient, metrics: Metrics) -> None:
        self._client = client
        self._metrics = metrics
        self._nursery: trio.Nursery | None = None
        self._pending = 0
        self._log = Log("cancel")

    @property
    def pending(self) -> int:
        """Cancels that are not acknowledged yet."""
        return self._pending

    def start(self, nursery: trio.Nursery) -> None:
        """Run in a nursery from now on."""
        self._nursery = nursery

    def cancel(self, address: str, request: str, attempt: int) -> None:
        """Have an endpoint drop a request up to an attempt."""
        assert self._nursery is not None, "the canceller has not been started"
        self._pending += 1
        self._nursery.start_soon(self._send, address, request, attempt)

    async def _send(self, address: str, request: str, attempt: int) -> None:
        give_up_at = trio.current_time() + KEEP_TRYING_S
        pause = _FIRST_PAUSE_S
        try:
            while trio.current_time() < give_up_at:
                if await self._try(address, request, attempt):
                    self._metrics.count_cancel("acknowledged")
                    return
                self._metrics.count_cancel("retried")
                await trio.sleep(pause)
                pause = min(_MAX_PAUSE_S, 2 * pause)
            self._metrics.count_cancel("given_up")
            self._log.say("endpoint does not answer.", address=address, request=request)
        finally:
            self._pending -= 1

    async def _try(self, address: str, request: str, attempt: int) -> bool:
        with trio.move_on_after(_ANSWER_TIMEOUT_S):
            try:
                await self._client.cancel(address, request, attempt)
                return True
            except EndpointError:
                return False
        return False
