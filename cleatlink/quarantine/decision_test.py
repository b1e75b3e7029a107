"""Tests of when a request is quarantined, for how long, and which instance may run the trial."""

from cleatlink.quarantine import CrashReport, Quarantine, Trial

CRASHER = b"guilty"
QUARANTINE_S = 300.0


def report_crashes(quarantine: Quarantine, crashes: int, now: float, first: int = 0) -> None:
    for number in range(first, first + crashes):
        # The crashes are 10 ms apart, and the last one is now.
        age_s = 0.01 * (first + crashes - 1 - number)
        report = CrashReport(f"incarnation-{number}", age_s, {CRASHER: 0.001, b"%d" % number: 0.5})
        quarantine.add_report(report, now)


def test_request_is_suspected_after_two_crashes_and_quarantined_after_three() -> None:
    quarantine = Quarantine()
    assert quarantine.is_empty
    assert not quarantine.decide(CRASHER, 0.0).suspicion
    report_crashes(quarantine, 2, 10.0)
    decision = quarantine.decide(CRASHER, 10.0)
    assert (decision.suspicion, decision.is_quarantined) == (2, False)
    report_crashes(quarantine, 1, 12.0, first=2)
    decision = quarantine.decide(CRASHER, 13.0)
    assert (decision.is_quarantined, decision.retry_after_s) == (True, QUARANTINE_S - 1.0)
    assert len(decision.attribution.incarnations) == 3
    assert not quarantine.decide(b"1", 13.0).is_quarantined


def test_one_instance_runs_a_single_trial_after_the_quarantine_time() -> None:
    own, peer = Quarantine(), Quarantine()
    for quarantine in (own, peer):
        report_crashes(quarantine, 3, 0.0)
    now = QUARANTINE_S
    assert own.decide(CRASHER, now - 0.1).is_quarantined
    assert own.decide(CRASHER, now).needs_trial
    own.begin_trial(CRASHER, now)
    peer.add_peer_trials(own.active_trials(now), now)
    for quarantine in (own, peer):
        assert quarantine.decide(CRASHER, now + 1.0).is_quarantined
    # The outcome of the trial is unknown after its maximum duration, so another trial may start.
    assert peer.decide(CRASHER, now + 31.0).needs_trial


def test_each_trial_that_crashes_an_endpoint_doubles_the_quarantine_time() -> None:
    quarantine = Quarantine()
    report_crashes(quarantine, 3, 0.0)
    now, waits_s = 0.0, []
    for number in range(3, 8):
        until = now + quarantine.decide(CRASHER, now).retry_after_s
        waits_s.append(until - now)
        now = until
        quarantine.begin_trial(CRASHER, now)
        report_crashes(quarantine, 1, now, first=number)
        quarantine.remove_expired(now)
    assert waits_s[:4] == [300.0, 600.0, 1200.0, 1800.0]
    # Three trials fit into the first hour, and no later hour has more.
    assert sum(waits_s[:3]) < 3600.0 < sum(waits_s[:4])


def test_trial_that_completes_ends_the_quarantine_at_all_instances() -> None:
    own, peer = Quarantine(), Quarantine()
    for quarantine in (own, peer):
        report_crashes(quarantine, 3, 0.0)
    incarnations = own.evidence.clear_request(CRASHER)
    assert len(incarnations) == 3
    for incarnation in incarnations:
        report = own.evidence.crash_report(incarnation, 1.0)
        assert report is not None
        peer.add_report(report, 1.0)
    assert not peer.decide(CRASHER, 1.0).suspicion


def test_crashes_and_trials_are_removed_after_an_hour() -> None:
    quarantine = Quarantine()
    report_crashes(quarantine, 3, 0.0)
    quarantine.begin_trial(CRASHER, 400.0)
    quarantine.remove_expired(3600.0)
    assert quarantine.is_empty
    assert quarantine.active_trials(3600.0) == []


def test_expired_trial_of_a_peer_is_ignored() -> None:
    quarantine = Quarantine()
    report_crashes(quarantine, 3, 0.0)
    quarantine.add_peer_trials([Trial(CRASHER, 31.0)], QUARANTINE_S)
    assert quarantine.decide(CRASHER, QUARANTINE_S).needs_trial
