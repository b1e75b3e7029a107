"""Estimates how much of the work that arrives is served in time by a number of servers.

The model is the textbook's queue with random arrivals, random service times and a bounded
number of waiting places (M/M/c/K): as many may wait as are served within the time for
which a wait is no loss. What finds all of them taken is late or refused.
"""

from functools import lru_cache

__all__ = ["in_time_share"]

# A share of arrivals too small to count.
_NOTHING = 1e-12


@lru_cache(maxsize=4096)
def in_time_share(rate: float, service_s: float, servers: int, slack_s: float) -> float:
    """Estimate the share of arrivals that are served in time.

    Args:
        rate: Arrivals a second.
        service_s: Seconds of service that one of them takes.
        servers: How many are served at once.
        slack_s: Seconds for which one may wait and be in time; negative if it never is.
    """
    work = rate * service_s
    if work <= 0:
        return 1.0
    if servers <= 0 or slack_s < 0:
        return 0.0
    lost = 1.0
    for busy in range(1, servers + 1):
        lost = work * lost / (busy + work * lost)
    load = work / servers
    for _ in range(round(slack_s * servers / service_s)):
        # The shorter the service, the more steps there are, and the sooner nothing is lost.
        if lost < _NOTHING:
            break
        lost = load * lost / (1 + load * lost)
    return 1.0 - lost
