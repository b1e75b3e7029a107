"""Reports registration changes from the configuration service to peers of the data centre."""

from collections.abc import Iterable
from itertools import groupby
from operator import attrgetter

import msgspec
import trio

from cleatlink.core.revisions import StoreRevision
from cleatlink.relay.following.source import SourceChange
from cleatlink.relay.peers.messages import RegistrationUpdate
from cleatlink.relay.peers.snapshots import RegistrationRecord, endpoint_builds
from cleatlink.relay.peers.update_channel import UpdateChannel
from cleatlink.routing.fleet_records import EndpointRecord

__all__ = ["RegistrationChannel"]

# Maximum size of the records in one message, in bytes; it is below the capacity of a bundle.
_MAX_RECORDS_BYTES = 16_000
_ENCODER = msgspec.msgpack.Encoder()


class RegistrationChannel(UpdateChannel):
    """Channel for registration changes.

    Instances that watch the configuration service report changes at once. An instance that misses
    a change requests it from the service itself.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._pending: list[RegistrationUpdate] = []
        self._has_pending = trio.Event()

    @property
    def is_data_centre_local(self) -> bool:
        """True: each data centre has its own instances that watch the service."""
        return True

    def report_change(
        self, after: StoreRevision, change: SourceChange, reachable_for_s: float
    ) -> None:
        """Queue messages about a change.

        Args:
            after: Revision up to which all changes were known before this change.
            change: The change. It is ignored if it is a whole list or belongs to another era.
            reachable_for_s: Seconds since the configuration service became reachable for this
                instance again.
        """
        revision = change.revision
        is_next = not change.is_full and revision.era == after.era and revision > after
        if not is_next:
            return
        *earlier_parts, last_part = _split(change.records)
        known_revision = after.number
        for part in earlier_parts:
            last = part[-1].revision.number
            self._add(after.era, known_revision, last, part, reachable_for_s)
            known_revision = last
        self._add(after.era, known_revision, revision.number, last_part, reachable_for_s)
        self._has_pending.set()

    def _add(
        self,
        era: int,
        after: int,
        revision: int,
        records: list[EndpointRecord],
        reachable_for_s: float,
    ) -> None:
        message = RegistrationUpdate(
            self._name,
            era,
            after,
            revision,
            [RegistrationRecord.from_record(item) for item in records],
            round(reachable_for_s, 3),
            endpoint_builds(records),
        )
        self._pending.append(message)

    async def next_messages(self) -> list[RegistrationUpdate]:
        """Wait for changes and return the messages to send to the peers of this data centre."""
        await self._has_pending.wait()
        self._has_pending = trio.Event()
        messages, self._pending = self._pending, []
        return messages

    def repeated_messages(self) -> list[RegistrationUpdate]:
        """Return no messages: a peer sees a missed revision in heartbeats and requests it."""
        return []

    def initial_messages(self) -> list[RegistrationUpdate]:
        """Return no messages: a new peer reads all registrations itself."""
        return []


def _split(records: Iterable[EndpointRecord]) -> list[list[EndpointRecord]]:
    """Split records, in the order of their revisions, into parts that fit a message each.

    Records of one revision stay together, because a receiver of a part regards all revisions of
    the part as known.
    """
    by_revision = attrgetter("revision")
    parts: list[list[EndpointRecord]] = [[]]
    size = 0
    for _, group in groupby(sorted(records, key=by_revision), by_revision):
        items = list(group)
        length = len(_ENCODER.encode(items))
        if parts[-1] and size + length > _MAX_RECORDS_BYTES:
            parts.append([])
            size = 0
        parts[-1] += items
        size += length
    return parts
