"""Binds a stream to the build of the endpoint that began it.

What two builds write doesn't fit together. A stream is bound when its first event is passed on, and
a stream that its caller takes up is bound before it is placed, to the build that this instance or a
peer remembers.
"""

import trio

from cleatlink.core.data import Refusal
from cleatlink.core.errors import ErrorKind
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.calls.call import Call
from cleatlink.relay.calls.components import RelayComponents
from cleatlink.request.stream_builds import MAX_STREAM_AGE_S, StreamBuild, stream_key

__all__ = ["StreamOrigin"]


class StreamOrigin:
    """The build that began a call's stream."""

    def __init__(self, call: Call, components: RelayComponents) -> None:
        self._call = call
        self._components = components

    async def resolve(self) -> Refusal | None:
        """Bind a call that takes up a stream to the build that began it.

        Returns:
            The refusal of a call whose stream can't be continued; None for all others.
        """
        call = self._call
        if not call.resumable or call.inbound.last_event is None:
            return None
        began_at = trio.current_time()
        builds = await self._find_builds()
        is_remembered = bool(builds)
        if not builds:
            builds = self._possible_builds()
        call.log(
            "caller takes up a stream",
            resumes=call.inbound.resumes,
            last_event=call.inbound.last_event,
            builds=sorted(builds),
            remembered=is_remembered,
            took_ms=int(1000 * (trio.current_time() - began_at)),
        )
        if len(builds) != 1:
            return Refusal(ErrorKind.BUILD_UNKNOWN, "the build that began the stream is not known")
        call.required_build = builds[0]
        return call.find_send_refusal()

    def note_begun(self, endpoint: RoutedEndpoint) -> None:
        """Bind the stream to an endpoint's build; called before the first event is passed on."""
        call = self._call
        if not call.resumable or call.required_build is not None:
            return
        call.required_build = endpoint.build
        inbound = call.inbound
        key = stream_key(inbound.organisation, inbound.request_id)
        expires_in_s = inbound.deadline - trio.current_time()
        self._components.announce_stream(StreamBuild(key, endpoint.build, expires_in_s))

    async def _find_builds(self) -> tuple[str, ...]:
        """Return the builds that this instance or a peer remembers for the stream."""
        inbound = self._call.inbound
        if not inbound.resumes:
            return ()
        key = stream_key(inbound.organisation, inbound.resumes)
        return await self._components.find_stream_builds(key)

    def _possible_builds(self) -> tuple[str, ...]:
        """Return the builds that can have begun a stream that nobody remembers.

        A stream that is named was begun by an instance that kept a record. If no one has it, the
        stream is probably older than all instances, and the builds are known only if this instance
        has seen the service for as long as any caller may wait: no caller says when its stream
        began. A stream that isn't named has no record; the builds that this instance has seen are
        all that is known.
        """
        call, capacity = self._call, self._components.capacity
        service, now = call.service.name, trio.current_time()
        history = capacity.build_history
        if call.inbound.resumes and not history.covers(MAX_STREAM_AGE_S, now):
            return ()
        seen = history.builds_within(service, MAX_STREAM_AGE_S, now)
        return tuple(seen | capacity.builds(service))
