"""Tests of the messages between instances: their content, number and size."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import trio

from cleatlink.core.address import Address, parse_address
from cleatlink.core.revisions import NO_REVISION
from cleatlink.organisations import OrganisationLimits
from cleatlink.relay.metrics import RelayMetrics
from cleatlink.relay.peers.advertised_state import AdvertisedState
from cleatlink.relay.peers.endpoint_notice_channel import EndpointNoticeChannel
from cleatlink.relay.peers.group import PeerGroup
from cleatlink.relay.peers.hooks import PeerHooks
from cleatlink.relay.peers.messages import (
    EndpointHint,
    HeartbeatMessage,
    HintKind,
    Member,
    Message,
    Roster,
    WorkItem,
    decode_datagram,
    encode,
)
from cleatlink.relay.peers.shared_quarantine import SharedQuarantine
from cleatlink.relay.settings import RelaySettings
from cleatlink.relay.tasks import Task
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.notices import EndpointNotices
from standins.relay.fleet import free_address

PEER_COUNT = 80


class Listener:
    """A socket that acts as one or more peers and records received messages."""

    def __init__(self) -> None:
        self._socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        self.sizes: dict[type[Message], list[int]] = {HeartbeatMessage: [], Roster: []}
        self.rosters: list[Roster] = []
        self.address = ""

    async def start(self, nursery: trio.Nursery) -> None:
        await self._socket.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        nursery.start_soon(self._receive)

    def close(self) -> None:
        self._socket.close()

    async def send(self, group: Address, message: Message) -> None:
        await self._socket.sendto(encode(message), (group.host, group.port))

    async def _receive(self) -> None:
        while True:
            data, _ = await self._socket.recvfrom(65_536)
            message = decode_datagram(data)
            assert message is not None
            self.sizes.setdefault(type(message), []).append(len(data))
            if isinstance(message, Roster):
                self.rosters.append(message)


async def close_on_exit(listener: Listener) -> None:
    try:
        await trio.sleep_forever()
    finally:
        listener.close()


async def open_listener(nursery: trio.Nursery) -> Listener:
    """Start a listener that is closed when the nursery ends."""
    listener = Listener()
    await listener.start(nursery)
    nursery.start_soon(close_on_exit, listener)
    return listener


def heartbeat(
    name: str, address: str, *, leaving: bool = False, members: int = 1, data_centre: str = "a"
) -> HeartbeatMessage:
    return HeartbeatMessage(name, 1, data_centre, address, leaving, 0, 0, [], 0, {}, "", members)


@asynccontextmanager
async def open_group(nursery: trio.Nursery, name: str, *peers: str) -> AsyncIterator[PeerGroup]:
    """Run a peer group without the rest of an instance."""
    settings = RelaySettings(
        name=name,
        data_centre="a",
        listen=free_address(),
        ready_listen=free_address(),
        peer_listen=free_address(),
        peers=tuple(parse_address(peer) for peer in peers),
        store=free_address(),
    )
    hooks = PeerHooks(
        lambda: AdvertisedState(False, 0, NO_REVISION),
        lambda: None,
        lambda snapshot: None,
        lambda: None,
        lambda work: None,
        lambda incarnation: None,
        lambda update: None,
    )
    limits = OrganisationLimits(settings.limit_tolerance, 0.0)
    group = PeerGroup(
        settings,
        1,
        Capacity(),
        limits,
        quarantine=SharedQuarantine(settings.name, random.Random(1)),
        notices=EndpointNoticeChannel(settings.name, EndpointNotices(), random.Random(1)),
        metrics=RelayMetrics(),
        hooks=hooks,
    )

    def supervise(task: Task) -> None:
        nursery.start_soon(task)

    group.start(supervise, nursery.start_soon)
    try:
        yield group
    finally:
        group.close()


async def test_heartbeats_and_rosters_stay_small_with_80_peers() -> None:
    async with trio.open_nursery() as nursery:
        listener = await open_listener(nursery)
        async with open_group(nursery, "front-data-centre-1", listener.address) as group:
            for number in range(PEER_COUNT):
                name = f"front-data-centre-{number + 2}"
                await listener.send(group.listen, heartbeat(name, listener.address))
            await trio.sleep(2.2)
            assert len(group.leader_election_input().votes) == PEER_COUNT
            assert max(listener.sizes[HeartbeatMessage]) < 150
            # Each new peer gets a roster, and each heartbeat sends one to 3 more peers.
            assert PEER_COUNT <= len(listener.rosters) <= PEER_COUNT + 3 * 3
            complete = {member.name for member in listener.rosters[PEER_COUNT - 1].members}
            assert len(complete) == PEER_COUNT + 1
            # Periodic rosters stay small, and together list many members.
            periodic = listener.rosters[PEER_COUNT:]
            assert len(periodic) >= 3
            assert max(len(roster.members) for roster in periodic) <= 24
            assert len({member.name for roster in periodic for member in roster.members}) > 24
            nursery.cancel_scope.cancel()


async def test_heartbeat_signals_a_work_change_only_if_the_sender_has_or_had_work() -> None:
    async with trio.open_nursery() as nursery:
        listener = await open_listener(nursery)
        async with open_group(nursery, "n1", listener.address) as group:
            work_changes: list[float] = []
            group._hooks = group._hooks._replace(
                on_work_change=lambda: work_changes.append(trio.current_time())
            )
            idle_heartbeat = heartbeat("n2", listener.address)
            work = WorkItem("k", "e1", "decode", 100, 5.0, 5.0, 10)
            for message in (
                idle_heartbeat,
                idle_heartbeat,
                msgspec.structs.replace(idle_heartbeat, work=[work]),
                idle_heartbeat,
                idle_heartbeat,
            ):
                await listener.send(group.listen, message)
                await trio.sleep(0.05)
            assert len(work_changes) == 2
            assert not group._capacity.has_peer_reservations("n2")
            nursery.cancel_scope.cancel()


async def test_instances_that_know_one_peer_discover_all_others() -> None:
    async with trio.open_nursery() as nursery, open_group(nursery, "n0") as first:
        address = str(first.listen)
        async with (
            open_group(nursery, "n1", address) as second,
            open_group(nursery, "n2", address) as third,
        ):
            with trio.fail_after(2.5):
                while not all(
                    len(item.leader_election_input().votes) == 2 for item in (first, second, third)
                ):
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()


async def test_roster_does_not_add_an_instance_again_after_it_left() -> None:
    async with trio.open_nursery() as nursery:
        listener = await open_listener(nursery)
        async with open_group(nursery, "n1") as group:
            for name in ("n2", "n3"):
                await listener.send(group.listen, heartbeat(name, listener.address))
            await listener.send(group.listen, heartbeat("n3", listener.address, leaving=True))
            await listener.send(group.listen, Roster("n2", [Member("n3", ""), Member("n4", "")]))
            await trio.sleep(0.1)
            reports = group.leader_election_input()
            assert (set(reports.known_names), set(reports.departed)) == ({"n4"}, {"n3"})
            await listener.send(group.listen, heartbeat("n3", listener.address))
            await trio.sleep(0.1)
            assert not group.leader_election_input().departed
            nursery.cancel_scope.cancel()


async def test_leader_majority_uses_the_highest_member_count_of_all_peers() -> None:
    async with trio.open_nursery() as nursery:
        listener = await open_listener(nursery)
        async with open_group(nursery, "n1") as group:
            await listener.send(group.listen, heartbeat("n2", listener.address, members=7))
            await listener.send(group.listen, heartbeat("n3", listener.address, members=5))
            await trio.sleep(0.1)
            assert group.leader_election_input().known_count == 7
            nursery.cancel_scope.cancel()


async def test_unreached_endpoint_is_announced_only_within_the_data_centre() -> None:
    async with trio.open_nursery() as nursery:
        local, remote = await open_listener(nursery), await open_listener(nursery)
        async with open_group(nursery, "n1") as group:
            await local.send(group.listen, heartbeat("n2", local.address))
            await remote.send(group.listen, heartbeat("n3", remote.address, data_centre="b"))
            await trio.sleep(0.1)
            for _ in range(5):
                group.announce_hint("e1", HintKind.UNREACHABLE)
            await trio.sleep(0.1)
            assert len(local.sizes[EndpointHint]) == 1
            assert EndpointHint not in remote.sizes
            group.announce_hint("e1", HintKind.SLOW)
            await trio.sleep(0.1)
            assert (len(local.sizes[EndpointHint]), len(remote.sizes[EndpointHint])) == (2, 1)
            nursery.cancel_scope.cancel()
