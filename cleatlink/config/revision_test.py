"""The active revision never decreases, and is the highest valid one among those offered."""

from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from cleatlink.config import (
    ActiveConfiguration,
    OfferResult,
    PublishedConfiguration,
    load_configuration,
)

VALID_TEXT = (Path(__file__).parents[2] / "examples/regie.yaml").read_text()
TEXTS = {revision: VALID_TEXT + f"# {revision}\n" for revision in range(1, 8)} | {
    3: "nonsense: 1\n"
}
VALID_REVISIONS = {revision for revision, text in TEXTS.items() if not load_configuration(text)[1]}


@given(st.lists(st.sampled_from(sorted(TEXTS)), max_size=30))
def test_active_revision_is_the_highest_valid_one_offered(revisions: list[int]) -> None:
    active, offered = ActiveConfiguration(), []
    for revision in revisions:
        previous_revision = active.revision
        active.offer(PublishedConfiguration(revision, TEXTS[revision]))
        assert active.revision >= previous_revision
        offered.append(revision)
    assert active.revision == max([0, *(VALID_REVISIONS & set(offered))])
    if active.configuration is not None:
        assert active.configuration.revision == active.revision


def test_each_result_of_an_offer_is_returned() -> None:
    active = ActiveConfiguration()
    assert active.offer(PublishedConfiguration(2, TEXTS[2])) is OfferResult.ADOPTED
    assert active.offer(PublishedConfiguration(2, TEXTS[2])) is OfferResult.KNOWN
    assert active.offer(PublishedConfiguration(2, TEXTS[1])) is OfferResult.CONFLICT
    assert active.offer(PublishedConfiguration(1, TEXTS[1])) is OfferResult.OLDER
    assert active.offer(PublishedConfiguration(3, TEXTS[3])) is OfferResult.INVALID
    assert active.faults
    assert (active.revision, active.highest_validated_revision) == (2, 3)
