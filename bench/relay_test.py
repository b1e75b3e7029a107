"""Runs the relay benchmark on a real process and checks the measured values."""

from bench.relay import measure_relay


async def test_measures_calls_streams_and_events() -> None:
    row = await measure_relay(rounds=1, request_count=4)
    assert row["requests"] == 12
    assert row["call_ms"] >= 0
    assert row["request_ms"] >= 0
    assert row["event_ms"] > -1
