"""Tells peers what this instance let pass for organisations, and takes what they tell."""

import trio

from cleatlink.limits import HEARD_S, PeerTotals, SharedLimits
from cleatlink.members.presence import Presence
from cleatlink.organisations import OrganisationLimits
from cleatlink.relay.peers.messages import Beat, Spending
from cleatlink.relay.peers.news import NewsChannel

__all__ = ["LimitNews"]

# Where little is left of a limit, what was let pass is told so often, in seconds: in the model
# an organisation at eight times its limit fills its fullest window to 0.83 of what may pass.
_SPENDING_S = 0.1
# Organisations in one message to a peer that is new, far below what a datagram holds.
_MOST_NAMES = 200


class LimitNews(NewsChannel):
    """One instance's side of limits that hold over all."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        limits: OrganisationLimits,
        endpoint_limits: SharedLimits,
    ) -> None:
        """Start with nothing to tell.

        Args:
            name: This instance's name.
            incarnation: Grows with each start of this instance.
            limits: The limits of organisations.
            endpoint_limits: Limits that the same instances share, and others tell of.
        """
        self._endpoint_limits = endpoint_limits
        self._name = name
        self._incarnation = incarnation
        self._limits = limits
        self._presence = Presence()
        self._is_spending = trio.Event()

    def note_spending(self) -> None:
        """Have peers told soon: little is left of an organisation's limit."""
        self._is_spending.set()

    async def next(self) -> list[Spending]:
        """Wait until there is something to tell at once, and give it."""
        await trio.sleep(_SPENDING_S)
        await self._is_spending.wait()
        self._is_spending = trio.Event()
        now = trio.current_time()
        return [self._spending(self._limits.totals(now), {}, now)]

    def repeat(self) -> list[Spending]:
        """Give nothing: heartbeats carry what was let pass."""
        return []

    def introduction(self) -> list[Spending]:
        """Give all that is known, for a peer that is new, in as many messages as it takes."""
        now = trio.current_time()
        limits = self._limits
        totals, levels = limits.totals(now, whole=True), limits.levels(now)
        names = list(levels)
        parts = [names[begin : begin + _MOST_NAMES] for begin in range(0, len(names), _MOST_NAMES)]
        return [
            self._spending(
                {name: totals[name] for name in part if name in totals},
                {name: levels[name] for name in part},
                now,
            )
            for part in parts
        ]

    def _spending(self, totals: dict[str, int], levels: dict[str, float], now: float) -> Spending:
        limits = self._limits
        age_s = round(limits.age_s(now), 3)
        return Spending(self._name, self._incarnation, totals, levels, age_s, limits.spenders)

    def take_spending(self, spending: Spending, now: float) -> None:
        """Take what a peer let pass, and what is left of limits if it has seen more."""
        if spending.levels:
            self._limits.adopt(spending.levels, spending.age_s, now)
        self._take_totals(spending, now)

    def note_again(self, name: str, heard_at: float, now: float) -> bool:
        """Note that a peer says the same as before; False if its heartbeat has to be taken."""
        self._presence.note_heard(name, heard_at)
        # Both are asked, also where the first does not know it.
        known = [limits.note_again(name, now) for limits in (self._limits, self._endpoint_limits)]
        return all(known)

    def take_beat(self, beat: Beat, heard_at: float, now: float) -> None:
        """Take what a peer let pass, and that it is there or leaves, by its own word.

        After some heartbeats, :meth:`look` goes by who is heard then.

        Args:
            beat: The heartbeat.
            heard_at: When it was told.
            now: The time.
        """
        if beat.leaving:
            self._presence.note_leaving(beat.name)
        else:
            self._presence.note_heard(beat.name, heard_at)
        self._take_totals(beat, now)
        # It tells of endpoints' limits when it takes something; heartbeats tell that it did not.
        took = PeerTotals(beat.name, beat.incarnation, {}, beat.limited_endpoints, beat.age_s)
        self._endpoint_limits.take_totals(took, now)

    def _take_totals(self, told: Beat | Spending, now: float) -> None:
        totals = PeerTotals(told.name, told.incarnation, told.totals, told.spenders, told.age_s)
        self._limits.take_totals(totals, now)

    def look(self, now: float) -> None:
        """Go by the part of all instances that is heard now."""
        share = self._presence.heard_share(HEARD_S, now)
        self._limits.note_heard(share, now)
        self._endpoint_limits.note_heard(share, now)
