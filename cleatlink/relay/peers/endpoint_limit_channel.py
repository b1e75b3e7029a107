"""Exchanges the rate limits that endpoints report, and the calls counted against them."""

import eliot
import trio

from cleatlink.limits import PeerTotals
from cleatlink.relay.peers.messages import EndpointLimitUsage
from cleatlink.relay.peers.update_channel import UpdateChannel
from cleatlink.routing.endpoint_limits import AnnouncedLimit, EndpointLimits

__all__ = ["EndpointLimitChannel"]

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


class EndpointLimitChannel(UpdateChannel):
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
        limits.set_unit_listener(self._note_usage)

    def _note_usage(self) -> None:
        self._has_changes.set()

    def report_limit(self, incarnation: str) -> None:
        """Queue a report that an endpoint has changed its limit, or no longer reports one."""
        self._changed_incarnations.add(incarnation)
        self._has_changes.set()

    @property
    def tolerates_delay(self) -> bool:
        """False: calls of peers have to be counted before the next call is admitted."""
        return False

    async def next_messages(self) -> list[EndpointLimitUsage]:
        """Wait for updates and return the messages to send to every peer."""
        await trio.sleep(_MIN_PAUSE_S)
        await self._has_changes.wait()
        await trio.sleep(_COALESCE_DELAY_S)
        self._has_changes = trio.Event()
        now = trio.current_time()
        changed, self._changed_incarnations = sorted(self._changed_incarnations), set()
        return [
            self._message(
                [self._limits.announcement(incarnation, now) for incarnation in changed], now
            )
        ]

    def repeated_messages(self) -> list[EndpointLimitUsage]:
        """Return the limits that endpoints reported to this instance, for a few peers."""
        now = trio.current_time()
        reports = self._limits.announcements(now, _MAX_REPEATED)
        return [self._message(reports, now)] if reports else []

    def initial_messages(self) -> list[EndpointLimitUsage]:
        """Return all known limits, totals and levels, for a new peer."""
        now = trio.current_time()
        reports = self._limits.announcements(now, _MAX_INCARNATIONS, include_from_peers=True)
        return [self._message(reports, now, include_all=True)] if reports else []

    def _message(
        self, reports: list[AnnouncedLimit], now: float, *, include_all: bool = False
    ) -> EndpointLimitUsage:
        """Return a message with limits and this instance's totals: all, or the changed ones."""
        limits = self._limits
        return EndpointLimitUsage(
            self._name,
            self._incarnation,
            [
                (report.incarnation, report.rate_per_s, report.age_s)
                for report in reports[:_MAX_INCARNATIONS]
            ],
            limits.totals(now, include_unchanged=include_all),
            limits.returned(now, include_unchanged=include_all),
            limits.used_name_count,
            round(limits.uptime_s(now), 3),
            limits.levels(now) if include_all else {},
        )

    def record_limits(self, message: EndpointLimitUsage) -> None:
        """Apply the message of a peer: first the limits, then the calls counted against them."""
        now = trio.current_time()
        for report in map(AnnouncedLimit._make, message.reported_limits):
            if self._limits.note_peer_announcement(report, now):
                eliot.log_message(
                    message_type="endpoint: reported a rate limit to a peer; applying it",
                    endpoint=report.incarnation,
                    per_s=report.rate_per_s or None,
                    age_s=report.age_s,
                    peer=message.name,
                )
        if message.levels:
            self._limits.adopt_levels(message.levels, message.age_s, now)
        totals = PeerTotals(
            message.name,
            message.incarnation,
            message.totals,
            message.used_name_count,
            message.age_s,
            message.returned_totals,
        )
        self._limits.record_peer_totals(totals, now)
