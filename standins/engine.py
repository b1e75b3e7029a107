"""Simulates a model engine: slots, KV memory, prefill and decode speed, a transfer link.

Memory stays reserved until the work has ended or is cancelled, even after the
reader of the stream has disconnected. A missing cancel of the router is therefore
visible in the engine's ``memory``. The answer depends only on the prompt, so a test
can compare all of it.
"""

from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial
from typing import Any, NamedTuple, TypedDict

import trio
import xxhash

__all__ = [
    "Chunk",
    "Engine",
    "EngineSettings",
    "Faults",
    "KvReference",
    "Order",
    "OrderRefusedError",
    "expected_tokens",
    "prompt_tokens",
]

# Time for which an engine refuses late orders of a cancelled request, in seconds.
_CANCELLATION_RETENTION_S = 120.0
# Prompts share cached KV if their first bytes, up to this length, are equal.
PREFIX_BYTES = 1024


class OrderRefusedError(Exception):
    """The engine refused an order; the order did not run.

    Attributes:
        status: HTTP status of the response.
        code: Error code of the response.
    """

    def __init__(self, status: int, code: str) -> None:
        super().__init__(code)
        self.status = status
        self.code = code


class EngineSettings(NamedTuple):
    """Size and speed of an engine.

    Attributes:
        name: Name of the engine.
        slots: Maximum number of decodes at the same time.
        memory_tokens: KV memory in tokens.
        prefill_rate: Prefill speed in tokens per second.
        token_s: Time between two decoded tokens, in seconds.
        kv_keep_s: Time for which a prefill's KV is kept for export, in seconds.
        link_rate: Speed of a KV transfer in tokens per second.
        report_lag_s: Age of the load reports, in seconds.
        max_cached_prefixes: Maximum number of cached prompt prefixes.
        event_lag_s: Delay of the cache events, in seconds.
        checks_fences: Whether the engine refuses commands with a stale fencing token.
    """

    name: str
    slots: int = 16
    memory_tokens: int = 200_000
    prefill_rate: float = 50_000.0
    token_s: float = 0.01
    kv_keep_s: float = 3.0
    link_rate: float = 500_000.0
    report_lag_s: float = 0.2
    max_cached_prefixes: int = 64
    event_lag_s: float = 0.5
    checks_fences: bool = True


class Faults(TypedDict, total=False):
    """Faults that an engine can simulate; a position is the index of a token in the answer.

    Attributes:
        hang: Never answer a prefill, a decode or a resume.
        stall_at: Pause each decode at this position while the fault is set.
        drop_at: Leave out the chunk at this position.
        double_at: Send the chunk at this position twice.
        swap_at: Send the chunk at this position after the next one.
        foreign_at: Send a chunk of another request before the chunk at this position.
        cut_at: End the stream with an error at this position.
        slow_prefill_s: Additional time of each prefill, in seconds.
        slow_decode_s: Additional delay of the next decode, in seconds.
        stale_report: Stop updating the load report.
        lose_events: Number of cache events to leave out of the next response.
        lose_cancels: Number of cancels to answer with an error and ignore.
    """

    hang: bool
    stall_at: int
    drop_at: int
    double_at: int
    swap_at: int
    foreign_at: int
    cut_at: int
    slow_prefill_s: float
    slow_decode_s: float
    stale_report: bool
    lose_events: int
    lose_cancels: int


class Order(NamedTuple):
    """An order from a router to prefill or decode a prompt.

    Attributes:
        request: Id of the request.
        attempt: Number that increases with each attempt of the request.
        prompt: Text of the prompt.
        max_tokens: Length of the whole answer in tokens.
        position: Number of tokens of the answer that exist already.
        resumed_text: Text of these tokens.
    """

    request: str
    attempt: int
    prompt: str
    max_tokens: int
    position: int = 0
    resumed_text: str = ""


class KvReference(NamedTuple):
    """Identifies the KV that a prefill computed.

    Attributes:
        engine: Name of the engine that computed the KV; over HTTP, the address of an engine other
            than the importing one.
        request: Id of the request.
        attempt: Attempt of the request.
    """

    engine: str
    request: str
    attempt: int


class Chunk(NamedTuple):
    """One token of a stream.

    Attributes:
        owner: Request and attempt, as ``request.attempt``.
        position: Index of the token in the answer.
        text: Text of the token.
        last: Whether the token is the last of the answer.
    """

    owner: str
    position: int
    text: str
    last: bool


class _Stream:
    """A decode in progress; only the reader that started last gets its tokens."""

    def __init__(self, order: Order) -> None:
        self.order = order
        self.tokens: list[str] = []
        self.changed = trio.Event()
        self.done = False
        self.cancelled = False
        self.reader_number = 0

    def notify_readers(self) -> None:
        """Wake the readers after a change."""
        self.changed.set()
        self.changed = trio.Event()


def prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt, estimated as one per four bytes."""
    return len(prompt.encode()) // 4 + 1


def expected_tokens(prompt: str, count: int) -> list[str]:
    """Return the tokens with which every engine answers a prompt."""
    return [f"{xxhash.xxh32_intdigest(f'{prompt}/{i}'.encode()) % 9973} " for i in range(count)]


FetchKv = Callable[[KvReference], Awaitable[int]]


class Engine:
    """An engine in this process; ``run`` must run during its whole lifetime.

    Attributes:
        settings: Size and speed of the engine.
        faults: Faults that are simulated now.
        leaving: Whether the engine refuses new orders.
        counts: Numbers of operations and tokens by name.
        memory: Reserved memory in tokens by request, attempt and kind of work.
        fence: Highest fencing token accepted.
        state: State set by commands, by kind.
    """

    def __init__(self, settings: EngineSettings, fetch_kv: FetchKv) -> None:
        self.settings = settings
        self.faults: Faults = {}
        self.leaving = False
        self.counts: Counter[str] = Counter()
        self.memory: dict[tuple[str, int, str], int] = {}
        self._fetch_kv = fetch_kv
        self._streams: dict[str, _Stream] = {}
        self._kv_expires_at: dict[tuple[str, int], float] = {}
        self._cancellations: dict[str, tuple[int, float]] = {}
        self._queued_tokens = 0
        self._prefill_lock = trio.StrictFIFOLock()
        self._prefill_scopes: dict[tuple[str, int, str], trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None
        self.fence = 0
        self.state: dict[str, str] = {}
        self._prefix_used_at: dict[int, float] = {}
        self._past_cache_events: list[tuple[float, dict[str, Any]]] = []
        self._cache_event_count = 0
        self._swapped_chunk: Chunk | None = None
        self._past_reports: list[tuple[float, dict[str, Any]]] = []

    @property
    def memory_used(self) -> int:
        """Memory reserved now, in tokens."""
        return sum(self.memory.values())

    @property
    def running(self) -> int:
        """Number of decodes in progress, without finished decodes that can still be read."""
        return sum(not stream.done for stream in self._streams.values())

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Expire KV and record load reports until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                self._expire(trio.current_time())
                if not self.faults.get("stale_report"):
                    self._past_reports.append((trio.current_time(), self._current_report()))
                    del self._past_reports[:-20]
                await trio.sleep(0.1)

    async def prefill(self, order: Order) -> KvReference:
        """Compute a prompt's KV and keep it for ``kv_keep_s`` seconds.

        Raises:
            OrderRefusedError: The engine is leaving, its memory is full or the order is cancelled.
        """
        await self._hang_if_faulty()
        self._check_admission(order)
        token_count = prompt_tokens(order.prompt + order.resumed_text)
        self._reserve((order.request, order.attempt, "prefill"), token_count)
        kv: KvReference = await self._run_detached(partial(self._compute, order, token_count))
        return kv

    async def _compute(self, order: Order, token_count: int) -> KvReference:
        key = (order.request, order.attempt, "prefill")
        self._queued_tokens += token_count
        scope = self._prefill_scopes[key] = trio.CancelScope()
        with scope:
            async with self._prefill_lock:
                self.counts["prefill_tokens"] += token_count
                computed_tokens = token_count - self._use_cached_prefix(order.prompt, token_count)
                self.counts["computed_tokens"] += computed_tokens
                additional_s = self.faults.get("slow_prefill_s", 0.0)
                await trio.sleep(computed_tokens / self.settings.prefill_rate + additional_s)
        self._queued_tokens -= token_count
        del self._prefill_scopes[key]
        if scope.cancelled_caught:
            raise OrderRefusedError(409, "cancelled")
        self.counts["prefills"] += 1
        expires_at = trio.current_time() + self.settings.kv_keep_s
        self._kv_expires_at[order.request, order.attempt] = expires_at
        return KvReference(self.settings.name, order.request, order.attempt)

    async def export_kv(self, request: str, attempt: int) -> int:
        """Transfer a prefill's KV, release its memory and return its size in tokens.

        Raises:
            OrderRefusedError: The KV has expired or is unknown.
        """
        token_count = self.memory.get((request, attempt, "prefill"))
        if token_count is None or (request, attempt) not in self._kv_expires_at:
            raise OrderRefusedError(410, "kv_gone")
        await trio.sleep(token_count / self.settings.link_rate)
        self._release((request, attempt, "prefill"))
        self.counts["kv_used"] += 1
        self.counts["kv_used_tokens"] += token_count
        return token_count

    async def decode(self, order: Order, kv: KvReference) -> AsyncIterator[Chunk]:
        """Import KV, start to decode and return the stream.

        Raises:
            OrderRefusedError: The engine refuses the order, or the KV cannot be imported.
        """
        await self._hang_if_faulty()
        self._check_admission(order)
        if self.running >= self.settings.slots:
            raise OrderRefusedError(503, "full")
        await trio.sleep(self.faults.pop("slow_decode_s", 0.0))
        key = (order.request, order.attempt, "decode")
        self._reserve(key, prompt_tokens(order.prompt) + order.max_tokens)
        stream = self._streams[order.request] = _Stream(order)
        await self._run_detached(partial(self._import_kv, stream, kv))
        return self._read(stream, order.position)

    async def _import_kv(self, stream: _Stream, kv: KvReference) -> None:
        try:
            if kv.engine == self.settings.name:
                await self.export_kv(kv.request, kv.attempt)
            else:
                await self._fetch_kv(kv)
        except OrderRefusedError:
            self._remove_stream(stream)
            raise
        if stream.cancelled:
            raise OrderRefusedError(409, "cancelled")
        self.counts["decodes"] += 1
        assert self._nursery is not None
        self._nursery.start_soon(self._generate, stream)

    async def resume(self, request: str, attempt: int, position: int) -> AsyncIterator[Chunk]:
        """Read a stream again from a position; the previous reader of the stream stops.

        Raises:
            OrderRefusedError: The attempt has no stream at this engine.
        """
        await self._hang_if_faulty()
        stream = self._streams.get(request)
        if stream is None or stream.order.attempt != attempt or stream.cancelled:
            raise OrderRefusedError(410, "stream_gone")
        self.counts["resumes"] += 1
        return self._read(stream, position)

    def cancel(self, request: str, attempt: int) -> None:
        """Cancel all work of a request up to an attempt, including orders that arrive later."""
        if self.faults.get("lose_cancels", 0) > 0:
            self.faults["lose_cancels"] -= 1
            raise OrderRefusedError(503, "cancel_lost")
        self.counts["cancels"] += 1
        self._cancellations[request] = (attempt, trio.current_time() + _CANCELLATION_RETENTION_S)
        for key in [key for key in self.memory if key[0] == request and key[1] <= attempt]:
            if key in self._prefill_scopes:
                self._prefill_scopes[key].cancel()
            self._release(key)
        stream = self._streams.get(request)
        if stream is not None and stream.order.attempt <= attempt:
            stream.cancelled = True
            stream.notify_readers()
            self._streams.pop(request)

    def apply_command(self, kind: str, value: str, fence: int) -> None:
        """Set a desired state.

        Raises:
            OrderRefusedError: The engine checks fencing tokens and the token is stale.
        """
        if self.settings.checks_fences and fence <= self.fence:
            raise OrderRefusedError(409, f"fence {self.fence}")
        self.fence = fence
        self.state[kind] = value

    def cache_events(self, after: int) -> dict[str, Any]:
        """Return the cache events after a number, with the simulated delay and losses."""
        visible_until = trio.current_time() - self.settings.event_lag_s
        visible = [
            event for created_at, event in self._past_cache_events if created_at <= visible_until
        ]
        last_number = visible[-1]["number"] if visible else 0
        events = [event for event in visible if event["number"] > after]
        lost_count = self.faults.pop("lose_events", 0)
        return {"cache_events": events[lost_count:], "last_event": last_number}

    def _use_cached_prefix(self, prompt: str, token_count: int) -> int:
        """Return the number of cached tokens of a prompt, and cache its prefix."""
        data = prompt.encode()[:PREFIX_BYTES]
        prefix = xxhash.xxh3_64_intdigest(data)
        is_cached = prefix in self._prefix_used_at
        self._prefix_used_at.pop(prefix, None)
        self._prefix_used_at[prefix] = trio.current_time()
        if not is_cached:
            self._record_cache_event(prefix, stored=True)
        while len(self._prefix_used_at) > self.settings.max_cached_prefixes:
            oldest = next(iter(self._prefix_used_at))
            del self._prefix_used_at[oldest]
            self._record_cache_event(oldest, stored=False)
        return min(token_count, len(data) // 4) if is_cached else 0

    def _record_cache_event(self, prefix: int, stored: bool) -> None:
        self._cache_event_count += 1
        event = {"number": self._cache_event_count, "prefix": prefix, "stored": stored}
        self._past_cache_events.append((trio.current_time(), event))
        del self._past_cache_events[:-1000]

    def report(self) -> dict[str, Any]:
        """Return the load of ``report_lag_s`` seconds ago."""
        visible_until = trio.current_time() - self.settings.report_lag_s
        visible = [
            report for created_at, report in self._past_reports if created_at <= visible_until
        ]
        return visible[-1] if visible else self._current_report()

    def _current_report(self) -> dict[str, Any]:
        return {
            "endpoint": self.settings.name,
            "slots": self.settings.slots,
            "running": self.running,
            "waiting_tokens": self._queued_tokens,
            "memory_tokens": self.settings.memory_tokens,
            "memory_free_tokens": self.settings.memory_tokens - self.memory_used,
            "leaving": self.leaving,
            "fence": self.fence,
            "prefill_tokens_per_s": self.settings.prefill_rate,
        }

    async def _run_detached(self, work: Callable[[], Awaitable[Any]]) -> Any:
        """Await work in a task of its own, which continues when the caller is cancelled."""
        results: list[Any] = []
        done = trio.Event()

        async def run() -> None:
            try:
                results.append(await work())
            except OrderRefusedError as error:
                results.append(error)
            done.set()

        assert self._nursery is not None
        self._nursery.start_soon(run)
        await done.wait()
        if isinstance(results[0], OrderRefusedError):
            raise results[0]
        return results[0]

    async def _hang_if_faulty(self) -> None:
        if self.faults.get("hang"):
            await trio.sleep_forever()

    def _check_admission(self, order: Order) -> None:
        if self.leaving:
            self.counts["refused_leaving"] += 1
            raise OrderRefusedError(503, "leaving")
        attempt, _ = self._cancellations.get(order.request, (-1, 0.0))
        if order.attempt <= attempt:
            raise OrderRefusedError(409, "cancelled")

    def _reserve(self, key: tuple[str, int, str], token_count: int) -> None:
        if self.memory_used + token_count > self.settings.memory_tokens:
            raise OrderRefusedError(503, "memory")
        self.memory[key] = token_count

    def _release(self, key: tuple[str, int, str]) -> None:
        self.memory.pop(key, None)
        if key[2] == "prefill":
            self._kv_expires_at.pop(key[:2], None)

    def _expire(self, now: float) -> None:
        for request, attempt in [
            key for key, expires_at in self._kv_expires_at.items() if expires_at < now
        ]:
            self.counts["kv_expired"] += 1
            self._release((request, attempt, "prefill"))
        for request in [
            name for name, (_, expires_at) in self._cancellations.items() if expires_at < now
        ]:
            del self._cancellations[request]

    def _remove_stream(self, stream: _Stream) -> None:
        order = stream.order
        self._release((order.request, order.attempt, "decode"))
        if self._streams.get(order.request) is stream:
            del self._streams[order.request]

    async def _generate(self, stream: _Stream) -> None:
        order = stream.order
        answer = expected_tokens(order.prompt, order.max_tokens)
        stream.tokens = answer[: order.position]
        for token in answer[order.position :]:
            while self.faults.get("stall_at") == len(stream.tokens):
                await trio.sleep(0.1)
            await trio.sleep(self.settings.token_s)
            if stream.cancelled:
                return
            stream.tokens.append(token)
            stream.notify_readers()
        stream.done = True
        stream.notify_readers()
        self._release((order.request, order.attempt, "decode"))
        # The finished stream stays readable for kv_keep_s, so that a router can resume it
        # when the last chunk was lost.
        await trio.sleep(self.settings.kv_keep_s)
        self._remove_stream(stream)

    async def _read(self, stream: _Stream, position: int) -> AsyncIterator[Chunk]:
        stream.reader_number += 1
        reader_number = stream.reader_number
        owner = f"{stream.order.request}.{stream.order.attempt}"
        stream.notify_readers()
        while not stream.cancelled and stream.reader_number == reader_number:
            changed = stream.changed
            while position < len(stream.tokens):
                last = position + 1 == stream.order.max_tokens
                for chunk in self._apply_stream_faults(
                    Chunk(owner, position, stream.tokens[position], last)
                ):
                    yield chunk
                position += 1
            if stream.done:
                return
            await changed.wait()

    def _apply_stream_faults(self, chunk: Chunk) -> list[Chunk]:
        """Apply this engine's stream faults to a chunk; each fault applies once."""
        at = chunk.position
        if self.faults.get("cut_at") == at:
            del self.faults["cut_at"]
            raise OrderRefusedError(500, "cut")
        if self.faults.get("drop_at") == at:
            del self.faults["drop_at"]
            return []
        if self.faults.get("double_at") == at:
            del self.faults["double_at"]
            return [chunk, chunk]
        if self.faults.get("foreign_at") == at:
            del self.faults["foreign_at"]
            return [chunk._replace(owner="another-request.0", text="WRONG "), chunk]
        if self.faults.get("swap_at") == at:
            del self.faults["swap_at"]
            self._swapped_chunk = chunk
            return []
        swapped_chunk, self._swapped_chunk = self._swapped_chunk, None
        if swapped_chunk is not None and swapped_chunk.owner == chunk.owner:
            return [chunk, swapped_chunk]
        return [chunk]
