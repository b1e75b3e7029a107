"""Judges plain calls of one instance as they arrive, by the calls of all instances."""

import random
from typing import NamedTuple

from cleatlink.core.data import Role
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.plain_admission import AdmissionQueue, Bearing, find_bearing, rank_of, shares
from cleatlink.routing.plain_returns import Return

__all__ = ["Applicant", "Judgement", "PlainJudge"]


class Applicant(NamedTuple):
    """A plain call that wants to be sent.

    Attributes:
        service: Its service.
        priority: From 0, the most urgent.
        identity: Who asks for what; empty where no refused call is expected back.
        is_retry: Whether it was sent before.
    """

    service: str
    priority: int
    identity: bytes
    is_retry: bool = False


class Judgement(NamedTuple):
    """What a call found.

    Attributes:
        rank: Its rank.
        share: Share of its rank that passes.
        bearing: How its service stands.
    """

    rank: int
    share: float
    bearing: Bearing


class PlainJudge:
    """Judges calls; every method takes the time as an argument."""

    def __init__(self, capacity: Capacity, rng: random.Random) -> None:
        self._capacity = capacity
        self._rng = rng
        self._queues: dict[str, AdmissionQueue] = {}

    def judge(self, applicant: Applicant, now: float) -> Judgement:
        """Count a call as demand, and find out how its service stands."""
        capacity, service = self._capacity, applicant.service
        known = Return.FIRST
        if not applicant.is_retry and len(capacity.plain_returns):
            known = capacity.plain_returns.take(applicant.identity, now)
        rank = rank_of(
            applicant.priority,
            has_waited=known is Return.IN_TIME,
            repeats=applicant.is_retry or known is Return.EARLY,
        )
        capacity.plain.note_arrival(service, rank, now)
        bearing = self.bearing(service, now)
        if bearing.is_free:
            return Judgement(rank, 1.0, bearing)
        capacity.plain.note_busy(now)
        share = shares(capacity.plain.demand(service, now), bearing.per_s)[rank]
        return Judgement(rank, share, bearing)

    def bearing(self, service: str, now: float) -> Bearing:
        """Give how a service stands."""
        capacity = self._capacity
        endpoints = capacity.candidates(service, Role.PLAIN, now)
        loads = {item.name: capacity.plain.endpoint(item.name, now) for item in endpoints}
        usual_s = {item.name: capacity.plain_s(item, now) for item in endpoints}
        return find_bearing(endpoints, loads, usual_s)

    def expected(self, judgement: Judgement, service: str, within_s: float, now: float) -> float:
        """Give how many calls that wait here should pass within some seconds."""
        return self._capacity.plain.own_rate(service, now) * judgement.share * within_s

    def queue(self, service: str) -> AdmissionQueue:
        """Give the calls on a service that wait here."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = AdmissionQueue(self._rng.random())
        return queue
