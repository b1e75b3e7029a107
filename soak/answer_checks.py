"""Checks of what callers receive from workers that answer wrongly or without end."""

from collections import defaultdict
from collections.abc import Iterator

from soak.records import EndlessResponse, History, Request, RequestKind
from soak.violations import SLACK_S, Violation
from standins.relay.endless_answers import EndlessPart

__all__ = ["check_endless_responses", "check_returned_statuses", "check_waits_for_endless"]

# Deadlines of the callers, in seconds.
_DEADLINE_S = 3.0
_STREAM_DEADLINE_S = 8.0
_STREAM_KINDS = frozenset({RequestKind.STREAM, RequestKind.RESUMABLE})
# Bytes that can't become an answer: their connection is closed within this time.
_INVALID_PARTS = frozenset({EndlessPart.HEAD, EndlessPart.GARBAGE})
_INVALID_S = 1.0
# Work for a caller that has disconnected ends within this time.
_CANCEL_S = 0.5
# Largest sizes that an instance accepts of a head, of an event and of a body, and the size of all
# buffers of the kernel and of the link between a worker and an instance.
_MAX_HEAD_BYTES = 65_536
_MAX_EVENT_BYTES = 1_048_576
_MAX_BODY_BYTES = 16_777_216
_BUFFER_BYTES = 16_777_216
_CATCH_UP_S = 3.0


def check_returned_statuses(history: History) -> Iterator[Violation]:
    """Check that an answer with a worker's signature has the status that this worker returned."""
    returned: dict[tuple[str, str], set[int | None]] = defaultdict(set)
    for run in history.runs:
        returned[run.request_id, run.worker].add(run.status)
    for request in history.requests:
        if not request.signed_by:
            continue
        statuses = returned[request.request_id, request.signed_by]
        if request.status not in statuses:
            detail = (
                f"status {request.status} with the signature of {request.signed_by}, "
                f"which returned {sorted(map(str, statuses)) or 'nothing'}"
            )
            yield Violation("", detail, (request.request_id,))


def check_endless_responses(history: History) -> Iterator[Violation]:
    """Check that instances close connections on which bytes have no end, by time and by size."""
    requests_by_id = {request.request_id: request for request in history.requests}
    for response in history.endless_responses:
        request = requests_by_id.get(response.request_id)
        if request is None:
            continue
        bound_bytes = _size_limit(response, request) + _BUFFER_BYTES
        if response.sent_bytes > bound_bytes:
            detail = f"{response.worker} sent {response.sent_bytes} bytes of {response.part}"
            yield Violation("", detail, (request.request_id,))
        close_by = _close_by(response, request) + SLACK_S
        open_until = min(response.ended_at, history.ended_at)
        if open_until > close_by and _is_undisturbed(history, request, close_by, response.worker):
            detail = (
                f"{response.part} from {response.worker} was accepted for "
                f"{open_until - response.began_at:.2f} s"
            )
            yield Violation("", detail, (request.request_id,))


def check_waits_for_endless(history: History) -> Iterator[Violation]:
    """Check that callers whose worker answers without end get an answer by their deadline."""
    endless = {response.request_id: response.worker for response in history.endless_responses}
    for request in history.requests:
        waited_s = request.ended_at - request.sent_at
        bound_s = _deadline_s(request) + SLACK_S
        worker = endless.get(request.request_id)
        if worker is None or waited_s <= bound_s:
            continue
        if _is_undisturbed(history, request, request.sent_at + bound_s, worker):
            detail = f"no answer within {waited_s:.2f} s, while {worker} sent bytes without end"
            yield Violation("", detail, (request.request_id,))


def _size_limit(response: EndlessResponse, request: Request) -> int:
    """Return the largest size of a response that an instance may read, in bytes."""
    if response.part in _INVALID_PARTS:
        return _MAX_HEAD_BYTES
    if request.kind in _STREAM_KINDS and response.part is not EndlessPart.EVENTS:
        return _MAX_EVENT_BYTES
    return _MAX_BODY_BYTES


def _close_by(response: EndlessResponse, request: Request) -> float:
    """Return when an instance must have closed the connection of a response at the latest."""
    close_by = request.sent_at + _deadline_s(request)
    if response.part in _INVALID_PARTS:
        close_by = min(close_by, response.began_at + _INVALID_S)
    if request.caller_left:
        close_by = min(close_by, max(request.ended_at, response.began_at) + _CANCEL_S)
    return close_by


def _deadline_s(request: Request) -> float:
    return _STREAM_DEADLINE_S if request.kind in _STREAM_KINDS else _DEADLINE_S


def _is_undisturbed(history: History, request: Request, until: float, worker: str) -> bool:
    """Return whether a request's instance and worker were undisturbed up to a time."""
    since = request.sent_at - _CATCH_UP_S
    return history.is_undisturbed(
        f"instance {request.instance}", since, until
    ) and history.is_undisturbed(worker, since, until)
