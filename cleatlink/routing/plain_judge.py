"""Assesses plain calls at their arrival, based on the totals of all instances."""

import random
from typing import NamedTuple

from cleatlink.core.data import Role
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.plain_admission import (
    AdmissionQueue,
    ServiceLoad,
    admission_rank,
    admitted_shares,
    measure_service_load,
)
from cleatlink.routing.plain_returns import RetryTiming

__all__ = ["Applicant", "Judgement", "PlainJudge"]


class Applicant(NamedTuple):
    """A plain call that asks for admission.

    Attributes:
        service: Name of its service.
        priority: Its priority; 0 is the most urgent.
        identity: Identifies the caller and its request; empty if no retry of a refused call is
            expected.
        is_retry: Whether the call was sent to an endpoint before.
    """

    service: str
    priority: int
    identity: bytes
    is_retry: bool = False


class Judgement(NamedTuple):
    """Result of assessing a call.

    Attributes:
        rank: Admission rank of the call; a smaller rank is admitted first.
        share: Admitted share of the calls of this rank.
        bearing: Load of the service.
    """

    rank: int
    share: float
    bearing: ServiceLoad


class PlainJudge:
    """Assesses calls and keeps the admission queues; methods take the current time."""

    def __init__(self, capacity: Capacity, rng: random.Random) -> None:
        self._capacity = capacity
        self._rng = rng
        self._queues: dict[str, AdmissionQueue] = {}

    def judge(self, request: Applicant, now: float) -> Judgement:
        """Count a call as demand; return its rank, its admitted share and the service's load."""
        capacity, service = self._capacity, request.service
        retry = RetryTiming.NEW_CALL
        if not request.is_retry and len(capacity.plain_returns):
            retry = capacity.plain_returns.take(request.identity, now)
        rank = admission_rank(
            request.priority,
            retried_in_time=retry is RetryTiming.ON_TIME,
            repeated=request.is_retry or retry is RetryTiming.EARLY,
        )
        capacity.plain.note_arrival(service, rank, now)
        service_load = self.bearing(service, now)
        if service_load.is_free:
            return Judgement(rank, 1.0, service_load)
        capacity.plain.note_nearly_full(now)
        share = admitted_shares(capacity.plain.arrival_rates(service, now), service_load.per_s)[
            rank
        ]
        return Judgement(rank, share, service_load)

    def bearing(self, service: str, now: float) -> ServiceLoad:
        """Return the load of a service."""
        capacity = self._capacity
        endpoints = capacity.candidates(service, Role.PLAIN, now)
        loads = {item.name: capacity.plain.endpoint(item.name, now) for item in endpoints}
        typical_s = {item.name: capacity.plain_s(item, now) for item in endpoints}
        return measure_service_load(endpoints, loads, typical_s)

    def expected(self, assessment: Judgement, service: str, within_s: float, now: float) -> float:
        """Return the expected number of admissions at this instance within ``within_s`` seconds."""
        return self._capacity.plain.own_arrival_rate(service, now) * assessment.share * within_s

    def queue(self, service: str) -> AdmissionQueue:
        """Return this instance's admission queue of a service; create it if it does not exist."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = AdmissionQueue(self._rng.random())
        return queue
