"""Exchanges the rate limits that endpoints report, and the calls counted against them."""

import eliot
import trio

from cleatlink.limits import PeerTotals
from cleatlink.relay.peers.messages import EndpointSpending
from cleatlink.relay.peers.news import NewsChannel
from cleatlink.routing.endpoint_limits import EndpointLimits, LimitWord

__all__ = ["EndpointLimitNews"]

# Delay within which placed calls are collected for one message, in seconds.
_COALESCE_DELAY_S = 0.002
# Minimum pause between two messages, in seconds: calls to an endpoint with a high limit are
# reported in batches.
_MIN_PAUSE_S = 0.005
# Maximum number of newest reports of limits that a heartbeat repeats, in case a message was lost.
_MAX_REPEATED = 32
# Maximum number of endpoint incarnations in one datagram. The length of their names is bounded by
# the store's limit for keys.
_MAX_INCARNATIONS = 200


class EndpointLimitNews(NewsChannel):
    """Channel for rate limits that endpoints report."""

    def __init__(self, name: str, incarnation: int, limits: EndpointLimits) -> None:
        """Initialise the channel without pending updates.

        Args:
            name: Name of this instance.
            incarnation: Start number of this instance; it grows with each start.
            limits: Limits of the endpoints.
        """
        self._name = name
        self._incarnation = incarnation
        self._limits = limits
        self._changed_incarnations: set[str] = set()
        self._has_changes = trio.Event()
        limits.listen(self._note_usage)

    def _note_usage(self) -> None:
        self._has_changes.set()

    def tell_word(self, incarnation: str) -> None:
        """Queue a report that an endpoint has changed its limit, or no longer reports one."""
        self._changed_incarnations.add(incarnation)
        self._has_changes.set()

    @property
    def bears_delay(self) -> bool:
        """False: calls of peers have to be counted before the next call is admitted."""
        return False

    async def next(self) -> list[EndpointSpending]:
        """Wait for updates and return the messages to send to every peer."""
        await trio.sleep(_MIN_PAUSE_S)
        await self._has_changes.wait()
        await trio.sleep(_COALESCE_DELAY_S)
        self._has_changes = trio.Event()
        now = trio.current_time()
        changed, self._changed_incarnations = sorted(self._changed_incarnations), set()
        return [
            self._message([self._limits.word(incarnation, now) for incarnation in changed], now)
        ]

    def repeat(self) -> list[EndpointSpending]:
        """Return the limits that endpoints reported to this instance, for a few peers."""
        now = trio.current_time()
        reports = self._limits.words(now, _MAX_REPEATED)
        return [self._message(reports, now)] if reports else []

    def introduction(self) -> list[EndpointSpending]:
        """Return all known limits, totals and levels, for a new peer."""
        now = trio.current_time()
        reports = self._limits.words(now, _MAX_INCARNATIONS, all_known=True)
        return [self._message(reports, now, whole=True)] if reports else []

    def _message(
        self, reports: list[LimitWord], now: float, *, whole: bool = False
    ) -> EndpointSpending:
        """Return a message with limits and this instance's totals: all, or the changed ones."""
        limits = self._limits
        return EndpointSpending(
            self._name,
            self._incarnation,
            [
                (report.life, report.rate_per_s, report.age_s)
                for report in reports[:_MAX_INCARNATIONS]
            ],
            limits.totals(now, whole=whole),
            limits.returned(now, whole=whole),
            limits.spenders,
            round(limits.age_s(now), 3),
            limits.levels(now) if whole else {},
        )

    def take(self, message: EndpointSpending) -> None:
        """Apply the message of a peer: first the limits, then the calls counted against them."""
        now = trio.current_time()
        for report in map(LimitWord._make, message.words):
            if self._limits.note_told(report, now):
                eliot.log_message(
                    message_type="endpoint: names a limit, as a peer tells",
                    endpoint=report.life,
                    per_s=report.rate_per_s or None,
                    age_s=report.age_s,
                    peer=message.name,
                )
        if message.levels:
            self._limits.adopt(message.levels, message.age_s, now)
        totals = PeerTotals(
            message.name,
            message.incarnation,
            message.totals,
            message.spenders,
            message.age_s,
            message.returned,
        )
        self._limits.take_totals(totals, now)
