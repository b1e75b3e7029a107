"""All error kinds, the response to the caller for each kind, and the exception classes.

An error response must state three things: what happened, whether the request ran, and
whether and when to retry. ``ERROR_RESPONSES`` is the only place that defines them. A kind whose
``ran`` is ``no`` may be used only if no byte of the request can have been sent to an
endpoint, or if the endpoint refused the request.
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "ERROR_RESPONSES",
    "ErrorResponse",
    "CleatlinkError",
    "ConfigurationError",
    "EndpointError",
    "EndpointRefusedError",
    "EndpointTimeoutError",
    "EndpointUnreachableError",
    "ErrorKind",
    "StaleFenceError",
    "ListenError",
    "NOT_RUN_STATUSES",
    "OutcomeUnknownError",
    "PeerError",
    "PeerUnreachableError",
    "PlatformError",
    "RequestError",
    "StreamBrokenError",
]


class ErrorKind(StrEnum):
    """All errors that a caller can receive."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    SLOW_SENDER = "slow_sender"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CLASS = "unknown_class"
    NOT_FOUND = "not_found"
    UNKNOWN_KEY = "unknown_key"
    OVER_LIMIT = "over_limit"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    BUSY = "busy"
    NO_ENDPOINT = "no_endpoint"
    NO_ROOM = "no_room"
    TARGET_MISSED = "target_missed"
    DEADLINE_NOT_RUN = "deadline_not_run"
    DEADLINE_PASSED = "deadline_passed"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_FAILED = "endpoint_failed"
    STREAM_BROKEN = "stream_broken"
    QUARANTINED = "quarantined"
    BUILD_UNKNOWN = "build_unknown"
    BUILD_RESTARTS = "build_restarts"
    BUILD_GONE = "build_gone"
    KEY_MISMATCH = "key_mismatch"
    KEY_UNAVAILABLE = "key_unavailable"
    KEY_OUTCOME_UNKNOWN = "key_outcome_unknown"
    INTERNAL = "internal"


class ErrorResponse(NamedTuple):
    """Response to the caller for one kind of error.

    Attributes:
        status: HTTP status code.
        ran: Whether the request ran: ``no``, ``yes`` or ``unknown``.
        retry_after_s: Seconds after which the caller may retry; None if it must not retry.
    """

    status: int
    ran: str
    retry_after_s: float | None


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, "no", None),
    ErrorKind.TOO_LARGE: ErrorResponse(413, "no", None),
    ErrorKind.SLOW_SENDER: ErrorResponse(408, "no", 1.0),
    ErrorKind.UNKNOWN_MODEL: ErrorResponse(404, "no", None),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, "no", None),
    ErrorKind.UNKNOWN_CLASS: ErrorResponse(400, "no", None),
    ErrorKind.NOT_FOUND: ErrorResponse(404, "no", None),
    ErrorKind.UNKNOWN_KEY: ErrorResponse(401, "no", None),
    ErrorKind.OVER_LIMIT: ErrorResponse(429, "no", 1.0),
    ErrorKind.NOT_READY: ErrorResponse(503, "no", 1.0),
    ErrorKind.STOPPING: ErrorResponse(503, "no", 0.0),
    ErrorKind.BUSY: ErrorResponse(503, "no", 1.0),
    ErrorKind.NO_ENDPOINT: ErrorResponse(503, "no", 2.0),
    ErrorKind.NO_ROOM: ErrorResponse(503, "no", 1.0),
    ErrorKind.TARGET_MISSED: ErrorResponse(503, "no", 1.0),
    ErrorKind.DEADLINE_NOT_RUN: ErrorResponse(504, "no", 1.0),
    ErrorKind.DEADLINE_PASSED: ErrorResponse(504, "unknown", 1.0),
    ErrorKind.ENDPOINT_REFUSED: ErrorResponse(503, "no", 1.0),
    ErrorKind.ENDPOINT_FAILED: ErrorResponse(502, "unknown", 1.0),
    ErrorKind.STREAM_BROKEN: ErrorResponse(502, "yes", 1.0),
    # A 503, not a 4xx: the caller can't correct anything in its request, and may retry it later.
    ErrorKind.QUARANTINED: ErrorResponse(503, "no", 300.0),
    # Each of these concerns a stream that its caller takes up, and that can't go on now.
    ErrorKind.BUILD_UNKNOWN: ErrorResponse(503, "no", 1.0),
    ErrorKind.BUILD_RESTARTS: ErrorResponse(503, "no", 1.0),
    ErrorKind.BUILD_GONE: ErrorResponse(503, "no", 300.0),
    ErrorKind.KEY_MISMATCH: ErrorResponse(422, "no", None),
    # This request did not run, but another one with the same idempotency key may have run.
    ErrorKind.KEY_UNAVAILABLE: ErrorResponse(503, "unknown", 1.0),
    ErrorKind.KEY_OUTCOME_UNKNOWN: ErrorResponse(409, "unknown", None),
    ErrorKind.INTERNAL: ErrorResponse(500, "unknown", None),
}

# Statuses by which a caller learns that its request did not run, also without ``X-Ran``.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class CleatlinkError(Exception):
    """Base class of all exceptions of this project."""


class ConfigurationError(CleatlinkError):
    """Settings or a configuration are invalid."""


class ListenError(ConfigurationError):
    """The server can't listen on an address from the settings."""


class PlatformError(CleatlinkError):
    """The platform's service did not respond, or its response violates its documented API."""


class PeerError(CleatlinkError):
    """A peer did not respond, or responded unexpectedly; it may have processed the message."""


class PeerUnreachableError(PeerError):
    """The connection to the peer failed, so no byte was sent to it."""


class RequestError(CleatlinkError):
    """A caller's request is refused before endpoints are assigned to it."""

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail


class EndpointError(CleatlinkError):
    """A call to an endpoint failed."""


class EndpointUnreachableError(EndpointError):
    """The connection to the endpoint failed, so no byte of the call was sent."""


class EndpointRefusedError(EndpointError):
    """The endpoint refused the call, so the call did not run."""

    def __init__(self, detail: str, leaving: bool = False, backoff_s: float = 0.0) -> None:
        """Record the reason for the refusal.

        Args:
            detail: Reason that the endpoint reported.
            leaving: Whether the endpoint is shutting down and accepts no new work.
            backoff_s: Backoff that the endpoint requested, in seconds; 0 if it requested none.
        """
        super().__init__(detail)
        self.leaving = leaving
        self.backoff_s = backoff_s


class StaleFenceError(EndpointRefusedError):
    """The endpoint already accepted a command with a higher fencing token."""


class OutcomeUnknownError(EndpointError):
    """The call may have been sent, and no response shows whether it ran."""


class EndpointTimeoutError(EndpointError):
    """The endpoint sent nothing within the timeout."""


class StreamBrokenError(EndpointError):
    """A stream ended or stalled before its last event."""
