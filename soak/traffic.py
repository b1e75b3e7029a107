"""Callers of the soak: they keep connections, leave early, and note what they saw."""

import random

import trio

from soak.fleet import SoakFleet
from soak.organisations import NOBODY
from soak.records import Request, RequestKind
from standins.relay.client import Caller, Reply

__all__ = ["STREAM_HEADERS", "Traffic"]

_PAUSE_S = 0.05
_GIVE_UP_S = 9.0
_SHARE_LEAVING = 0.08
_MOST_RETRY_S = 0.5
_KEEP_CONNECTION = 0.9
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
    """Requests of many callers, each on one connection at a time."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.requests: list[Request] = []
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._stopping = False

    def stop(self) -> None:
        """Have every caller end with its next request."""
        self._stopping = True

    async def run(self, callers: int) -> None:
        """Call until ``stop``."""
        async with trio.open_nursery() as nursery:
            for number in range(callers):
                nursery.start_soon(self._call_always, number)

    async def _call_always(self, number: int) -> None:
        """Be one caller: use a connection until it ends, then take another instance."""
        await trio.sleep(_PAUSE_S * self._rng.random())
        while not self._stopping:
            instance = self._rng.choice(self._fleet.instances)
            caller = Caller(instance.front)
            try:
                await caller.open()
                while not self._stopping and await self._call(caller, instance.number):
                    await trio.sleep(2 * _PAUSE_S * self._rng.random())
            except OSError:
                # Nobody listens there just now.
                await trio.sleep(_PAUSE_S)
            finally:
                caller.close()

    async def _call(self, caller: Caller, number: int) -> bool:
        """Make one request; tells whether the connection can be used again."""
        kind = self._rng.choice(list(RequestKind))
        path, method = _PATHS[kind]
        stream = kind in (RequestKind.STREAM, RequestKind.RESUMABLE)
        life = self._fleet.instances[number - 1].life
        surplus = caller.unread
        organisations = self._fleet.organisations
        whose = organisations.pick() if organisations is not None else NOBODY
        fields = dict(STREAM_HEADERS) if stream else {}
        if whose.key:
            fields["Authorization"] = f"Bearer {whose.key}"
        try:
            name = await caller.send(
                path,
                method,
                body=b"body" if method == "POST" else b"",
                headers=fields,
            )
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        sent_at = trio.current_time()
        leaves_s = 0.25 * self._rng.random() if self._rng.random() < _SHARE_LEAVING else None
        reply = await self._receive(caller, leaves_s)
        ended_at = trio.current_time()
        request = Request(
            name, kind, number, life, sent_at, ended_at, surplus=surplus, caller=whose
        )
        if reply is None:
            self.requests.append(request._replace(left=True))
            caller.close()
            return False
        self.requests.append(
            request._replace(
                status=reply.status,
                owner=reply.headers.get("attempt-id", ""),
                signed="server-stamp" in reply.headers,
                whole=reply.whole,
                body=reply.body,
                retry_after=reply.headers.get("retry-after", ""),
            )
        )
        if reply.status == 503:
            retry_s = float(reply.headers.get("retry-after") or _MOST_RETRY_S)
            await trio.sleep(min(_MOST_RETRY_S, retry_s))
        closes = not reply.whole or reply.headers.get("connection") == "close"
        return not closes and self._rng.random() < _KEEP_CONNECTION

    async def _receive(self, caller: Caller, leaves_s: float | None) -> Reply | None:
        """Receive an answer; None when the caller left before it was there."""
        with trio.move_on_after(_GIVE_UP_S if leaves_s is None else leaves_s):
            return await caller.receive()
        return None
