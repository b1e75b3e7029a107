"""Test that the operators' page describes the metrics as the code defines them."""

import re
from pathlib import Path

from cleatlink.relay.metrics import RelayMetrics

PAGE = Path(__file__).parents[2] / "docs" / "operators" / "relay.md"
ROW = re.compile(r"^\| `([a-z0-9_]+)` \| (\w+) \| (.*) \|$", re.MULTILINE)


def test_operators_page_describes_every_metric() -> None:
    documented = {name: (kind, text) for name, kind, text in ROW.findall(PAGE.read_text())}
    metrics = RelayMetrics()._registry.get_all()
    assert documented == {item.name: (type(item).__name__.lower(), item.doc) for item in metrics}


def test_rendered_metrics_include_histogram_buckets() -> None:
    metrics = RelayMetrics()
    metrics.count_answer("safe", 200, 0.05)
    assert b"cleatlink_relay_first_byte_seconds_bucket" in metrics.render()
