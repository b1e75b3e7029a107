"""Answers that the owner of an idempotency key stored, sent again to a later copy of the call."""

import pytest

from cleatlink.core.data import Refusal
from cleatlink.core.errors import ErrorKind
from cleatlink.request import ClaimResult, ClaimState, StoredAnswer
from cleatlink.serving.endpoints import PlainAnswer
from cleatlink.serving.plain_call_driver import _answer_ungranted_claim


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_stored_answer_says_that_its_key_did_not_run(status: int) -> None:
    """Instances of earlier versions store such answers, also at owners of this version."""
    stored = StoredAnswer(status, "text/plain", b"x")
    result = _answer_ungranted_claim(ClaimResult(ClaimState.DONE, stored))
    assert isinstance(result, Refusal)
    assert result.kind is ErrorKind.KEY_OUTCOME_UNKNOWN


@pytest.mark.parametrize("status", [200, 404, 500, 502])
def test_stored_answer_is_sent_again(status: int) -> None:
    stored = StoredAnswer(status, "text/plain", b"x")
    result = _answer_ungranted_claim(ClaimResult(ClaimState.DONE, stored))
    headers = {"content-type": "text/plain", "x-replayed": "true"}
    assert result == PlainAnswer(status, headers, b"x")
