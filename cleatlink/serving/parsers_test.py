"""Parsers of input from endpoints, peers, the platform and settings accept or reject any input."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.core.data import CacheUpdate, Endpoint, Role
from cleatlink.core.errors import ConfigurationError, PlatformError, StreamBrokenError
from cleatlink.members import Heartbeat, ReportedState
from cleatlink.request import InFlightNote
from cleatlink.serving.endpoints import (
    StreamEvent,
    parse_cache_update,
    parse_event,
    parse_load_report,
)
from cleatlink.serving.model_request_driver import join_text
from cleatlink.serving.peer_link import Message, decode_message, encode_message
from cleatlink.serving.platform import Document, parse_fleet
from cleatlink.serving.settings import Address, Settings, check_settings, parse_address

HEARTBEAT = Heartbeat("e1", 1, "a", "127.0.0.1:1", ReportedState.READY, 3, ("d1",), 7)
NOTE = InFlightNote("r", "e1", 1, 0, ("p1",), 3.5)


def test_parse_event_reads_id_and_data() -> None:
    assert parse_event(b"id: r.0:12\ndata: {}") == StreamEvent("r.0", 12, b"{}", False)
    assert parse_event(b"id: r.0:3\ndata: [DONE]").end


@given(st.binary(max_size=40))
def test_any_input_to_parse_event_is_parsed_or_raises_stream_broken(data: bytes) -> None:
    for event_bytes in (data, b"id: " + data, b"id: r.0:1" + data, data + b"\ndata: {}"):
        try:
            event = parse_event(event_bytes)
        except StreamBrokenError:
            continue
        assert event.position >= 0


@pytest.mark.parametrize(
    "message",
    [Message("beat", HEARTBEAT), Message("note", NOTE), Message("ack", "r"), Message("drop", "r")],
)
def test_messages_are_unchanged_by_encoding_and_decoding(message: Message) -> None:
    assert decode_message(encode_message(message)) == message


@given(st.binary(max_size=60))
def test_any_datagram_decodes_to_a_message_or_none(data: bytes) -> None:
    message = decode_message(data)
    assert message is None or message.kind in ("beat", "note", "ack", "drop")


@given(st.integers(0, 200), st.integers(0, 255))
def test_corrupted_heartbeat_decodes_to_a_message_or_none(index: int, value: int) -> None:
    data = bytearray(encode_message(Message("beat", HEARTBEAT)))
    data[index % len(data)] = value
    message = decode_message(bytes(data))
    assert message is None or isinstance(message.value, Heartbeat | InFlightNote | str)


def test_parse_fleet_rejects_invalid_instance_lists() -> None:
    item = {"name": "d1", "address": "x", "data_centre": "a", "pool": "p", "state": "leaving"}
    fleet = parse_fleet(Document(3, {"endpoints": [item], "instances": []}))
    assert fleet.endpoints == (Endpoint("d1", "x", "a", "p", True),)
    for value in (None, [], {}, {"endpoints": [{}], "instances": []}, {"endpoints": 3}):
        with pytest.raises(PlatformError):
            parse_fleet(Document(1, value))


def test_report_of_a_plain_service_needs_no_load_fields() -> None:
    endpoint = Endpoint("s1", "x", "a", "p")
    assert parse_load_report(endpoint, Role.PLAIN, {"leaving": True}).leaving
    with pytest.raises(ValueError, match="could not convert"):
        parse_load_report(endpoint, Role.PLAIN, {"prefill_tokens_per_s": "fast"})


def test_gaps_in_the_numbers_of_cache_events_are_detected() -> None:
    def event(number: int) -> dict[str, object]:
        return {"number": number, "prefix": 10 + number, "stored": number % 2 == 1}

    complete = {"cache_events": [event(4), event(5)], "last_event": 5}
    assert parse_cache_update(complete, 3) == CacheUpdate((15,), (14,), 5, False)
    assert parse_cache_update(complete, 2).gap
    assert parse_cache_update({"cache_events": [event(5)], "last_event": 5}, 3).gap
    assert parse_cache_update({"cache_events": [], "last_event": 1}, 3).gap
    assert parse_cache_update({}, 3) == CacheUpdate((), (), 3, False)


@given(st.lists(st.binary(max_size=30)), st.booleans())
def test_join_text_accepts_any_events(events: list[bytes], chat: bool) -> None:
    assert isinstance(join_text(events, chat), str)


def test_join_text_reads_completion_and_chat_events() -> None:
    completion_event = json.dumps({"choices": [{"text": "a"}]}).encode()
    chat_event = json.dumps({"choices": [{"delta": {"content": "b"}}]}).encode()
    assert join_text([completion_event, completion_event], chat=False) == "aa"
    assert join_text([chat_event], chat=True) == "b"


def test_invalid_addresses_and_settings_are_reported() -> None:
    assert parse_address("127.0.0.1:80") == Address("127.0.0.1", 80)
    assert str(parse_address("[::1]:80")) == "[::1]:80"
    for invalid in ("", "80", "host:80", "127.0.0.1:x", "127.0.0.1:70000", "127.0.0.1"):
        with pytest.raises(ConfigurationError):
            parse_address(invalid)
    settings = Settings("e1", "a", Address("127.0.0.1", 0), Address("127.0.0.1", 0), None)
    assert check_settings(settings) == ["either a platform or a peer must be given"]
    invalid_settings = settings._replace(name="", data_centre="a b", poll_s=0.0)
    assert len(check_settings(invalid_settings)) == 4
