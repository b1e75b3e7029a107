"""Callers of the soak: they reuse connections, sometimes leave early, and record the results."""

import random

import trio

from soak.fleet import SoakFleet
from soak.organisations import ANONYMOUS
from soak.records import Request, RequestKind
from standins.relay.raw_client import Caller, Reply

__all__ = ["STREAM_HEADERS", "Traffic"]

_MEAN_PAUSE_S = 0.05
_ANSWER_TIMEOUT_S = 9.0
# Share of requests whose caller leaves before the answer.
_LEAVE_SHARE = 0.08
_MAX_RETRY_PAUSE_S = 0.5
# Share of answers after which a caller reuses its connection.
_REUSE_SHARE = 0.9
_PATHS = {
    RequestKind.SAFE: ("/safe/x", "GET"),
    RequestKind.UNSAFE: ("/unsafe/x", "POST"),
    RequestKind.STREAM: ("/stream/x", "POST"),
    RequestKind.RESUMABLE: ("/resume/x", "POST"),
    RequestKind.SWITCH: ("/switch/x", "GET"),
}
STREAM_HEADERS = {
    "Token-Counts": "100,50",
    "Model": "m",
    "Prompt-Prefix": "a:50,b:50",
    "Deadline-Milliseconds": "8000",
}


class Traffic:
    """Sends requests of many callers, each on one connection at a time, and records the results."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.requests: list[Request] = []
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._stopping = False

    def stop(self) -> None:
        """Make every caller stop after its current request."""
        self._stopping = True

    async def run(self, caller_count: int) -> None:
        """Send requests from a number of callers until ``stop``."""
        async with trio.open_nursery() as nursery:
            for number in range(caller_count):
                nursery.start_soon(self._run_caller, number)

    async def _run_caller(self, number: int) -> None:
        """Run one caller: use a connection until it ends, then connect to any instance."""
        await trio.sleep(_MEAN_PAUSE_S * self._rng.random())
        while not self._stopping:
            instance = self._rng.choice(self._fleet.instances)
            caller = Caller(instance.caller_address)
            try:
                await caller.open()
                while not self._stopping and await self._send_request(caller, instance.number):
                    await trio.sleep(2 * _MEAN_PAUSE_S * self._rng.random())
            except OSError:
                # No process of that instance is listening at the moment.
                await trio.sleep(_MEAN_PAUSE_S)
            finally:
                caller.close()

    async def _send_request(self, caller: Caller, instance_number: int) -> bool:
        """Send one request and record its result; return whether to reuse the connection."""
        kind = self._rng.choice(list(RequestKind))
        path, method = _PATHS[kind]
        is_stream = kind in (RequestKind.STREAM, RequestKind.RESUMABLE)
        incarnation = self._fleet.instances[instance_number - 1].incarnation
        extra_bytes = caller.unread_data
        organisations = self._fleet.organisations
        identity = organisations.pick_caller() if organisations is not None else ANONYMOUS
        headers = dict(STREAM_HEADERS) if is_stream else {}
        if identity.api_key:
            headers["Authorization"] = f"Bearer {identity.api_key}"
        try:
            request_id = await caller.send(
                path,
                method,
                body=b"body" if method == "POST" else b"",
                headers=headers,
            )
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        sent_at = trio.current_time()
        leave_after_s = 0.25 * self._rng.random() if self._rng.random() < _LEAVE_SHARE else None
        reply = await self._receive(caller, leave_after_s)
        ended_at = trio.current_time()
        request = Request(
            request_id,
            kind,
            instance_number,
            incarnation,
            sent_at,
            ended_at,
            extra_bytes=extra_bytes,
            caller=identity,
        )
        if reply is None:
            self.requests.append(request._replace(caller_left=True))
            caller.close()
            return False
        self.requests.append(
            request._replace(
                status=reply.status,
                answer_id=reply.headers.get("attempt-id", ""),
                is_signed="server-stamp" in reply.headers,
                is_complete=reply.is_complete,
                body=reply.body,
                retry_after=reply.headers.get("retry-after", ""),
            )
        )
        if reply.status == 503:
            retry_s = float(reply.headers.get("retry-after") or _MAX_RETRY_PAUSE_S)
            await trio.sleep(min(_MAX_RETRY_PAUSE_S, retry_s))
        closes = not reply.is_complete or reply.headers.get("connection") == "close"
        return not closes and self._rng.random() < _REUSE_SHARE

    async def _receive(self, caller: Caller, leave_after_s: float | None) -> Reply | None:
        """Receive an answer; return None if the caller gave up before it was complete."""
        with trio.move_on_after(_ANSWER_TIMEOUT_S if leave_after_s is None else leave_after_s):
            return await caller.receive()
        return None
