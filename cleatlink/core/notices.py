"""What an endpoint says of itself in the head of an answer, whatever the answer is to."""

import re
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["NO_NOTICE", "EndpointNotice", "read_rate_per_s", "read_rest_s"]

_SECONDS = re.compile(rb"[0-9]{1,18}(\.[0-9]{1,18})?")
_RATE = re.compile(rb"[0-9]{1,18}(\.[0-9]{0,18})?|\.[0-9]{1,18}")
# A field that is nonsense takes an endpoint away for no longer than this.
_MOST_REST_S = 300.0
# Calls a second: an endpoint that takes none at all is asked so rarely whether that still holds.
_LEAST_RATE_PER_S = 0.1
# Calls a second, above what any endpoint takes.
_MOST_RATE_PER_S = 1e6


class EndpointNotice(NamedTuple):
    """What the head of one answer says of its endpoint.

    Attributes:
        leaving: Whether it takes no new work and ends soon.
        rest_s: Seconds for which it wants nothing more from the instance that it answered;
            0 where it asks for none.
        rate_per_s: Calls a second that it takes from all instances together; None where it
            names no such limit that can be read.
        names_rate: Whether it names such a limit, readable or not.
    """

    leaving: bool = False
    rest_s: float = 0.0
    rate_per_s: float | None = None
    names_rate: bool = False


NO_NOTICE = EndpointNotice()


def read_rest_s(values: Iterable[bytes]) -> float:
    """Read the seconds for which an endpoint wants nothing.

    Args:
        values: Values of all fields that name a time.

    Returns:
        The longest of them, within a bound; 0 where none is a number of seconds, such as a date
        or a negative number.
    """
    times = (float(value) for value in values if _SECONDS.fullmatch(value.strip()))
    return min(_MOST_REST_S, max(times, default=0.0))


def read_rate_per_s(values: Iterable[bytes]) -> float | None:
    """Read the calls a second that an endpoint takes from all instances together.

    Args:
        values: Values of all fields that name a rate.

    Returns:
        The lowest of them, within bounds; None where none is a number that is not negative.
    """
    rates = [float(value) for value in values if _RATE.fullmatch(value.strip())]
    if not rates:
        return None
    return min(_MOST_RATE_PER_S, max(_LEAST_RATE_PER_S, min(rates)))
