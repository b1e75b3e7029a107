"""Brings messages to peers: directly in a small fleet, through reflectors in a large one.

What an instance tells goes to two reflectors of each data centre that needs it; each passes it
on to the instances of its own data centre. Peers of builds that take no bundles are told directly,
and so is a data centre in which no reflector is heard.
"""

from collections.abc import Collection, Iterable

import eliot
import trio

from cleatlink.members.duplicates import Duplicates
from cleatlink.members.reflectors import Candidate, ReflectorChoice
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.datagrams import DatagramSocket
from cleatlink.relay.peers.heard import HeardPeers
from cleatlink.relay.peers.messages import Bundle, BundleItem, Message, encode
from cleatlink.relay.peers.reflection import Reflection, split_items
from cleatlink.relay.settings import RelaySettings
from cleatlink.routing.fleet_sizes import FEW_PEERS
from cleatlink.routing.mechanisms import Mechanism

__all__ = ["Delivery"]


class Delivery:
    """One instance's ways to its peers."""

    def __init__(
        self,
        settings: RelaySettings,
        incarnation: int,
        peers: HeardPeers,
        socket: DatagramSocket,
        metrics: RelayMetrics,
    ) -> None:
        """Prepare.

        Args:
            settings: Of this instance.
            incarnation: Grows with each start of this instance.
            peers: Who is heard.
            socket: Takes datagrams.
            metrics: Counters.
        """
        self._name = settings.name
        self._data_centre = settings.data_centre
        self._incarnation = incarnation
        self._peers = peers
        self._socket = socket
        self._metrics = metrics
        self._is_on = Mechanism.REFLECTORS not in settings.without
        self._size = settings.size if self._is_on else 0.0
        self._choice = ReflectorChoice(settings.data_centre)
        self._reflection = Reflection(settings.name, trio.current_time())
        self._duplicates = Duplicates()
        self._wake = trio.Event()
        self._number = 0

    @property
    def size(self) -> float:
        """What peers are told of this instance's size; 0 if it takes no bundles."""
        return self._size

    @property
    def uses_reflectors(self) -> bool:
        """Whether there are so many peers that some pass on what others tell."""
        return self._is_on and len(self._peers) > FEW_PEERS

    @property
    def chosen(self) -> dict[str, list[str]]:
        """Names of the reflectors by data centre."""
        return self._choice.chosen

    def next_number(self) -> int:
        """Count a message of this instance."""
        self._number += 1
        return self._number

    def tick(self, now: float) -> bool:
        """Choose reflectors anew, each half second; tells whether one is new."""
        self._reflection.tick(now)
        self._duplicates.keep(self._peers.names)
        if not self.uses_reflectors:
            # None is handed anything, so that none could bring it back.
            self._choice = ReflectorChoice(self._data_centre)
            return False
        self._choice.note_echo(self._name, now)
        own = Candidate(self._name, self._data_centre, self._size, 0.0)
        has_new = self._choice.choose([own, *self._peers.candidates(now)], now)
        if has_new:
            eliot.log_message(
                message_type="peers: has other reflectors",
                chosen=self._choice.chosen,
                alive=len(self._peers) + 1,
            )
        return has_new

    def tell(
        self,
        message: Message,
        data_centres: Collection[str] | None = None,
        *,
        earlier: Message | None = None,
        urgent: bool = True,
        copies: int = 2,
    ) -> None:
        """Tell the peers of some data centres, or of all, through reflectors.

        Args:
            message: What is told.
            data_centres: Where; None for all.
            earlier: What peers are told that take no bundles; None for nothing.
            urgent: Whether it is passed on at once.
            copies: To how many reflectors of a data centre it is handed.
        """
        places = self._places() if data_centres is None else set(data_centres)
        data = encode(message)
        now = trio.current_time()
        item = self._item(data, urgent)
        handed: list[str] = []
        direct: list[str] = []
        for place in places:
            names = self._choice.chosen.get(place, [])[:copies]
            if not names:
                direct += self._peers.bundle_addresses(place)
            for name in names:
                if name == self._name:
                    self._hold(item, now)
                    continue
                address = self._peers.address(name)
                if address is not None:
                    handed.append(address)
        if handed:
            self._socket.send(Bundle(self._name, True, [item]), handed)
        self._socket.send_bytes(data, direct)
        if earlier is not None:
            self._socket.send(earlier, self._peers.earlier_addresses(places))

    def send_directly(self, messages: Iterable[Message], addresses: Collection[str]) -> None:
        """Tell some peers directly: in as few datagrams as hold it if they take bundles."""
        taking = set(self._peers.bundle_addresses()) if self.uses_reflectors else set()
        together = [address for address in addresses if address in taking]
        apart = [address for address in addresses if address not in taking]
        told = list(messages)
        if together:
            items = [self._item(encode(message), False) for message in told]
            for part in split_items(items):
                self._socket.send(Bundle(self._name, False, part), together)
        for message in told:
            self._socket.send(message, apart)

    def note_echo(self, reflector: str, now: float) -> None:
        """Note that a reflector brought back what this instance told."""
        self._choice.note_echo(reflector, now)

    def take(self, item: BundleItem, pass_on: bool, now: float) -> bool:
        """Take an item of a bundle; tells whether it is new here."""
        if pass_on:
            self._hold(item, now)
        return self._duplicates.is_new(item.sender, item.incarnation, item.number)

    async def run(self) -> None:
        """Pass bundles on as they are due."""
        while True:
            with trio.move_on_at(self._reflection.due_at):
                await self._wake.wait()
            self._wake = trio.Event()
            now = trio.current_time()
            if now >= self._reflection.due_at:
                addresses = self._peers.bundle_addresses(self._data_centre)
                for bundle in self._reflection.take(now):
                    self._socket.send(bundle, addresses)

    def _hold(self, item: BundleItem, now: float) -> None:
        dropped = self._reflection.dropped
        if self._reflection.add(item, now):
            self._wake.set()
        if self._reflection.dropped > dropped:
            self._metrics.count_message("not_passed_on")

    def _places(self) -> set[str]:
        return {self._data_centre, *self._peers.addresses_by_data_centre()}

    def _item(self, data: bytes, urgent: bool) -> BundleItem:
        return BundleItem(self._name, self._incarnation, self.next_number(), 0, urgent, data)
