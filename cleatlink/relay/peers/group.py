"""An instance among its peers: heartbeats, shared work, and what one knows for all.

Datagrams carry heartbeats and changes of work; they may be lost, and all work is
repeated. In a large fleet they go through reflectors (see ``delivery``). Who is
there is told by rosters, to a peer that is new and to a few others with each
heartbeat. A route table or list that a peer knows and this instance does not is
fetched over HTTP, so that one that the configuration service turns away keeps up
with the others.
"""

import math
import random
from collections.abc import Callable, Set
from functools import partial
from typing import Any, NamedTuple

import eliot
import msgspec
import trio

from cleatlink.core.address import Address
from cleatlink.core.revisions import StoreRevision
from cleatlink.members.leadership import Hearing
from cleatlink.members.watchers import is_watcher
from cleatlink.organisations import OrganisationLimits
from cleatlink.relay.following.source import SourceChange
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.catch_up import CatchUp
from cleatlink.relay.peers.datagrams import DatagramSocket
from cleatlink.relay.peers.delivery import Delivery
from cleatlink.relay.peers.endpoint_limit_news import EndpointLimitNews
from cleatlink.relay.peers.endpoint_pace_news import EndpointPaceTeller
from cleatlink.relay.peers.heard import HeardPeers
from cleatlink.relay.peers.hints import Hints
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.limit_news import LimitNews
from cleatlink.relay.peers.messages import (
    Beat,
    Bundle,
    BundleItem,
    Changes,
    CrashNews,
    EndpointHint,
    EndpointPaceNews,
    EndpointSpending,
    HintKind,
    Message,
    NoticeNews,
    PaceNews,
    PlainCalls,
    Roster,
    ShedNews,
    SourceNews,
    Spending,
    WaitNews,
    WorkItem,
    WorkList,
    decode_datagram,
)
from cleatlink.relay.peers.news import NewsChannel
from cleatlink.relay.peers.plain_news import PlainNews
from cleatlink.relay.peers.shared_notices import SharedNotices
from cleatlink.relay.peers.shared_quarantine import SharedQuarantine
from cleatlink.relay.peers.shed_news import ShedNewsChannel
from cleatlink.relay.peers.source_news import SourceNewsChannel
from cleatlink.relay.peers.waiting_news import WaitingNews
from cleatlink.relay.peers.work_news import WorkNews
from cleatlink.relay.settings import RelaySettings
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.fleet_sizes import FEW_PEERS
from cleatlink.routing.mechanisms import Mechanism
from cleatlink.routing.reservation import Reservation

__all__ = ["SILENCE_S", "PeerGroup"]

# A peer that was silent for so long counts as gone for the choice of a leader.
SILENCE_S = 2.5

# Two lost heartbeats in a row still leave a peer within the silence that counts.
_BEAT_S = 1.0
# Peers that get a roster with each heartbeat.
_ROSTERS = 3
# Who is new gets a whole roster; later ones only heal what was missed, with so many members.
# Whole ones would be 20 of the 37 kB that one of 195 instances sends each second (encoded
# sizes); these are 2.4.
_MEMBERS_A_ROSTER = 24
# Two heartbeats: work that is over is usually told before.
_WORK_SLACK_S = 2.0
# Changes that come within so long of each other go in one datagram: about the pause
# between two steps of one stream.
_GATHER_S = 0.002
# The same where reflectors gather changes of all instances anyway.
_LARGE_GATHER_S = 0.02
# Ticks of a large fleet; each second one tells a heartbeat.
_TICK_S = 0.5
_MS = 1000.0
# Ages above this are alike to all: a heartbeat that says them says the same again.
_OLD_S = 10
# Pause between two looks at which part of all instances is heard.
_LOOK_S = 0.2


class _WorkNumber(NamedTuple):
    """Orders what a peer tells of its work."""

    incarnation: int
    number: int


_NO_NUMBER = _WorkNumber(0, 0)


class PeerGroup:
    """This instance's peers."""

    def __init__(
        self,
        settings: RelaySettings,
        incarnation: int,
        capacity: Capacity,
        limits: OrganisationLimits,
        *,
        quarantine: SharedQuarantine,
        notices: SharedNotices,
        metrics: RelayMetrics,
        hooks: PeerHooks,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._capacity = capacity
        self._limits = limits
        self._limit_news = LimitNews(settings.name, incarnation, limits, capacity.limits)
        self._endpoint_limits = EndpointLimitNews(settings.name, incarnation, capacity.limits)
        self._endpoint_paces = EndpointPaceTeller(
            settings.name, incarnation, capacity.endpoint_paces, metrics
        )
        self._waiting = WaitingNews(
            settings.name, incarnation, settings.data_centre, capacity.waiting
        )
        self._quarantine = quarantine
        self._notices = notices
        self._source_news = SourceNewsChannel(settings.name)
        self._shed_news = ShedNewsChannel(settings.name)
        self._plain_news = PlainNews(settings.name, incarnation, capacity)
        self._channels: tuple[NewsChannel, ...] = (
            self._plain_news,
            self._limit_news,
            self._endpoint_limits,
            self._endpoint_paces,
            quarantine,
            notices,
            self._source_news,
            self._shed_news,
            self._waiting,
        )
        self._metrics = metrics
        self._hooks = hooks
        self._address = str(settings.peer_listen)
        first = (str(peer) for peer in settings.peers if str(peer) != self._address)
        self._peers = HeardPeers(settings.name, first, trio.current_time())
        self._changed: set[str] = set()
        self._news = WorkNews(settings.name, incarnation, settings.data_centre, capacity)
        self._wake = trio.Event()
        self._hints = Hints(capacity)
        self._rng = random.Random(incarnation)
        self._catch_up = CatchUp(
            settings.data_centre,
            hooks,
            self._peers,
            metrics,
            self._rng,
            must_watch=self.must_watch,
        )
        self.fence = 0
        self.vote = ""
        self.members: Set[str] = frozenset({settings.name})
        self._spawn: Callable[..., None] = _drop_task
        self._socket = DatagramSocket(settings.peer_listen, metrics)
        self._takers = self._list_takers()
        self._delivery = Delivery(settings, incarnation, self._peers, self._socket, metrics)
        # The last numbers with which peers told of their work, with their incarnations.
        self._heard_work: dict[str, _WorkNumber] = {}
        self._beat_due = False
        self._told_table = 0
        self._beat_number = 0
        self._last_beat: Beat | None = None
        # Heartbeats as they were encoded, by their sender: most say the same again.
        self._heard_beats: dict[str, bytes] = {}
        self._looked_at = -math.inf
        self._is_work_new = False

    @property
    def listen(self) -> Address:
        """Where this instance hears its peers."""
        return self._settings.peer_listen

    def hearing(self) -> Hearing:
        """Give what is heard, for the choice of a leader."""
        return self._peers.hearing(SILENCE_S, trio.current_time())

    def heard_within(self, seconds: float) -> set[str]:
        """Give the peers that were heard lately."""
        return self._peers.heard_within(seconds, trio.current_time())

    @property
    def alive(self) -> int:
        """Instances that are heard now, this one included."""
        return len(self._peers) + 1

    @property
    def most_members(self) -> int:
        """Most instances that were heard at a time, this one included."""
        return self._peers.most_members

    def start(self, keep: Callable[..., None], spawn: Callable[..., None]) -> None:
        """Start to hear and tell.

        Args:
            keep: Runs a task for as long as the instance runs.
            spawn: Runs a task once.
        """
        self._spawn = spawn
        for task in (self._receive, self._beat_always, self._tell_changes, self._delivery.run):
            keep(task)
        for channel in self._channels:
            keep(partial(self._tell_news, channel))

    @property
    def shares_watch(self) -> bool:
        """Whether some instances watch the configuration service for the others."""
        is_large = len(self._peers) > FEW_PEERS
        return is_large and self._capacity.switches.uses(Mechanism.SHARED_WATCH)

    def must_watch(self) -> bool:
        """Tell whether this instance has to watch the configuration service itself."""
        if not self.shares_watch or not self._hooks.state().finds_source:
            return True
        now = trio.current_time()
        data_centre = self._settings.data_centre
        others = self._peers.watch_candidates(data_centre, SILENCE_S, now)
        return is_watcher(self._settings.name, others)

    def tell_source(self, after: StoreRevision, change: SourceChange, found_ago_s: float) -> None:
        """Tell the peers of this data centre what the configuration service told."""
        if self.shares_watch:
            self._source_news.tell(after, change, found_ago_s)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def note_work(self, *keys: str) -> None:
        """Tell peers that own work changed."""
        self._changed.update(keys)
        self._wake.set()

    def note_spending(self) -> None:
        """Tell peers soon what was let pass: little is left of an organisation's limit."""
        self._limit_news.note_spending()

    def tell_shed(self, endpoint: str, tokens: int) -> None:
        """Tell peers at once of a decode that had no room for a stream of so many tokens."""
        self._shed_news.tell(endpoint, tokens)

    def tell_limit(self, life: str) -> None:
        """Tell peers at once that an endpoint names another limit, or none any more."""
        self._endpoint_limits.tell_word(life)

    async def _tell_news(self, channel: NewsChannel) -> None:
        while True:
            for news in await channel.next():
                here = [self._settings.data_centre] if channel.is_local else None
                if self._delivery.uses_reflectors and channel.bears_delay:
                    self._delivery.tell(news, here, earlier=news)
                elif channel.is_local:
                    near = self._peers.addresses_by_data_centre()
                    self._socket.send(news, near.get(self._settings.data_centre, []))
                else:
                    self._socket.send(news, self._peers.addresses)

    def send_beat(self) -> None:
        """Send a heartbeat to every known address; in a large fleet, with the next tick."""
        if not self._delivery.uses_reflectors:
            self._socket.send(self._beat(), self._peers.known_addresses)
        elif self._hooks.state().leaving or self._has_new_table():
            self._tell_beat(urgent=True)
        else:
            self._beat_due = True

    def _has_new_table(self) -> bool:
        """Tell whether this instance watches for others and has a table that it has not told."""
        table = self._hooks.state().table
        is_new, self._told_table = table != self._told_table, table
        return is_new and self.must_watch()

    def _tell_beat(self, *, urgent: bool = False) -> Beat:
        """Tell a heartbeat through reflectors, and with all work to peers of earlier builds."""
        now = trio.current_time()
        beat = self._beat(work_apart=True)
        earlier = None
        if self._peers.earlier_addresses():
            earlier = msgspec.structs.replace(beat, work=self._news.work(now), work_apart=False)
        self._beat_due = False
        self._delivery.tell(beat, earlier=earlier, urgent=urgent)
        return beat

    def _beat(self, *, work_apart: bool = False) -> Beat:
        """Give a heartbeat of now; its number stays while it says the same, but for work."""
        state = self._hooks.state()
        now = trio.current_time()
        beat = Beat(
            self._settings.name,
            self._incarnation,
            self._settings.data_centre,
            self._address,
            state.leaving,
            state.table,
            state.newest.number,
            [],
            self.fence,
            {name: round(left, 2) for name, left in self._capacity.switching(now).items()},
            self.vote,
            len(self.members),
            self._limits.totals(now),
            self._limits.spenders,
            min(int(self._limits.age_s(now)), _OLD_S),
            state.newest.era,
            self._capacity.limits.spenders,
            state.finds_source,
            self._delivery.size,
            self._beat_number,
            True,
        )
        if beat != self._last_beat:
            self._beat_number = self._delivery.next_number()
            beat = msgspec.structs.replace(beat, number=self._beat_number)
            self._last_beat = beat
        if work_apart:
            return beat
        return msgspec.structs.replace(beat, work=self._news.work(now), work_apart=False)

    def _tell_few(self, *first: Message) -> None:
        """Tell a few peers, picked anew each time, who is there and what was measured."""
        addresses = self._peers.addresses
        chosen = self._rng.sample(addresses, min(_ROSTERS, len(addresses)))
        messages = [*first, self._roster(_MEMBERS_A_ROSTER)]
        paces = self._capacity.pace_summaries(trio.current_time())
        if paces:
            messages.append(PaceNews(self._settings.name, paces))
        for channel in self._channels:
            messages += channel.repeat()
        self._delivery.send_directly(messages, chosen)

    def _roster(self, most: int | None = None) -> Roster:
        """Give the instances that are known here, or at the most some of them."""
        names = sorted(self.members | self._peers.names)
        if most is not None and len(names) > most:
            names = self._rng.sample(names, most)
        return Roster(self._settings.name, [self._peers.member(name) for name in names])

    async def _beat_always(self) -> None:
        while True:
            self._forget_silent()
            if self._delivery.uses_reflectors:
                self._tick(is_beat_due=True)
                await trio.sleep(_TICK_S)
                self._tick(is_beat_due=False)
                await trio.sleep(_BEAT_S - _TICK_S)
            else:
                self._delivery.tick(trio.current_time())
                self.send_beat()
                self._tell_few()
                await trio.sleep(_BEAT_S)

    def _tick(self, *, is_beat_due: bool) -> None:
        """Tell peers of a large fleet what is due, or what a new reflector has missed."""
        now = trio.current_time()
        has_new = self._delivery.tick(now)
        if not (is_beat_due or has_new or self._beat_due):
            return
        beat = self._tell_beat()
        if is_beat_due:
            self._socket.send(self._beat(), self._peers.unheard_addresses())
            self._tell_few(beat)
        due = self._news.due(self._peers.addresses_by_data_centre(), now)
        if due:
            self._delivery.tell(self._news.list_all(now), due, urgent=False, copies=1)

    async def _tell_changes(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            is_large = self._delivery.uses_reflectors
            if is_large:
                await trio.sleep(_LARGE_GATHER_S)
            changed, self._changed = self._changed, set()
            addresses = self._peers.addresses_by_data_centre()
            now = trio.current_time()
            told = self._news.changes(changed, addresses, len(self._peers), now)
            for data_centre, changes in told.items():
                if is_large:
                    self._delivery.tell(changes, [data_centre], earlier=changes, copies=1)
                else:
                    self._socket.send(changes, addresses[data_centre])
            if not is_large:
                await trio.sleep(_GATHER_S)

    def _forget_silent(self) -> None:
        now = trio.current_time()
        self._limit_news.look(now)
        self._capacity.expire_peers(now, _WORK_SLACK_S)
        self._capacity.waiting.note_peers(len(self._peers))
        self._capacity.spill_over.note_peers(len(self._peers))
        for lost in self._peers.forget_silent(now):
            self._capacity.forget_peer(lost.name)
            self._heard_work.pop(lost.name, None)
            self._capacity.waiting.forget(lost.name)
            self._heard_beats.pop(lost.name, None)
            eliot.log_message(
                message_type="peers: lost a peer",
                peer=lost.name,
                silent_s=round(lost.silent_s, 2),
                alive=self.alive,
            )

    async def _receive(self) -> None:
        while True:
            for message in await self._socket.receive():
                self._take(message, 0.0)
            self._look()
            if self._is_work_new:
                self._is_work_new = False
                self._hooks.on_work()

    def _list_takers(self) -> dict[type, Callable[[Any], None]]:
        """Give what takes each kind of message."""
        return {
            Bundle: self._take_bundle,
            Changes: self._take_changes,
            EndpointHint: self._take_hint,
            PlainCalls: self._take_plain_calls,
            Roster: self._take_roster,
            PaceNews: self._take_paces,
            CrashNews: self._take_crashes,
            NoticeNews: self._take_notices,
            EndpointPaceNews: self._take_endpoint_paces,
            EndpointSpending: self._take_endpoint_spending,
            ShedNews: self._take_shed_news,
            SourceNews: self._take_source_news,
            Spending: self._take_spending,
            WorkList: self._take_list,
            WaitNews: self._take_wait_news,
        }

    def _take_plain_calls(self, news: PlainCalls) -> None:
        self._metrics.count_message("plain_calls")
        self._plain_news.take(news)

    def _take_hint(self, hint: EndpointHint) -> None:
        self._metrics.count_message(hint.kind.value)
        self._hints.take(hint, trio.current_time())

    def _take_roster(self, roster: Roster) -> None:
        self._metrics.count_message("roster")
        found = self._peers.note_roster(roster, trio.current_time())
        if found and len(self._peers) + len(found) > FEW_PEERS:
            # Who joins a large fleet is heard a heartbeat earlier, and hears it.
            self._socket.send(self._beat(), found)

    def _take_crashes(self, news: CrashNews) -> None:
        self._metrics.count_message("crashes")
        self._quarantine.take(news)

    def _take_notices(self, news: NoticeNews) -> None:
        self._metrics.count_message("notices")
        for life in self._notices.take(news):
            self._hooks.on_leaving(life)

    def _take_endpoint_spending(self, news: EndpointSpending) -> None:
        self._metrics.count_message("endpoint_limits")
        self._endpoint_limits.take(news)

    def _take_endpoint_paces(self, news: EndpointPaceNews) -> None:
        self._metrics.count_message("endpoint_paces")
        self._endpoint_paces.take(news)

    def _take_shed_news(self, news: ShedNews) -> None:
        self._metrics.count_message("shed")
        now = trio.current_time()
        for endpoint, tokens in news.refused:
            self._capacity.note_shed(endpoint, tokens, now)

    def _take_source_news(self, news: SourceNews) -> None:
        self._metrics.count_message("source")
        self._hooks.on_source_news(news)

    def _take_wait_news(self, news: WaitNews) -> None:
        self._metrics.count_message("waiting")
        self._waiting.take(news)

    def _take_spending(self, news: Spending) -> None:
        self._metrics.count_message("spending")
        self._limit_news.take_spending(news, trio.current_time())

    def _look(self) -> None:
        """Go by the part of all instances that is heard."""
        now = trio.current_time()
        if now - self._looked_at >= _LOOK_S:
            self._looked_at = now
            self._limit_news.look(now)

    def _take(self, message: Message | None, age_s: float) -> None:
        """Take a message that was told so many seconds ago."""
        if isinstance(message, Beat):
            self._take_beat(message, age_s)
            return
        take = self._takers.get(type(message))
        if take is None:
            self._metrics.count_message("not_understood")
        else:
            take(message)

    def _take_bundle(self, bundle: Bundle) -> None:
        """Take what others told, each message once, however often it comes."""
        self._metrics.count_message("bundle")
        now = trio.current_time()
        for item in bundle.items:
            is_new = self._delivery.take(item, bundle.pass_on, now)
            if item.sender == self._settings.name:
                self._delivery.note_echo(bundle.name, now)
            elif is_new:
                self._take_item(item, now)

    def _take_item(self, item: BundleItem, now: float) -> None:
        """Take a message out of a bundle; a heartbeat that says the same again is not decoded."""
        age_s = max(0, item.age_ms) / _MS
        if self._heard_beats.get(item.sender) == item.data:
            beat = self._peers.note_again(item.sender, now - age_s)
            if beat is not None and self._limit_news.note_again(item.sender, now - age_s, now):
                self._catch_up.note(beat, self._spawn)
                return
        message = decode_datagram(item.data)
        # A bundle in a bundle is none of ours: it would be passed on for ever.
        self._take(None if isinstance(message, Bundle) else message, age_s)
        if isinstance(message, Beat) and self._peers.is_last(message):
            self._heard_beats[message.name] = item.data

    def _take_beat(self, beat: Beat, age_s: float) -> None:
        if beat.name == self._settings.name or self._peers.is_old(beat):
            return
        self._metrics.count_message("beat")
        self._heard_beats.pop(beat.name, None)
        if self._peers.incarnation(beat.name) not in (None, beat.incarnation):
            # Started anew: what it worked on before is over.
            self._capacity.forget_peer(beat.name)
            self._is_work_new = True
        now = trio.current_time()
        if self._peers.note_beat(beat, now - age_s):
            eliot.log_message(message_type="peers: heard a peer", peer=beat.name, alive=self.alive)
            self._introduce(beat)
        self._limit_news.take_beat(beat, now - age_s, now)
        self.fence = max(self.fence, beat.fence)
        for endpoint, left_s in beat.switching.items():
            self._capacity.note_switching(endpoint, now - age_s + left_s)
        if not beat.work_apart and (beat.work or self._capacity.has_work_of(beat.name)):
            self._take_work(beat.name, beat.work, now)
        self._catch_up.note(beat, self._spawn)

    def _take_list(self, told: WorkList) -> None:
        """Take all the work of a peer, told apart from its heartbeat."""
        self._metrics.count_message("work")
        if self._is_in_order(told):
            self._take_work(told.name, told.work, trio.current_time())

    def _is_in_order(self, told: Changes | WorkList) -> bool:
        """Tell whether news of a peer's work is newer than what it told before."""
        if self._peers.incarnation(told.name) != told.incarnation:
            return False
        if told.number:
            number = _WorkNumber(told.incarnation, told.number)
            if number <= self._heard_work.get(told.name, _NO_NUMBER):
                return False
            self._heard_work[told.name] = number
        return True

    def _take_work(self, peer: str, items: list[WorkItem], now: float) -> None:
        """Take all the work of a peer; most instances of a large fleet have none."""
        work = {item.key: item.reservation(now) for item in items}
        for key, item in work.items():
            self._note_placed(peer, key, item)
        self._capacity.peer_replace(peer, work)
        self._is_work_new = True

    def _introduce(self, beat: Beat) -> None:
        """Tell a peer that is new who is there, what was measured, and all news."""
        messages: list[Message] = []
        known = len(self.members | self._peers.names)
        if not self._delivery.uses_reflectors or beat.members < known:
            messages.append(self._roster())
        paces = self._capacity.pace_summaries(trio.current_time())
        if paces:
            messages.append(PaceNews(self._settings.name, paces))
        for channel in self._channels:
            messages += channel.introduction()
        if self._delivery.uses_reflectors and beat.size and self._news.work(trio.current_time()):
            messages.append(self._news.list_all(trio.current_time()))
        if messages:
            self._delivery.send_directly(messages, [beat.address])

    def _take_paces(self, news: PaceNews) -> None:
        """Take over what a peer measured, where this instance has not."""
        self._metrics.count_message("paces")
        now = trio.current_time()
        for service, (summary, age_s) in news.paces.items():
            self._capacity.pace(service).adopt(summary, age_s, now)

    def tell_hint(self, endpoint: str, kind: HintKind) -> None:
        """Tell peers of an endpoint that was slow, or in this data centre not reached."""
        now = trio.current_time()
        if not self._hints.is_due(endpoint, kind, now):
            return
        here = self._settings.data_centre
        near = self._peers.addresses_by_data_centre().get(here, [])
        addresses = self._peers.addresses if kind is HintKind.SLOW else near
        hint = EndpointHint(self._settings.name, endpoint, kind)
        if self._delivery.uses_reflectors:
            self._delivery.tell(hint, None if kind is HintKind.SLOW else [here], earlier=hint)
        else:
            self._socket.send(hint, addresses)
        self._hints.take(hint, now)

    def _take_changes(self, changes: Changes) -> None:
        if not self._is_in_order(changes):
            return
        now = trio.current_time()
        for item in changes.placed:
            work = item.reservation(now)
            self._note_placed(changes.name, item.key, work)
            self._capacity.peer_reserve(changes.name, item.key, work)
        for key in changes.over:
            self._capacity.peer_release(changes.name, key)
        self._is_work_new = self._is_work_new or bool(changes.over)

    def _note_placed(self, peer: str, key: str, item: Reservation) -> None:
        if not self._capacity.knows(peer, key):
            self._hooks.on_placed(item)


def _drop_task(*_: object) -> None:
    """Stand for a nursery before the start."""
