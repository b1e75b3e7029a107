"""Messages between instances stay compatible with earlier builds, in both directions.

This build decodes the bytes that each earlier build encoded, which are stored in the folder
``contract``. Earlier builds, extracted from the Git history, decode what this build encodes.
"""

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest

from cleatlink.relay.peers.messages import (
    Bundle,
    CrashUpdate,
    EndpointHint,
    EndpointLimitUsage,
    EndpointNoticeUpdate,
    EndpointSpeedUpdate,
    HeartbeatMessage,
    OrganisationUsage,
    OverloadUpdate,
    PlainCallTotals,
    PredecessorRetryUsage,
    RegistrationUpdate,
    RetryUsageUpdate,
    Roster,
    ServiceTimeUpdate,
    StreamBuildAnswer,
    StreamBuildQuery,
    StreamBuildUpdate,
    WaitQueueUpdate,
    WorkChanges,
    WorkList,
    decode_datagram,
    encode,
)
from cleatlink.relay.peers.snapshots import Snapshot, decode_snapshot
from soak.earlier_builds import RELEASED_COMMITS, extract_build
from tools import message_samples

RECORDINGS = Path(__file__).parent / "contract"
SAMPLES_PROGRAM = Path(message_samples.__file__).resolve()
# Message types by their names in the recorded files.
RECORDED_TYPES: dict[str, type] = {
    "Beat": HeartbeatMessage,
    "Changes": WorkChanges,
    "CrashNews": CrashUpdate,
    "EndpointHint": EndpointHint,
    "EndpointSpending": EndpointLimitUsage,
    "NoticeNews": EndpointNoticeUpdate,
    "PaceNews": ServiceTimeUpdate,
    "Roster": Roster,
    "Snapshot": Snapshot,
    "Spending": OrganisationUsage,
}
# The first build that decodes a message type, empty if no earlier build does. Builds before it
# count such messages as not understood.
FIRST_BUILDS = {
    Bundle.__name__: "",
    CrashUpdate.__name__: "820ff69",
    EndpointSpeedUpdate.__name__: "",
    EndpointLimitUsage.__name__: "4207a6e",
    EndpointNoticeUpdate.__name__: "709868b",
    OverloadUpdate.__name__: "",
    RegistrationUpdate.__name__: "",
    PlainCallTotals.__name__: "",
    PredecessorRetryUsage.__name__: "",
    RetryUsageUpdate.__name__: "",
    StreamBuildAnswer.__name__: "",
    StreamBuildQuery.__name__: "",
    StreamBuildUpdate.__name__: "",
    OrganisationUsage.__name__: "c558fa2",
    WorkList.__name__: "",
    WaitQueueUpdate.__name__: "",
}
# Builds that decode this build's snapshots. Earlier ones decode a registration as a tuple of fewer
# fields; they log that the fetch failed and rely on the configuration service.
SNAPSHOT_DECODERS = ("820ff69", "709868b", "4207a6e")


def recorded(build: str) -> dict[str, str]:
    """Return the bytes that a build encoded, in hexadecimal, by the name of the message type."""
    samples: dict[str, str] = json.loads((RECORDINGS / f"{build}.json").read_text())
    return samples


def is_prefix(earlier: Any, later: Any) -> bool:
    """Check whether a later form has all values of an earlier form at the same positions."""
    if isinstance(earlier, list) and isinstance(later, list):
        pairs = zip(earlier, later, strict=False)
        return len(earlier) <= len(later) and all(is_prefix(one, other) for one, other in pairs)
    if isinstance(earlier, dict) and isinstance(later, dict):
        return earlier.keys() == later.keys() and all(
            is_prefix(earlier[key], later[key]) for key in earlier
        )
    return bool(earlier == later)


def decode_untyped(text: str) -> Any:
    """Decode an encoded message to lists and maps."""
    return msgspec.msgpack.decode(bytes.fromhex(text))


@pytest.mark.parametrize("build", RELEASED_COMMITS)
def test_this_build_decodes_messages_of_earlier_builds(build: str) -> None:
    samples = recorded(build)
    assert "Snapshot" in samples
    for name, text in samples.items():
        data = bytes.fromhex(text)
        message = decode_snapshot(data) if name == "Snapshot" else decode_datagram(data)
        assert message is not None, name
        assert type(message) is RECORDED_TYPES[name]
        assert is_prefix(decode_untyped(text), decode_untyped(encode(message).hex())), name


@pytest.fixture(scope="module")
def builds(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Path]:
    folder = tmp_path_factory.mktemp("builds")
    return {build: extract_build(build, folder) for build in RELEASED_COMMITS}


@pytest.mark.parametrize("build", RELEASED_COMMITS)
def test_earlier_builds_decode_messages_of_this_build(build: str, builds: dict[str, Path]) -> None:
    source_tree = builds[build]
    encoded_samples = message_samples.encode_samples()
    process = subprocess.run(
        [sys.executable, str(SAMPLES_PROGRAM), "read"],
        input=json.dumps(encoded_samples),
        env={**os.environ, "PYTHONPATH": str(source_tree)},
        cwd=source_tree,
        capture_output=True,
        text=True,
        check=True,
    )
    decoded_samples: dict[str, str | None] = json.loads(process.stdout)
    for name, text in encoded_samples.items():
        decoded = decoded_samples[name]
        if name == "Snapshot":
            is_expected = build in SNAPSHOT_DECODERS
        else:
            first = FIRST_BUILDS.get(name, RELEASED_COMMITS[0])
            is_expected = bool(first) and RELEASED_COMMITS.index(build) >= RELEASED_COMMITS.index(
                first
            )
        assert (decoded is not None) is is_expected, name
        if decoded is not None:
            assert is_prefix(decode_untyped(decoded), decode_untyped(text)), name


def test_subprocess_uses_sources_of_earlier_build(builds: dict[str, Path]) -> None:
    """The subprocess must use the sources of the earlier build, which has fewer message types."""
    process = subprocess.run(
        [sys.executable, str(SAMPLES_PROGRAM), "write"],
        env={**os.environ, "PYTHONPATH": str(builds[RELEASED_COMMITS[0]])},
        cwd=builds[RELEASED_COMMITS[0]],
        capture_output=True,
        text=True,
        check=True,
    )
    assert json.loads(process.stdout) == recorded(RELEASED_COMMITS[0])
    earlier = {RECORDED_TYPES[name].__name__ for name in recorded(RELEASED_COMMITS[0])}
    assert message_samples.encode_samples().keys() > earlier


def test_invalid_messages_are_not_decoded() -> None:
    assert decode_datagram(b"") is None
    assert decode_datagram(msgspec.msgpack.encode(["no such tag", 1])) is None
    assert decode_datagram(msgspec.msgpack.encode(["b", 1])) is None
    with pytest.raises(msgspec.MsgspecError):
        decode_snapshot(b"\x91\x01")


def test_snapshot_without_eras_has_era_zero() -> None:
    snapshot = decode_snapshot(bytes.fromhex(recorded("820ff69")["Snapshot"]))
    assert isinstance(snapshot, Snapshot)
    assert {record.revision.era for record in snapshot.endpoint_records()} == {0}
