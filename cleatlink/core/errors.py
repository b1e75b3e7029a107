"""The closed list of error kinds, and the table from kind to answer.

A caller must learn three things from a refusal: what happened, whether the
request ran, and whether and when to try again. The table is the only place
that says so; a kind with ``ran`` of ``no`` may be used only where no byte of
the request can have left for an endpoint, or where the endpoint refused it.
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "ANSWERS",
    "Answer",
    "CleatlinkError",
    "ConfigurationError",
    "EndpointError",
    "EndpointRefusedError",
    "EndpointSilentError",
    "EndpointUnreachableError",
    "ErrorKind",
    "FenceError",
    "ListenError",
    "OutcomeUnknownError",
    "PeerError",
    "PeerUnreachableError",
    "PlatformError",
    "RequestError",
    "StreamBrokenError",
]


class ErrorKind(StrEnum):
    """Every way in which a caller can be refused."""

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
    KEY_MISMATCH = "key_mismatch"
    KEY_UNAVAILABLE = "key_unavailable"
    KEY_OUTCOME_UNKNOWN = "key_outcome_unknown"
    INTERNAL = "internal"


class Answer(NamedTuple):
    """What a caller is told for one kind of error.

    Attributes:
        status: HTTP status code.
        ran: ``no``, ``yes`` or ``unknown``: whether the request ran.
        retry_after_s: Seconds after which to try again; None says don't.
    """

    status: int
    ran: str
    retry_after_s: float | None


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, "no", None),
    ErrorKind.TOO_LARGE: Answer(413, "no", None),
    ErrorKind.SLOW_SENDER: Answer(408, "no", 1.0),
    ErrorKind.UNKNOWN_MODEL: Answer(404, "no", None),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, "no", None),
    ErrorKind.UNKNOWN_CLASS: Answer(400, "no", None),
    ErrorKind.NOT_FOUND: Answer(404, "no", None),
    ErrorKind.UNKNOWN_KEY: Answer(401, "no", None),
    ErrorKind.OVER_LIMIT: Answer(429, "no", 1.0),
    ErrorKind.NOT_READY: Answer(503, "no", 1.0),
    ErrorKind.STOPPING: Answer(503, "no", 0.0),
    ErrorKind.BUSY: Answer(503, "no", 1.0),
    ErrorKind.NO_ENDPOINT: Answer(503, "no", 2.0),
    ErrorKind.NO_ROOM: Answer(503, "no", 1.0),
    ErrorKind.TARGET_MISSED: Answer(503, "no", 1.0),
    ErrorKind.DEADLINE_NOT_RUN: Answer(504, "no", 1.0),
    ErrorKind.DEADLINE_PASSED: Answer(504, "unknown", 1.0),
    ErrorKind.ENDPOINT_REFUSED: Answer(503, "no", 1.0),
    ErrorKind.ENDPOINT_FAILED: Answer(502, "unknown", 1.0),
    ErrorKind.STREAM_BROKEN: Answer(502, "yes", 1.0),
    # Nothing is wrong with the request that its caller could see, and it may be tried again.
    ErrorKind.QUARANTINED: Answer(503, "no", 300.0),
    ErrorKind.KEY_MISMATCH: Answer(422, "no", None),
    # This copy did not run, but another copy under the same key may have.
    ErrorKind.KEY_UNAVAILABLE: Answer(503, "unknown", 1.0),
    ErrorKind.KEY_OUTCOME_UNKNOWN: Answer(409, "unknown", None),
    ErrorKind.INTERNAL: Answer(500, "unknown", None),
}


class CleatlinkError(Exception):
    """Root of the exception tree."""


class ConfigurationError(CleatlinkError):
    """Settings or a configuration can't be used."""


class ListenError(ConfigurationError):
    """An address of the settings can't be listened on."""


class PlatformError(CleatlinkError):
    """The platform's service did not answer, or not as documented."""


class PeerError(CleatlinkError):
    """A peer did not answer, or not as expected; it may have acted."""


class PeerUnreachableError(PeerError):
    """No byte left for the peer: the connection was never made."""


class RequestError(CleatlinkError):
    """A caller's request is refused before it is placed."""

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail


class EndpointError(CleatlinkError):
    """An endpoint did not do what it was asked."""


class EndpointUnreachableError(EndpointError):
    """No byte of the order left: the connection was never made."""


class EndpointRefusedError(EndpointError):
    """The endpoint refused the order, which therefore did not run."""

    def __init__(self, detail: str, leaving: bool = False, rest_s: float = 0.0) -> None:
        """Say why.

        Args:
            detail: What the endpoint said.
            leaving: Whether it takes no new work at all.
            rest_s: Seconds for which it wants nothing more; 0 if it names no time.
        """
        super().__init__(detail)
        self.leaving = leaving
        self.rest_s = rest_s


class FenceError(EndpointRefusedError):
    """The endpoint has accepted an order with a higher fence before."""


class OutcomeUnknownError(EndpointError):
    """The order may have left, and no answer says whether it ran."""


class EndpointSilentError(EndpointError):
    """The endpoint said nothing for too long, and is not waited for any longer."""


class StreamBrokenError(EndpointError):
    """A stream ended or stalled before its last event."""
