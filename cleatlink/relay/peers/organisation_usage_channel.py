"""Exchanges the units that instances admit for organisations with peers."""

import trio

from cleatlink.limits import PEER_TIMEOUT_S, PeerTotals, SharedLimits
from cleatlink.members.presence import InstancePresence
from cleatlink.organisations import OrganisationLimits
from cleatlink.relay.peers.messages import HeartbeatMessage, OrganisationUsage
from cleatlink.relay.peers.update_channel import UpdateChannel

__all__ = ["OrganisationUsageChannel"]

# Interval between messages while little of a limit remains, in seconds. In a simulation, an
# organisation at eight times its limit fills its fullest window to 0.83 of the admissible units.
_USAGE_INTERVAL_S = 0.1
# Maximum number of organisations in one message to a new peer, far below the size of a datagram.
_MAX_ORGANISATIONS = 200


class OrganisationUsageChannel(UpdateChannel):
    """Channel for the usage of limits that hold over all instances together."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        limits: OrganisationLimits,
        endpoint_limits: SharedLimits,
    ) -> None:
        """Initialise the channel without pending updates.

        Args:
            name: Name of this instance.
            incarnation: Start number of this instance; it grows with each start.
            limits: Limits of the organisations.
            endpoint_limits: Limits of endpoints, which the same instances share; another channel
                reports their usage.
        """
        self._endpoint_limits = endpoint_limits
        self._name = name
        self._incarnation = incarnation
        self._limits = limits
        self._presence = InstancePresence()
        self._has_urgent_usage = trio.Event()

    def request_usage_report(self) -> None:
        """Request a message to peers soon, because little of an organisation's limit remains."""
        self._has_urgent_usage.set()

    async def next_messages(self) -> list[OrganisationUsage]:
        """Wait until usage has to be reported at once and return the message to every peer."""
        await trio.sleep(_USAGE_INTERVAL_S)
        await self._has_urgent_usage.wait()
        self._has_urgent_usage = trio.Event()
        now = trio.current_time()
        return [self._message(self._limits.totals(now), {}, now)]

    def repeated_messages(self) -> list[OrganisationUsage]:
        """Return no messages: heartbeats include the admitted units."""
        return []

    def initial_messages(self) -> list[OrganisationUsage]:
        """Return all totals and levels for a new peer, split into messages of bounded size."""
        now = trio.current_time()
        limits = self._limits
        totals, levels = limits.totals(now, include_unchanged=True), limits.levels(now)
        names = list(levels)
        parts = [
            names[start : start + _MAX_ORGANISATIONS]
            for start in range(0, len(names), _MAX_ORGANISATIONS)
        ]
        return [
            self._message(
                {name: totals[name] for name in part if name in totals},
                {name: levels[name] for name in part},
                now,
            )
            for part in parts
        ]

    def _message(
        self, totals: dict[str, int], levels: dict[str, float], now: float
    ) -> OrganisationUsage:
        limits = self._limits
        age_s = round(limits.uptime_s(now), 3)
        return OrganisationUsage(
            self._name, self._incarnation, totals, levels, age_s, limits.used_name_count
        )

    def record_usage(self, usage: OrganisationUsage, now: float) -> None:
        """Record the units that a peer admitted, and its levels if it has counted for longer."""
        if usage.levels:
            self._limits.adopt_levels(usage.levels, usage.age_s, now)
        self._record_totals(usage, now)

    def record_repeated_heartbeat(self, name: str, sent_at: float, now: float) -> bool:
        """Record a heartbeat that equals the previous one of the peer.

        Returns:
            False if the heartbeat has to be decoded and recorded in full instead.
        """
        self._presence.record_heartbeat(name, sent_at)
        # The list makes both calls run, even if the first one returns False.
        were_known = [
            limits.note_unchanged_report(name, now)
            for limits in (self._limits, self._endpoint_limits)
        ]
        return all(were_known)

    def record_heartbeat(self, heartbeat: HeartbeatMessage, sent_at: float, now: float) -> None:
        """Record from a heartbeat the units that a peer admitted, and whether the peer is leaving.

        The share of reachable instances is updated separately, after some heartbeats.

        Args:
            heartbeat: The heartbeat.
            sent_at: Time at which the heartbeat was sent.
            now: Current time.
        """
        if heartbeat.leaving:
            self._presence.record_leaving(heartbeat.name)
        else:
            self._presence.record_heartbeat(heartbeat.name, sent_at)
        self._record_totals(heartbeat, now)
        # The peer reports units of endpoints' limits when it takes them. Its heartbeats show that
        # it took no others.
        endpoint_totals = PeerTotals(
            heartbeat.name,
            heartbeat.incarnation,
            {},
            heartbeat.limited_endpoint_count,
            heartbeat.age_s,
        )
        self._endpoint_limits.record_peer_totals(endpoint_totals, now)

    def _record_totals(self, message: HeartbeatMessage | OrganisationUsage, now: float) -> None:
        totals = PeerTotals(
            message.name,
            message.incarnation,
            message.totals,
            message.used_name_count,
            message.age_s,
        )
        self._limits.record_peer_totals(totals, now)

    def update_reachable_share(self, now: float) -> None:
        """Update the share of instances that are reachable now, on which the limits depend."""
        share = self._presence.live_share(PEER_TIMEOUT_S, now)
        self._limits.set_reachable_share(share, now)
        self._endpoint_limits.set_reachable_share(share, now)
