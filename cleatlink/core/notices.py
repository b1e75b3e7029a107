"""What an endpoint says of itself in the head of an answer, whatever the answer is to."""

import re
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["NO_NOTICE", "EndpointNotice", "read_rest_s"]

_SECONDS = re.compile(rb"[0-9]{1,18}(\.[0-9]{1,18})?")
# A field that is nonsense takes an endpoint away for no longer than this.
_MOST_REST_S = 300.0


class EndpointNotice(NamedTuple):
    """What the head of one answer says of its endpoint.

    Attributes:
        leaving: Whether it takes no new work and ends soon.
        rest_s: Seconds for which it wants nothing more from the instance that it answered;
            0 where it asks for none.
    """

    leaving: bool = False
    rest_s: float = 0.0


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
