"""Rate limits that apply to all instances together, without shared state; no I/O, no clock."""

from cleatlink.limits.bucket import Bucket, RateLimit
from cleatlink.limits.shared import HEARD_S, PeerTotals, SharedLimits

__all__ = ["HEARD_S", "Bucket", "PeerTotals", "RateLimit", "SharedLimits"]
