"""Messages between instances about the work that they have placed."""

import msgspec

from cleatlink.core.data import Role
from cleatlink.routing.reservation import Reservation

__all__ = [
    "WorkChanges",
    "WorkItem",
    "WorkList",
]

_ROLES = {role.value: role for role in Role}


class WorkItem(msgspec.Struct, array_like=True, frozen=True):
    """Work that the sender has placed on an endpoint.

    Attributes:
        key: Identifier of the work, unique at the sender.
        endpoint: Name of the endpoint.
        role: Role in which the endpoint does the work.
        tokens: Prompt tokens of a prefill; memory of a decode at its end, in tokens.
        remaining_s: Seconds until the expected end of the work.
        duration_s: Expected total duration of the work, in seconds.
        growth_tokens: The part of ``tokens`` that is added while the work runs.
        suspicion: Number of endpoint crashes during which the request was in progress.
    """

    key: str
    endpoint: str
    role: str
    tokens: int
    remaining_s: float
    duration_s: float
    growth_tokens: int
    suspicion: int = 0

    @classmethod
    def from_reservation(cls, key: str, work: Reservation, now: float) -> "WorkItem":
        """Build an item from a reservation."""
        remaining_s = round(work.ends_at - now, 3)
        duration_s = round(work.duration_s, 3)
        return cls(
            key,
            work.endpoint,
            work.role.value,
            work.tokens,
            remaining_s,
            duration_s,
            work.growth_tokens,
            work.suspicion,
        )

    def to_reservation(self, now: float) -> Reservation:
        """Return the item as a reservation; an unknown role counts as plain."""
        return Reservation(
            self.endpoint,
            _ROLES.get(self.role, Role.PLAIN),
            self.tokens,
            now + self.remaining_s,
            self.duration_s,
            self.growth_tokens,
            self.suspicion,
        )


class WorkChanges(msgspec.Struct, array_like=True, frozen=True, tag="c"):
    """Work that the sender has just placed, and the keys of work that has ended.

    Attributes:
        name: Name of the sender.
        incarnation: Start number of the sender; it grows with each start.
        placed: Work that has been placed.
        ended: Keys of the work that has ended.
        number: Sequence number of the sender's work messages; 0 if it does not number them.
    """

    name: str
    incarnation: int
    placed: list[WorkItem]
    ended: list[str]
    number: int = 0


class WorkList(msgspec.Struct, array_like=True, frozen=True, tag="k"):
    """All work of the sender; it replaces what the receiver knew of the sender's work.

    Attributes:
        name: Name of the sender.
        incarnation: Start number of the sender; it grows with each start.
        work: All work that the sender has placed and that has not ended.
        number: Sequence number of the sender's work messages.
    """

    name: str
    incarnation: int
    work: list[WorkItem]
    number: int
