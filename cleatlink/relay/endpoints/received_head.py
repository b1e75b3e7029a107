"""The head of a response, with the request that it belongs to."""

from typing import NamedTuple

from cleatlink.relay.endpoints.attribution import ResponseOwner
from cleatlink.relay.endpoints.protocol import NamedRequest, ResponseHead

__all__ = ["ReceivedHead"]


class ReceivedHead(NamedTuple):
    """The head of a response, and the request after which it arrived.

    Attributes:
        head: The head.
        owner: The request that the response belongs to.
        named_request: The request that it names.
        request_id: ID of the caller's request that was sent last; None for one of the relay itself.
        exchange_number: Number of the request on its connection, from 1.
        is_trailer: Whether the headers followed the body of the response.
    """

    head: ResponseHead
    owner: ResponseOwner
    named_request: NamedRequest
    request_id: str | None
    exchange_number: int
    is_trailer: bool = False

    @property
    def is_own(self) -> bool:
        """Whether it belongs to the request that was sent last."""
        return self.owner is ResponseOwner.THIS_REQUEST

    @property
    def is_to_caller(self) -> bool:
        """Whether it names a caller's request; responses to requests of the relay name none."""
        return self.named_request is not NamedRequest.NONE
