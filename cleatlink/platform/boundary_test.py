"""The platform's wire names appear only in the adapter, and the adapter contains no policy."""

import ast
import re
from pathlib import Path

import cleatlink

ROOT = Path(cleatlink.__file__).parent
FOLDER = ROOT / "platform"
MAX_LINES = 600
# Wire names that are not common words, so that any match outside the adapter is a leak.
WIRE_NAMES = re.compile(
    r"attempt-id|deadline-milliseconds|token-counts|prompt-prefix|length-hint|server-stamp"
    r"|expected-instance|not-executed|cache-source|cache-backup|kv-handle|kv-key|kv-range|kv-watch"
    r"|op/config|servers/|private_key|path_prefix=|target_latency_ms|fencing_token|prefill_handle\b"
    r"|kv_cache_tokens|handle_retention|internal_ports|traffic_split|connection_limit\b.*json"
    r"|cleatlink_boot|draining\"",
    re.IGNORECASE,
)
# Modules that make decisions (such as placement and retry budgets); the adapter must not import
# them.
POLICY_MODULES = (
    "relay_placement",
    "capacity",
    "shared_retry_budget",
    "wait_queue",
    "stream",
    "plain",
    "service",
)


def source_files(folder: Path) -> list[Path]:
    return [path for path in sorted(folder.rglob("*.py")) if not path.name.endswith("_test.py")]


def test_wire_names_appear_only_in_the_adapter() -> None:
    leaks = [
        f"{path.relative_to(ROOT)}: {match.group(0)}"
        for path in source_files(ROOT)
        if FOLDER not in path.parents
        for match in WIRE_NAMES.finditer(path.read_text())
    ]
    assert leaks == []


def test_pattern_matches_wire_names_of_the_adapter() -> None:
    text = "".join(path.read_text() for path in source_files(FOLDER))
    assert len({match.group(0).lower() for match in WIRE_NAMES.finditer(text)}) > 15


def test_adapter_is_small_and_imports_no_policy_modules() -> None:
    assert sum(len(path.read_text().splitlines()) for path in source_files(FOLDER)) < MAX_LINES
    for path in source_files(FOLDER):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                assert node.module.rpartition(".")[2] not in POLICY_MODULES, path
                assert node.module not in ("random", "time"), path
