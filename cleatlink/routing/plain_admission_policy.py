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
from cleatlink.routing.plain_retries import RetryTiming

__all__ = ["AdmissionRequest", "CallAssessment", "PlainAdmissionPolicy"]


class AdmissionRequest(NamedTuple):
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


class CallAssessment(NamedTuple):
    """Result of assessing a call.

    Attributes:
        rank: Admission rank of the call; a smaller rank is admitted first.
        share: Admitted share of the calls of this rank.
        service_load: Load of the service.
    """

    rank: int
    share: float
    service_load: ServiceLoad


class PlainAdmissionPolicy:
    """Assesses calls and keeps the admission queues; methods take the current time."""

    def __init__(self, capacity: Capacity, rng: random.Random) -> None:
        self._capacity = capacity
        self._rng = rng
        self._queues: dict[str, AdmissionQueue] = {}

    def assess(self, request: AdmissionRequest, now: float) -> CallAssessment:
        """Count a call as demand; return its rank, its admitted share and the service's load."""
        capacity, service = self._capacity, request.service
        retry = RetryTiming.NEW_CALL
        if not request.is_retry and len(capacity.expected_plain_retries):
            retry = capacity.expected_plain_retries.match_arrival(request.identity, now)
        rank = admission_rank(
            request.priority,
            retried_in_time=retry is RetryTiming.ON_TIME,
            repeated=request.is_retry or retry is RetryTiming.EARLY,
        )
        capacity.plain_load.note_arrival(service, rank, now)
        service_load = self.service_load(service, now)
        if service_load.has_free_capacity:
            return CallAssessment(rank, 1.0, service_load)
        capacity.plain_load.note_nearly_full(now)
        share = admitted_shares(
            capacity.plain_load.arrival_rates(service, now), service_load.sustainable_per_s
        )[rank]
        if share < 1.0:
            # The service may only seem full because this instance is late.
            capacity.own_delay.note_doubt(now)
        return CallAssessment(rank, share, service_load)

    def service_load(self, service: str, now: float) -> ServiceLoad:
        """Return the load of a service."""
        capacity = self._capacity
        endpoints = capacity.candidates(service, Role.PLAIN, now)
        loads = {item.name: capacity.plain_load.endpoint_load(item.name, now) for item in endpoints}
        typical_s = {item.name: capacity.plain_call_s(item, now) for item in endpoints}
        return measure_service_load(endpoints, loads, typical_s)

    def expected_admissions(
        self, assessment: CallAssessment, service: str, within_s: float, now: float
    ) -> float:
        """Return the expected number of admissions at this instance within ``within_s`` seconds."""
        return (
            self._capacity.plain_load.own_arrival_rate(service, now) * assessment.share * within_s
        )

    def queue(self, service: str) -> AdmissionQueue:
        """Return this instance's admission queue of a service; create it if it does not exist."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = AdmissionQueue(self._rng.random())
        return queue
