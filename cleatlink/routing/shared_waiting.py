"""Decides for whom a stream leaves room: those that wait at other instances.

Each instance has a waiting room of its own. While all of them are few, the first to see
room may take it; among many, a stream that has just come to one instance would take the
room for which more urgent or older ones wait at others. So instances tell each other what
waits, and each counts those who go before a stream of its own, by the same order everywhere:
who can still be in time goes before who will be late, and then by the time at which it came,
less a head start for its urgency.

What is told is believed by its age, and for a short time only: an instance that is gone or
cut off holds nothing up. The head start is bounded, and some of the less urgent streams, drawn
by lot, stand with the most urgent, so that these never get all of the room.
"""

import math
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from cleatlink.routing.fleet_sizes import FEW_PEERS

__all__ = [
    "HEAD_START_S",
    "NOBODY_AHEAD",
    "Ahead",
    "Claim",
    "LeftRoom",
    "SharedWaiting",
    "WaitingGroup",
    "WaitingReport",
    "due_at",
    "rank",
]

# Seconds of head start for each point of urgency.
HEAD_START_S = 0.1
# Points of urgency for each priority: urgent streams may wait for less than that and be in time,
# and others wait at the most about twice as long.
_PRIORITY_POINTS = 20
# Points for each priority of a route among streams of one priority of an organisation, and the
# least urgent that counts: together they stay below one priority of an organisation.
_ROUTE_POINTS = 9
_MOST_ROUTE_PRIORITY = 2
# What is told counts whole for so long: it is told again before.
_FRESH_S = 0.6
# Then it counts less and less, and no more after this.
_BELIEVED_S = 1.0
# Room that nobody took for so long is not wanted by those who are said to wait: news of it
# takes an instance a good part of this.
_LEFT_S = 0.4
# Up to this share of streams stands with the most urgent, whatever their priority.
_LOT_SHARE = 0.25
# The highest urgency that a priority gives.
_MOST_URGENT = 0


class WaitingGroup(NamedTuple):
    """Streams of one service and urgency that wait at one instance.

    Attributes:
        service: The service.
        urgency: Larger goes first.
        is_late: Whether they will be late even if they have room now.
        streams: How many wait.
        tokens: Memory that they hold at their ends, together.
        oldest_s: Seconds since the first of them came.
        spare_s: Seconds for which one of them can still wait and be in time.
    """

    service: str
    urgency: int
    is_late: bool
    streams: int
    tokens: int
    oldest_s: float
    spare_s: float = math.inf


class WaitingReport(NamedTuple):
    """All that waits at one instance.

    Attributes:
        name: The instance.
        incarnation: Grows with each start of the instance.
        number: Grows with each report of one incarnation.
        data_centre: Where the instance runs.
        groups: What waits there; none if nothing does.
    """

    name: str
    incarnation: int
    number: int
    data_centre: str
    groups: tuple[WaitingGroup, ...]


class Claim(NamedTuple):
    """A stream that wants room now.

    Attributes:
        service: The service.
        due: Where it stands in the order; smaller goes first.
        is_late: Whether it will be late even if it has room now.
    """

    service: str
    due: float
    is_late: bool


class Ahead(NamedTuple):
    """Those that go before a stream.

    Attributes:
        streams: How many.
        tokens: Memory that one of them holds at its end, in the mean.
    """

    streams: int
    tokens: int

    def fit(self, places: int) -> bool:
        """Tell whether some places are enough for all of them."""
        return self.streams <= places


NOBODY_AHEAD = Ahead(0, 0)


class LeftRoom:
    """Bounds for how long one stream leaves room to others that do not take it."""

    def __init__(self) -> None:
        self._since: float | None = None
        self._seen_at = 0.0
        self._openings = 0

    @property
    def openings(self) -> int:
        """How often the stream saw room that it left."""
        return self._openings

    def may_take(self, ahead: Ahead, places: int, now: float) -> bool:
        """Tell whether the stream may take room that it sees now.

        Args:
            ahead: Those that go before it.
            places: For how many of them there is room beside the stream's own.
            now: The time.
        """
        if ahead.fit(places):
            return True
        if self._since is None or now - self._seen_at > _LEFT_S:
            # What happened between two looks that lie far apart is not known.
            self._since = now
            self._openings += 1
        self._seen_at = now
        return now - self._since >= _LEFT_S

    def note_none(self) -> None:
        """Note that there is no room: others took what there was."""
        self._since = None


class _Heard(NamedTuple):
    """A report, and when it came."""

    report: WaitingReport
    heard_at: float


def rank(priority: int, route_priority: int = 0) -> int:
    """Give the urgency with which a stream waits among many instances; larger goes first.

    Args:
        priority: From 0, the most urgent: its organisation's, or else its route's.
        route_priority: Its route's, where its organisation has one too: that goes first, and
            this decides among streams of the same.
    """
    route_points = _ROUTE_POINTS * min(_MOST_ROUTE_PRIORITY, route_priority)
    return -(_PRIORITY_POINTS * priority + route_points)


def due_at(since: float, urgency: int, head_start_s: float = HEAD_START_S) -> float:
    """Give where a stream stands that came at a time; smaller goes first."""
    return since - urgency * head_start_s


class SharedWaiting:
    """What waits at other instances; every method takes the time as an argument."""

    def __init__(self, *, is_on: bool = True) -> None:
        """Start without anything heard.

        Args:
            is_on: Whether room is left for others at all.
        """
        self._is_on = is_on
        self._heard: dict[str, _Heard] = {}
        self._peers = 0
        self._on_change: Callable[[], None] = _ignore
        self._own: Callable[[], Sequence[WaitingGroup]] = tuple

    @property
    def is_large_group(self) -> bool:
        """Whether there are so many instances that one rarely holds two streams that wait."""
        return self._peers > FEW_PEERS

    @property
    def is_in_use(self) -> bool:
        """Whether instances tell each other what waits."""
        return self._is_on and self.is_large_group

    def note_peers(self, peers: int) -> None:
        """Note how many other instances there are."""
        self._peers = peers

    def listen(self, on_change: Callable[[], None]) -> None:
        """Have somebody told when what waits here has changed."""
        self._on_change = on_change

    def attach(self, own: Callable[[], Sequence[WaitingGroup]]) -> None:
        """Take what waits here from a source."""
        self._own = own

    def note_changed(self) -> None:
        """Note that what waits here has changed."""
        if self.is_in_use:
            self._on_change()

    def own(self) -> Sequence[WaitingGroup]:
        """Give what waits here."""
        return self._own()

    def note(self, report: WaitingReport, now: float) -> None:
        """Take what an instance tells; an older report than what is known changes nothing."""
        known = self._heard.get(report.name)
        if known is not None and _order(report) <= _order(known.report):
            return
        self._heard[report.name] = _Heard(report, now)

    def forget(self, name: str) -> None:
        """Forget what an instance told."""
        self._heard.pop(name, None)

    def ahead(self, claim: Claim, now: float) -> Ahead:
        """Give those that wait at other instances and go before a stream."""
        if not self._is_on:
            return NOBODY_AHEAD
        count = tokens = 0.0
        for heard in self._heard.values():
            belief = _belief(now - heard.heard_at)
            if not belief:
                continue
            for group in heard.report.groups:
                if group.service != claim.service or group.streams <= 0:
                    continue
                share = belief * _share_ahead(group, heard.heard_at, claim, now)
                count += share * group.streams
                tokens += share * group.tokens
        # Half of one that is believed is nobody.
        whole = round(count)
        return Ahead(whole, int(tokens / count)) if whole else NOBODY_AHEAD

    def draw_urgency(self, service: str, urgency: int, rng: random.Random, now: float) -> int:
        """Give the urgency with which a stream waits: a share of all stands with the most urgent.

        The share is smaller where more urgent ones are few among those that wait: they leave
        room then by themselves.

        Args:
            service: The service.
            urgency: What the stream's priority gives.
            rng: Draws.
            now: The time.
        """
        if not self.is_in_use or urgency >= _MOST_URGENT:
            return urgency
        above = others = 1.0
        for heard in self._heard.values():
            belief = _belief(now - heard.heard_at)
            for group in heard.report.groups:
                if group.service == service and group.urgency > urgency:
                    above += belief * group.streams
                elif group.service == service:
                    others += belief * group.streams
        share = _LOT_SHARE * min(1.0, above / others)
        return _MOST_URGENT if rng.random() < share else urgency

    def counts(self, service: str, now: float) -> dict[str, int]:
        """Give how many wait for a service in each data centre, at other instances."""
        found: dict[str, float] = {}
        for heard in self._heard.values():
            waiting = sum(item.streams for item in heard.report.groups if item.service == service)
            believed = _belief(now - heard.heard_at) * waiting
            data_centre = heard.report.data_centre
            found[data_centre] = found.get(data_centre, 0.0) + believed
        return {name: round(count) for name, count in found.items() if round(count)}


def _ignore() -> None:
    """Stand for a listener."""


def _order(report: WaitingReport) -> tuple[int, int]:
    return report.incarnation, report.number


def _belief(age_s: float) -> float:
    """Give how far a report counts that came some seconds ago."""
    if age_s <= _FRESH_S:
        return 1.0
    return max(0.0, (_BELIEVED_S - age_s) / (_BELIEVED_S - _FRESH_S))


def _share_ahead(group: WaitingGroup, heard_at: float, claim: Claim, now: float) -> float:
    """Give the share of a group that goes before a stream.

    Of a group only the oldest is known; the others are taken to have come at even pauses.
    """
    is_late = group.is_late or now - heard_at > group.spare_s
    if is_late != claim.is_late:
        return 0.0 if is_late else 1.0
    oldest = due_at(heard_at - group.oldest_s, group.urgency)
    newest = due_at(heard_at, group.urgency)
    if claim.due <= oldest:
        return 0.0
    if claim.due >= newest or group.streams == 1:
        return 1.0
    before = 1 + (group.streams - 1) * (claim.due - oldest) / (newest - oldest)
    return min(1.0, before / group.streams)
