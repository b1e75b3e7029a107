"""Work that is placed on endpoints, by this instance and by its peers."""

from collections.abc import Callable, Sequence

from cleatlink.core.data import Role
from cleatlink.routing.reservation import MemoryProfile, Reservation, Usage

__all__ = ["Workload"]

_UNUSED = Usage()
# What an endpoint's work holds is looked at anew after so many seconds without a change of it.
_PROFILE_S = 0.02
# Ends of the same work as a peer tells them twice differ by what messages take.
_SAME_END_S = 0.5


class Workload:
    """Reservations: this instance's own, exact and at once, and those that peers tell."""

    def __init__(
        self, on_begin: Callable[[str, str], None], on_end: Callable[[str, str], None]
    ) -> None:
        """Start without any.

        Args:
            on_begin: Told of own work that begins: its endpoint and its key.
            on_end: Told of own work that is over.
        """
        self._on_begin = on_begin
        self._on_end = on_end
        self._own: dict[str, Reservation] = {}
        self._peers: dict[str, dict[str, Reservation]] = {}
        self._usage: dict[tuple[str, Role], Usage] = {}
        self._placed: dict[tuple[str, Role], list[Reservation]] = {}
        self._profiles: dict[str, MemoryProfile] = {}
        self._suspects = 0

    @property
    def own(self) -> dict[str, Reservation]:
        """This instance's reservations by key."""
        return self._own

    def reserve(self, key: str, reservation: Reservation) -> None:
        """Count work of this instance until it is released."""
        self.release(key)
        self._own[key] = reservation
        self._add(reservation, 1)
        self._on_begin(reservation.endpoint, key)

    def release(self, key: str) -> None:
        """Forget work of this instance; unknown keys are fine."""
        reservation = self._own.pop(key, None)
        if reservation is not None:
            self._add(reservation, -1)
            self._on_end(reservation.endpoint, key)

    def peer_reserve(self, peer: str, key: str, reservation: Reservation) -> None:
        """Count work that a peer tells of."""
        self.peer_release(peer, key)
        self._peers.setdefault(peer, {})[key] = reservation
        self._add(reservation, 1)

    def peer_release(self, peer: str, key: str) -> None:
        """Forget work of a peer."""
        reservation = self._peers.get(peer, {}).pop(key, None)
        if reservation is not None:
            self._add(reservation, -1)

    def peer_replace(self, peer: str, reservations: dict[str, Reservation]) -> None:
        """Take a peer's whole list of work in place of what was known."""
        known = self._peers.get(peer, {})
        if not known and not reservations:
            return
        for key in known.keys() - reservations.keys():
            self.peer_release(peer, key)
        for key, reservation in reservations.items():
            if key not in known or not _is_same(known[key], reservation):
                self.peer_reserve(peer, key, reservation)

    def has_work_of(self, peer: str) -> bool:
        """Tell whether any work of a peer is counted."""
        return bool(self._peers.get(peer))

    def knows(self, peer: str, key: str) -> bool:
        """Tell whether a peer's work is counted already."""
        return key in self._peers.get(peer, {})

    def forget_peer(self, peer: str) -> None:
        """Forget everything that a peer told."""
        self.peer_replace(peer, {})
        self._peers.pop(peer, None)

    def expire_peers(self, now: float, slack_s: float) -> None:
        """Forget peers' work that took twice the expected time, and ``slack_s`` more."""
        for peer, reservations in self._peers.items():
            overdue = [
                key
                for key, item in reservations.items()
                if item.ends_at + item.duration_s + slack_s < now
            ]
            for key in overdue:
                self.peer_release(peer, key)

    def find(self, key: str) -> Reservation | None:
        """Give the work under a key, this instance's or a peer's."""
        sources = (self._own, *self._peers.values())
        return next((source[key] for source in sources if key in source), None)

    def usage(self, name: str, role: Role) -> Usage:
        """Give the work placed on an endpoint in a role."""
        return self._usage.get((name, role), _UNUSED)

    def placed(self, name: str, role: Role) -> list[Reservation]:
        """Give the work placed on an endpoint in a role."""
        return self._placed.get((name, role), [])

    def free_at(self, name: str, role: Role, now: float) -> float:
        """Give when all work on an endpoint is expected to be over."""
        return max((work.expected_end(now) for work in self.placed(name, role)), default=now)

    def peak_memory(
        self, name: str, work: Sequence[Reservation], now: float, spread: float = 0.0
    ) -> float:
        """Give the most memory that a decode will hold if it takes some work too."""
        profile = self._profiles.get(name)
        if profile is None or not 0 <= now - profile.made_at <= _PROFILE_S:
            profile = MemoryProfile(self.placed(name, Role.DECODE), now)
            self._profiles[name] = profile
        return profile.peak_with(work, now, spread)

    def suspicion(self, name: str) -> int:
        """Give at how many crashes the most suspect request was that an endpoint runs."""
        if not self._suspects:
            return 0
        work = (item for role in Role for item in self.placed(name, role))
        return max((item.suspicion for item in work), default=0)

    def _add(self, reservation: Reservation, sign: int) -> None:
        self._suspects += sign * bool(reservation.suspicion)
        if reservation.role is Role.DECODE:
            self._profiles.pop(reservation.endpoint, None)
        key = (reservation.endpoint, reservation.role)
        placed = self._placed.setdefault(key, [])
        if sign > 0:
            placed.append(reservation)
        else:
            placed.remove(reservation)
        if not placed:
            del self._placed[key]
        usage = self._usage.get(key, _UNUSED)
        changed = Usage(usage.running + sign, usage.tokens + sign * reservation.tokens)
        if changed.running > 0:
            self._usage[key] = changed
        else:
            self._usage.pop(key, None)


def _is_same(known: Reservation, told: Reservation) -> bool:
    """Tell whether a peer repeats work as it is known; its end comes with some delay."""
    return (
        abs(known.ends_at - told.ends_at) < _SAME_END_S
        and known.endpoint == told.endpoint
        and known.role is told.role
        and known.tokens == told.tokens
        and known.duration_s == told.duration_s
        and known.grows == told.grows
        and known.suspicion == told.suspicion
    )
