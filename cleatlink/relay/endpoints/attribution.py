"""Decides which request a response on a connection belongs to, without I/O.

An endpoint may send a second copy of a response late, in the place of the next one. What a response
says counts only for the request that it belongs to.
"""

from enum import StrEnum

from cleatlink.core.errors import OutcomeUnknownError
from cleatlink.relay.endpoints.protocol import (
    MISDIRECTED_REQUEST,
    NamedRequest,
    OutgoingRequest,
    Protocol,
    ResponseHead,
)

__all__ = ["ResponseAttribution", "ResponseOwner"]

_HEAD = b"HEAD"


class ResponseOwner(StrEnum):
    """The request that a response belongs to.

    Attributes:
        THIS_REQUEST: The one that was sent last on the connection.
        PREVIOUS_REQUEST: The one before it. The response is an extra one, and can be skipped: its
            body has the framing of the last request's response.
        OTHER_REQUEST: Another one.
        UNKNOWN: One that can't be told.
    """

    THIS_REQUEST = "this request"
    PREVIOUS_REQUEST = "the previous request"
    OTHER_REQUEST = "another request"
    UNKNOWN = "an unknown request"


class ResponseAttribution:
    """The last two requests on one connection, and the decision whose their responses are.

    Requests of callers have an ID, which responses name. Those of the relay itself have none, and
    neither have the responses to them.
    """

    def __init__(self, protocol: Protocol | None) -> None:
        """Start without requests.

        Args:
            protocol: Tells which request a response names; None if responses name none.
        """
        self._protocol = protocol
        self._request: OutgoingRequest | None = None
        self._previous: OutgoingRequest | None = None
        # The last response, and the one to the request before the last.
        self._head: ResponseHead | None = None
        self._previous_head: ResponseHead | None = None
        self._named = NamedRequest.NONE
        self._owner = ResponseOwner.UNKNOWN
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
    def owner(self) -> ResponseOwner:
        """Owner of the last response."""
        return self._owner

    @property
    def named_request(self) -> NamedRequest:
        """The request that the last response names."""
        return self._named

    @property
    def allows_reuse(self) -> bool:
        """Whether the connection may carry another request.

        It may not after a rejection that names no request, of which a copy could be taken for the
        next response, nor after an extra response.
        """
        return not (self._is_unnamed_rejection or self._has_extra_response)

    def allows_request(self, request_id: str | None) -> bool:
        """Check whether the response to a next request could be told from a copy of the last one.

        Args:
            request_id: ID of the caller's next request; None for one of the relay itself.
        """
        return self._request is None or self.request_id != request_id

    def note_sent(self, request: OutgoingRequest) -> None:
        """Record that a request is sent."""
        self._previous, self._request = self._request, request
        self._previous_head, self._head = self._head, None
        self._exchange_number += 1

    def note_response(self, head: ResponseHead) -> None:
        """Decide which request a response belongs to."""
        protocol = self._protocol
        self._head = head
        if protocol is None:
            self._owner = ResponseOwner.THIS_REQUEST
            return
        named_id = protocol.read_named_id(head)
        if named_id is None:
            self._named = NamedRequest.NONE
            self._is_unnamed_rejection = protocol.reports_not_executed(head)
            self._owner = self._find_owner_of_unnamed(head)
        else:
            is_own = named_id == self.request_id
            self._named = NamedRequest.THIS_REQUEST if is_own else NamedRequest.OTHER_REQUEST
            self._is_unnamed_rejection = False
            self._owner = self._find_owner(named_id)

    def note_extra_response(self) -> None:
        """Record that an extra response was skipped."""
        self._has_extra_response = True

    def check(self) -> None:
        """Check that the last response belongs to the request that was sent last.

        Raises:
            OutcomeUnknownError: It belongs to another request, or to an unknown one.
        """
        if self._owner is not ResponseOwner.THIS_REQUEST:
            status = 0 if self._head is None else self._head.status
            raise OutcomeUnknownError(f"the response belongs to {self._owner}, status {status}")

    def _find_owner(self, named_id: str) -> ResponseOwner:
        """Return the owner of a response that names a request."""
        if named_id == self.request_id:
            return ResponseOwner.THIS_REQUEST
        is_previous = self._previous is not None and self._previous.request_id == named_id
        if is_previous and self._may_skip():
            return ResponseOwner.PREVIOUS_REQUEST
        return ResponseOwner.OTHER_REQUEST

    def _find_owner_of_unnamed(self, head: ResponseHead) -> ResponseOwner:
        """Return the owner of a response that names no request.

        On a new connection nothing else can arrive, and a caller's request may be rejected without
        being named. On a connection that carried another request, the response may be the rest of
        that one's. A misdirected one is not: it comes from another endpoint.
        """
        assert self._protocol is not None, "responses name requests"
        has_copy = self._previous is not None and self._previous.request_id is None
        if self.request_id is None:
            return ResponseOwner.UNKNOWN if has_copy else ResponseOwner.THIS_REQUEST
        is_rejection = self._protocol.reports_not_executed(head)
        is_new = self._previous is None
        is_misdirected = head.status == MISDIRECTED_REQUEST and not self._has_extra_response
        if is_rejection and (is_new or is_misdirected):
            return ResponseOwner.THIS_REQUEST
        if has_copy and not is_rejection and head == self._previous_head and self._may_skip():
            return ResponseOwner.PREVIOUS_REQUEST
        return ResponseOwner.UNKNOWN

    def _may_skip(self) -> bool:
        """Check whether a second response to the previous request can be skipped."""
        assert self._previous is not None, "a request was sent before the last"
        has_same_framing = (self.method == _HEAD) is (self._previous.method == _HEAD)
        return has_same_framing and not self._has_extra_response
