"""Load and shutdown notices that endpoints send in response headers, with any response."""

import re
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["EMPTY_NOTICE", "EndpointNotice", "parse_rate_limit_per_s", "parse_backoff_s"]

_SECONDS = re.compile(rb"[0-9]{1,18}(\.[0-9]{1,18})?")
_RATE = re.compile(rb"[0-9]{1,18}(\.[0-9]{0,18})?|\.[0-9]{1,18}")
# Limits how long an absurdly large header value can exclude an endpoint.
_MAX_BACKOFF_S = 300.0
# In calls per second. An endpoint that announces a limit of 0 still gets calls at this rate, so
# that the instances learn when the limit changes.
_MIN_RATE_PER_S = 0.1
# In calls per second; higher than the rate that any endpoint can serve.
_MAX_RATE_PER_S = 1e6


class EndpointNotice(NamedTuple):
    """Notices about an endpoint in the headers of one of its responses.

    Attributes:
        leaving: Whether the endpoint accepts no new work and shuts down soon.
        backoff_s: Backoff that the endpoint requests from the instance that it responds to,
            in seconds; 0 if it requests none.
        rate_per_s: Limit on calls per second from all instances together; None if the
            endpoint announces no limit, or one that can't be parsed.
        has_rate_limit: Whether the endpoint announces such a limit, valid or not.
    """

    leaving: bool = False
    backoff_s: float = 0.0
    rate_per_s: float | None = None
    has_rate_limit: bool = False


EMPTY_NOTICE = EndpointNotice()


def parse_backoff_s(values: Iterable[bytes]) -> float:
    """Parse the backoff that an endpoint requests, in seconds.

    Args:
        values: Values of all header fields that contain a backoff.

    Returns:
        The longest backoff, limited to a maximum. Values that are not a number of seconds,
        such as a date or a negative number, are ignored; 0 if no value is left.
    """
    times = (float(value) for value in values if _SECONDS.fullmatch(value.strip()))
    return min(_MAX_BACKOFF_S, max(times, default=0.0))


def parse_rate_limit_per_s(values: Iterable[bytes]) -> float | None:
    """Parse the limit on calls per second that an endpoint accepts from all instances together.

    Args:
        values: Values of all header fields that contain a rate limit.

    Returns:
        The lowest limit, clamped to a range; None if no value is a non-negative number.
    """
    rates = [float(value) for value in values if _RATE.fullmatch(value.strip())]
    if not rates:
        return None
    return min(_MAX_RATE_PER_S, max(_MIN_RATE_PER_S, min(rates)))
