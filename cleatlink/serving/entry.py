"""One entry instance, put together from its parts.

What reaches other processes is passed in, so that the same code runs over
sockets and in a test's virtual time. ``start`` runs everything in the nursery
it is given; ``stop`` is a planned stop that waits for all work in progress.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

import trio

from cleatlink.core.data import Configuration, Fleet, Refusal, Role
from cleatlink.core.errors import EndpointError, ErrorKind
from cleatlink.members import MembershipView, ReportedState
from cleatlink.request import RetryBudget
from cleatlink.routing import FleetView, WaitQueue, place_request
from cleatlink.serving.callers import CallerApp, CallerParts, build_caller_app
from cleatlink.serving.cancels import Canceller
from cleatlink.serving.documents import DocumentStore, watch_platform
from cleatlink.serving.endpoints import EndpointClient
from cleatlink.serving.flight import FlightParts, PlaceRequest
from cleatlink.serving.logs import Log
from cleatlink.serving.metrics import Metrics
from cleatlink.serving.news import News
from cleatlink.serving.peer_link import PeerLink
from cleatlink.serving.peers import PeerParts, Peers
from cleatlink.serving.platform import DocumentKind, Platform
from cleatlink.serving.settings import Settings

__all__ = ["Entry", "Outside"]

_DEFAULT_RETRY_SHARE = 0.1
_ASK_PEERS_S = 2.0
_STOP_POLL_S = 0.05


class Outside(NamedTuple):
    """What an instance reaches outside itself.

    Attributes:
        client: Speaks to endpoints.
        platform: The platform's service; None runs without.
        link: Moves messages to and from peers.
        wall_time: Gives the time since 1970 in seconds.
        place: Decides where a model request goes.
    """

    client: EndpointClient
    platform: Platform | None
    link: PeerLink
    wall_time: Callable[[], float]
    place: PlaceRequest = place_request


class Entry:
    """One entry instance."""

    def __init__(self, settings: Settings, outside: Outside) -> None:
        self._settings = settings
        self._client = outside.client
        self._platform = outside.platform
        self._place = outside.place
        self._metrics = Metrics()
        self._view = FleetView()
        self._news = News()
        self._room = WaitQueue()
        self._rng = random.Random(settings.seed)
        self._budget = RetryBudget(_DEFAULT_RETRY_SHARE)
        self._canceller = Canceller(self._client, self._metrics)
        self._store = DocumentStore(self._metrics, self._use_configuration, self._use_fleet)
        self._members = MembershipView(settings.name, settings.data_centre, trio.current_time())
        parts = PeerParts(
            settings,
            outside.link,
            self._view,
            self._store,
            self._canceller,
            self._metrics,
            outside.wall_time,
        )
        self._peers = Peers(parts, self._members)
        self._flight_parts: FlightParts | None = None
        self._in_flight = 0
        self._request_count = 0
        self._ready = False
        self._stopping = False
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

    @property
    def revision(self) -> int:
        """Configuration revision in force."""
        return self._store.adopter.revision

    @property
    def view(self) -> FleetView:
        """What this instance believes of the fleet."""
        return self._view

    @property
    def peers(self) -> Peers:
        """This instance among the others."""
        return self._peers

    def start(self, nursery: trio.Nursery) -> CallerApp:
        """Start everything in a nursery; give the app that callers reach."""
        self._canceller.start(nursery)
        self._peers.start(nursery)
        nursery.start_soon(self._become_ready, nursery)
        nursery.start_soon(self._poll_always, nursery)
        return build_caller_app(self._caller_parts(nursery))

    async def stop(self) -> None:
        """Stop as planned: take nothing new and finish everything."""
        self._stopping = True
        self._peers.set_state(ReportedState.LEAVING)
        self._log.say("stops when its work is done.", in_flight=self._in_flight)
        while self._in_flight or self._canceller.pending:
            await trio.sleep(_STOP_POLL_S)
        self._peers.set_state(ReportedState.LEAVING)
        self._log.say("has stopped.")

    def _use_configuration(self, configuration: Configuration) -> None:
        self._view.set_configuration(configuration)
        self._budget.set_share(configuration.limits.retry_share)
        self._flight_parts = FlightParts(
            self._settings.data_centre,
            self._client,
            self._canceller,
            self._view,
            self._news,
            self._room,
            self._change,
            self._metrics,
            self._budget,
            configuration.limits,
            self._rng,
            self._peers.send_note,
            self._peers.drop_note,
            self._settings.prefill_timeout_s,
            self._settings.stall_timeout_s,
            self._place,
        )
        self._change()

    def _change(self) -> None:
        """Let those who wait try again."""
        self._news.spread()
        self._room.place_waiting()

    def _use_fleet(self, fleet: Fleet) -> None:
        self._view.update_fleet(fleet)
        self._members.set_instances(fleet.instances, trio.current_time())
        self._change()

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
        self._budget.count_request()
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
        await self._ask_peers(nursery)
        while not self._store.complete:
            await trio.sleep(_STOP_POLL_S)
            if not self._store.complete:
                await self._ask_peers(nursery)
        await self._poll_once()
        self._ready = True
        self._peers.set_state(ReportedState.READY)
        self._log.say("is ready.", revision=self._store.adopter.revision)

    async def _ask_platform(self, nursery: trio.Nursery) -> None:
        if self._platform is None:
            return
        for kind in DocumentKind:
            asked = trio.Event()
            nursery.start_soon(watch_platform, self._platform, kind, self._store, asked)
            await asked.wait()

    async def _ask_peers(self, nursery: trio.Nursery) -> None:
        """Ask every known peer for its documents, all at once; large ones may come later."""
        asked = trio.Event()
        nursery.start_soon(self._fetch_documents, asked)
        with trio.move_on_after(_ASK_PEERS_S):
            await asked.wait()

    async def _fetch_documents(self, asked: trio.Event) -> None:
        async with trio.open_nursery() as nursery:
            for address in self._peers.addresses(trio.current_time()):
                nursery.start_soon(self._peers.fetch_documents, address)
        asked.set()

    async def _poll_always(self, nursery: trio.Nursery) -> None:
        while True:
            nursery.start_soon(self._poll_once)
            await self._client.close_idle()
            await trio.sleep(self._settings.poll_s)

    async def _poll_once(self) -> None:
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
                after = self._view.last_event_number(name)
                report = await self._client.report(endpoint, role, after)
                self._view.add_report(report.load, trio.current_time())
                self._view.apply_cache_events(name, report.cache)
                self._change()
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
            "waiting": len(self._room),
            "cancels_pending": self._canceller.pending,
            "endpoints": {
                endpoint.name: "usable" if self._view.is_usable(endpoint, now) else "not usable"
                for endpoint in self._view.fleet.endpoints
            },
            "refusals": self._metrics.refusals(),
        }
