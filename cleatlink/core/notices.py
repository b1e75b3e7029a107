"""What an endpoint says of itself in the head of an answer, whatever the answer is to."""

from typing import NamedTuple

__all__ = ["NO_NOTICE", "EndpointNotice"]


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
