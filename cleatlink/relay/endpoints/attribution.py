"""Decides which request a response on a connection belongs to, without I/O.

An endpoint may send a second copy of a response late, in the place of the next one. What a response
says counts only for the request that it belongs to.
"""

from cleatlink.core.errors import OutcomeUnknownError
from cleatlink.relay.endpoints.protocol import (
    MISDIRECTED_REQUEST,
    OutgoingRequest,
    Protocol,
    ResponseHead,
    ResponseOwner,
)

__all__ = ["ResponseAttribution"]

_HEAD = b"HEAD"


class ResponseAttribution:
    """The last two requests on one connection, and what their responses say about their owner."""

    def __init__(self, protocol: Protocol | None) -> None:
        """Start without requests.

        Args:
            protocol: Tells which request a response names; None if responses name none.
        """
        self._protocol = protocol
        self._request: OutgoingRequest | None = None
        self._previous: OutgoingRequest | None = None
        self._is_unnamed_rejection = False
        self._has_extra_response = False
        self._exchange_number = 0

    @property
    def request_id(self) -> str | None:
        """ID of the caller's request that was sent last; None for one of the relay itself."""
        return None if self._request is None else self._request.request_id

    @property
    def method(self) -> bytes:
        """Method of the request that was sent last."""
        assert self._request is not None, "a request was sent"
        return self._request.method

    @property
    def exchange_number(self) -> int:
        """Number of requests that were sent."""
        return self._exchange_number

    @property
    def allows_reuse(self) -> bool:
        """Whether the connection may carry another request.

        It may not after a rejection that names no request, of which a copy could be taken for the
        next response, nor after an extra response.
        """
        return not (self._is_unnamed_rejection or self._has_extra_response)

    def note_sent(self, request: OutgoingRequest) -> None:
        """Record that a request is sent."""
        self._previous, self._request = self._request, request
        self._exchange_number += 1

    def is_extra_response(self, head: ResponseHead) -> bool:
        """Check whether a response is a second one to the request before the last.

        It can be skipped if its body has the framing of the last request's response.
        """
        protocol, previous = self._protocol, self._previous
        if protocol is None or previous is None or previous.request_id in (None, self.request_id):
            return False
        if (self.method == _HEAD) is not (previous.method == _HEAD):
            return False
        return protocol.owner(head, previous.request_id) is ResponseOwner.THIS_REQUEST

    def note_extra_response(self) -> None:
        """Record that an extra response was skipped."""
        self._has_extra_response = True

    def check(self, head: ResponseHead) -> None:
        """Check that a response belongs to the request that was sent last.

        Raises:
            OutcomeUnknownError: It belongs to another request, or to an unknown one.
        """
        protocol = self._protocol
        if protocol is None:
            return
        self._is_unnamed_rejection = protocol.is_unnamed_rejection(head)
        owner = protocol.owner(head, self.request_id)
        is_stray = owner is ResponseOwner.UNNAMED and not self._may_be_unnamed(head)
        if not is_stray and protocol.is_response_to(head, self.request_id):
            return
        detail = "names no request" if owner is ResponseOwner.UNNAMED else "is another request's"
        raise OutcomeUnknownError(f"the response {detail}, status {head.status}")

    def _may_be_unnamed(self, head: ResponseHead) -> bool:
        """Check whether a response need not name the request that was sent last.

        On a connection that carried another request, an unnamed response may be the rest of that
        one's. A misdirected one is not: it comes from another endpoint.
        """
        if self.request_id is None or self._exchange_number == 1:
            return True
        return head.status == MISDIRECTED_REQUEST and not self._has_extra_response
