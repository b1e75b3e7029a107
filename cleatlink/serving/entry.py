"""The daemon: one entry instance, put together from its parts.

Ownership is explicit: ``start`` runs everything in the nursery it is given,
``stop`` is a planned stop that waits for all work in progress, ``close`` ends
what is left.
"""

import random

import trio

from cleatlink.core.data import Configuration, Fleet, Refusal, Role
from cleatlink.core.errors import EndpointError, ErrorKind
from cleatlink.members import Members, State
from cleatlink.request import RetryBudget
from cleatlink.routing import FleetView
from cleatlink.serving.callers import CallerParts, build_caller_app
from cleatlink.serving.cancels import Canceller
from cleatlink.serving.datagrams import Datagrams
from cleatlink.serving.documents import DocumentStore, watch_platform
from cleatlink.serving.endpoints import HttpEndpointClient
from cleatlink.serving.flight import FlightParts
from cleatlink.serving.http import serve_app
from cleatlink.serving.logs import Log
from cleatlink.serving.metrics import Metrics
from cleatlink.serving.news import News
from cleatlink.serving.peers import PeerParts, Peers
from cleatlink.serving.platform import DocumentKind, HttpPlatform
from cleatlink.serving.settings import Address, Settings

__all__ = ["Entry"]

_DEFAULT_RETRY_SHARE = 0.1
_ASK_PEERS_S = 2.0
_STOP_POLL_S = 0.05


class Entry:
    """One entry instance."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._metrics = Metrics()
        self._view = FleetView()
        self._news = News()
        self._rng = random.Random(settings.seed)
        self._budget = RetryBudget(_DEFAULT_RETRY_SHARE)
        self._client = HttpEndpointClient(settings.connect_timeout_s)
        self._canceller = Canceller(self._client, self._metrics)
        self._store = DocumentStore(self._metrics, self._use_configuration, self._use_fleet)
        self._platform = HttpPlatform(settings.platform) if settings.platform else None
        self._members = Members(settings.name, settings.data_centre, trio.current_time())
        parts = PeerParts(settings, self._view, self._store, self._canceller, self._metrics)
        self._peers = Peers(parts, self._members)
        self._flight_parts: FlightParts | None = None
        self._in_flight = 0
        self._request_count = 0
        self._ready = False
        self._stopping = False
        self._stopped = trio.Event()
        self._polling: set[str] = set()
        self._log = Log("entry")

    @property
    def ready(self) -> bool:
        """Whether this instance takes new work."""
        return self._ready and not self._stopping

    @property
    def in_flight(self) -> int:
        """Requests in progress."""
        return self._in_flight

    async def start(self, nursery: trio.Nursery) -> tuple[Address, Address]:
        """Start everything; give the addresses for callers and for peers."""
        self._canceller.start(nursery)
        app = build_caller_app(self._caller_parts(nursery))
        peer_address = await serve_app(
            nursery, self._peers.build_app(), self._settings.peer_listen, self._stopped.wait
        )
        self._peers.start(nursery, str(peer_address), Datagrams(peer_address))
        nursery.start_soon(self._become_ready, nursery)
        nursery.start_soon(self._poll_always, nursery)
        address = await serve_app(nursery, app, self._settings.listen, self._stopped.wait)
        self._log.say("listens.", callers=str(address), peers=str(peer_address))
        return address, peer_address

    async def stop(self) -> None:
        """Stop as planned: take nothing new, finish everything, then stop listening."""
        self._stopping = True
        self._peers.set_state(State.LEAVING)
        self._log.say("stops when its work is done.", in_flight=self._in_flight)
        while self._in_flight or self._canceller.pending:
            await trio.sleep(_STOP_POLL_S)
        self._peers.set_state(State.LEAVING)
        self._stopped.set()
        self._log.say("has stopped.")

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()
        await self._peers.close()
        if self._platform is not None:
            await self._platform.close()

    def _use_configuration(self, configuration: Configuration) -> None:
        self._view.set_configuration(configuration)
        self._budget.set_share(configuration.limits.retry_share)
        self._flight_parts = FlightParts(
            self._settings.data_centre,
            self._client,
            self._canceller,
            self._view,
            self._news,
            self._metrics,
            self._budget,
            configuration.limits,
            self._rng,
            self._peers.send_note,
            self._peers.drop_note,
            self._settings.prefill_timeout_s,
            self._settings.stall_timeout_s,
        )
        self._news.spread()

    def _use_fleet(self, fleet: Fleet) -> None:
        self._view.set_fleet(fleet)
        self._members.set_instances(fleet.instances, trio.current_time())
        self._news.spread()

    def _caller_parts(self, nursery: trio.Nursery) -> CallerParts:
        return CallerParts(
            configuration=lambda: self._store.adopter.configuration,
            admit=self._admit,
            enter=self._enter,
            leave=self._leave,
            flight_parts=self._get_flight_parts,
            peers=self._peers,
            metrics=self._metrics,
            nursery=nursery,
            describe=self._describe,
        )

    def _get_flight_parts(self) -> FlightParts:
        assert self._flight_parts is not None, "requests are admitted only when ready"
        return self._flight_parts

    def _admit(self) -> Refusal | None:
        if self._stopping:
            return Refusal(ErrorKind.STOPPING, "this instance is stopping")
        if not self._ready or self._flight_parts is None:
            return Refusal(ErrorKind.NOT_READY, "this instance is starting")
        if self._in_flight >= self._flight_parts.limits.requests_in_flight:
            return Refusal(ErrorKind.BUSY, "too many requests in progress")
        return None

    def _enter(self) -> str:
        """Count a request in and name it; names are unique over all instances."""
        self._in_flight += 1
        self._request_count += 1
        self._budget.earn()
        self._metrics.set_in_flight(self._in_flight)
        settings = self._settings
        return f"{settings.name}-{settings.incarnation:x}-{self._request_count:x}"

    def _leave(self) -> None:
        self._in_flight -= 1
        self._metrics.set_in_flight(self._in_flight)

    async def _become_ready(self, nursery: trio.Nursery) -> None:
        """Ask platform and peers, as far as they can be reached, then be ready.

        A stale platform must not bring an old configuration back: the peers
        have the one in force.
        """
        await self._ask_platform(nursery)
        await self._ask_peers()
        while not self._store.complete:
            await trio.sleep(_STOP_POLL_S)
            if not self._store.complete:
                await self._ask_peers()
        await self._poll_once(nursery)
        self._ready = True
        self._peers.set_state(State.READY)
        self._log.say("is ready.", revision=self._store.adopter.revision)

    async def _ask_platform(self, nursery: trio.Nursery) -> None:
        if self._platform is None:
            return
        for kind in DocumentKind:
            asked = trio.Event()
            nursery.start_soon(watch_platform, self._platform, kind, self._store, asked)
            await asked.wait()

    async def _ask_peers(self) -> None:
        """Ask every known peer for its documents, all at once."""
        addresses = {peer.address for peer in self._members.peers(trio.current_time())}
        addresses |= {str(address) for address in self._settings.peers}
        with trio.move_on_after(_ASK_PEERS_S):
            async with trio.open_nursery() as nursery:
                for address in addresses:
                    nursery.start_soon(self._peers.fetch_documents, address)

    async def _poll_always(self, nursery: trio.Nursery) -> None:
        while True:
            nursery.start_soon(self._poll_once, nursery)
            await trio.sleep(self._settings.poll_s)

    async def _poll_once(self, nursery: trio.Nursery) -> None:
        """Ask every endpoint for its report; one that still owes one is left out."""
        configuration = self._store.adopter.configuration
        if configuration is None:
            return
        async with trio.open_nursery() as polls:
            for endpoint in self._view.fleet.endpoints:
                pool = configuration.pools.get(endpoint.pool)
                if pool is not None and endpoint.name not in self._polling:
                    polls.start_soon(self._poll, endpoint.name, pool.role)

    async def _poll(self, name: str, role: Role) -> None:
        self._polling.add(name)
        try:
            endpoint = self._view.endpoint(name)
            if endpoint is not None:
                report = await self._client.report(endpoint, role)
                self._view.report(report, trio.current_time())
                self._news.spread()
        except EndpointError:
            # Its last report grows old, and with it the endpoint unusable.
            pass
        finally:
            self._polling.discard(name)

    def _describe(self) -> dict[str, object]:
        now = trio.current_time()
        published = self._store.adopter.published
        return {
            **self._peers.describe(),
            "ready": self.ready,
            "revision": published.revision if published else 0,
            "in_flight": self._in_flight,
            "cancels_pending": self._canceller.pending,
            "endpoints": {
                endpoint.name: "usable" if self._view.usable(endpoint, now) else "not usable"
                for endpoint in self._view.fleet.endpoints
            },
            "refusals": self._metrics.refusals(),
        }
