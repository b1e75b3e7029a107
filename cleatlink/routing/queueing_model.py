"""Estimates the share of arriving work that a number of servers serves in time.

The model is the standard queue with random arrivals, random service times and a bounded length
(M/M/c/K). The bound is the number of requests that are served within the time that a request
may wait and still be in time. A request that finds the queue full is late or rejected.
"""

from functools import lru_cache

__all__ = ["estimate_in_time_share"]

# Share of late or rejected arrivals that is small enough to ignore.
_NEGLIGIBLE_SHARE = 1e-12


@lru_cache(maxsize=4096)
def estimate_in_time_share(rate: float, service_s: float, servers: int, slack_s: float) -> float:
    """Estimate the share of arrivals that are served in time.

    Args:
        rate: Arrivals a second.
        service_s: Mean service time of one request, in seconds.
        servers: Number of requests that are served at once.
        slack_s: Time for which a request may wait and still be in time, in seconds; negative if
            it can't be in time.
    """
    offered_load = rate * service_s
    if offered_load <= 0:
        return 1.0
    if servers <= 0 or slack_s < 0:
        return 0.0
    lost_share = 1.0
    for busy_servers in range(1, servers + 1):
        lost_share = offered_load * lost_share / (busy_servers + offered_load * lost_share)
    load_per_server = offered_load / servers
    for _ in range(round(slack_s * servers / service_s)):
        # A short service time needs many steps, but then the lost share becomes negligible soon.
        if lost_share < _NEGLIGIBLE_SHARE:
            break
        lost_share = load_per_server * lost_share / (1 + load_per_server * lost_share)
    return 1.0 - lost_share
