"""What comes from endpoints, peers and the platform may be anything."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cleatlink.core.data import CacheUpdate, Endpoint, Role
from cleatlink.core.errors import ConfigurationError, PlatformError, StreamBrokenError
from cleatlink.members import Heartbeat, ReportedState
from cleatlink.request import InFlightNote
from cleatlink.serving.endpoints import StreamEvent, parse_event, read_cache_news, read_report
from cleatlink.serving.flight import join_text
from cleatlink.serving.peer_link import Message, decode_message, encode_message
from cleatlink.serving.platform import Document, read_fleet
from cleatlink.serving.settings import Address, Settings, check_settings, parse_address

BEAT = Heartbeat("e1", 1, "a", "127.0.0.1:1", ReportedState.READY, 3, ("d1",), 7)
NOTE = InFlightNote("r", "e1", 1, 0, ("p1",), 3.5)


def test_events() -> None:
    assert parse_event(b"id: r.0:12\ndata: {}") == StreamEvent("r.0", 12, b"{}", False)
    assert parse_event(b"id: r.0:3\ndata: [DONE]").end


@given(st.binary(max_size=40))
def test_any_event_is_parsed_or_breaks_the_stream(data: bytes) -> None:
    for text in (data, b"id: " + data, b"id: r.0:1" + data, data + b"\ndata: {}"):
        try:
            event = parse_event(text)
        except StreamBrokenError:
            continue
        assert event.position >= 0


@pytest.mark.parametrize(
    "message",
    [Message("beat", BEAT), Message("note", NOTE), Message("ack", "r"), Message("drop", "r")],
)
def test_messages_come_back_as_sent(message: Message) -> None:
    assert decode_message(encode_message(message)) == message


@given(st.binary(max_size=60))
def test_any_datagram_is_a_message_or_none(data: bytes) -> None:
    message = decode_message(data)
    assert message is None or message.kind in ("beat", "note", "ack", "drop")


@given(st.integers(0, 200), st.integers(0, 255))
def test_damaged_heartbeat_is_a_message_or_none(at: int, value: int) -> None:
    data = bytearray(encode_message(Message("beat", BEAT)))
    data[at % len(data)] = value
    message = decode_message(bytes(data))
    assert message is None or isinstance(message.value, Heartbeat | InFlightNote | str)


def test_fleet_is_read_or_refused() -> None:
    item = {"name": "d1", "address": "x", "data_centre": "a", "pool": "p", "state": "leaving"}
    fleet = read_fleet(Document(3, {"endpoints": [item], "instances": []}))
    assert fleet.endpoints == (Endpoint("d1", "x", "a", "p", True),)
    for value in (None, [], {}, {"endpoints": [{}], "instances": []}, {"endpoints": 3}):
        with pytest.raises(PlatformError):
            read_fleet(Document(1, value))


def test_report_of_a_plain_service_needs_little() -> None:
    endpoint = Endpoint("s1", "x", "a", "p")
    assert read_report(endpoint, Role.PLAIN, {"leaving": True}).leaving
    with pytest.raises(ValueError, match="could not convert"):
        read_report(endpoint, Role.PLAIN, {"prefill_tokens_per_s": "fast"})


def test_cache_events_tell_their_gaps() -> None:
    def event(number: int) -> dict[str, object]:
        return {"number": number, "prefix": 10 + number, "stored": number % 2 == 1}

    whole = {"cache_events": [event(4), event(5)], "last_event": 5}
    assert read_cache_news(whole, 3) == CacheUpdate((15,), (14,), 5, False)
    assert read_cache_news(whole, 2).gap
    assert read_cache_news({"cache_events": [event(5)], "last_event": 5}, 3).gap
    assert read_cache_news({"cache_events": [], "last_event": 1}, 3).gap
    assert read_cache_news({}, 3) == CacheUpdate((), (), 3, False)


@given(st.lists(st.binary(max_size=30)), st.booleans())
def test_any_events_join(events: list[bytes], chat: bool) -> None:
    assert isinstance(join_text(events, chat), str)


def test_events_join_in_both_forms() -> None:
    text = json.dumps({"choices": [{"text": "a"}]}).encode()
    delta = json.dumps({"choices": [{"delta": {"content": "b"}}]}).encode()
    assert join_text([text, text], chat=False) == "aa"
    assert join_text([delta], chat=True) == "b"


def test_addresses_and_settings() -> None:
    assert parse_address("127.0.0.1:80") == Address("127.0.0.1", 80)
    assert str(parse_address("[::1]:80")) == "[::1]:80"
    for wrong in ("", "80", "host:80", "127.0.0.1:x", "127.0.0.1:70000", "127.0.0.1"):
        with pytest.raises(ConfigurationError):
            parse_address(wrong)
    good = Settings("e1", "a", Address("127.0.0.1", 0), Address("127.0.0.1", 0), None)
    assert check_settings(good) == ["either a platform or a peer must be given"]
    bad = good._replace(name="", data_centre="a b", poll_s=0.0)
    assert len(check_settings(bad)) == 4
