"""Tests of the attribution of crashes to requests, for any order and repetition of reports."""

import random

from hypothesis import given
from hypothesis import strategies as st

from cleatlink.quarantine import CrashEvidence, CrashReport

RETENTION_S = 3600.0
CRASHER, SECOND_CRASHER = b"guilty", b"other"
NAMES = [b"a", b"b", b"c", b"d", b"e"]

reports = st.lists(
    st.builds(
        lambda number, age_s, suspects, cleared: CrashReport(
            f"incarnation-{number}", age_s, suspects, cleared
        ),
        st.integers(0, 5),
        st.floats(0.0, 100.0),
        st.dictionaries(st.sampled_from(NAMES), st.floats(0.0, 20.0), min_size=1),
        st.frozensets(st.sampled_from(NAMES)),
    ),
    max_size=12,
)


def crash_report(incarnation: str, *requests: bytes, age_s: float | None = None) -> CrashReport:
    """Return a report of a crash; without an age, crash N + 1 is one second after crash N."""
    if age_s is None:
        age_s = 100.0 - int(incarnation)
    return CrashReport(incarnation, age_s, dict.fromkeys(requests, 0.1))


def collect_evidence(*given_reports: CrashReport, now: float = 1000.0) -> CrashEvidence:
    evidence = CrashEvidence(RETENTION_S)
    for report in given_reports:
        evidence.add_report(report, now)
    return evidence


def crash_count(evidence: CrashEvidence, identity: bytes) -> int:
    return len(evidence.attribution(identity).incarnations)


def test_crash_is_attributed_to_the_request_with_the_most_crashes() -> None:
    evidence = collect_evidence(
        crash_report("1", CRASHER, b"a", b"b"),
        crash_report("2", CRASHER, b"a"),
        crash_report("3", CRASHER, b"c"),
    )
    assert [crash_count(evidence, name) for name in (CRASHER, b"a", b"b", b"c")] == [3, 0, 0, 0]
    assert evidence.attribution(CRASHER).incarnations == ("1", "2", "3")


def test_request_beside_two_crashing_requests_has_no_crash_attributed() -> None:
    evidence = collect_evidence(
        crash_report("1", CRASHER, b"a"),
        crash_report("2", SECOND_CRASHER, b"a"),
        crash_report("3", CRASHER, b"b"),
        crash_report("4", SECOND_CRASHER, b"c"),
        crash_report("5", CRASHER),
        crash_report("6", SECOND_CRASHER, b"a"),
    )
    assert [evidence.suspicion(name) for name in (CRASHER, SECOND_CRASHER, b"a")] == [3, 3, 3]
    assert [crash_count(evidence, name) for name in (CRASHER, SECOND_CRASHER)] == [2, 1]
    evidence.add_report(crash_report("7", CRASHER), 1000.0)
    evidence.add_report(crash_report("8", SECOND_CRASHER), 1000.0)
    assert [crash_count(evidence, name) for name in (CRASHER, SECOND_CRASHER)] == [4, 4]
    # It was at three crashes, but at each of them beside a request with a higher count.
    assert crash_count(evidence, b"a") == 0


def test_crash_is_not_attributed_while_two_requests_share_the_highest_count() -> None:
    shared_crashes = [crash_report(str(number), CRASHER, b"a") for number in range(3)]
    evidence = collect_evidence(*shared_crashes)
    assert [crash_count(evidence, name) for name in (CRASHER, b"a")] == [0, 0]
    evidence.add_report(crash_report("3", CRASHER), 1000.0)
    assert [crash_count(evidence, name) for name in (CRASHER, b"a")] == [4, 0]


def test_simultaneous_crashes_count_once() -> None:
    simultaneous_crashes = [
        CrashReport(f"{number}", 10.0 - number / 10, {CRASHER: 1.0, b"a": 2.0})
        for number in range(5)
    ]
    evidence = collect_evidence(*simultaneous_crashes)
    assert evidence.suspicion(CRASHER) == 1
    # A crash counts again if the request started there after the last crash that counted, and not
    # if an older copy was in progress there.
    evidence.add_report(CrashReport("5", 5.0, {CRASHER: 1.0}), 1000.0)
    evidence.add_report(CrashReport("6", 4.9, {CRASHER: 3.0}), 1000.0)
    assert evidence.suspicion(CRASHER) == 2
    evidence.add_report(CrashReport("6", 4.9, {CRASHER: 0.05}), 1000.0)
    assert evidence.suspicion(CRASHER) == 3
    assert evidence.attribution(CRASHER).independent_crashes == 3


def test_completed_request_is_cleared_of_earlier_crashes_for_good() -> None:
    evidence = collect_evidence(crash_report("1", CRASHER, b"a"))
    assert evidence.clear_request(b"a") == ["1"]
    assert evidence.clear_request(b"a") == []
    evidence.add_report(crash_report("1", b"a", CRASHER, age_s=1.0), 1001.0)
    assert not evidence.suspicion(b"a")
    assert evidence.suspicion(CRASHER)
    evidence.add_report(crash_report("2", b"a"), 1002.0)
    assert evidence.suspicion(b"a")


@given(reports, st.randoms(use_true_random=False))
def test_order_and_repetition_of_reports_do_not_matter(
    given_reports: list[CrashReport], rng: random.Random
) -> None:
    first = collect_evidence(*given_reports)
    repeated = [*given_reports, *rng.choices(given_reports, k=5)] if given_reports else []
    rng.shuffle(repeated)
    second = collect_evidence(*repeated)
    for name in NAMES:
        assert set(first.attribution(name).incarnations) == set(
            second.attribution(name).incarnations
        )
        assert first.suspicion(name) == second.suspicion(name)
    for incarnation in first.crashed_incarnations():
        known, other = (
            first.crash_report(incarnation, 1000.0),
            second.crash_report(incarnation, 1000.0),
        )
        assert known == other


@given(reports, reports, reports)
def test_instances_that_exchange_reports_agree(
    first_reports: list[CrashReport],
    second_reports: list[CrashReport],
    third_reports: list[CrashReport],
) -> None:
    groups = [
        collect_evidence(*first_reports),
        collect_evidence(*second_reports),
        collect_evidence(*third_reports),
    ]
    for _ in range(2):
        for sender in groups:
            for incarnation in sender.crashed_incarnations():
                report = sender.crash_report(incarnation, 1000.0)
                assert report is not None
                for receiver in groups:
                    receiver.add_report(report, 1000.0)
    for name in NAMES:
        attributions = {frozenset(evidence.attribution(name).incarnations) for evidence in groups}
        assert len(attributions) == 1


@given(reports)
def test_crash_is_only_attributed_to_an_uncleared_suspect_without_a_tie(
    given_reports: list[CrashReport],
) -> None:
    evidence = collect_evidence(*given_reports)
    for name in NAMES:
        suspected_at = {report.incarnation for report in given_reports if name in report.suspects}
        cleared = {report.incarnation for report in given_reports if name in report.cleared}
        assert set(evidence.attribution(name).incarnations) <= suspected_at - cleared
    attributed_incarnations = {
        incarnation for name in NAMES for incarnation in evidence.attribution(name).incarnations
    }
    for incarnation in set(evidence.crashed_incarnations()) - attributed_incarnations:
        report = evidence.crash_report(incarnation, 1000.0)
        assert report is not None
        counts = [evidence.suspicion(name) for name in report.suspects]
        assert not counts or counts.count(max(counts)) > 1


def test_memory_is_bounded_for_any_reports() -> None:
    evidence = CrashEvidence(RETENTION_S)
    for number in range(500):
        names = [b"%d-%d" % (number, index) for index in range(300)]
        report = CrashReport(f"incarnation-{number}", 0.0, dict.fromkeys(names, 0.1))
        evidence.add_report(report, float(number))
    assert len(evidence) == 64
    assert evidence.crashed_incarnations()[0] == "incarnation-499"
    known = evidence.crash_report("incarnation-499", 499.0)
    assert known is not None
    assert len(known.suspects) == 128


def test_expired_crashes_are_removed_and_not_added_again() -> None:
    evidence = collect_evidence(crash_report("1", CRASHER, age_s=0.0), now=1000.0)
    evidence.remove_expired(1000.0 + RETENTION_S - 1)
    assert evidence.suspicion(CRASHER)
    evidence.remove_expired(1000.0 + RETENTION_S)
    assert len(evidence) == 0
    assert not evidence.add_report(
        crash_report("1", CRASHER, age_s=RETENTION_S + 1), 1000.0 + RETENTION_S
    )


def test_delayed_report_does_not_move_a_crash_to_a_later_time() -> None:
    evidence = collect_evidence(crash_report("1", CRASHER, age_s=0.0), now=1000.0)
    evidence.add_report(crash_report("1", CRASHER, SECOND_CRASHER, age_s=0.0), 1004.0)
    report = evidence.crash_report("1", 1004.0)
    assert report is not None
    assert report.age_s == 4.0
