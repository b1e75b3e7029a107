"""Watches one run of a stream, so that later ones are better foreseen."""

import trio

from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.room import Room
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.uploads import Upload

__all__ = ["StreamWatch"]

# Events after which a stretch of a stream counts as a measurement.
_STRETCH_EVENTS = 8


class StreamWatch:
    """Tells what a stream shows of the paces of its service and its endpoint."""

    def __init__(
        self,
        call: Call,
        capacity: Capacity,
        endpoint: str,
        sent_at: float,
        *,
        handed_over: bool,
        upload: Upload,
    ) -> None:
        """Begin to watch.

        Args:
            call: The call.
            capacity: What is believed of endpoints.
            endpoint: Name of the endpoint that runs it.
            sent_at: When the request was sent to the decode.
            handed_over: Whether its prompt had been computed elsewhere.
            upload: The request's body on its way there.
        """
        traits = call.service.engine
        self._call = call
        self._capacity = capacity
        self._pace = capacity.pace(call.service.name)
        self._endpoint = endpoint
        self._sent_at = sent_at
        self._handed_over = handed_over
        self._upload = upload
        self._event_tokens = traits.event_tokens if traits is not None else 1
        self._events = 0
        self._stretch = 0
        self._stretch_from = sent_at

    def note_events(self, count: int, now: float) -> None:
        """Note events that came."""
        if not self._events:
            start_s = self._call.served_s(self._upload, self._sent_at)
            if self._handed_over and start_s is not None:
                self._pace.note_start(start_s)
            self._events, self._stretch_from = count, now
            return
        self._events += count
        self._stretch += count
        if self._stretch >= _STRETCH_EVENTS:
            self._note_stretch(now)
            self._stretch, self._stretch_from = 0, now

    def _note_stretch(self, now: float) -> None:
        """Learn from a stretch that ends now, if this instance ran all the time."""
        if self._capacity.own_pauses.any_since(self._stretch_from, now):
            return
        tokens, seconds = self._stretch * self._event_tokens, now - self._stretch_from
        self._pace.note_tokens(tokens, seconds)
        self._capacity.note_tokens(self._endpoint, tokens, seconds, now)

    def note_end(self, room: Room) -> None:
        """Note that the stream came to its end; one that goes on another says no length.

        Args:
            room: What had been expected of it.
        """
        inbound, tokens = self._call.inbound, self._events * self._event_tokens
        now = trio.current_time()
        if self._stretch and self._events <= _STRETCH_EVENTS:
            # Without it a service of short answers has no pace, and roles are never planned.
            self._note_stretch(now)
        if inbound.last_event is None and self._call.sends == 1:
            self._pace.note_length(inbound.output_hint, tokens)
        self._call.log(
            "has streamed",
            endpoint=room.endpoint.name,
            tokens=tokens,
            expected_tokens=room.output,
            took_ms=int(1000 * (now - self._sent_at)),
            expected_ms=int(1000 * room.expected_s),
        )
