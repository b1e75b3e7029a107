"""Checks the router's eight guarantees against evidence collected outside the router.

The evidence consists of the complete responses that callers received, what engines and
services recorded about their own work, and exit codes. Only the configuration revisions
come from the status of the entries.
"""

from collections import Counter
from typing import NamedTuple

__all__ = ["CallResult", "Evidence", "Finding", "ModelResult", "check_guarantees"]

# Time after its leaving report during which an endpoint may still receive orders, in seconds.
LEAVING_GRACE_S = 4.0
# Time within which a published configuration must be in force on all entries, in seconds.
MAX_ACTIVATION_S = 5.0


class ModelResult(NamedTuple):
    """Result of a model request, as observed by its caller.

    Attributes:
        request_class: Class of the request.
        outcome: ``whole`` if the answer is complete, ``refused``, ``cancelled`` if the caller
            disconnected, ``cut`` if the connection ended early, or ``broken`` if the stream
            contained an error.
        error_code: Code of the error; empty if there was none.
        event_ids: Event ids received, in order.
        text: Text received.
        expected_text: Text that every engine generates for the prompt.
        end_marks: Number of end marks received.
        ttft_s: Time to the first token, in seconds.
        token_interval_s: Mean time between tokens, in seconds.
        entry: Name of the entry that received the request.
    """

    request_class: str
    outcome: str
    error_code: str
    event_ids: tuple[int, ...]
    text: str
    expected_text: str
    end_marks: int
    ttft_s: float
    token_interval_s: float
    entry: str


class CallResult(NamedTuple):
    """Result of a call to a plain service, as observed by its caller.

    Attributes:
        request_class: Class of the request.
        key: Idempotency key of the call.
        status: HTTP status; 0 if the connection failed.
        ran: Whether the call ran according to the response: ``yes``, ``no`` or ``unknown``.
        error_code: Code of the error; empty if there was none.
    """

    request_class: str
    key: str
    status: int
    ran: str
    error_code: str


class Evidence(NamedTuple):
    """Observations of one run that the guarantees are checked against.

    Attributes:
        model_results: Results of the model requests.
        call_results: Results of the calls to plain services.
        engine_memory_tokens: Memory that each engine holds at the end, in tokens.
        executions: Number of executions of each idempotency key.
        orders_after_leaving: Number of orders that reached a leaving endpoint too late.
        stop_exit_code: Exit code of the entry that was stopped; None if it has not ended.
        stopped_entry: Name of the entry with the planned stop.
        killed_entry: Name of the entry that was killed.
        revisions: Configuration revisions that each entry reported, in order of time.
        expected_revision: The last revision that was published.
        activation_s: Time until that revision was in force on all entries, in seconds.
    """

    model_results: list[ModelResult]
    call_results: list[CallResult]
    engine_memory_tokens: dict[str, int]
    executions: Counter[str]
    orders_after_leaving: int
    stop_exit_code: int | None
    stopped_entry: str
    killed_entry: str
    revisions: dict[str, list[int]]
    expected_revision: int
    activation_s: float


class Finding(NamedTuple):
    """A guarantee, whether it held, and the figures that show it."""

    guarantee: str
    held: bool
    detail: str


def check_guarantees(evidence: Evidence) -> list[Finding]:
    """Check each of the eight guarantees."""
    return [
        _check_memory(evidence),
        _check_answered_once(evidence),
        _check_complete_answers(evidence),
        _check_not_run(evidence),
        _check_unrepeatable(evidence),
        _check_leaving(evidence),
        _check_planned_stop(evidence),
        _check_configuration(evidence),
    ]


def _check_memory(evidence: Evidence) -> Finding:
    held_tokens = {name: size for name, size in evidence.engine_memory_tokens.items() if size}
    disconnected = sum(result.outcome in ("cancelled", "cut") for result in evidence.model_results)
    detail = f"{disconnected} callers disconnected; tokens still held: {held_tokens or 'none'}"
    return Finding("no memory held for a caller that is gone", not held_tokens, detail)


def _check_answered_once(evidence: Evidence) -> Finding:
    repeated = [
        result
        for result in evidence.model_results
        if len(set(result.event_ids)) != len(result.event_ids) or result.end_marks > 1
    ]
    detail = (
        f"{len(evidence.model_results)} answers; {len(repeated)} with a repeated event or end mark"
    )
    return Finding("no request answered twice", not repeated, detail)


def _check_complete_answers(evidence: Evidence) -> Finding:
    complete = [result for result in evidence.model_results if result.end_marks]
    wrong = [result for result in complete if result.text != result.expected_text]
    foreign = [
        result
        for result in evidence.model_results
        if not result.expected_text.startswith(result.text)
    ]
    detail = (
        f"{len(complete)} complete answers compared, {len(wrong)} of them wrong; "
        f"{len(foreign)} answers contain text of another answer"
    )
    held = bool(complete) and not wrong and not foreign
    return Finding("the whole answer to its own request", held, detail)


def _check_not_run(evidence: Evidence) -> Finding:
    # A call may run after another call with the same key was refused as not run, so this
    # checks only the keys for which every call was refused as not run.
    ran_values: dict[str, set[str]] = {}
    for call in evidence.call_results:
        ran_values.setdefault(call.key, set()).add(call.ran)
    refused = [key for key, values in ran_values.items() if values == {"no"}]
    ran = [key for key in refused if evidence.executions[key]]
    detail = f"{len(refused)} keys refused 'not run'; {len(ran)} of them ran"
    return Finding("'not run' is true", not ran, detail)


def _check_unrepeatable(evidence: Evidence) -> Finding:
    keys = {call.key for call in evidence.call_results if call.key}
    repeated = [key for key in keys if evidence.executions[key] > 1]
    answered = {call.key for call in evidence.call_results if call.key and call.status == 200}
    mismatched = [key for key in answered if evidence.executions[key] != 1]
    detail = (
        f"{len(keys)} keys; {len(repeated)} ran more than once, "
        f"{len(mismatched)} answered without exactly one run"
    )
    held = bool(answered) and not repeated and not mismatched
    return Finding("an unrepeatable call runs at most once", held, detail)


def _check_leaving(evidence: Evidence) -> Finding:
    late_orders = evidence.orders_after_leaving
    detail = f"{late_orders} orders reached the leaving endpoint after {LEAVING_GRACE_S:g} s"
    return Finding("a leaving endpoint gets no new work", late_orders == 0, detail)


def _check_planned_stop(evidence: Evidence) -> Finding:
    received = [
        result for result in evidence.model_results if result.entry == evidence.stopped_entry
    ]
    cut_off = [result for result in received if result.outcome in ("cut", "broken")]
    exit_code = evidence.stop_exit_code
    detail = (
        f"exit code {exit_code}; "
        f"{len(received)} requests to the stopped entry, {len(cut_off)} cut off"
    )
    return Finding("a planned stop cuts off nothing", exit_code == 0 and not cut_off, detail)


def _check_configuration(evidence: Evidence) -> Finding:
    reverted = [
        name for name, revisions in evidence.revisions.items() if revisions != sorted(revisions)
    ]
    ended = (evidence.stopped_entry, evidence.killed_entry)
    last_revisions = {
        name: revisions[-1]
        for name, revisions in evidence.revisions.items()
        if revisions and name not in ended
    }
    outdated = [
        name for name, revision in last_revisions.items() if revision < evidence.expected_revision
    ]
    detail = (
        f"in force on {len(last_revisions)} entries after {evidence.activation_s:.2f} s; "
        f"{len(reverted)} entries reverted, {len(outdated)} outdated"
    )
    in_time = evidence.activation_s <= MAX_ACTIVATION_S
    held = bool(last_revisions) and in_time and not reverted and not outdated
    return Finding("configuration in force in seconds, never reverts", held, detail)
