"""Streams that were refused for lack of capacity and are expected to be retried.

A refusal names a retry time at which capacity should be free. Until shortly after it, every
instance recognises a retry by the content of its request, and knows when the first attempt was
refused. No capacity is reserved for a retry: it usually misses its target by then, and streams
that can still meet theirs take precedence.
"""

from typing import NamedTuple

from cleatlink.core.data import Role
from cleatlink.core.routes import InboundRequest
from cleatlink.routing.capacity import Capacity
from cleatlink.routing.reservation import Reservation

__all__ = ["ExpectedRetry", "ExpectedRetries"]

# How long after the retry time a retry is still expected, in seconds: later, the caller has gone
# elsewhere.
_RETRY_GRACE_S = 0.5


class ExpectedRetry(NamedTuple):
    """A refused stream that is expected to be retried.

    Attributes:
        refused_at: When it was refused.
        retry_at: When its caller was asked to retry.
        tokens: Memory that it occupies at its end, in tokens.
    """

    refused_at: float
    retry_at: float
    tokens: int


class ExpectedRetries:
    """Refused streams that are expected to be retried.

    Each is kept as a reservation at a name that no endpoint has, so that peers receive it like any
    other reservation.
    """

    def __init__(self, capacity: Capacity) -> None:
        self._capacity = capacity
        # Expected retries that have arrived, until they expire.
        self._arrived: dict[str, Reservation] = {}

    def expect_retry(
        self, inbound: InboundRequest, service: str, tokens: int, retry_at: float, now: float
    ) -> str:
        """Record a refused stream and return the key of its reservation."""
        key = _key(inbound)
        expires_at = retry_at + _RETRY_GRACE_S
        work = Reservation(
            _endpoint_name(service), Role.DECODE, tokens, expires_at, expires_at - now
        )
        self._capacity.reserve(key, work)
        return key

    def match_retry(self, inbound: InboundRequest, now: float) -> ExpectedRetry | None:
        """Match a new stream with the expected retries.

        Returns:
            The expected retry, or None if the stream is no retry, or not the first one.
        """
        key = _key(inbound)
        work = self._capacity.find_reservation(key)
        if work is None or work.ends_at <= now or key in self._arrived:
            return None
        self._arrived[key] = work
        return _expected_retry(work)

    def release_expired(self, now: float) -> list[str]:
        """Release the expired reservations of this instance and return their keys."""
        self._arrived = {key: work for key, work in self._arrived.items() if work.ends_at > now}
        expired = [
            key
            for key, work in self._capacity.own_reservations.items()
            if key.startswith(_KEY_PREFIX) and work.ends_at <= now
        ]
        for key in expired:
            self._capacity.release(key)
        return expired


# Prefix of the reservation keys of expected retries.
_KEY_PREFIX = "back/"


def _key(inbound: InboundRequest) -> str:
    return _KEY_PREFIX + inbound.identity.hex()


def _endpoint_name(service: str) -> str:
    """Return the name that stands for the endpoint of a service's expected retries.

    No real endpoint has this name.
    """
    return f"returns to {service}"


def _expected_retry(work: Reservation) -> ExpectedRetry:
    return ExpectedRetry(work.ends_at - work.duration_s, work.ends_at - _RETRY_GRACE_S, work.tokens)
