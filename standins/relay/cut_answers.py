"""Answers without a length that break off, sent before the request is read."""

import json
from enum import StrEnum

import trio

from standins.relay.raw_server import RawCall, answer, reset
from standins.relay.worker import Run, Worker

__all__ = ["CutEnding", "CuttingWorker"]


class CutEnding(StrEnum):
    """How a connection ends after a part of an answer."""

    RESET = "reset"
    CLOSE = "closed with the request unread"


class CuttingWorker(Worker):
    """A worker that breaks off the answers to some calls."""

    def __init__(self, service: str, stage: str = "") -> None:
        super().__init__(service, stage)
        self.body_bytes_before_response = 0
        self.ending = CutEnding.RESET
        # Number of the next callers' requests whose answers break off.
        self.cuts_left = 0
        # Beginnings of the paths of the relay's own calls whose answers break off.
        self.cut_paths: tuple[str, ...] = ()
        self.cut_count = 0
        # Whether the answers say that the request was rejected.
        self.rejects_cut_requests = False

    async def serve(self, call: RawCall, stream: trio.SocketStream) -> bool:
        """Respond to one call."""
        request_id = call.headers.get("attempt-id")
        is_cut = self.cuts_left > 0 if request_id else call.path.startswith(self.cut_paths)
        if not is_cut:
            return await super().serve(call, stream)
        if request_id:
            self.cuts_left -= 1
            if self.stage != "prefill" and not self.rejects_cut_requests:
                self.runs.append(Run(request_id, call, trio.current_time()))
        await self._cut_answer(call, stream)
        return False

    async def _cut_answer(self, call: RawCall, stream: trio.SocketStream) -> None:
        """Send a part of an answer, and end the connection."""
        self.cut_count += 1
        status, headers = 200, {}
        if "attempt-id" in call.headers:
            headers = self._signed_headers(call)
            if self.rejects_cut_requests:
                status, headers = 503, self.rejections.headers(call)
        await stream.send_all(answer(status, headers, self._first_part(call), has_length=False))
        if self.ending is CutEnding.RESET:
            reset(stream)

    def _first_part(self, call: RawCall) -> bytes:
        """Return a part of a body that lacks nothing but the regular end of the connection."""
        if call.path.startswith("/hold-"):
            return json.dumps({"hold": "cut"}).encode()
        if self.stage == "prefill":
            return json.dumps({"prefill_handle": "cut", "tokens": 10, "version": 1}).encode()
        if self.stage == "decode":
            request_id = call.headers["attempt-id"]
            return f"id: 1\ndata: {request_id} 1\n\nid: 2\ndata: {request_id} 2\n\n".encode()
        return b"ser"
