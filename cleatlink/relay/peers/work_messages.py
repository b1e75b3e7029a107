"""What instances tell each other of the work that they placed."""

import msgspec

from cleatlink.core.data import Role
from cleatlink.routing.reservation import Reservation

__all__ = [
    "Changes",
    "WorkItem",
    "WorkList",
]

_ROLES = {role.value: role for role in Role}


class WorkItem(msgspec.Struct, array_like=True, frozen=True):
    """Work that an instance placed on an endpoint.

    Attributes:
        key: The sender's name for it.
        endpoint: Name of the endpoint.
        role: Role of the endpoint in it.
        tokens: Its size.
        left_s: Seconds until its expected end.
        duration_s: Seconds that it is expected to take in all.
        grows: Tokens of its size that come in the course of it.
        suspicion: At how many crashes of endpoints its request was in progress.
    """

    key: str
    endpoint: str
    role: str
    tokens: int
    left_s: float
    duration_s: float
    grows: int
    suspicion: int = 0

    @classmethod
    def of(cls, key: str, work: Reservation, now: float) -> "WorkItem":
        """Describe a reservation."""
        left_s = round(work.ends_at - now, 3)
        duration_s = round(work.duration_s, 3)
        return cls(
            key,
            work.endpoint,
            work.role.value,
            work.tokens,
            left_s,
            duration_s,
            work.grows,
            work.suspicion,
        )

    def reservation(self, now: float) -> Reservation:
        """Give it as a reservation; a role that is not known counts as plain."""
        return Reservation(
            self.endpoint,
            _ROLES.get(self.role, Role.PLAIN),
            self.tokens,
            now + self.left_s,
            self.duration_s,
            self.grows,
            self.suspicion,
        )


class Changes(msgspec.Struct, array_like=True, frozen=True, tag="c"):
    """Work that an instance has placed, and the keys of work that is over.

    Attributes:
        name: Sender.
        incarnation: Grows with each start of the sender.
        placed: Work that has begun.
        over: Keys of work that has ended.
        number: Counts what the sender tells of work; 0 for one that does not count.
    """

    name: str
    incarnation: int
    placed: list[WorkItem]
    over: list[str]
    number: int = 0


class WorkList(msgspec.Struct, array_like=True, frozen=True, tag="k"):
    """All work of an instance, in place of what was known of it.

    Attributes:
        name: Sender.
        incarnation: Grows with each start of the sender.
        work: All its work.
        number: Counts what the sender tells of work.
    """

    name: str
    incarnation: int
    work: list[WorkItem]
    number: int
