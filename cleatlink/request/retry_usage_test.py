"""Tests of what peers remember of the use of retry allowances."""

import pytest

from cleatlink.request.retry_usage import RestartedPeer, RetryUsageRecords

WINDOW_S = 10.0
RESTARTED = RestartedPeer("n1", 5, 6, 1.2, knew_usage=True)


def records(incarnation: int = 5) -> RetryUsageRecords:
    """Return records with one report of a process, at the time 100."""
    result = RetryUsageRecords()
    result.record_report("n1", incarnation, {"model": 3.0}, 100.0)
    return result


def test_last_report_is_kept_for_the_next_process() -> None:
    known = records()
    known.note_restart(RESTARTED, WINDOW_S, 102.0)
    assert known.predecessor_usage("n1", 6) == {"model": 3.0}
    assert known.predecessor_usage("n1", 7) is None
    known.remove("n1")
    assert known.predecessor_usage("n1", 6) is None


def test_process_without_a_report_has_used_nothing() -> None:
    known = records(incarnation=4)
    known.note_restart(RESTARTED, WINDOW_S, 102.0)
    assert known.predecessor_usage("n1", 6) == {}


def test_report_older_than_the_window_no_longer_counts() -> None:
    known = records()
    known.note_restart(RESTARTED, WINDOW_S, 110.0)
    assert known.predecessor_usage("n1", 6) == {}


@pytest.mark.parametrize(
    "peer", [RESTARTED._replace(silent_s=3.0), RESTARTED._replace(knew_usage=False)]
)
def test_use_is_unknown_after_silence_or_a_process_that_did_not_know(peer: RestartedPeer) -> None:
    known = records()
    known.note_restart(RESTARTED, WINDOW_S, 101.0)
    known.note_restart(peer, WINDOW_S, 102.0)
    assert known.predecessor_usage("n1", 6) is None
