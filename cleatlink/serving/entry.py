"""One entry instance, composed of its parts.

The objects that communicate with other processes are passed in, so that the same
code runs on sockets and on virtual time in tests. ``start`` starts all tasks in a given
nursery; ``stop`` is a planned stop that waits for all work in progress.
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
from cleatlink.serving.caller_app import CallerApp, CallerComponents, build_caller_app
from cleatlink.serving.canceller import Canceller
from cleatlink.serving.change_notifier import ChangeNotifier
from cleatlink.serving.document_store import DocumentStore, watch_platform
from cleatlink.serving.endpoints import EndpointClient
from cleatlink.serving.logs import Log
from cleatlink.serving.metrics import Metrics
from cleatlink.serving.model_request_driver import DriverComponents, PlaceRequest
from cleatlink.serving.peer_link import PeerLink
from cleatlink.serving.peers import PeerComponents, Peers
from cleatlink.serving.platform import DocumentKind, Platform
from cleatlink.serving.settings import Settings

__all__ = ["Entry", "EntryDependencies"]

# Maximum retries as a fraction of all requests until a configuration is in force.
_DEFAULT_RETRY_SHARE = 0.1
# Maximum wait for the documents of the peers; answers may still arrive afterwards.
_PEER_DOCUMENTS_WAIT_S = 2.0
# Interval between checks whether a start or a planned stop can continue.
_STATE_POLL_INTERVAL_S = 0.05


class EntryDependencies(NamedTuple):
    """Objects through which an instance communicates with other processes, and its policy.

    Attributes:
        client: Client for endpoints.
        platform: Client for the platform's service; None to run without the platform.
        link: Sends messages to peers and receives theirs.
        unix_time_s: Returns the time since 1970 in seconds.
        place: Placement policy: chooses the endpoints of a model request.
    """

    client: EndpointClient
    platform: Platform | None
    link: PeerLink
    unix_time_s: Callable[[], float]
    place: PlaceRequest = place_request


class Entry:
    """One entry instance."""

    def __init__(self, settings: Settings, dependencies: EntryDependencies) -> None:
        self._settings = settings
        self._client = dependencies.client
        self._platform = dependencies.platform
        self._place_request = dependencies.place
        self._metrics = Metrics()
        self._view = FleetView()
        self._view_changed = ChangeNotifier()
        self._wait_queue = WaitQueue()
        self._rng = random.Random(settings.seed)
        self._retry_budget = RetryBudget(_DEFAULT_RETRY_SHARE)
        self._canceller = Canceller(self._client, self._metrics)
        self._document_store = DocumentStore(
            self._metrics, self._use_configuration, self._use_fleet
        )
        self._members = MembershipView(settings.name, settings.data_centre, trio.current_time())
        components = PeerComponents(
            settings,
            dependencies.link,
            self._view,
            self._document_store,
            self._canceller,
            self._metrics,
            dependencies.unix_time_s,
        )
        self._peers = Peers(components, self._members)
        self._driver_components: DriverComponents | None = None
        self._in_flight = 0
        self._request_count = 0
        self._ready = False
        self._stopping = False
        self._endpoints_being_polled: set[str] = set()
        self._log = Log("entry")

    @property
    def ready(self) -> bool:
        """Whether this instance accepts new requests."""
        return self._ready and not self._stopping

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return self._in_flight

    @property
    def revision(self) -> int:
        """Revision of the configuration in force."""
        return self._document_store.active_configuration.revision

    @property
    def view(self) -> FleetView:
        """This instance's view of the fleet."""
        return self._view

    @property
    def peers(self) -> Peers:
        """Communication of this instance with its peers."""
        return self._peers

    def start(self, nursery: trio.Nursery) -> CallerApp:
        """Start all tasks in a nursery and return the HTTP app for callers."""
        self._canceller.start(nursery)
        self._peers.start(nursery)
        nursery.start_soon(self._become_ready, nursery)
        nursery.start_soon(self._poll_periodically, nursery)
        return build_caller_app(self._make_caller_components(nursery))

    async def stop(self) -> None:
        """Perform a planned stop: refuse new requests and finish all work in progress."""
        self._stopping = True
        self._peers.set_state(ReportedState.LEAVING)
        self._log.log_message(
            "begins a planned stop, waits for requests in progress", in_flight=self._in_flight
        )
        while self._in_flight or self._canceller.pending:
            await trio.sleep(_STATE_POLL_INTERVAL_S)
        self._peers.set_state(ReportedState.LEAVING)
        self._log.log_message("completed its planned stop")

    def _use_configuration(self, configuration: Configuration) -> None:
        self._view.set_configuration(configuration)
        self._retry_budget.set_share(configuration.limits.retry_share)
        self._driver_components = DriverComponents(
            self._settings.data_centre,
            self._client,
            self._canceller,
            self._view,
            self._view_changed,
            self._wait_queue,
            self._retry_waiting_requests,
            self._metrics,
            self._retry_budget,
            configuration.limits,
            self._rng,
            self._peers.send_note,
            self._peers.drop_note,
            self._settings.prefill_timeout_s,
            self._settings.stall_timeout_s,
            self._place_request,
        )
        self._retry_waiting_requests()

    def _retry_waiting_requests(self) -> None:
        """Retry the placement of waiting requests after a change of the view."""
        self._view_changed.notify_all()
        self._wait_queue.place_waiting()

    def _use_fleet(self, fleet: Fleet) -> None:
        self._view.update_fleet(fleet)
        self._members.set_instances(fleet.instances, trio.current_time())
        self._retry_waiting_requests()

    def _make_caller_components(self, nursery: trio.Nursery) -> CallerComponents:
        return CallerComponents(
            configuration=lambda: self._document_store.active_configuration.configuration,
            get_admission_refusal=self._check_admission,
            begin_request=self._begin_request,
            end_request=self._end_request,
            get_driver_components=self._get_driver_components,
            peers=self._peers,
            metrics=self._metrics,
            nursery=nursery,
            describe=self._describe,
        )

    def _get_driver_components(self) -> DriverComponents:
        assert self._driver_components is not None, "requests are admitted only when ready"
        return self._driver_components

    def _check_admission(self) -> Refusal | None:
        if self._stopping:
            return Refusal(ErrorKind.STOPPING, "this instance is stopping")
        if not self._ready or self._driver_components is None:
            return Refusal(ErrorKind.NOT_READY, "this instance is starting")
        if self._in_flight >= self._driver_components.limits.requests_in_flight:
            return Refusal(ErrorKind.BUSY, "too many requests in progress")
        return None

    def _begin_request(self) -> str:
        """Count a new request and return its name, which is unique among all instances."""
        self._in_flight += 1
        self._request_count += 1
        self._retry_budget.count_request()
        self._metrics.set_in_flight(self._in_flight)
        settings = self._settings
        return f"{settings.name}-{settings.incarnation:x}-{self._request_count:x}"

    def _end_request(self) -> None:
        self._in_flight -= 1
        self._metrics.set_in_flight(self._in_flight)

    async def _become_ready(self, nursery: trio.Nursery) -> None:
        """Read the documents from the platform and the peers, then accept requests.

        The documents of the peers are read even if the platform answers: its data may be out
        of date, while the peers have the configuration in force.
        """
        await self._watch_documents(nursery)
        await self._request_peer_documents(nursery)
        while not self._document_store.has_both_documents:
            await trio.sleep(_STATE_POLL_INTERVAL_S)
            if not self._document_store.has_both_documents:
                await self._request_peer_documents(nursery)
        await self._poll_endpoints()
        self._ready = True
        self._peers.set_state(ReportedState.READY)
        self._log.log_message(
            "accepts new requests", revision=self._document_store.active_configuration.revision
        )

    async def _watch_documents(self, nursery: trio.Nursery) -> None:
        if self._platform is None:
            return
        for kind in DocumentKind:
            first_read_done = trio.Event()
            nursery.start_soon(
                watch_platform, self._platform, kind, self._document_store, first_read_done
            )
            await first_read_done.wait()

    async def _request_peer_documents(self, nursery: trio.Nursery) -> None:
        """Request the documents of all known peers concurrently.

        Answers that take longer than the wait, such as large documents, are used on arrival.
        """
        all_answered = trio.Event()
        nursery.start_soon(self._fetch_documents, all_answered)
        with trio.move_on_after(_PEER_DOCUMENTS_WAIT_S):
            await all_answered.wait()

    async def _fetch_documents(self, all_answered: trio.Event) -> None:
        async with trio.open_nursery() as nursery:
            for address in self._peers.addresses(trio.current_time()):
                nursery.start_soon(self._peers.fetch_documents, address)
        all_answered.set()

    async def _poll_periodically(self, nursery: trio.Nursery) -> None:
        while True:
            nursery.start_soon(self._poll_endpoints)
            await self._client.close_idle()
            await trio.sleep(self._settings.poll_s)

    async def _poll_endpoints(self) -> None:
        """Request a load report from each endpoint that has no such request in progress."""
        configuration = self._document_store.active_configuration.configuration
        if configuration is None:
            return
        async with trio.open_nursery() as nursery:
            for endpoint in self._view.fleet.endpoints:
                pool = configuration.pools.get(endpoint.pool)
                if pool is not None and endpoint.name not in self._endpoints_being_polled:
                    nursery.start_soon(self._poll_endpoint, endpoint.name, pool.role)

    async def _poll_endpoint(self, name: str, role: Role) -> None:
        self._endpoints_being_polled.add(name)
        try:
            endpoint = self._view.endpoint(name)
            if endpoint is not None:
                last_event = self._view.last_event_number(name)
                report = await self._client.fetch_report(endpoint, role, last_event)
                self._view.add_report(report.load, trio.current_time())
                self._view.apply_cache_events(name, report.cache)
                self._retry_waiting_requests()
        except EndpointError:
            # The endpoint becomes unusable when its last report is too old.
            pass
        finally:
            self._endpoints_being_polled.discard(name)

    def _describe(self) -> dict[str, object]:
        now = trio.current_time()
        published = self._document_store.active_configuration.published
        return {
            **self._peers.describe(),
            "ready": self.ready,
            "revision": published.revision if published else 0,
            "in_flight": self._in_flight,
            "waiting": len(self._wait_queue),
            "cancels_pending": self._canceller.pending,
            "endpoints": {
                endpoint.name: "usable" if self._view.is_usable(endpoint, now) else "not usable"
                for endpoint in self._view.fleet.endpoints
            },
            "refusals": self._metrics.refusal_counts(),
        }
