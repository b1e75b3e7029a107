"""Sends messages to peers: directly in a small fleet, through reflectors in a large one.

An instance sends each message to two reflectors of every data centre that needs it; each of them
forwards it to the instances of its own data centre. Peers whose builds accept no bundles get the
message directly, and so does a data centre for which no reflector is chosen.
"""

from collections.abc import Collection, Iterable

import eliot
import trio

from cleatlink.members.duplicates import DuplicateFilter
from cleatlink.members.reflectors import ReflectorCandidate, ReflectorSelector
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.datagrams import DatagramSocket
from cleatlink.relay.peers.forwarding_queue import ForwardingQueue, split_items
from cleatlink.relay.peers.live_peers import LivePeers
from cleatlink.relay.peers.messages import Bundle, BundleItem, Message, encode
from cleatlink.relay.settings import RelaySettings
from cleatlink.routing.fleet_sizes import MAX_DIRECT_PEERS
from cleatlink.routing.mechanisms import Mechanism

__all__ = ["Delivery"]


class Delivery:
    """Message delivery from one instance to its peers."""

    def __init__(
        self,
        settings: RelaySettings,
        incarnation: int,
        peers: LivePeers,
        socket: DatagramSocket,
        metrics: RelayMetrics,
    ) -> None:
        """Initialise the delivery without reflectors.

        Args:
            settings: Settings of this instance.
            incarnation: Start number of this instance; it grows with each start.
            peers: Peers from which heartbeats are received.
            socket: Socket that sends the datagrams.
            metrics: Counters of the instance.
        """
        self._name = settings.name
        self._data_centre = settings.data_centre
        self._incarnation = incarnation
        self._peers = peers
        self._socket = socket
        self._metrics = metrics
        self._is_enabled = Mechanism.REFLECTORS not in settings.without
        self._announced_size = settings.size if self._is_enabled else 0.0
        self._selector = ReflectorSelector(settings.data_centre)
        self._forwarding_queue = ForwardingQueue(settings.name, trio.current_time())
        self._duplicates = DuplicateFilter()
        self._due_time_changed = trio.Event()
        self._last_message_number = 0

    @property
    def announced_size(self) -> float:
        """Size of this instance as announced to peers; 0 if it accepts no bundles."""
        return self._announced_size

    @property
    def uses_reflectors(self) -> bool:
        """Whether the fleet is large enough to send messages through reflectors."""
        return self._is_enabled and len(self._peers) > MAX_DIRECT_PEERS

    @property
    def reflectors(self) -> dict[str, list[str]]:
        """Names of the chosen reflectors by data centre."""
        return self._selector.chosen

    def next_message_number(self) -> int:
        """Return the number of this instance's next message."""
        self._last_message_number += 1
        return self._last_message_number

    def tick(self, now: float) -> bool:
        """Update the choice of reflectors; return whether a new one was chosen.

        It is called every half second, in a small fleet every second.
        """
        self._forwarding_queue.tick(now)
        self._duplicates.retain_senders(self._peers.names)
        if not self.uses_reflectors:
            # Reflectors get no messages now, so a missing echo must not count against them.
            self._selector = ReflectorSelector(self._data_centre)
            return False
        self._selector.record_echo(self._name, now)
        own = ReflectorCandidate(self._name, self._data_centre, self._announced_size, 0.0)
        has_new_reflector = self._selector.choose(
            [own, *self._peers.reflector_candidates(now)], now
        )
        if has_new_reflector:
            eliot.log_message(
                message_type="peers: chosen reflectors changed",
                chosen=self._selector.chosen,
                alive=len(self._peers) + 1,
            )
        return has_new_reflector

    def send(
        self,
        message: Message,
        data_centres: Collection[str] | None = None,
        *,
        legacy_message: Message | None = None,
        is_urgent: bool = True,
        reflectors_per_data_centre: int = 2,
    ) -> None:
        """Send a message to the peers of some or all data centres, mostly through reflectors.

        Args:
            message: The message.
            data_centres: Receiving data centres; None for all.
            legacy_message: Message for peers of earlier builds, which accept no bundles; None to
                send them nothing.
            is_urgent: Whether reflectors forward the message after a shorter wait for further
                messages.
            reflectors_per_data_centre: Number of reflectors in each data centre that get the
                message.
        """
        receiving = self._known_data_centres() if data_centres is None else set(data_centres)
        data = encode(message)
        now = trio.current_time()
        item = self._bundle_item(data, is_urgent)
        reflector_addresses: list[str] = []
        direct_addresses: list[str] = []
        for data_centre in receiving:
            names = self._selector.chosen.get(data_centre, [])[:reflectors_per_data_centre]
            if not names:
                direct_addresses += self._peers.addresses_with_bundle_support(data_centre)
            for name in names:
                if name == self._name:
                    self._queue_item(item, now)
                    continue
                address = self._peers.address(name)
                if address is not None:
                    reflector_addresses.append(address)
        if reflector_addresses:
            self._socket.send(Bundle(self._name, True, [item]), reflector_addresses)
        self._socket.send_bytes(data, direct_addresses)
        if legacy_message is not None:
            self._socket.send(
                legacy_message, self._peers.addresses_without_bundle_support(receiving)
            )

    def send_directly(self, messages: Iterable[Message], addresses: Collection[str]) -> None:
        """Send messages directly to some peers, in few datagrams to those that accept bundles."""
        accepting = (
            set(self._peers.addresses_with_bundle_support()) if self.uses_reflectors else set()
        )
        bundled = [address for address in addresses if address in accepting]
        unbundled = [address for address in addresses if address not in accepting]
        outgoing = list(messages)
        if bundled:
            items = [self._bundle_item(encode(message), False) for message in outgoing]
            for part in split_items(items):
                self._socket.send(Bundle(self._name, False, part), bundled)
        for message in outgoing:
            self._socket.send(message, unbundled)

    def record_echo(self, reflector: str, now: float) -> None:
        """Record that a reflector returned a message of this instance."""
        self._selector.record_echo(reflector, now)

    def accept_item(self, item: BundleItem, forward: bool, now: float) -> bool:
        """Accept an item of a bundle and return whether it was not received before."""
        if forward:
            self._queue_item(item, now)
        return self._duplicates.record_if_new(item.origin, item.incarnation, item.number)

    async def run(self) -> None:
        """Forward queued items in bundles when they are due."""
        while True:
            with trio.move_on_at(self._forwarding_queue.due_at):
                await self._due_time_changed.wait()
            self._due_time_changed = trio.Event()
            now = trio.current_time()
            if now >= self._forwarding_queue.due_at:
                addresses = self._peers.addresses_with_bundle_support(self._data_centre)
                for bundle in self._forwarding_queue.take_bundles(now):
                    self._socket.send(bundle, addresses)

    def _queue_item(self, item: BundleItem, now: float) -> None:
        dropped_before = self._forwarding_queue.dropped_count
        if self._forwarding_queue.add(item, now):
            self._due_time_changed.set()
        if self._forwarding_queue.dropped_count > dropped_before:
            self._metrics.count_peer_message("not_passed_on")

    def _known_data_centres(self) -> set[str]:
        return {self._data_centre, *self._peers.addresses_by_data_centre()}

    def _bundle_item(self, data: bytes, urgent: bool) -> BundleItem:
        return BundleItem(
            self._name, self._incarnation, self.next_message_number(), 0, urgent, data
        )
