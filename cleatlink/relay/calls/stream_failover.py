"""Finds a replacement for a silent decode endpoint while its stream is still being read.

Silence has several causes: the engine may be computing a long prompt, waiting for a prefill
result, or dead. So the stream moves only once another endpoint is fully prepared. If the silent
endpoint sends data before that, or no other endpoint is available, the stream stays.
"""

import trio

from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.components import RelayComponents
from cleatlink.relay.calls.decode_admission import DecodeAdmission
from cleatlink.relay.calls.decode_target import DecodeTarget
from cleatlink.relay.tasks import sleep_until_sockets_read
from cleatlink.routing.uploads import DEFAULT_READ_RATE, Upload

__all__ = ["StreamFailover"]

# Interval between checks for silence, in seconds: a fraction of the shortest timeout.
_CHECK_INTERVAL_S = 0.05


class StreamFailover:
    """Watches one run of a stream for silence, and prepares a replacement endpoint."""

    def __init__(self, call: Call, admission: DecodeAdmission, components: RelayComponents) -> None:
        self.replacement: DecodeTarget | None = None
        self._call = call
        self._admission = admission
        self._components = components
        self._waiting_since: float | None = None
        self._silence_timeout_s = 0.0
        self._upload = Upload(DEFAULT_READ_RATE)
        self._search = trio.CancelScope()

    def expect_data(self, timeout_s: float) -> None:
        """Record that data from the endpoint is expected from now on.

        Args:
            timeout_s: Silence after which to look for a replacement, in seconds.
        """
        self._waiting_since = trio.current_time()
        self._silence_timeout_s = timeout_s

    def track_upload(self, upload: Upload) -> None:
        """Track the upload of the request; silence counts only once the endpoint has read it."""
        self._upload = upload

    def note_activity(self) -> None:
        """Record that the endpoint sent data, and cancel the search for a replacement."""
        self._waiting_since = None
        if not self._search.cancel_called:
            # Each cancellation makes Trio record a reason, and this method runs for each event.
            self._search.cancel()

    async def run(self, target: DecodeTarget, stream_scope: trio.CancelScope) -> None:
        """Look for a replacement whenever the endpoint is silent.

        Args:
            target: The endpoint that runs the stream.
            stream_scope: Scope of the stream, cancelled once there is a replacement.
        """
        while self.replacement is None:
            await sleep_until_sockets_read(trio.current_time() + _CHECK_INTERVAL_S)
            waiting_since = self._waiting_since
            now = trio.current_time()
            if waiting_since is None:
                continue
            silent_s = now - max(waiting_since, self._upload.read_by)
            if silent_s < self._silence_timeout_s:
                continue
            self._call.note_silent(target.endpoint, self._upload, silent_s)
            self._call.excluded.add(target.endpoint.name)
            self.replacement = await self._prepare_replacement()
            if self.replacement is None and self._waiting_since == waiting_since:
                # The next search starts after another silence of the same length.
                self._waiting_since = trio.current_time()
        stream_scope.cancel()

    async def _prepare_replacement(self) -> DecodeTarget | None:
        """Prepare another endpoint, unless the silent one sends data meanwhile."""
        target = DecodeTarget(self._call, self._admission, self._components)
        is_ready = False
        try:
            with trio.CancelScope() as self._search:
                refusal = await target.prepare() or target.authorize_send()
                is_ready = refusal is None and not self._search.cancel_called
        finally:
            if not is_ready:
                target.close()
        return target if is_ready else None
