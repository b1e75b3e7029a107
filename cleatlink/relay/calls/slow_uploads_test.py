"""Requests whose bodies take long on their way to an endpoint that reads without a pause."""

import pytest
import trio

from standins.relay import RawCall, Worker, http
from standins.relay.example import STREAM, start
from standins.relay.fleet import open_fleet

pytestmark = pytest.mark.virtual_time

LINK_BYTES_A_SECOND = 500_000
READ_BYTES = 16_384
# Requests with shorter bodies are those by which the instance learns its endpoints' pace.
LONG_BODY_BYTES = 10_000


class NarrowLink:
    """Has stand-ins read requests as over a narrow link; notes those with long bodies."""

    def __init__(self) -> None:
        self.long_calls: list[str] = []

    async def read_call(
        self, stream: trio.SocketStream, buffer: bytes
    ) -> tuple[RawCall, bytes] | None:
        while b"\r\n\r\n" not in buffer:
            data = await stream.receive_some(READ_BYTES)
            if not data:
                return None
            buffer += data
        head, _, buffer = buffer.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", "0"))
        if length > LONG_BODY_BYTES:
            self.long_calls.append(headers["expected-instance"])
        while len(buffer) < length:
            data = await stream.receive_some(READ_BYTES)
            if not data:
                return None
            buffer += data
            await trio.sleep(len(data) / LINK_BYTES_A_SECOND)
        return RawCall(method, target, headers, buffer[:length]), buffer[length:]


@pytest.fixture
def link(monkeypatch: pytest.MonkeyPatch) -> NarrowLink:
    made = NarrowLink()
    monkeypatch.setattr(http, "_read_call", made.read_call)
    return made


async def test_body_on_its_way_is_not_taken_for_the_endpoints_silence(link: NarrowLink) -> None:
    """A second endpoint was asked while the body was still on its way to the first."""
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"), Worker("plain"))
        caller = fleet.caller()
        for _ in range(5):
            assert (await caller.ask("/safe/x")).status == 200
        assert (await caller.ask("/safe/x", "PUT", body=300_000 * b"x")).status == 200
        assert len(link.long_calls) == 1


async def test_prompt_on_its_way_is_not_taken_for_the_prefills_silence(link: NarrowLink) -> None:
    """Two prefills were left while the prompt was on its way, and the caller got 504."""
    async with open_fleet() as fleet:
        prefills = Worker("model", "prefill"), Worker("model", "prefill")
        decodes = Worker("model", "decode"), Worker("model", "decode")
        await start(fleet, *prefills, *decodes)
        caller = fleet.caller()
        for _ in range(3):
            assert (await caller.ask("/stream/x", "POST", body=b"p", headers=STREAM)).status == 200
        reply = await caller.ask("/stream/x", "POST", body=400_000 * b"p", headers=STREAM)
        assert reply.status == 200


async def test_prompt_on_its_way_is_not_taken_for_the_decodes_silence(link: NarrowLink) -> None:
    """A second decode was asked while the prompt was on its way, and the caller got 504."""
    async with open_fleet() as fleet:
        await start(fleet, Worker("model", "decode"), Worker("model", "decode"))
        caller = fleet.caller()
        for _ in range(3):
            assert (await caller.ask("/resume/x", "POST", body=b"p", headers=STREAM)).status == 200
        reply = await caller.ask("/resume/x", "POST", body=850_000 * b"p", headers=STREAM)
        assert reply.status == 200
