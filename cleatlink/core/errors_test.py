"""Each error kind has a consistent response to the caller."""

from cleatlink.core.errors import ERROR_RESPONSES, ErrorKind


def test_every_kind_has_an_answer() -> None:
    assert set(ERROR_RESPONSES) == set(ErrorKind)


def test_status_execution_and_retry_time_agree_for_each_kind() -> None:
    for kind, answer in ERROR_RESPONSES.items():
        assert 400 <= answer.status < 600, kind
        assert answer.ran in ("no", "yes", "unknown"), kind
        if answer.status in (400, 404, 413, 422):
            assert answer.retry_after_s is None, (
                f"{kind}: a retry of the same request would fail again"
            )
        if answer.status == 503:
            assert answer.retry_after_s is not None, (
                f"{kind}: the response must state when to retry"
            )
