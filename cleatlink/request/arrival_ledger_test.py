"""Tests of the sends of one request that use up a retry budget."""

from cleatlink.request.arrival_ledger import ArrivalLedger


def send(ledger: ArrivalLedger, *, is_prefill: bool = False, completes: bool = False) -> bool:
    """Send once, with a retry if one is needed; return whether it was."""
    needs_retry = ledger.prefill_needs_retry if is_prefill else ledger.send_needs_retry
    if needs_retry:
        ledger.note_retry_taken()
    ledger.note_sent()
    if completes:
        ledger.note_prefill_completed()
    return needs_retry


def test_prefill_and_decode_need_no_retry() -> None:
    ledger = ArrivalLedger()
    assert not send(ledger, is_prefill=True, completes=True)
    assert not send(ledger)
    assert send(ledger)


def test_decode_after_a_failed_prefill_needs_a_retry() -> None:
    ledger = ArrivalLedger()
    assert not send(ledger, is_prefill=True)
    assert send(ledger)


def test_each_failed_prefill_needs_a_retry_for_what_follows() -> None:
    ledger = ArrivalLedger()
    assert not send(ledger, is_prefill=True)
    assert send(ledger, is_prefill=True)
    assert send(ledger)


def test_prefill_that_succeeds_after_a_failed_one_pays_for_its_decode() -> None:
    ledger = ArrivalLedger()
    assert not send(ledger, is_prefill=True)
    assert send(ledger, is_prefill=True, completes=True)
    assert not send(ledger)


def test_second_prefill_after_an_expired_handle_pays_for_its_decode() -> None:
    ledger = ArrivalLedger()
    assert not send(ledger, is_prefill=True, completes=True)
    assert send(ledger, is_prefill=True, completes=True)
    assert not send(ledger)


def test_prompt_and_decode_of_a_replacement_need_a_retry_each() -> None:
    ledger = ArrivalLedger()
    send(ledger, is_prefill=True, completes=True)
    send(ledger)
    assert send(ledger, is_prefill=True, completes=True)
    assert send(ledger)


def test_retry_that_reached_no_endpoint_is_not_taken_twice() -> None:
    ledger = ArrivalLedger()
    send(ledger)
    assert ledger.send_needs_retry
    ledger.note_retry_taken()
    assert not ledger.send_needs_retry
