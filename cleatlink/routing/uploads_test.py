"""Progress of uploads: what acknowledgements show of the endpoint's reading, and what not."""

import pytest

from cleatlink.routing.uploads import DEFAULT_READ_RATE, AcceptedBytes, ReadRate, ReadRates, Upload

BUFFER_BYTES = 131_072
READ_RATE = 500_000.0


def upload_of(size: int, usual_rate: ReadRate = DEFAULT_READ_RATE) -> Upload:
    upload = Upload(usual_rate)
    upload.begin(size, 0.0)
    return upload


def acknowledged(size: int) -> AcceptedBytes:
    return AcceptedBytes(size, True)


def read_slowly(
    upload: Upload, size: int, rate: float = READ_RATE, step: int = BUFFER_BYTES // 2
) -> float:
    """Let an endpoint with a full buffer read a body; return when all of it is acknowledged."""
    accepted, now = BUFFER_BYTES, 0.0
    upload.note_accepted(acknowledged(accepted), now)
    while accepted < size:
        accepted = min(size, accepted + step)
        now = (accepted - BUFFER_BYTES) / rate
        upload.note_accepted(acknowledged(accepted), now)
    return now


def test_short_body_counts_as_read_at_once() -> None:
    upload = Upload(DEFAULT_READ_RATE)
    assert (upload.size, upload.is_accepted, upload.read_by) == (0, True, 0.0)
    assert upload.processing_s(3.0, 5.0) == 2.0


def test_body_of_which_nothing_is_accepted_does_not_delay_silence_detection() -> None:
    """An unreachable endpoint would be detected later if its body counted as in transfer."""
    upload = upload_of(1_000_000)
    upload.note_accepted(acknowledged(0), 0.1)
    assert upload.read_by == 0.0


def test_endpoint_is_not_silent_while_it_reads_a_full_buffer() -> None:
    upload = upload_of(1_000_000)
    upload.note_accepted(acknowledged(BUFFER_BYTES), 0.001)
    upload.note_accepted(acknowledged(BUFFER_BYTES), 0.2)
    assert upload.read_by == pytest.approx(BUFFER_BYTES / READ_RATE)


def test_reading_time_hidden_by_an_enlarged_buffer_does_not_count_as_work() -> None:
    """A kernel accepted 300 kB at once, and half a second of reading counted as prefill time."""
    upload = upload_of(300_000, ReadRate(READ_RATE, True))
    upload.note_accepted(acknowledged(300_000), 0.05)
    assert upload.read_by == pytest.approx(300_000 / READ_RATE)
    assert upload.processing_s(0.0, 0.61) is None


def test_few_bytes_accepted_by_a_full_buffer_do_not_count_as_read() -> None:
    """An endpoint that had stopped reading was given 1.8 s, as its kernel accepted a few bytes."""
    upload = upload_of(1_000_000)
    upload.note_accepted(acknowledged(BUFFER_BYTES + 10_000), 0.05)
    for number in range(1, 4):
        upload.note_accepted(acknowledged(BUFFER_BYTES + 10_000 + number * 10_000), 0.25 * number)
    assert upload.measured_rate is None


@pytest.mark.parametrize("rate", [100_000.0, 250_000.0, 1_000_000.0, 100_000_000.0])
def test_endpoint_that_reads_does_not_count_as_silent_before_its_next_step(rate: float) -> None:
    size = 1_500_000
    upload = upload_of(size)
    upload.note_accepted(acknowledged(BUFFER_BYTES), 0.0)
    upload.note_accepted(acknowledged(BUFFER_BYTES + 70_000), 70_000 / rate)
    accepted = BUFFER_BYTES + 70_000
    while accepted < size:
        accepted = min(size, accepted + BUFFER_BYTES // 2)
        acknowledged_at = (accepted - BUFFER_BYTES) / rate
        assert upload.read_by >= acknowledged_at - 0.15
        upload.note_accepted(acknowledged(accepted), acknowledged_at)
    assert upload.read_by >= size / rate - 0.15
    assert upload.measured_rate is not None
    assert 0.3 * rate < upload.measured_rate.bytes_a_second <= 1.01 * rate


def test_endpoint_that_stops_reading_counts_as_silent_soon_after_the_accepted_bytes() -> None:
    upload = upload_of(1_500_000)
    accepted_at = read_slowly(upload, 800_000)
    assert upload.read_by <= accepted_at + 2 * BUFFER_BYTES / READ_RATE


def test_without_acknowledgements_the_reading_time_follows_from_the_body_size() -> None:
    upload = upload_of(300_000)
    upload.note_accepted(AcceptedBytes(300_000, False), 0.001)
    assert upload.read_by == pytest.approx(300_000 / READ_RATE)
    assert upload.measured_rate is None


def test_transfer_time_on_a_slow_link_does_not_count_as_work() -> None:
    upload = upload_of(300_000)
    accepted_at = read_slowly(upload, 300_000)
    assert upload.processing_s(0.0, accepted_at + 0.1) is None
    assert upload.processing_s(0.0, accepted_at + 1.5) == pytest.approx(1.5)


def test_response_before_the_end_of_the_body_gives_no_measurement() -> None:
    upload = upload_of(300_000)
    upload.note_accepted(acknowledged(BUFFER_BYTES), 0.001)
    upload.note_accepted(acknowledged(200_000), 0.05)
    assert upload.processing_s(0.0, 0.1) is None
    rates = ReadRates()
    rates.note_answered("a", upload, 0.1)
    assert rates.read_rate("a") == DEFAULT_READ_RATE


def test_late_check_of_a_short_transfer_does_not_shorten_the_measured_work() -> None:
    """Prompts of 90 ms were measured as 84 ms, and a prefill engine became a decode too soon."""
    upload = upload_of(20_000)
    upload.note_accepted(acknowledged(20_000), 0.015)
    assert upload.processing_s(0.0, 0.09) == pytest.approx(0.09)


def test_unknown_endpoint_is_assumed_to_be_as_slow_as_the_slowest_measured_one() -> None:
    rates = ReadRates()
    assert rates.read_rate("a") == DEFAULT_READ_RATE
    upload = upload_of(900_000)
    answered_at = read_slowly(upload, 900_000, 100_000.0)
    rates.note_answered("a", upload, answered_at)
    known = rates.read_rate("a")
    assert known.is_measured
    assert rates.read_rate("b") == ReadRate(known.bytes_a_second, False)
    rates.forget("a")
    assert rates.read_rate("b") == DEFAULT_READ_RATE


def test_fast_response_raises_the_read_rate() -> None:
    rates = ReadRates()
    slow = upload_of(900_000)
    rates.note_answered("a", slow, read_slowly(slow, 900_000, 100_000.0))
    fast = upload_of(60_000, rates.read_rate("a"))
    fast.note_accepted(acknowledged(60_000), 0.001)
    rates.note_answered("a", fast, 0.02)
    assert rates.read_rate("a") == ReadRate(3_000_000.0, False)
