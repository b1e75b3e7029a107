"""Callers of the soak: they reuse connections, sometimes leave early, and record the results."""

import random
from typing import NamedTuple

import trio

from soak.fleet import SoakFleet
from soak.organisations import ANONYMOUS
from soak.processes import InstanceProcess
from soak.records import CallerIdentity, Request, RequestKind
from soak.workers import EVENTS_PER_STREAM
from standins.relay.raw_client import Caller, Reply
from standins.relay.stream_builds import MarkedStream, read_marks
from standins.relay.worker import SIGNATURE_PREFIX

__all__ = ["STREAM_HEADERS", "Traffic"]

_MEAN_PAUSE_S = 0.05
_ANSWER_TIMEOUT_S = 9.0
# Share of requests whose caller leaves before the answer.
_LEAVE_SHARE = 0.08
_MAX_RETRY_PAUSE_S = 0.5
# Share of answers after which a caller reuses its connection.
_REUSE_SHARE = 0.9
# Share of the new connections that go to the preferred instance, and share of answers after which a
# caller then reuses its connection.
_PREFERRED_SHARE = 0.95
_REUSE_SHARE_OF_MANY_CONNECTIONS = 0.3
# Share of resumable streams whose caller loses its connection, in runs with several builds, and the
# events that it has received by then.
_BREAK_OFF_SHARE = 0.5
_EVENTS_BEFORE_BREAK = 2
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


class _Attempt(NamedTuple):
    """An attempt of a caller.

    Attributes:
        kind: Kind of the request.
        caller: Organisation and key of the caller.
        resumes: ID of the request that began the stream; empty for a new request.
        first_event: Number of the first event that the caller lacks.
    """

    kind: RequestKind
    caller: CallerIdentity
    resumes: str = ""
    first_event: int = 1

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream."""
        return self.kind in (RequestKind.STREAM, RequestKind.RESUMABLE)

    @property
    def may_break_off(self) -> bool:
        """Whether the caller takes the stream up after it broke off; it does so once."""
        return self.kind is RequestKind.RESUMABLE and not self.resumes

    def headers(self) -> dict[str, str]:
        """Return the headers that depend on the attempt."""
        headers = dict(STREAM_HEADERS) if self.is_stream else {}
        if self.caller.api_key:
            headers["Authorization"] = f"Bearer {self.caller.api_key}"
        if self.resumes:
            headers["Resumes"] = self.resumes
            headers["Last-Event-Id"] = str(self.first_event - 1)
        return headers


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
            instance = self._choose_instance()
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
        organisations = self._fleet.organisations
        identity = organisations.pick_caller() if organisations is not None else ANONYMOUS
        return await self._send(caller, instance_number, _Attempt(kind, identity))

    async def _send(self, caller: Caller, instance_number: int, attempt: "_Attempt") -> bool:
        """Send an attempt and record its result; return whether to reuse the connection."""
        path, method = _PATHS[attempt.kind]
        incarnation = self._fleet.instances[instance_number - 1].incarnation
        extra_bytes = caller.unread_data
        try:
            request_id = await caller.send(
                path,
                method,
                body=b"body" if method == "POST" else b"",
                headers=attempt.headers(),
            )
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        sent_at = trio.current_time()
        request = Request(
            request_id,
            attempt.kind,
            instance_number,
            incarnation,
            sent_at,
            sent_at,
            extra_bytes=extra_bytes,
            caller=attempt.caller,
            resumes=attempt.resumes,
            first_event=attempt.first_event,
        )
        if attempt.may_break_off and self._breaks_off():
            await self._break_off(caller, request)
            return False
        leave_after_s = 0.25 * self._rng.random() if self._rng.random() < _LEAVE_SHARE else None
        reply = await self._receive(caller, leave_after_s)
        request = request._replace(ended_at=trio.current_time())
        if reply is None:
            self.requests.append(request._replace(caller_left=True))
            caller.close()
            return False
        marked = read_marks(reply.body) if attempt.is_stream else MarkedStream(reply.body, ())
        request = request._replace(
            status=reply.status,
            answer_id=reply.headers.get("attempt-id", ""),
            is_signed="server-stamp" in reply.headers,
            is_complete=reply.is_complete,
            body=marked.body,
            retry_after=reply.headers.get("retry-after", ""),
            builds=marked.builds,
            signed_by=reply.headers.get("server-stamp", "").removeprefix(SIGNATURE_PREFIX),
        )
        self.requests.append(request)
        if attempt.may_break_off and marked.builds and not reply.is_complete:
            await self._take_up(request)
            return False
        if reply.status == 503:
            retry_s = float(reply.headers.get("retry-after") or _MAX_RETRY_PAUSE_S)
            await trio.sleep(min(_MAX_RETRY_PAUSE_S, retry_s))
        closes = not reply.is_complete or reply.headers.get("connection") == "close"
        is_skewed = self._fleet.preferred_instance is not None
        reuse_share = _REUSE_SHARE_OF_MANY_CONNECTIONS if is_skewed else _REUSE_SHARE
        return not closes and self._rng.random() < reuse_share

    def _choose_instance(self) -> InstanceProcess:
        """Choose the instance of a new connection."""
        preferred = self._fleet.preferred_instance
        if preferred is not None and self._rng.random() < _PREFERRED_SHARE:
            return preferred
        return self._rng.choice(self._fleet.instances)

    def _breaks_off(self) -> bool:
        """Decide whether a caller loses its connection within a stream and takes it up later."""
        return self._fleet.mixes_builds and self._rng.random() < _BREAK_OFF_SHARE

    async def _break_off(self, caller: Caller, request: Request) -> None:
        """Lose the connection within a stream, and take the stream up at another instance."""
        marked = MarkedStream(b"", ())
        with trio.move_on_after(_ANSWER_TIMEOUT_S):
            marked = read_marks(await caller.receive_events(_EVENTS_BEFORE_BREAK))
        caller.close()
        request = request._replace(
            ended_at=trio.current_time(), caller_left=True, builds=marked.builds
        )
        self.requests.append(request)
        if marked.builds:
            await self._take_up(request)

    async def _take_up(self, request: Request) -> None:
        """Take up a stream that broke off, at any instance."""
        next_event = request.first_event + len(request.builds)
        if next_event > EVENTS_PER_STREAM:
            return
        instance = self._rng.choice(self._fleet.instances)
        caller = Caller(instance.caller_address)
        attempt = _Attempt(
            request.kind, request.caller, request.resumes or request.request_id, next_event
        )
        try:
            await caller.open()
            await self._send(caller, instance.number, attempt)
        except OSError:
            # No process of that instance is listening at the moment.
            pass
        finally:
            caller.close()

    async def _receive(self, caller: Caller, leave_after_s: float | None) -> Reply | None:
        """Receive an answer; return None if the caller gave up before it was complete."""
        with trio.move_on_after(_ANSWER_TIMEOUT_S if leave_after_s is None else leave_after_s):
            return await caller.receive()
        return None
