"""Each error kind has a consistent response to the caller."""

from cleatlink.core.errors import ERROR_RESPONSES, ErrorKind


def test_every_kind_has_a_response() -> None:
    assert set(ERROR_RESPONSES) == set(ErrorKind)


def test_status_execution_and_retry_time_agree_for_each_kind() -> None:
    for kind, response in ERROR_RESPONSES.items():
        assert 400 <= response.status < 600, kind
        assert response.ran in ("no", "yes", "unknown"), kind
        if response.status in (400, 404, 413, 422):
            assert response.retry_after_s is None, (
                f"{kind}: a retry of the same request would fail again"
            )
        if response.status == 503:
            assert response.retry_after_s is not None, (
                f"{kind}: the response must state when to retry"
            )
