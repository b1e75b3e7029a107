"""Adoption goes upwards only, against a naive rule that sees everything at once."""

from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from cleatlink.config import Adopter, Adoption, Published, load_configuration

GOOD = (Path(__file__).parents[2] / "examples/regie.yaml").read_text()
TEXTS = {revision: GOOD + f"# {revision}\n" for revision in range(1, 8)} | {3: "nonsense: 1\n"}
VALID = {revision for revision, text in TEXTS.items() if not load_configuration(text)[1]}


@given(st.lists(st.sampled_from(sorted(TEXTS)), max_size=30))
def test_agrees_with_the_highest_valid_revision_seen(offers: list[int]) -> None:
    adopter, seen = Adopter(), []
    for revision in offers:
        before = adopter.revision
        adopter.offer(Published(revision, TEXTS[revision]))
        assert adopter.revision >= before
        seen.append(revision)
    assert adopter.revision == max([0, *(VALID & set(seen))])
    if adopter.configuration is not None:
        assert adopter.configuration.revision == adopter.revision


def test_each_outcome_is_told() -> None:
    adopter = Adopter()
    assert adopter.offer(Published(2, TEXTS[2])) is Adoption.ADOPTED
    assert adopter.offer(Published(2, TEXTS[2])) is Adoption.KNOWN
    assert adopter.offer(Published(2, TEXTS[1])) is Adoption.CONFLICT
    assert adopter.offer(Published(1, TEXTS[1])) is Adoption.OLDER
    assert adopter.offer(Published(3, TEXTS[3])) is Adoption.INVALID
    assert adopter.faults
    assert (adopter.revision, adopter.highest_seen) == (2, 3)
