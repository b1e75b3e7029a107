"""Makes the workers of a service answer with statuses of rejections, twice, or without end."""

import random
from collections.abc import Iterator
from contextlib import contextmanager

from soak.fleet import SoakFleet
from soak.workers import SoakWorker
from standins.relay import EndlessPart, Fault
from standins.relay.late_copies import LateCopies

__all__ = [
    "answers_sent_twice",
    "bytes_without_end",
    "rejections_sent_twice",
    "statuses_of_rejections",
]

# Number of requests that each worker may mishandle, and the share of them that it mishandles.
_REQUEST_COUNT = 500
_OWN_STATUS_SHARE = 0.4
_REJECTION_SHARE = 0.3
_ENDLESS_SHARE = 0.1
# Share of all answers that are sent a second time.
_COPIED_SHARE = 0.3
# Number of requests among which a worker answers some without end.
_ENDLESS_REQUEST_COUNT = 20
# Statuses that tell a caller that its request has not run.
_OWN_STATUSES = (408, 421, 429, 503)
_MISDIRECTED_STATUS = 421
_REJECTION_STATUSES = (_MISDIRECTED_STATUS, 429, 503)
# Backoff that a status of rejections requests; most request none.
_BACKOFFS_S = (None, None, 1.0)
# Parts that have no end, of answers whose other content is that of usual ones.
_ENDLESS_PARTS = (
    EndlessPart.HEAD,
    EndlessPart.BODY,
    EndlessPart.UNFRAMED_BODY,
    EndlessPart.EVENTS,
    EndlessPart.INTERIM,
    EndlessPart.GARBAGE,
)
# Pause after each event or interim response that is sent without end.
_ENDLESS_PAUSE_S = 0.005


@contextmanager
def statuses_of_rejections(fleet: SoakFleet, service: str, rng: random.Random) -> Iterator[None]:
    """Make workers run many requests and answer with a status of rejections, without its mark.

    Args:
        fleet: The fleet.
        service: The service whose workers answer so.
        rng: Chooses the requests, and the status and the backoff of each worker.
    """
    workers = _find_workers(fleet, service)
    for worker in workers:
        worker.own_status = rng.choice(_OWN_STATUSES)
        worker.requested_backoff_s = rng.choice(_BACKOFFS_S)
        worker.faults += _mix(rng, Fault.OWN_STATUS, _OWN_STATUS_SHARE, _REQUEST_COUNT)
    try:
        yield
    finally:
        for worker in workers:
            worker.faults.clear()
            worker.requested_backoff_s = None


@contextmanager
def rejections_sent_twice(fleet: SoakFleet, service: str, rng: random.Random) -> Iterator[None]:
    """Make workers reject many requests, and reject again when the next request has come in.

    Args:
        fleet: The fleet.
        service: The service whose workers answer so.
        rng: Chooses the requests, the status of each worker, and whether it names the request.
    """
    workers = _find_workers(fleet, service)
    for worker in workers:
        worker.rejections.status = rng.choice(_REJECTION_STATUSES)
        worker.rejections.names_request = rng.random() < 0.5
        worker.faults += _mix(rng, Fault.REPEATED_REJECTION, _REJECTION_SHARE, _REQUEST_COUNT)
    try:
        yield
    finally:
        for worker in workers:
            worker.faults.clear()
            if worker.rejections.status == _MISDIRECTED_STATUS:
                # Instances take it for the status of another worker at this address, until the
                # entry of this one changes.
                worker.slots += 1
                fleet.rewrite_entry(worker)
            worker.rejections.status, worker.rejections.names_request = 503, True


@contextmanager
def bytes_without_end(fleet: SoakFleet, service: str, rng: random.Random) -> Iterator[None]:
    """Make workers answer some requests with bytes that have no end.

    Args:
        fleet: The fleet.
        service: The service whose workers answer so.
        rng: Chooses the requests, and the part of the answer that has no end for each worker.
    """
    workers = _find_workers(fleet, service)
    for worker in workers:
        worker.endless_part = rng.choice(_ENDLESS_PARTS)
        worker.endless.item_interval_s = _ENDLESS_PAUSE_S
        worker.faults += _mix(rng, Fault.ENDLESS, _ENDLESS_SHARE, _ENDLESS_REQUEST_COUNT)
    try:
        yield
    finally:
        for worker in workers:
            worker.faults.clear()


@contextmanager
def answers_sent_twice(fleet: SoakFleet, service: str, rng: random.Random) -> Iterator[None]:
    """Make workers send a share of all their answers again, when the next request has come in.

    Args:
        fleet: The fleet.
        service: The service whose workers answer so.
        rng: Chooses the answers, and for each worker what precedes them.
    """
    workers = _find_workers(fleet, service)
    for worker in workers:
        worker.late_copies = LateCopies(
            lambda _: rng.random() < _COPIED_SHARE, follows_interim=rng.random() < 0.5
        )
    try:
        yield
    finally:
        for worker in workers:
            worker.late_copies = None


def _find_workers(fleet: SoakFleet, service: str) -> list[SoakWorker]:
    return [worker for worker in fleet.active_workers if worker.service == service]


def _mix(rng: random.Random, fault: Fault, share: float, count: int) -> list[Fault | None]:
    """Return how a worker handles its next requests, a share of them with a fault."""
    return [fault if rng.random() < share else None for _ in range(count)]
