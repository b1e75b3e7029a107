"""Opens tunnels to endpoints through peers."""

import random
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, TypeVar

import eliot
import h11
import trio

from cleatlink.core.address import parse_address
from cleatlink.core.errors import CleatlinkError
from cleatlink.core.routes import RoutedEndpoint
from cleatlink.relay.endpoints.streams import EndpointStream
from cleatlink.relay.sockets import connect
from cleatlink.relay.tasks import run_watched
from cleatlink.relay.tunnels.channel import TunnelChannel
from cleatlink.relay.tunnels.messages import TunnelRequest, TunnelStatus
from cleatlink.routing.tunnel_peers import TunnelPeer, TunnelPeerChoice, order_tunnel_peers

__all__ = ["PeerFailure", "TunnelClient", "TunnelFailedError", "TunnelStream"]

# Most peers that are asked to connect to one endpoint.
_MAX_PEERS = 4
# Number of peers that could not connect to an endpoint after which no further one is asked: a
# single one may be cut off without knowing it.
_MAX_EVIDENCE = 2
# Time after which the next peer is asked as well, in seconds: a peer that reaches the endpoint
# answers after two round trips.
_NEXT_PEER_DELAY_S = 0.04
# Time for which a peer that did not answer is asked last, in seconds.
_UNRESPONSIVE_S = 1.0
# The same for a peer that has no path to the endpoint either.
_WITHOUT_PATH_S = 0.5


class PeerFailure(Enum):
    """Why no peer opened a tunnel."""

    # There was no peer to ask.
    NO_PEER = "no peer"
    # No peer answered, or none had a path to the endpoint.
    NO_EVIDENCE = "no evidence"
    # The endpoint refused the connections of peers.
    REFUSED = "refused"
    # The endpoint did not respond to peers.
    NO_RESPONSE = "no response"


class TunnelFailedError(CleatlinkError):
    """No peer opened a tunnel."""

    def __init__(self, reason: PeerFailure) -> None:
        super().__init__(reason.value)
        self.reason = reason


# Statuses that say something about the endpoint, and not only about the peer.
_FAILURES = {
    TunnelStatus.REFUSED: PeerFailure.REFUSED,
    TunnelStatus.NO_RESPONSE: PeerFailure.NO_RESPONSE,
}
_Key = TypeVar("_Key")


class _Attempt(NamedTuple):
    """What all requests for one tunnel have in common."""

    endpoint: RoutedEndpoint
    ack_timeout_s: float
    ends_at: float


class _PeerPath(NamedTuple):
    """The path from a peer to an endpoint."""

    peer: str
    endpoint: str


class TunnelStream(EndpointStream):
    """A stream to an endpoint through a peer."""

    def __init__(
        self, channel: TunnelChannel, endpoint: str, peer: str, client: "TunnelClient"
    ) -> None:
        self._channel = channel
        self._endpoint = endpoint
        self._client = client
        self._is_closed = False
        self.peer = peer

    @property
    def is_direct(self) -> bool:
        """Never: the peer holds the connection to the endpoint."""
        return False

    @property
    def is_open_without_input(self) -> bool:
        """Whether the tunnel is open and still needed, with nothing waiting to be read."""
        is_needed = self._client.needs_tunnel(self._endpoint, self.peer)
        return is_needed and self._channel.is_open_without_input

    async def send_all(self, data: bytes) -> None:
        """Send data through the tunnel."""
        await self._channel.send_all(data)

    async def receive_some(self) -> bytes:
        """Receive data; empty at the end of the endpoint's connection."""
        return await self._channel.receive_some()

    async def wait_readable(self) -> None:
        """Wait until data or the end can be read, or until this side closes the tunnel."""
        await self._channel.wait_readable()

    def count_unacknowledged(self) -> int | None:
        """Return how many sent bytes the peer has not acknowledged; None if unknown."""
        return self._channel.count_unacknowledged()

    def close(self) -> None:
        """Close the tunnel; the peer then closes its connection to the endpoint."""
        if not self._is_closed:
            self._is_closed = True
            self._client.note_closed(self.peer)
        self._channel.close()


class TunnelClient:
    """Asks peers to connect to endpoints on behalf of this instance."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        *,
        local_host: str,
        list_peers: Callable[[], list[TunnelPeer]],
        is_path_lost: Callable[[str], bool],
        rng: random.Random,
    ) -> None:
        """Create a client without tunnels.

        Args:
            name: Name of this instance.
            data_centre: Data centre of this instance.
            local_host: IP address from which peers expect this instance.
            list_peers: Returns the live peers that carry tunnels and are not leaving.
            is_path_lost: Returns whether this instance has no path to an endpoint's incarnation.
            rng: Spreads tunnels over equally good peers.
        """
        self._name = name
        self._data_centre = data_centre
        self._local_host = local_host
        self._list_peers = list_peers
        self._is_path_lost = is_path_lost
        self._rng = rng
        self._open_tunnels: Counter[str] = Counter()
        # Peers that did not answer in time, and until when they are asked last.
        self._unresponsive_until: dict[str, float] = {}
        # The same for peers without a path to an endpoint.
        self._without_path_until: dict[_PeerPath, float] = {}

    @property
    def has_peers(self) -> bool:
        """Whether there is any peer to ask."""
        return bool(self._list_peers())

    def needs_tunnel(self, endpoint: str, peer: str) -> bool:
        """Check whether a tunnel is to be used again: its path is lost and its peer not leaving."""
        return self._is_path_lost(endpoint) and any(
            item.name == peer for item in self._list_peers()
        )

    def note_closed(self, peer: str) -> None:
        """Record that a tunnel through a peer was closed."""
        self._open_tunnels[peer] -= 1
        self._open_tunnels += Counter()

    async def open(
        self, endpoint: RoutedEndpoint, ack_timeout_s: float, timeout_s: float
    ) -> TunnelStream:
        """Open a tunnel to an endpoint through the first peer that reaches it.

        Raises:
            TunnelFailedError: No peer reached the endpoint in time.
        """
        attempt = _Attempt(endpoint, ack_timeout_s, trio.current_time() + timeout_s)
        race = _PeerRace(self, attempt, self._order_peers(endpoint)[:_MAX_PEERS])
        return await race.run()

    def _order_peers(self, endpoint: RoutedEndpoint) -> list[TunnelPeer]:
        now = trio.current_time()
        self._unresponsive_until = _remove_past(self._unresponsive_until, now)
        self._without_path_until = _remove_past(self._without_path_until, now)
        choice = TunnelPeerChoice(
            self._data_centre,
            endpoint,
            self._open_tunnels,
            set(self._unresponsive_until),
            {path.peer for path in self._without_path_until if path.endpoint == endpoint.name},
        )
        return order_tunnel_peers(self._list_peers(), choice, self._rng)

    async def ask_peer(self, peer: TunnelPeer, attempt: _Attempt) -> TunnelStream | TunnelStatus:
        """Ask one peer; return the tunnel, or the status with which the peer refused it."""
        try:
            with trio.fail_at(attempt.ends_at):
                return await self._ask_peer(peer, attempt)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError) as error:
            self.note_unresponsive(peer)
            eliot.log_message(
                message_type="tunnels: a peer did not answer",
                peer=peer.name,
                endpoint=attempt.endpoint.name,
                error=repr(error),
            )
            return TunnelStatus.UNAVAILABLE

    def note_unresponsive(self, peer: TunnelPeer) -> None:
        """Record that a peer did not answer in time; it is asked last for a while."""
        self._unresponsive_until[peer.name] = trio.current_time() + _UNRESPONSIVE_S

    async def _ask_peer(self, peer: TunnelPeer, attempt: _Attempt) -> TunnelStream | TunnelStatus:
        address = parse_address(peer.address)
        stream = await connect(
            address.host, address.port, attempt.ack_timeout_s, local_host=self._local_host
        )
        channel = TunnelChannel(stream, h11.CLIENT)
        try:
            endpoint = attempt.endpoint
            left_s = max(0.0, attempt.ends_at - trio.current_time())
            request = TunnelRequest(endpoint.name, endpoint.address, self._name, left_s)
            await channel.send_request(request.headers())
            status = await channel.receive_status()
        except BaseException:
            channel.close()
            raise
        self._unresponsive_until.pop(peer.name, None)
        if status == TunnelStatus.NO_PATH:
            path = _PeerPath(peer.name, endpoint.name)
            self._without_path_until[path] = trio.current_time() + _WITHOUT_PATH_S
        if status != TunnelStatus.OPEN:
            channel.close()
            return _to_status(status)
        self._open_tunnels[peer.name] += 1
        return TunnelStream(channel, endpoint.name, peer.name, self)


def _remove_past(times: dict[_Key, float], now: float) -> dict[_Key, float]:
    """Return the items whose time is not over."""
    return {key: until for key, until in times.items() if now < until}


def _to_status(status: int) -> TunnelStatus:
    """Return a peer's status; a later build may know others."""
    return TunnelStatus(status) if status in set(TunnelStatus) else TunnelStatus.UNAVAILABLE


class _PeerRace:
    """Requests for one tunnel at several peers, each started a little after the one before."""

    def __init__(self, client: TunnelClient, attempt: _Attempt, peers: list[TunnelPeer]) -> None:
        self._client = client
        self._attempt = attempt
        self._peers = peers
        self._winner: TunnelStream | None = None
        self._won = trio.Event()
        self._failures: list[PeerFailure] = []

    async def run(self) -> TunnelStream:
        """Return the first tunnel.

        Raises:
            TunnelFailedError: No peer opened a tunnel.
        """
        try:
            await run_watched(self._ask_all, self._cancel_when_won)
        except BaseException:
            if self._winner is not None:
                self._winner.close()
            raise
        if self._winner is not None:
            return self._winner
        raise TunnelFailedError(self._reason())

    def _reason(self) -> PeerFailure:
        """Return the strongest evidence about the endpoint."""
        for reason in (PeerFailure.REFUSED, PeerFailure.NO_RESPONSE):
            if reason in self._failures:
                return reason
        return PeerFailure.NO_EVIDENCE if self._peers else PeerFailure.NO_PEER

    async def _ask_all(self) -> None:
        async with trio.open_nursery() as nursery:
            for peer in self._peers:
                if len(self._failures) >= _MAX_EVIDENCE:
                    break
                answered = trio.Event()
                nursery.start_soon(self._ask, peer, answered)
                with trio.move_on_after(_NEXT_PEER_DELAY_S):
                    await answered.wait()
                if not answered.is_set():
                    self._client.note_unresponsive(peer)

    async def _cancel_when_won(self, scope: trio.CancelScope) -> None:
        await self._won.wait()
        scope.cancel()

    async def _ask(self, peer: TunnelPeer, answered: trio.Event) -> None:
        result = await self._client.ask_peer(peer, self._attempt)
        answered.set()
        if not isinstance(result, TunnelStream):
            failure = _FAILURES.get(result)
            if failure is not None:
                self._failures.append(failure)
        elif self._winner is None:
            self._winner = result
            self._won.set()
        else:
            result.close()
