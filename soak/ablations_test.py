"""Tests that an instance with a disabled mechanism still answers."""

from collections.abc import Callable
from typing import Any

import pytest

from cleatlink.relay.endpoints.protocol import Protocol
from soak import ablations
from standins.relay import Worker
from standins.relay.example_fleet import start
from standins.relay.fleet import open_fleet

pytestmark = pytest.mark.virtual_time


@pytest.mark.parametrize(
    "read_notice", [ablations._read_empty_notice, ablations._read_notice_without_backoff]
)
async def test_instance_that_hears_no_notices_answers(
    monkeypatch: pytest.MonkeyPatch, read_notice: Callable[..., Any]
) -> None:
    monkeypatch.setattr(Protocol, "read_notice", read_notice)
    async with open_fleet() as fleet:
        await start(fleet, Worker("plain"))
        assert (await fleet.caller().ask("/unsafe/x", "POST", body=b"b")).status == 200
