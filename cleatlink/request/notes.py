"""Notes on requests in flight, kept for peers in case they die.

Before an instance orders work at an endpoint it sends a note of that to two
peers. When it is confirmed dead, the peers cancel what it left behind. A note
outlives its request's deadline by nothing: then the work is over anyhow.
"""

from typing import NamedTuple

__all__ = ["Note", "NoteBook", "Orphan"]

# After a death, this long for the caller to resume through another instance.
GRACE_S = 2.0
_MAX_NOTES = 50_000


class Note(NamedTuple):
    """One request in flight: where it may hold memory, and until when.

    Attributes:
        request: Name of the request.
        owner: Name of the instance that relays it.
        incarnation: That instance's incarnation.
        attempt: Highest attempt ordered so far.
        endpoints: Addresses of the endpoints which may hold memory.
        expires_in_s: Seconds to the request's deadline when the note was sent.
    """

    request: str
    owner: str
    incarnation: int
    attempt: int
    endpoints: tuple[str, ...]
    expires_in_s: float


class Orphan(NamedTuple):
    """Work of a dead instance that is to be cancelled at an endpoint."""

    request: str
    attempt: int
    address: str
    expires: float


class _Kept(NamedTuple):
    note: Note
    expires: float


class NoteBook:
    """Peers' notes; times are readings of the monotonic clock."""

    def __init__(self) -> None:
        self._kept: dict[str, _Kept] = {}
        self._dead: dict[tuple[str, int], float] = {}

    def __len__(self) -> int:
        return len(self._kept)

    def put(self, note: Note, now: float) -> None:
        """Keep a note, adding to what is known of the same request."""
        known = self._kept.get(note.request)
        endpoints = set(note.endpoints)
        attempt = note.attempt
        if known is not None:
            endpoints |= set(known.note.endpoints)
            attempt = max(attempt, known.note.attempt)
        elif len(self._kept) >= _MAX_NOTES:
            return
        merged = note._replace(endpoints=tuple(sorted(endpoints)), attempt=attempt)
        self._kept[note.request] = _Kept(merged, now + note.expires_in_s)

    def drop(self, request: str) -> None:
        """Forget a request that is over."""
        self._kept.pop(request, None)

    def declare_dead(self, owner: str, incarnation: int, now: float) -> None:
        """Note that an incarnation is dead; its work is due after the grace."""
        self._dead.setdefault((owner, incarnation), now + GRACE_S)

    def declare_alive(self, owner: str, incarnation: int) -> None:
        """Take back a death: the instance was only slow or cut off."""
        self._dead.pop((owner, incarnation), None)

    def take_due(self, now: float) -> list[Orphan]:
        """Take the work that is to be cancelled now, and forget what expired."""
        due = {owner for owner, at in self._dead.items() if at <= now}
        orphans: list[Orphan] = []
        for request, kept in list(self._kept.items()):
            note = kept.note
            if kept.expires <= now:
                del self._kept[request]
            elif (note.owner, note.incarnation) in due:
                del self._kept[request]
                orphans += [
                    Orphan(request, note.attempt, address, kept.expires)
                    for address in note.endpoints
                ]
        return orphans
