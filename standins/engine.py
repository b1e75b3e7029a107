"""A model engine: slots and memory, prefill by length, KV kept seconds, a link.

Memory is held until the work is done or cancelled, also when nobody reads the
stream any more: a router that forgets to cancel shows in the ledger. The
answer is a pure function of the prompt, so a test can compare it in full.
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
    "Kv",
    "Order",
    "OrderRefusedError",
    "expected_tokens",
    "prompt_tokens",
]

_TOMBSTONE_S = 120.0
# Prompts with an equal beginning of this length share cached work.
PREFIX_BYTES = 1024


class OrderRefusedError(Exception):
    """The engine refuses an order, which therefore did not run."""

    def __init__(self, status: int, code: str) -> None:
        super().__init__(code)
        self.status = status
        self.code = code


class EngineSettings(NamedTuple):
    """How large and how fast an engine is; rates in tokens a second."""

    name: str
    slots: int = 16
    memory_tokens: int = 200_000
    prefill_rate: float = 50_000.0
    token_s: float = 0.01
    kv_keep_s: float = 3.0
    link_rate: float = 500_000.0
    report_lag_s: float = 0.2
    cached_prefixes: int = 64
    event_lag_s: float = 0.5
    checks_fences: bool = True


class Faults(TypedDict, total=False):
    """Faults an engine can be told to have; positions are token positions."""

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
    """One order from a router; ``attempt`` grows with each try."""

    request: str
    attempt: int
    prompt: str
    max_tokens: int
    position: int = 0
    resumed_text: str = ""


class Kv(NamedTuple):
    """A prefill's result as the decode side names it."""

    engine: str
    request: str
    attempt: int


class Chunk(NamedTuple):
    """One token on its way out; ``owner`` is ``request.attempt``."""

    owner: str
    position: int
    text: str
    last: bool


class _Stream:
    """A decode in progress: its tokens so far and who may read them."""

    def __init__(self, order: Order) -> None:
        self.order = order
        self.tokens: list[str] = []
        self.news = trio.Event()
        self.done = False
        self.cancelled = False
        self.reader = 0

    def wake(self) -> None:
        """Tell readers that something changed."""
        self.news.set()
        self.news = trio.Event()


def prompt_tokens(prompt: str) -> int:
    """Count a prompt's tokens: one for each four bytes, as a rough engine would."""
    return len(prompt.encode()) // 4 + 1


def expected_tokens(prompt: str, count: int) -> list[str]:
    """Give the answer that any engine gives to a prompt."""
    return [f"{xxhash.xxh32_intdigest(f'{prompt}/{i}'.encode()) % 9973} " for i in range(count)]


FetchKv = Callable[[Kv], Awaitable[int]]


class Engine:
    """An engine in process; ``run`` must run for as long as it lives."""

    def __init__(self, settings: EngineSettings, fetch_kv: FetchKv) -> None:
        self.settings = settings
        self.faults: Faults = {}
        self.leaving = False
        self.counts: Counter[str] = Counter()
        self.memory: dict[tuple[str, int, str], int] = {}
        self._fetch_kv = fetch_kv
        self._streams: dict[str, _Stream] = {}
        self._kv_expiry: dict[tuple[str, int], float] = {}
        self._cancelled: dict[str, tuple[int, float]] = {}
        self._waiting_tokens = 0
        self._prefill_lock = trio.StrictFIFOLock()
        self._scopes: dict[tuple[str, int, str], trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None
        self.fence = 0
        self.state: dict[str, str] = {}
        self._cache: dict[int, float] = {}
        self._events: list[tuple[float, dict[str, Any]]] = []
        self._event_count = 0
        self._held_back: Chunk | None = None
        self._reports: list[tuple[float, dict[str, Any]]] = []

    @property
    def memory_used(self) -> int:
        """Tokens of memory held now."""
        return sum(self.memory.values())

    @property
    def running(self) -> int:
        """Decodes in progress; finished ones that can still be read don't count."""
        return sum(not stream.done for stream in self._streams.values())

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Expire KV and take reports until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                self._expire(trio.current_time())
                if not self.faults.get("stale_report"):
                    self._reports.append((trio.current_time(), self._report()))
                    del self._reports[:-20]
                await trio.sleep(0.1)

    async def prefill(self, order: Order) -> Kv:
        """Compute a prompt's KV and keep it for a few seconds."""
        await self._hang()
        self._check_new(order)
        size = prompt_tokens(order.prompt + order.resumed_text)
        self._reserve((order.request, order.attempt, "prefill"), size)
        kv: Kv = await self._go_on(partial(self._compute, order, size))
        return kv

    async def _compute(self, order: Order, size: int) -> Kv:
        key = (order.request, order.attempt, "prefill")
        self._waiting_tokens += size
        scope = self._scopes[key] = trio.CancelScope()
        with scope:
            async with self._prefill_lock:
                self.counts["prefill_tokens"] += size
                new = size - self._take_cached(order.prompt, size)
                self.counts["computed_tokens"] += new
                slow_s = self.faults.get("slow_prefill_s", 0.0)
                await trio.sleep(new / self.settings.prefill_rate + slow_s)
        self._waiting_tokens -= size
        del self._scopes[key]
        if scope.cancelled_caught:
            raise OrderRefusedError(409, "cancelled")
        self.counts["prefills"] += 1
        until = trio.current_time() + self.settings.kv_keep_s
        self._kv_expiry[order.request, order.attempt] = until
        return Kv(self.settings.name, order.request, order.attempt)

    async def export_kv(self, request: str, attempt: int) -> int:
        """Send a prefill's KV over the link; afterwards it is held no more."""
        size = self.memory.get((request, attempt, "prefill"))
        if size is None or (request, attempt) not in self._kv_expiry:
            raise OrderRefusedError(410, "kv_gone")
        await trio.sleep(size / self.settings.link_rate)
        self._release((request, attempt, "prefill"))
        self.counts["kv_used"] += 1
        self.counts["kv_used_tokens"] += size
        return size

    async def decode(self, order: Order, kv: Kv) -> AsyncIterator[Chunk]:
        """Import KV, then start to decode; the stream can be read at once."""
        await self._hang()
        self._check_new(order)
        if self.running >= self.settings.slots:
            raise OrderRefusedError(503, "full")
        await trio.sleep(self.faults.pop("slow_decode_s", 0.0))
        key = (order.request, order.attempt, "decode")
        self._reserve(key, prompt_tokens(order.prompt) + order.max_tokens)
        stream = self._streams[order.request] = _Stream(order)
        await self._go_on(partial(self._import_kv, stream, kv))
        return self._read(stream, order.position)

    async def _import_kv(self, stream: _Stream, kv: Kv) -> None:
        try:
            if kv.engine == self.settings.name:
                await self.export_kv(kv.request, kv.attempt)
            else:
                await self._fetch_kv(kv)
        except OrderRefusedError:
            self._drop_stream(stream)
            raise
        if stream.cancelled:
            raise OrderRefusedError(409, "cancelled")
        self.counts["decodes"] += 1
        assert self._nursery is not None
        self._nursery.start_soon(self._generate, stream)

    async def resume(self, request: str, attempt: int, position: int) -> AsyncIterator[Chunk]:
        """Read a running stream again from a position; an older reader stops."""
        await self._hang()
        stream = self._streams.get(request)
        if stream is None or stream.order.attempt != attempt or stream.cancelled:
            raise OrderRefusedError(410, "stream_gone")
        self.counts["resumes"] += 1
        return self._read(stream, position)

    def cancel(self, request: str, attempt: int) -> None:
        """Drop all work of a request up to an attempt, also what arrives later."""
        if self.faults.get("lose_cancels", 0) > 0:
            self.faults["lose_cancels"] -= 1
            raise OrderRefusedError(503, "cancel_lost")
        self.counts["cancels"] += 1
        self._cancelled[request] = (attempt, trio.current_time() + _TOMBSTONE_S)
        for key in [key for key in self.memory if key[0] == request and key[1] <= attempt]:
            if key in self._scopes:
                self._scopes[key].cancel()
            self._release(key)
        stream = self._streams.get(request)
        if stream is not None and stream.order.attempt <= attempt:
            stream.cancelled = True
            stream.wake()
            self._streams.pop(request)

    def give_order(self, kind: str, value: str, fence: int) -> None:
        """Take a desired state; one that checks fences refuses an old order."""
        if self.settings.checks_fences and fence <= self.fence:
            raise OrderRefusedError(409, f"fence {self.fence}")
        self.fence = fence
        self.state[kind] = value

    def cache_events(self, after: int) -> dict[str, Any]:
        """Give cache events after a number, late, and with some of them lost."""
        seen = trio.current_time() - self.settings.event_lag_s
        old = [event for at, event in self._events if at <= seen]
        last = old[-1]["number"] if old else 0
        events = [event for event in old if event["number"] > after]
        lost = self.faults.pop("lose_events", 0)
        return {"cache_events": events[lost:], "last_event": last}

    def _take_cached(self, prompt: str, size: int) -> int:
        """Tell how many tokens of a prompt are cached, and cache its prefix."""
        data = prompt.encode()[:PREFIX_BYTES]
        prefix = xxhash.xxh3_64_intdigest(data)
        hit = prefix in self._cache
        self._cache.pop(prefix, None)
        self._cache[prefix] = trio.current_time()
        if not hit:
            self._note_event(prefix, stored=True)
        while len(self._cache) > self.settings.cached_prefixes:
            oldest = next(iter(self._cache))
            del self._cache[oldest]
            self._note_event(oldest, stored=False)
        return min(size, len(data) // 4) if hit else 0

    def _note_event(self, prefix: int, stored: bool) -> None:
        self._event_count += 1
        event = {"number": self._event_count, "prefix": prefix, "stored": stored}
        self._events.append((trio.current_time(), event))
        del self._events[:-1000]

    def report(self) -> dict[str, Any]:
        """Give the load as it was one report lag ago."""
        seen = trio.current_time() - self.settings.report_lag_s
        old = [report for at, report in self._reports if at <= seen]
        return old[-1] if old else self._report()

    def _report(self) -> dict[str, Any]:
        return {
            "endpoint": self.settings.name,
            "slots": self.settings.slots,
            "running": self.running,
            "waiting_tokens": self._waiting_tokens,
            "memory_tokens": self.settings.memory_tokens,
            "memory_free_tokens": self.settings.memory_tokens - self.memory_used,
            "leaving": self.leaving,
            "fence": self.fence,
            "prefill_tokens_per_s": self.settings.prefill_rate,
        }

    async def _go_on(self, work: Callable[[], Awaitable[Any]]) -> Any:
        """Await work that goes on although the one who ordered it has gone."""
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

    async def _hang(self) -> None:
        if self.faults.get("hang"):
            await trio.sleep_forever()

    def _check_new(self, order: Order) -> None:
        if self.leaving:
            self.counts["refused_leaving"] += 1
            raise OrderRefusedError(503, "leaving")
        attempt, _ = self._cancelled.get(order.request, (-1, 0.0))
        if order.attempt <= attempt:
            raise OrderRefusedError(409, "cancelled")

    def _reserve(self, key: tuple[str, int, str], size: int) -> None:
        if self.memory_used + size > self.settings.memory_tokens:
            raise OrderRefusedError(503, "memory")
        self.memory[key] = size

    def _release(self, key: tuple[str, int, str]) -> None:
        self.memory.pop(key, None)
        if key[2] == "prefill":
            self._kv_expiry.pop(key[:2], None)

    def _expire(self, now: float) -> None:
        for request, attempt in [key for key, until in self._kv_expiry.items() if until < now]:
            self.counts["kv_expired"] += 1
            self._release((request, attempt, "prefill"))
        for request in [name for name, (_, until) in self._cancelled.items() if until < now]:
            del self._cancelled[request]

    def _drop_stream(self, stream: _Stream) -> None:
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
            stream.wake()
        stream.done = True
        stream.wake()
        self._release((order.request, order.attempt, "decode"))
        # The finished text stays readable for as long as KV would, so that a
        # chunk lost at the very end can be asked for again.
        await trio.sleep(self.settings.kv_keep_s)
        self._drop_stream(stream)

    async def _read(self, stream: _Stream, position: int) -> AsyncIterator[Chunk]:
        stream.reader += 1
        reader = stream.reader
        owner = f"{stream.order.request}.{stream.order.attempt}"
        stream.wake()
        while not stream.cancelled and stream.reader == reader:
            news = stream.news
            while position < len(stream.tokens):
                last = position + 1 == stream.order.max_tokens
                for chunk in self._spoil(Chunk(owner, position, stream.tokens[position], last)):
                    yield chunk
                position += 1
            if stream.done:
                return
            await news.wait()

    def _spoil(self, chunk: Chunk) -> list[Chunk]:
        """Apply the faults of this engine to one chunk; each strikes once."""
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
            self._held_back = chunk
            return []
        held_back, self._held_back = self._held_back, None
        if held_back is not None and held_back.owner == chunk.owner:
            return [chunk, held_back]
        return [chunk]
