"""Work that this instance and its peers have assigned to endpoints."""

from collections.abc import Callable, Sequence

from cleatlink.core.data import Role
from cleatlink.routing.reservation import MemoryProfile, Reservation, Usage

__all__ = ["Workload"]

_NO_USAGE = Usage()
# How long the memory profile of an endpoint is cached while its work doesn't change, in seconds.
_PROFILE_CACHE_S = 0.02
# Largest difference between two reports of the end of the same work by a peer, in seconds: message
# delays make the reports differ.
_MAX_END_DIFFERENCE_S = 0.5


class Workload:
    """Reservations of this instance, which are exact, and those that peers report with a delay."""

    def __init__(
        self, on_begin: Callable[[str, str], None], on_end: Callable[[str, str], None]
    ) -> None:
        """Start without reservations.

        Args:
            on_begin: Called with endpoint and key when work of this instance begins.
            on_end: Called with endpoint and key when work of this instance ends.
        """
        self._on_begin = on_begin
        self._on_end = on_end
        self._own: dict[str, Reservation] = {}
        # Reservations by peer and key.
        self._peers: dict[str, dict[str, Reservation]] = {}
        self._usage: dict[tuple[str, Role], Usage] = {}
        self._assigned: dict[tuple[str, Role], list[Reservation]] = {}
        self._profiles: dict[str, MemoryProfile] = {}
        # Number of reservations with a suspicion above 0.
        self._suspects = 0

    @property
    def own_reservations(self) -> dict[str, Reservation]:
        """This instance's reservations by key."""
        return self._own

    def reserve(self, key: str, reservation: Reservation) -> None:
        """Add work of this instance; it counts until it is released."""
        self.release(key)
        self._own[key] = reservation
        self._add(reservation, 1)
        self._on_begin(reservation.endpoint, key)

    def release(self, key: str) -> None:
        """Remove work of this instance; unknown keys are ignored."""
        reservation = self._own.pop(key, None)
        if reservation is not None:
            self._add(reservation, -1)
            self._on_end(reservation.endpoint, key)

    def add_peer_reservation(self, peer: str, key: str, reservation: Reservation) -> None:
        """Add work that a peer reported."""
        self.remove_peer_reservation(peer, key)
        self._peers.setdefault(peer, {})[key] = reservation
        self._add(reservation, 1)

    def remove_peer_reservation(self, peer: str, key: str) -> None:
        """Remove work of a peer; unknown keys are ignored."""
        reservation = self._peers.get(peer, {}).pop(key, None)
        if reservation is not None:
            self._add(reservation, -1)

    def replace_peer_reservations(self, peer: str, reservations: dict[str, Reservation]) -> None:
        """Replace all work of a peer by its complete list."""
        known = self._peers.get(peer, {})
        if not known and not reservations:
            return
        for key in known.keys() - reservations.keys():
            self.remove_peer_reservation(peer, key)
        for key, reservation in reservations.items():
            if key not in known or not _is_same(known[key], reservation):
                self.add_peer_reservation(peer, key, reservation)

    def has_peer_reservations(self, peer: str) -> bool:
        """Check whether a peer has any reservations."""
        return bool(self._peers.get(peer))

    def has_peer_reservation(self, peer: str, key: str) -> bool:
        """Check whether a peer has a reservation under a key."""
        return key in self._peers.get(peer, {})

    def remove_peer(self, peer: str) -> None:
        """Remove all work of a peer."""
        self.replace_peer_reservations(peer, {})
        self._peers.pop(peer, None)

    def expire_peers(self, now: float, slack_s: float) -> None:
        """Remove peers' work that has exceeded twice its expected duration by ``slack_s``."""
        for peer, reservations in self._peers.items():
            overdue = [
                key
                for key, item in reservations.items()
                if item.ends_at + item.duration_s + slack_s < now
            ]
            for key in overdue:
                self.remove_peer_reservation(peer, key)

    def find_reservation(self, key: str) -> Reservation | None:
        """Return the work under a key, of this instance or else of a peer."""
        sources = (self._own, *self._peers.values())
        return next((source[key] for source in sources if key in source), None)

    def usage(self, name: str, role: Role) -> Usage:
        """Return the usage of an endpoint in a role: running work and its tokens."""
        return self._usage.get((name, role), _NO_USAGE)

    def assigned(self, name: str, role: Role) -> list[Reservation]:
        """Return the work assigned to an endpoint in a role."""
        return self._assigned.get((name, role), [])

    def free_at(self, name: str, role: Role, now: float) -> float:
        """Return when all work of an endpoint in a role is expected to end."""
        return max((work.expected_end(now) for work in self.assigned(name, role)), default=now)

    def peak_memory(
        self, name: str, work: Sequence[Reservation], now: float, spread: float = 0.0
    ) -> float:
        """Return the peak memory of a decode endpoint if it accepts additional work, in tokens."""
        profile = self._profiles.get(name)
        if profile is None or not 0 <= now - profile.computed_at <= _PROFILE_CACHE_S:
            profile = MemoryProfile(self.assigned(name, Role.DECODE), now)
            self._profiles[name] = profile
        return profile.peak_with_added(work, now, spread)

    def max_suspicion(self, name: str) -> int:
        """Return the highest suspicion among an endpoint's requests, 0 without work.

        The suspicion of a request is the number of crashes at which it was in progress.
        """
        if not self._suspects:
            return 0
        work = (item for role in Role for item in self.assigned(name, role))
        return max((item.suspicion for item in work), default=0)

    def _add(self, reservation: Reservation, sign: int) -> None:
        self._suspects += sign * bool(reservation.suspicion)
        if reservation.role is Role.DECODE:
            self._profiles.pop(reservation.endpoint, None)
        key = (reservation.endpoint, reservation.role)
        work = self._assigned.setdefault(key, [])
        if sign > 0:
            work.append(reservation)
        else:
            work.remove(reservation)
        if not work:
            del self._assigned[key]
        usage = self._usage.get(key, _NO_USAGE)
        changed = Usage(usage.running + sign, usage.tokens + sign * reservation.tokens)
        if changed.running > 0:
            self._usage[key] = changed
        else:
            self._usage.pop(key, None)


def _is_same(known: Reservation, reported: Reservation) -> bool:
    """Check whether a peer reports known work again; only its end may differ, by a delay."""
    return (
        abs(known.ends_at - reported.ends_at) < _MAX_END_DIFFERENCE_S
        and known.endpoint == reported.endpoint
        and known.role is reported.role
        and known.tokens == reported.tokens
        and known.duration_s == reported.duration_s
        and known.growth_tokens == reported.growth_tokens
        and known.suspicion == reported.suspicion
    )
