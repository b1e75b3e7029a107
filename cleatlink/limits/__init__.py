"""Rate limits that apply to all instances together, without shared state; no I/O, no clock."""

from cleatlink.limits.bucket import Bucket, RateLimit
from cleatlink.limits.shared import PEER_TIMEOUT_S, PeerTotals, SharedLimits

__all__ = ["PEER_TIMEOUT_S", "Bucket", "PeerTotals", "RateLimit", "SharedLimits"]
