"""The table from kind to answer is complete and says what the promises need."""

from cleatlink.core.errors import ANSWERS, ErrorKind


def test_every_kind_has_an_answer() -> None:
    assert set(ANSWERS) == set(ErrorKind)


def test_answers_are_consistent() -> None:
    for kind, answer in ANSWERS.items():
        assert 400 <= answer.status < 600, kind
        assert answer.ran in ("no", "yes", "unknown"), kind
        if answer.status in (400, 404, 413, 422):
            assert answer.retry_after_s is None, f"{kind}: the same request would fail again"
        if answer.status == 503:
            assert answer.retry_after_s is not None, f"{kind}: say when to come back"
