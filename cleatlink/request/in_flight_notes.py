"""Records of peers' requests in flight, used to cancel the work of instances that die.

Before an instance sends an order to an endpoint, it sends a note that describes the
request to two peers. When the instance is confirmed dead, these peers cancel its work at
the endpoints. A note expires at the deadline of its request because the work has ended by then.
"""

from typing import NamedTuple

__all__ = ["InFlightNote", "InFlightNotes", "OrphanedWork"]

# Delay between an instance's death and the cancellation of its work, in seconds; a caller can
# resume its request through another instance meanwhile.
RESUME_GRACE_S = 2.0
# Maximum number of notes kept by one instance.
_MAX_NOTES = 50_000


class InFlightNote(NamedTuple):
    """One request in flight, the endpoints that may hold memory for it, and its deadline.

    Attributes:
        request: Name of the request.
        owner: Name of the instance that relays the request.
        incarnation: Incarnation of that instance.
        attempt: Highest attempt for which an order was sent.
        endpoints: Addresses of the endpoints that may hold memory.
        expires_in_s: Seconds until the request's deadline at the time of sending.
    """

    request: str
    owner: str
    incarnation: int
    attempt: int
    endpoints: tuple[str, ...]
    expires_in_s: float


class OrphanedWork(NamedTuple):
    """Work of a dead instance that must be cancelled at an endpoint."""

    request: str
    attempt: int
    address: str
    expires_at: float


class _StoredNote(NamedTuple):
    note: InFlightNote
    expires_at: float


class InFlightNotes:
    """The notes received from peers; times are readings of the monotonic clock."""

    def __init__(self) -> None:
        self._notes: dict[str, _StoredNote] = {}
        # When the work of a dead incarnation is to be cancelled, by instance and incarnation.
        self._due_at: dict[tuple[str, int], float] = {}

    def __len__(self) -> int:
        return len(self._notes)

    def add(self, note: InFlightNote, now: float) -> None:
        """Store a note, merged with the stored note of the same request."""
        stored = self._notes.get(note.request)
        endpoints = set(note.endpoints)
        attempt = note.attempt
        if stored is not None:
            endpoints |= set(stored.note.endpoints)
            attempt = max(attempt, stored.note.attempt)
        elif len(self._notes) >= _MAX_NOTES:
            return
        merged = note._replace(endpoints=tuple(sorted(endpoints)), attempt=attempt)
        self._notes[note.request] = _StoredNote(merged, now + note.expires_in_s)

    def remove(self, request: str) -> None:
        """Remove the note of a request that has ended."""
        self._notes.pop(request, None)

    def mark_dead(self, owner: str, incarnation: int, now: float) -> None:
        """Mark an incarnation as dead; its work is due for cancellation after a grace period."""
        self._due_at.setdefault((owner, incarnation), now + RESUME_GRACE_S)

    def mark_alive(self, owner: str, incarnation: int) -> None:
        """Remove the mark of a dead incarnation that was only slow or disconnected."""
        self._due_at.pop((owner, incarnation), None)

    def take_due(self, now: float) -> list[OrphanedWork]:
        """Remove and return the work to cancel now, and remove expired notes."""
        due_incarnations = {
            incarnation for incarnation, due_at in self._due_at.items() if due_at <= now
        }
        orphans: list[OrphanedWork] = []
        for request, stored in list(self._notes.items()):
            note = stored.note
            if stored.expires_at <= now:
                del self._notes[request]
            elif (note.owner, note.incarnation) in due_incarnations:
                del self._notes[request]
                orphans += [
                    OrphanedWork(request, note.attempt, address, stored.expires_at)
                    for address in note.endpoints
                ]
        return orphans
