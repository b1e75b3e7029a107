"""Measures one run of a stream, so that the durations of later streams can be estimated."""

import trio

from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.decode_admission import DecodePlacement
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.uploads import Upload

__all__ = ["StreamMeter"]

# Number of events of a stream that are measured together.
_SEGMENT_EVENTS = 8
# Delay of this instance above which the intervals of events are its own, in seconds.
_MAX_OWN_DELAY_S = 0.02


class StreamMeter:
    """Feeds measurements of one stream into the estimates for its service and its endpoint."""

    def __init__(
        self,
        call: Call,
        capacity: Capacity,
        endpoint: str,
        sent_at: float,
        *,
        is_prefilled: bool,
        upload: Upload,
    ) -> None:
        """Start the measurement.

        Args:
            call: The call.
            capacity: Known state of the endpoints.
            endpoint: Name of the endpoint that runs the stream.
            sent_at: Time at which the request was sent to the decode endpoint.
            is_prefilled: Whether a prefill endpoint computed the prompt.
            upload: The upload of the request's body.
        """
        engine_properties = call.service.engine
        self._call = call
        self._capacity = capacity
        self._service_times = capacity.service_times(call.service.name)
        self._endpoint = endpoint
        self._sent_at = sent_at
        self._is_prefilled = is_prefilled
        self._upload = upload
        self._event_tokens = engine_properties.event_tokens if engine_properties is not None else 1
        self._event_count = 0
        self._segment_event_count = 0
        self._segment_began_at = sent_at

    def note_events(self, count: int, now: float) -> None:
        """Count received events, and record each complete measurement."""
        if not self._event_count:
            start_s = self._call.processing_s(self._endpoint, self._upload, self._sent_at)
            if self._is_prefilled and start_s is not None:
                self._service_times.note_first_event(start_s)
            self._event_count, self._segment_began_at = count, now
            return
        self._event_count += count
        self._segment_event_count += count
        if self._segment_event_count >= _SEGMENT_EVENTS:
            self._record_segment(now)
            self._segment_event_count, self._segment_began_at = 0, now

    def _record_segment(self, now: float) -> None:
        """Record a segment that ends now, unless this process was paused or late during it."""
        if self._capacity.process_pauses.has_paused_since(self._segment_began_at, now):
            return
        if self._capacity.own_delay.seconds(now) > _MAX_OWN_DELAY_S:
            return
        tokens, seconds = (
            self._segment_event_count * self._event_tokens,
            now - self._segment_began_at,
        )
        self._service_times.note_segment(tokens, seconds)
        self._capacity.note_token_time(self._endpoint, tokens, seconds, now)

    def note_end(self, placement: DecodePlacement) -> None:
        """Record the end of the stream.

        The length of an answer is recorded only if one run produced all of it.

        Args:
            placement: The placement, with the expected length and duration.
        """
        inbound, tokens = self._call.inbound, self._event_count * self._event_tokens
        now = trio.current_time()
        if self._segment_event_count and self._event_count <= _SEGMENT_EVENTS:
            # Without this, a service with short answers has no time per token, and the roles of
            # its endpoints are never planned.
            self._record_segment(now)
        if inbound.last_event is None and self._call.send_count == 1:
            self._service_times.note_output_length(inbound.estimated_output_tokens, tokens)
        self._call.log(
            "stream completed",
            endpoint=placement.endpoint.name,
            tokens=tokens,
            expected_tokens=placement.output_tokens,
            took_ms=int(1000 * (now - self._sent_at)),
            expected_ms=int(1000 * placement.expected_duration_s),
        )
