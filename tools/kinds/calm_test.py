"""A few plays of two builds tell whether they differ, and say so when they can't."""

from pathlib import Path

import pytest

from tools.kinds.calm import render
from tools.kinds.differs import Verdict, compare
from tools.kinds.play import Play, Played, Tree

# Figures of a build that gave an order on each play, and of one that gave it on two of seven.
ORDERED = [0.939, 0.948, 0.943, 0.947]
SELDOM = [0.889, 0.921, 0.881, 0.945, 0.894, 0.883, 0.889]


@pytest.mark.parametrize(
    ("before", "now", "verdict"),
    [
        (ORDERED, SELDOM, Verdict.LOWER),
        (SELDOM, ORDERED, Verdict.HIGHER),
        (ORDERED, [0.95, 0.938, 0.943, 0.949], Verdict.SAME),
        ([0.9, 0.6], [0.8, 0.7], Verdict.UNKNOWN),
        ([0.9, 0.9], [0.9, 0.9], Verdict.SAME),
    ],
)
def test_verdict_is_plain(before: list[float], now: list[float], verdict: Verdict) -> None:
    assert compare(before, now).verdict(0.03) is verdict


def test_interval_is_the_textbooks() -> None:
    difference = compare([1.0, 2.0, 3.0], [2.0, 3.0, 4.0])
    assert difference.change == pytest.approx(1.0)
    assert difference.high - difference.change == pytest.approx(2.78 * (2 / 3) ** 0.5)


def played(label: str, worth: float | None, orders: int = 1) -> Played:
    play = Play("site", Path("site.toml"), "quiet-1", 1, Tree(label, Path()))
    return Played(play, worth, "" if worth else "too slow", orders)


def test_site_that_is_lower_or_failed_is_not_sound() -> None:
    good = [played("before", worth) for worth in ORDERED]
    text, sound = render([*good, *(played("now", worth, orders=0) for worth in SELDOM)])
    assert not sound
    assert text.startswith("site: lower (-0.04")
    assert text.endswith("plays with an order 4 of 4 and 0 of 7")
    text, sound = render([*good, played("now", None)])
    assert (text, sound) == ("site: now failed: too slow", False)
    assert render([*good, *(played("now", worth) for worth in ORDERED)])[1]
