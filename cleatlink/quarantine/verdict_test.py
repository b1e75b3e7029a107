"""When a request is held back, for how long, and who may try it again."""

from cleatlink.quarantine import CrashReport, Quarantine, Trial

GUILTY = b"guilty"
HOLD_S = 300.0


def hold(quarantine: Quarantine, crashes: int, now: float, first: int = 0) -> None:
    for number in range(first, first + crashes):
        # One after the other, the last one now.
        age_s = 0.01 * (first + crashes - 1 - number)
        report = CrashReport(f"life-{number}", age_s, {GUILTY: 0.001, b"%d" % number: 0.5})
        quarantine.take_report(report, now)


def test_two_crashes_make_a_suspect_and_a_third_one_holds_it_back() -> None:
    quarantine = Quarantine()
    assert quarantine.is_empty
    assert not quarantine.judge(GUILTY, 0.0).suspicion
    hold(quarantine, 2, 10.0)
    verdict = quarantine.judge(GUILTY, 10.0)
    assert (verdict.suspicion, verdict.is_held) == (2, False)
    hold(quarantine, 1, 12.0, first=2)
    verdict = quarantine.judge(GUILTY, 13.0)
    assert (verdict.is_held, verdict.retry_after_s) == (True, HOLD_S - 1.0)
    assert len(verdict.blame.lives) == 3
    assert not quarantine.judge(b"1", 13.0).is_held


def test_one_careful_try_when_its_time_is_over() -> None:
    here, there = Quarantine(), Quarantine()
    for quarantine in (here, there):
        hold(quarantine, 3, 0.0)
    now = HOLD_S
    assert here.judge(GUILTY, now - 0.1).is_held
    assert here.judge(GUILTY, now).needs_trial
    here.begin_trial(GUILTY, now)
    there.take_trials(here.trials(now), now)
    for quarantine in (here, there):
        assert quarantine.judge(GUILTY, now + 1.0).is_held
    # Nobody heard what came of it: one more may try.
    assert there.judge(GUILTY, now + 31.0).needs_trial


def test_each_try_that_crashes_one_more_doubles_the_time() -> None:
    quarantine = Quarantine()
    hold(quarantine, 3, 0.0)
    now, tries = 0.0, []
    for number in range(3, 8):
        until = now + quarantine.judge(GUILTY, now).retry_after_s
        tries.append(until - now)
        now = until
        quarantine.begin_trial(GUILTY, now)
        hold(quarantine, 1, now, first=number)
        quarantine.forget(now)
    assert tries[:4] == [300.0, 600.0, 1200.0, 1800.0]
    # Three in the first hour, and never more than that in any.
    assert sum(tries[:3]) < 3600.0 < sum(tries[:4])


def test_try_that_is_served_ends_it_for_all() -> None:
    here, there = Quarantine(), Quarantine()
    for quarantine in (here, there):
        hold(quarantine, 3, 0.0)
    lives = here.evidence.clear(GUILTY)
    assert len(lives) == 3
    for life in lives:
        report = here.evidence.report(life, 1.0)
        assert report is not None
        there.take_report(report, 1.0)
    assert not there.judge(GUILTY, 1.0).suspicion


def test_all_is_forgotten_after_an_hour() -> None:
    quarantine = Quarantine()
    hold(quarantine, 3, 0.0)
    quarantine.begin_trial(GUILTY, 400.0)
    quarantine.forget(3600.0)
    assert quarantine.is_empty
    assert quarantine.trials(3600.0) == []


def test_try_that_is_long_over_is_not_taken_over() -> None:
    quarantine = Quarantine()
    hold(quarantine, 3, 0.0)
    quarantine.take_trials([Trial(GUILTY, 31.0)], HOLD_S)
    assert quarantine.judge(GUILTY, HOLD_S).needs_trial
