"""Finds another decode for a stream whose own is silent, while that one is still listened to.

Silence alone says nothing: the engine may be at a long prompt, wait for a hand-over, or be
gone. So it is left only for another one that has everything ready. If it speaks before that,
or no other can go on, the stream stays where it is.
"""

import trio

from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.decode_place import DecodePlace
from cleatlink.relay.calls.parts import RelayParts
from cleatlink.relay.calls.room import DecodeRoom
from cleatlink.relay.tasks import sleep_and_read
from cleatlink.routing.uploads import UNKNOWN_PACE, Upload

__all__ = ["Succession"]

# How often the silence of an endpoint is looked at: a fraction of the shortest one that counts.
_LOOK_S = 0.05


class Succession:
    """Watches one run of a stream; at the end there is a successor, or none."""

    def __init__(self, call: Call, rooms: DecodeRoom, parts: RelayParts) -> None:
        self.successor: DecodePlace | None = None
        self._call = call
        self._rooms = rooms
        self._parts = parts
        self._waits_since: float | None = None
        self._silence_s = 0.0
        self._upload = Upload(UNKNOWN_PACE)
        self._search = trio.CancelScope()

    def listen(self, silence_s: float) -> None:
        """Note that the endpoint is waited for from now on.

        Args:
            silence_s: Silence after which another endpoint is looked for.
        """
        self._waits_since = trio.current_time()
        self._silence_s = silence_s

    def follow(self, upload: Upload) -> None:
        """Follow a request that is sent now: until it has been read, nothing can be heard."""
        self._upload = upload

    def note_heard(self) -> None:
        """Note that the endpoint spoke: it is not left now."""
        self._waits_since = None
        if not self._search.cancel_called:
            # Trio writes a reason at each cancellation, and this is called for each event.
            self._search.cancel()

    async def run(self, place: DecodePlace, leave: trio.CancelScope) -> None:
        """Look for a successor whenever the endpoint is silent.

        Args:
            place: Where the stream is.
            leave: Cancelled once there is a successor.
        """
        while self.successor is None:
            await sleep_and_read(trio.current_time() + _LOOK_S)
            waits_since = self._waits_since
            now = trio.current_time()
            if waits_since is None:
                continue
            silent_s = now - max(waits_since, self._upload.read_by)
            if silent_s < self._silence_s:
                continue
            self._call.note_silent(place.endpoint, self._upload, silent_s)
            self._call.excluded.add(place.endpoint.name)
            self.successor = await self._find(place.prefill.was_computed)
            if self.successor is None and self._waits_since == waits_since:
                # It is asked for again after as long a silence.
                self._waits_since = trio.current_time()
        leave.cancel()

    async def _find(self, was_computed: bool) -> DecodePlace | None:
        """Make another place ready, unless the endpoint speaks meanwhile."""
        place = DecodePlace(self._call, self._rooms, self._parts, prompt_was_computed=was_computed)
        is_ready = False
        try:
            with trio.CancelScope() as self._search:
                refusal = await place.prepare() or place.clear_to_send()
                is_ready = refusal is None and not self._search.cancel_called
        finally:
            if not is_ready:
                place.close()
        return place if is_ready else None
