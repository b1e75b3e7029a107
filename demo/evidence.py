"""What the demo saw from outside, and the eight promises judged by it.

Nothing here asks the router: the evidence is what callers received in full,
what engines and services wrote in their own ledgers, and exit codes.
"""

from collections import Counter
from typing import NamedTuple

__all__ = ["CallResult", "Evidence", "Finding", "ModelResult", "check_promises"]

# An endpoint that is leaving may get work for this long.
LEAVING_GRACE_S = 4.0
# An accepted configuration is in force everywhere within this.
CONFIGURATION_S = 5.0


class ModelResult(NamedTuple):
    """One model request as its caller saw it.

    Attributes:
        request_class: Class asked for.
        outcome: ``whole``, ``refused``, ``cancelled``, ``cut`` or ``broken``.
        kind: Error kind if refused.
        ids: Event ids received, in order.
        text: Text received.
        expected: Text that any engine gives.
        ends: End marks received.
        ttft_s: Seconds to the first token.
        token_s: Mean seconds between tokens.
        entry: Name of the entry asked.
    """

    request_class: str
    outcome: str
    kind: str
    ids: tuple[int, ...]
    text: str
    expected: str
    ends: int
    ttft_s: float
    token_s: float
    entry: str


class CallResult(NamedTuple):
    """One call of a plain service as its caller saw it."""

    request_class: str
    key: str
    status: int
    ran: str
    kind: str


class Evidence(NamedTuple):
    """Everything the promises are judged by."""

    models: list[ModelResult]
    calls: list[CallResult]
    engine_memory: dict[str, int]
    executions: Counter[str]
    work_after_leaving: int
    stop_exit_code: int | None
    stopped_entry: str
    killed_entry: str
    revisions: dict[str, list[int]]
    revision_wanted: int
    in_force_s: float


class Finding(NamedTuple):
    """One promise, whether it held, and what shows it."""

    promise: str
    held: bool
    detail: str


def check_promises(evidence: Evidence) -> list[Finding]:
    """Judge each of the eight promises."""
    return [
        _check_memory(evidence),
        _check_once(evidence),
        _check_whole(evidence),
        _check_not_run(evidence),
        _check_unrepeatable(evidence),
        _check_leaving(evidence),
        _check_planned_stop(evidence),
        _check_configuration(evidence),
    ]


def _check_memory(evidence: Evidence) -> Finding:
    held = {name: size for name, size in evidence.engine_memory.items() if size}
    gone = sum(result.outcome in ("cancelled", "cut") for result in evidence.models)
    detail = f"{gone} callers went; tokens still held: {held or 'none'}"
    return Finding("no memory held for a caller that is gone", not held, detail)


def _check_once(evidence: Evidence) -> Finding:
    doubled = [
        result
        for result in evidence.models
        if len(set(result.ids)) != len(result.ids) or result.ends > 1
    ]
    detail = f"{len(evidence.models)} answers; {len(doubled)} with a repeated event or end"
    return Finding("no request answered twice", not doubled, detail)


def _check_whole(evidence: Evidence) -> Finding:
    ended = [result for result in evidence.models if result.ends]
    wrong = [result for result in ended if result.text != result.expected]
    partly = [result for result in evidence.models if not result.expected.startswith(result.text)]
    detail = f"{len(ended)} answers compared in full; {len(wrong)} wrong, {len(partly)} foreign"
    held = bool(ended) and not wrong and not partly
    return Finding("the whole answer to its own request", held, detail)


def _check_not_run(evidence: Evidence) -> Finding:
    # A copy that is refused may be followed by another copy that runs; so the
    # keys that count are those whose every copy was refused as not run.
    said: dict[str, set[str]] = {}
    for call in evidence.calls:
        said.setdefault(call.key, set()).add(call.ran)
    refused = [key for key, rans in said.items() if rans == {"no"}]
    ran = [key for key in refused if evidence.executions[key]]
    detail = f"{len(refused)} keys refused 'not run'; {len(ran)} of them ran"
    return Finding("'not run' is true", not ran, detail)


def _check_unrepeatable(evidence: Evidence) -> Finding:
    keys = {call.key for call in evidence.calls if call.key}
    doubled = [key for key in keys if evidence.executions[key] > 1]
    answered = {call.key for call in evidence.calls if call.key and call.status == 200}
    lost = [key for key in answered if evidence.executions[key] != 1]
    detail = f"{len(keys)} keys; {len(doubled)} ran twice, {len(lost)} answered without a run"
    held = bool(answered) and not doubled and not lost
    return Finding("an unrepeatable call runs at most once", held, detail)


def _check_leaving(evidence: Evidence) -> Finding:
    late = evidence.work_after_leaving
    detail = f"{late} orders reached the leaving endpoint after {LEAVING_GRACE_S:g} s"
    return Finding("a leaving endpoint gets no new work", late == 0, detail)


def _check_planned_stop(evidence: Evidence) -> Finding:
    there = [result for result in evidence.models if result.entry == evidence.stopped_entry]
    cut = [result for result in there if result.outcome in ("cut", "broken")]
    code = evidence.stop_exit_code
    detail = f"exit code {code}; {len(there)} requests there, {len(cut)} cut off"
    return Finding("a planned stop cuts off nothing", code == 0 and not cut, detail)


def _check_configuration(evidence: Evidence) -> Finding:
    reverted = [name for name, seen in evidence.revisions.items() if seen != sorted(seen)]
    gone = (evidence.stopped_entry, evidence.killed_entry)
    last = {
        name: seen[-1] for name, seen in evidence.revisions.items() if seen and name not in gone
    }
    behind = [name for name, seen in last.items() if seen < evidence.revision_wanted]
    detail = (
        f"in force on {len(last)} entries after {evidence.in_force_s:.2f} s; "
        f"{len(reverted)} went back, {len(behind)} behind"
    )
    in_time = evidence.in_force_s <= CONFIGURATION_S
    held = bool(last) and in_time and not reverted and not behind
    return Finding("configuration in force in seconds, never reverts", held, detail)
