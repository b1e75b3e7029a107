"""A simulated configuration store: items by key, a revision counter and a history of changes."""

import base64
import json
from enum import StrEnum
from typing import Any, NamedTuple

import trio

from standins.relay.raw_server import RawCall, RawServer, answer, reset

__all__ = ["Store", "StoreCopy", "StoreMode"]


class StoreMode(StrEnum):
    """How the store handles calls.

    ``BUSY`` responds with status 503, ``SILENT`` never responds, ``RESET`` closes the connection.
    """

    UP = "up"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"


class StoreCopy(NamedTuple):
    """A backup of the store's items and revision."""

    items: dict[str, tuple[Any, int]]
    revision: int


class Store(RawServer):
    """A simulated store; tests write to it directly, and their writes take effect at once."""

    def __init__(self) -> None:
        super().__init__()
        self.mode = StoreMode.UP
        self.revision = 1
        # Era of its revisions: each restore increments it; None if responses don't report it.
        self.era: int | None = None
        self.calls = 0
        # Number of watches that are open now.
        self.open_watches = 0
        # Maximum number of items on one page of a list.
        self.max_page_items = 500
        # Body of the response to every call; None sends the regular responses.
        self.response_body_override: bytes | None = None
        self._items: dict[str, tuple[Any, int]] = {}
        self._history: list[dict[str, Any]] = []
        self._dropped_revision = 0
        self._last_abandoned_call = 0
        self._changed = trio.Event()
        # Connections on which nothing is sent any more.
        self._silent_streams: set[trio.SocketStream] = set()

    @property
    def _is_silent(self) -> bool:
        return self.mode is StoreMode.SILENT

    def put(self, key: str, value: dict[str, Any]) -> int:
        """Write an item; return its revision."""
        return self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key: str, value: bytes) -> int:
        """Write an item whose value is arbitrary bytes; return its revision."""
        return self.put_raw_value(key, base64.b64encode(value).decode())

    def put_raw_value(self, key: str, value: Any) -> int:
        """Write an item whose value is sent without base64 encoding; return its revision."""
        self.revision += 1
        self._items[key] = (value, self.revision)
        self._record_event(self._item(key))
        return self.revision

    def delete(self, key: str) -> None:
        """Remove an item; a missing one, as after a restore from a copy, is ignored."""
        if self._items.pop(key, None) is None:
            return
        self.revision += 1
        self._record_event({"private_key": key, "revision": self.revision, "gone": True})

    def delete_all_except(self, prefix: str, keys: set[str]) -> None:
        """Remove all items whose key has a prefix, except the given keys."""
        for key in [item for item in self._items if item.startswith(prefix)]:
            if key not in keys:
                self.delete(key)

    def copy(self) -> StoreCopy:
        """Return a copy of the current items and their revision."""
        return StoreCopy(dict(self._items), self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Restore a copy: later writes are lost, and the revision goes back to that of the copy."""
        self._items = dict(copy.items)
        self.revision = copy.revision
        self._history = [item for item in self._history if item["revision"] <= copy.revision]
        if self.era is not None:
            self.era += 1
        self.abandon_watches()

    def drop_history(self) -> None:
        """Drop the history; watches after an earlier revision get status 410."""
        self._history.clear()
        self._dropped_revision = self.revision

    def abandon_watches(self) -> None:
        """Report no changes to the watches that are open now; they end empty at their timeout."""
        self._changed = trio.Event()
        self._last_abandoned_call = self.calls

    def reset_connections(self) -> None:
        """Reset the connections that are open now; new ones work."""
        for stream in list(self._streams):
            reset(stream)

    def silence_connections(self) -> None:
        """Send nothing more on the connections that are open now; new ones work."""
        self._silent_streams |= self._streams

    def _record_event(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = trio.Event()

    def _item(self, key: str) -> dict[str, Any]:
        value, revision = self._items[key]
        return {"private_key": key, "value": value, "revision": revision, "made": 1, "lease": 0}

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Respond to a read or watch."""
        self.calls += 1
        if self._is_silent:
            await trio.sleep_forever()
        if self.mode is StoreMode.RESET:
            return False
        if self.mode is StoreMode.BUSY:
            await stream.send_all(answer(503, self._era_header()))
            return True
        status, value = await self._read(call)
        if self._is_silent or stream in self._silent_streams:
            await trio.sleep_forever()
        headers = {"Content-Type": "application/json", **self._era_header()}
        if self.response_body_override is not None:
            await stream.send_all(answer(200, headers, self.response_body_override))
            return True
        await stream.send_all(answer(status, headers, json.dumps(value).encode()))
        return True

    def _era_header(self) -> dict[str, str]:
        return {} if self.era is None else {"Store-Era": str(self.era)}

    async def _read(self, call: RawCall) -> tuple[int, dict[str, Any]]:
        if call.path == "/kv-key":
            key = call.query("private_key")
            if key not in self._items:
                return 404, {"at": self.revision}
            return 200, {**self._item(key), "at": self.revision}
        if call.path == "/kv-range":
            prefix = call.query("path_prefix")
            after = call.query("after")
            keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
            items = [self._item(key) for key in keys[: self.max_page_items]]
            more = len(keys) > self.max_page_items
            return 200, {"items": items, "more": more, "at": self.revision}
        self.open_watches += 1
        try:
            return await self._watch(call)
        finally:
            self.open_watches -= 1

    async def _watch(self, call: RawCall) -> tuple[int, dict[str, Any]]:
        after, prefix = int(call.query("after")), call.query("path_prefix")
        call_number = self.calls
        with trio.move_on_after(int(call.query("wait_ms")) / 1000):
            while True:
                if after < self._dropped_revision or after > self.revision:
                    return 410, {}
                events = [
                    event
                    for event in self._history
                    if event["revision"] > after and event["private_key"].startswith(prefix)
                ]
                if events:
                    return 200, {"events": events, "at": self.revision}
                await self._changed.wait()
                if call_number <= self._last_abandoned_call:
                    await trio.sleep_forever()
        return 200, {"events": [], "at": self.revision}
