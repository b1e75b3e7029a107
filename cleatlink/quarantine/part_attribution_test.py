"""Tests of the attribution of crashes to parts that the prompts of different requests share."""

import random

from hypothesis import given
from hypothesis import strategies as st

from cleatlink.quarantine import MAX_PARTS, CrashEvidence, CrashReport, PromptParts, Quarantine

SERVICE, SHARED, BAD, RARE = b"service", b"shared", b"bad", b"rare"
ONE, TWO = b"organisation one", b"organisation two"
NOW = 1000.0
PART_QUARANTINE_S = 60.0


def prompt(*parts: bytes, organisation: bytes = ONE) -> PromptParts:
    return PromptParts(SERVICE, organisation, parts)


def crash_report(number: int, *prompts: PromptParts, request: bytes = b"") -> CrashReport:
    """Return the report of a crash at time ``number``, each prompt in progress for 0.1 s.

    Args:
        number: Number of the crash.
        *prompts: The prompts in progress, each of another request.
        request: Identity of the first request; if empty, all differ from those of other crashes.
    """
    identities = [b"%d-%d" % (number, position) for position in range(len(prompts))]
    if request:
        identities[0] = request
    return CrashReport(
        f"incarnation-{number}",
        NOW - number,
        dict.fromkeys(identities, 0.1),
        prompts=dict(zip(identities, prompts, strict=True)),
    )


def collect(*reports: CrashReport) -> Quarantine:
    quarantine = Quarantine()
    for report in reports:
        quarantine.add_report(report, NOW)
    return quarantine


def answer(quarantine: Quarantine, answered: PromptParts, started_at: float) -> None:
    quarantine.evidence.clear_answered(b"answered", answered, started_at, float("inf"))


def is_held_back(quarantine: Quarantine, asked: PromptParts, now: float = 5.0) -> bool:
    return quarantine.decide(b"new", now, asked).is_quarantined


def test_part_at_three_crashes_of_different_requests_is_held_back() -> None:
    quarantine = collect(*(crash_report(number, prompt(SHARED, BAD)) for number in range(2)))
    answer(quarantine, prompt(SHARED), 1.5)
    assert not is_held_back(quarantine, prompt(SHARED, BAD))
    assert quarantine.decide(b"new", 5.0, prompt(BAD, SHARED)).suspicion == 2
    quarantine.add_report(crash_report(2, prompt(BAD, SHARED), prompt(SHARED)), NOW)
    assert is_held_back(quarantine, prompt(SHARED, BAD))
    assert is_held_back(quarantine, prompt(RARE, BAD))
    assert not is_held_back(quarantine, prompt(SHARED, RARE))
    assert not is_held_back(quarantine, prompt())


def test_nothing_is_held_back_while_no_answer_of_the_service_goes_on() -> None:
    quarantine = collect(*(crash_report(number, prompt(SHARED, BAD)) for number in range(3)))
    assert not is_held_back(quarantine, prompt(SHARED, BAD))
    answer(quarantine, prompt(SHARED), 2.5)
    assert is_held_back(quarantine, prompt(SHARED, BAD))


def test_parts_that_share_all_crashes_are_held_back_only_together() -> None:
    quarantine = collect(*(crash_report(number, prompt(SHARED, BAD, RARE)) for number in range(3)))
    answer(quarantine, prompt(SHARED), 2.5)
    assert is_held_back(quarantine, prompt(RARE, SHARED, BAD))
    assert not is_held_back(quarantine, prompt(SHARED, BAD))
    answer(quarantine, prompt(SHARED, RARE), 2.6)
    assert is_held_back(quarantine, prompt(SHARED, BAD))
    assert not is_held_back(quarantine, prompt(SHARED, RARE))


def test_retries_of_one_request_do_not_hold_its_parts_back() -> None:
    reports = [crash_report(number, prompt(SHARED, RARE), request=b"one") for number in range(4)]
    quarantine = collect(*reports)
    answer(quarantine, prompt(SHARED), 3.5)
    assert quarantine.decide(b"one", 5.0, prompt(SHARED, RARE)).is_quarantined
    assert not is_held_back(quarantine, prompt(SHARED, RARE))


def test_request_beside_a_bad_part_is_not_held_back() -> None:
    sound = prompt(SHARED)
    quarantine = collect(
        *(
            crash_report(number, sound, prompt(SHARED, BAD), request=b"retried")
            for number in range(4)
        )
    )
    answer(quarantine, sound, 3.5)
    assert quarantine.evidence.suspicion(b"retried") == 4
    assert not quarantine.decide(b"retried", 5.0, sound).is_quarantined
    assert is_held_back(quarantine, prompt(BAD))


def test_crashes_that_happen_together_count_once_for_a_part() -> None:
    reports = [
        crash_report(number, prompt(SHARED, RARE))._replace(age_s=NOW - number / 100)
        for number in range(5)
    ]
    quarantine = collect(*reports)
    answer(quarantine, prompt(SHARED), 1.0)
    assert quarantine.evidence.is_part_suspected(prompt(RARE))
    assert not quarantine.decide(b"new", 5.0, prompt(SHARED, RARE)).suspicion


def test_answer_that_began_before_a_crash_clears_nothing() -> None:
    quarantine = collect(*(crash_report(number, prompt(SHARED, BAD)) for number in range(3)))
    answer(quarantine, prompt(SHARED), 2.5)
    answer(quarantine, prompt(BAD), 0.5)
    assert quarantine.decide(b"new", 5.0, prompt(BAD)).suspicion == 2


def test_short_answer_clears_nothing_and_a_long_one_clears() -> None:
    quarantine = collect(*(crash_report(number, prompt(SHARED, BAD)) for number in range(3)))
    evidence = quarantine.evidence
    assert not evidence.clear_answered(b"answered", prompt(SHARED), 2.5, 0.4)
    assert evidence.clear_answered(b"answered", prompt(SHARED), 2.5, 0.6)
    slow = crash_report(3, prompt(SHARED, BAD))
    slow = slow._replace(suspects=dict.fromkeys(slow.suspects, 0.9))
    evidence.add_report(slow, NOW)
    assert not evidence.clear_answered(b"answered", prompt(SHARED), 3.5, 1.7)
    assert evidence.clear_answered(b"answered", prompt(SHARED), 3.5, 1.9)


def test_common_request_at_all_crashes_is_not_held_back() -> None:
    sound = prompt(SHARED)
    quarantine = Quarantine()
    for number in range(6):
        bad = prompt(SHARED, b"bad %d" % (number % 3))
        quarantine.add_report(crash_report(number, sound, bad, request=b"common"), NOW)
    assert quarantine.evidence.suspicion(b"common") == 6
    assert not quarantine.decide(b"common", 6.0, sound).is_quarantined
    # An answer to it goes on, but has not completed.
    assert quarantine.evidence.clear_answered(b"common", sound, 5.5, 0.6)
    assert not quarantine.evidence.suspicion(b"common")
    assert not quarantine.decide(b"common", 7.0, sound).is_quarantined


def test_request_that_crashes_late_is_not_cleared_by_a_shorter_answer() -> None:
    quarantine = Quarantine()
    for number, seconds in enumerate((0.9, 0.1, 0.9)):
        report = crash_report(number, prompt(SHARED), request=b"late")
        quarantine.add_report(report._replace(suspects={b"late": seconds}), NOW)
    cleared = quarantine.evidence.clear_answered(b"late", prompt(RARE), 2.5, 1.7)
    assert not any(b"late" in items for items in cleared.values())
    assert quarantine.decide(b"late", 5.0, prompt(SHARED)).is_quarantined


def test_prompts_run_apart_while_no_answer_of_their_service_goes_on() -> None:
    quarantine = collect(*(crash_report(number, prompt(SHARED, BAD)) for number in range(3)))
    assert quarantine.decide(b"new", 5.0, prompt(RARE)).suspicion == 3
    answer(quarantine, prompt(SHARED), 2.5)
    assert not quarantine.decide(b"new", 5.0, prompt(RARE)).suspicion


def test_crashes_of_one_organisation_hold_back_its_own_prompts_only() -> None:
    quarantine = collect(*(crash_report(number, prompt(SHARED, BAD)) for number in range(3)))
    answer(quarantine, prompt(SHARED), 2.5)
    assert is_held_back(quarantine, prompt(BAD))
    assert not is_held_back(quarantine, prompt(BAD, organisation=TWO))
    quarantine.add_report(crash_report(3, prompt(BAD, organisation=TWO)), NOW)
    assert is_held_back(quarantine, prompt(BAD, organisation=TWO))
    assert is_held_back(quarantine, prompt(BAD, organisation=b"third"))


def test_one_trial_of_a_part_runs_at_a_time_and_doubles_the_time_if_it_crashes() -> None:
    own, peer = Quarantine(), Quarantine(part_trial_delay_s=2.0)
    for quarantine in (own, peer):
        for number in range(3):
            quarantine.add_report(crash_report(number, prompt(SHARED, BAD)), NOW)
        answer(quarantine, prompt(SHARED), 2.5)
    now = 2.0 + PART_QUARANTINE_S
    assert is_held_back(own, prompt(BAD), now - 0.1)
    decision = own.decide(b"new", now, prompt(BAD))
    assert decision.needs_trial
    own.begin_trial(decision.trial_key, now)
    assert is_held_back(own, prompt(BAD, RARE), now + 1.0)
    # The peer would start its own trial later, and knows this one by then.
    assert is_held_back(peer, prompt(BAD), now + 1.0)
    peer.add_peer_trials(own.active_trials(now + 1.0), now + 1.0)
    assert is_held_back(peer, prompt(BAD), now + 3.0)
    own.add_report(
        crash_report(3, prompt(SHARED, BAD))._replace(age_s=0.0, incarnation="trial"), now
    )
    assert own.decide(b"new", now + 1.0, prompt(BAD)).retry_after_s == 2 * PART_QUARANTINE_S - 1.0


def test_trial_that_is_answered_ends_the_quarantine_of_a_part() -> None:
    quarantine = collect(*(crash_report(number, prompt(SHARED, BAD)) for number in range(3)))
    answer(quarantine, prompt(SHARED), 2.5)
    answer(quarantine, prompt(SHARED, BAD), 70.0)
    assert not quarantine.decide(b"new", 71.0, prompt(BAD)).suspicion


prompts = st.builds(
    PromptParts,
    st.just(SERVICE),
    st.sampled_from([ONE, TWO]),
    st.lists(st.sampled_from([SHARED, BAD, RARE]), unique=True, max_size=3).map(tuple),
)
reports = st.lists(
    st.builds(
        lambda number, age_s, asked, cleared: CrashReport(
            f"incarnation-{number}", age_s, dict.fromkeys(asked, 0.1), cleared, asked
        ),
        st.integers(0, 4),
        st.floats(0.0, 100.0),
        st.dictionaries(st.sampled_from([b"a", b"b", b"c"]), prompts, min_size=1),
        st.frozensets(st.sampled_from([SHARED, BAD, RARE, SERVICE, b"a"])),
    ),
    max_size=10,
)


@given(reports, st.randoms(use_true_random=False))
def test_order_and_repetition_of_reports_do_not_matter(
    given_reports: list[CrashReport], rng: random.Random
) -> None:
    repeated = [*given_reports, *rng.choices(given_reports, k=5)] if given_reports else []
    rng.shuffle(repeated)
    first, second = collect(*given_reports).evidence, collect(*repeated).evidence

    def blamed(evidence: CrashEvidence) -> set[tuple[object, ...]]:
        return {
            (item.parts, item.organisations, item.crashes) for item in evidence.part_attributions()
        }

    assert blamed(first) == blamed(second)


@given(reports)
def test_cleared_parts_and_services_have_no_crash_attributed(
    given_reports: list[CrashReport],
) -> None:
    evidence = collect(*given_reports).evidence
    for item in evidence.part_attributions():
        for incarnation in item.crashes.incarnations:
            report = evidence.crash_report(incarnation, NOW)
            assert report is not None
            assert not item.parts & report.cleared
            assert SERVICE not in item.parts


def test_memory_is_bounded_for_prompts_with_many_parts() -> None:
    evidence = CrashEvidence(3600.0)
    for number in range(70):
        parts = tuple(b"%d-%d" % (number, part) for part in range(1000))
        cleared = frozenset(b"c%d-%d" % (number, item) for item in range(2000))
        report = crash_report(number, *(prompt(*parts) for _ in range(200)))
        evidence.add_report(report._replace(cleared=cleared), NOW)
    known = evidence.crash_report("incarnation-69", NOW)
    assert len(evidence) == 64
    assert known is not None
    assert len(known.prompts) == 128
    assert len(known.cleared) == 512
    assert sum(len(item.parts) for item in known.prompts.values()) <= 128 * MAX_PARTS
