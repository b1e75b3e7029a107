"""What instances tell each other stays readable across builds, both ways.

Bytes that each earlier build wrote lie beside this test. What this build writes is read by the
earlier builds themselves, as they stand in the history.
"""

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest

from cleatlink.relay.peers.messages import decode_datagram, encode
from cleatlink.relay.peers.snapshots import Snapshot, decode_snapshot
from soak.builds import LANDED, extract_build
from tools import message_samples

RECORDED = Path(__file__).parent / "contract"
PROGRAM = Path(message_samples.__file__).resolve()
# Messages by the build that first knew them; earlier ones count them as not understood.
FIRST_KNOWN = {
    "Bundle": "",
    "CrashNews": "820ff69",
    "EndpointPaceNews": "",
    "EndpointSpending": "4207a6e",
    "NoticeNews": "709868b",
    "ShedNews": "",
    "SourceNews": "",
    "PlainCalls": "",
    "Spending": "c558fa2",
    "WorkList": "",
    "WaitNews": "",
}
# Builds that read this one's snapshots. Earlier ones read a registration as a tuple of fewer
# fields; they log that they can't fetch, and go by the configuration service.
READ_SNAPSHOTS = ("820ff69", "709868b", "4207a6e")


def recorded(build: str) -> dict[str, str]:
    """Give the bytes that a build wrote, by the name of a message."""
    samples: dict[str, str] = json.loads((RECORDED / f"{build}.json").read_text())
    return samples


def is_prefix(earlier: Any, later: Any) -> bool:
    """Tell whether all that an earlier form says stands at the same places of a later one."""
    if isinstance(earlier, list) and isinstance(later, list):
        pairs = zip(earlier, later, strict=False)
        return len(earlier) <= len(later) and all(is_prefix(one, other) for one, other in pairs)
    if isinstance(earlier, dict) and isinstance(later, dict):
        return earlier.keys() == later.keys() and all(
            is_prefix(earlier[key], later[key]) for key in earlier
        )
    return bool(earlier == later)


def in_plain(text: str) -> Any:
    """Give what encoded bytes hold, as lists and maps."""
    return msgspec.msgpack.decode(bytes.fromhex(text))


@pytest.mark.parametrize("build", LANDED)
def test_this_build_reads_what_earlier_ones_wrote(build: str) -> None:
    samples = recorded(build)
    assert "Snapshot" in samples
    for name, text in samples.items():
        data = bytes.fromhex(text)
        message = decode_snapshot(data) if name == "Snapshot" else decode_datagram(data)
        assert message is not None, name
        assert type(message).__name__ == name
        assert is_prefix(in_plain(text), in_plain(encode(message).hex())), name


@pytest.fixture(scope="module")
def builds(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Path]:
    folder = tmp_path_factory.mktemp("builds")
    return {build: extract_build(build, folder) for build in LANDED}


@pytest.mark.parametrize("build", LANDED)
def test_earlier_builds_read_what_this_one_writes(build: str, builds: dict[str, Path]) -> None:
    tree = builds[build]
    written = message_samples.write()
    found = subprocess.run(
        [sys.executable, str(PROGRAM), "read"],
        input=json.dumps(written),
        env={**os.environ, "PYTHONPATH": str(tree)},
        cwd=tree,
        capture_output=True,
        text=True,
        check=True,
    )
    read: dict[str, str | None] = json.loads(found.stdout)
    for name, text in written.items():
        understood = read[name]
        if name == "Snapshot":
            is_known = build in READ_SNAPSHOTS
        else:
            first = FIRST_KNOWN.get(name, LANDED[0])
            is_known = bool(first) and LANDED.index(build) >= LANDED.index(first)
        assert (understood is not None) is is_known, name
        if understood is not None:
            assert is_prefix(in_plain(understood), in_plain(text)), name


def test_earlier_build_is_asked_itself(builds: dict[str, Path]) -> None:
    """The sources that read are the earlier ones: they know fewer messages."""
    found = subprocess.run(
        [sys.executable, str(PROGRAM), "write"],
        env={**os.environ, "PYTHONPATH": str(builds[LANDED[0]])},
        cwd=builds[LANDED[0]],
        capture_output=True,
        text=True,
        check=True,
    )
    assert json.loads(found.stdout) == recorded(LANDED[0])
    assert message_samples.write().keys() > recorded(LANDED[0]).keys()


def test_what_is_no_message_is_none() -> None:
    assert decode_datagram(b"") is None
    assert decode_datagram(msgspec.msgpack.encode(["no such tag", 1])) is None
    assert decode_datagram(msgspec.msgpack.encode(["b", 1])) is None
    with pytest.raises(msgspec.MsgspecError):
        decode_snapshot(b"\x91\x01")


def test_snapshot_without_eras_is_of_the_earlier_platform() -> None:
    snapshot = decode_snapshot(bytes.fromhex(recorded("820ff69")["Snapshot"]))
    assert isinstance(snapshot, Snapshot)
    assert {record.revision.era for record in snapshot.endpoint_records()} == {0}
