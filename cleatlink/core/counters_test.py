"""Counters and their text form.

Values of labels come from callers and endpoints. A quotation mark or the end of a line in one
used to be written as it was, and broke the whole text for its reader.
"""

import pytest

from cleatlink.core.counters import Counter, Gauge, Histogram, Registry


def test_text_has_all_metrics_by_name_and_escapes_values() -> None:
    registry = Registry()
    calls = Counter("calls_total", "Calls.", registry)
    calls.inc({"of": 'a"b\n\\'})
    calls.inc({"of": 'a"b\n\\'})
    Gauge("build", "Version.", registry).set({}, 1)
    assert registry.render().decode().split("\n") == [
        "# HELP build Version.",
        "# TYPE build gauge",
        "build 1",
        "# HELP calls_total Calls.",
        "# TYPE calls_total counter",
        r'calls_total{of="a\"b\n\\"} 2',
        "",
    ]
    assert (calls.get({"of": 'a"b\n\\'}), calls.get({"of": "x"})) == (2, 0)


def test_histogram_counts_up_to_each_bound() -> None:
    registry = Registry()
    waits = Histogram("waits", "Waits.", registry, [0.1, 1.0])
    for value in (0.05, 0.1, 0.5, 7.0):
        waits.observe({"kind": "a"}, value)
    assert registry.render().decode().split("\n")[2:] == [
        'waits_bucket{kind="a",le="0.1"} 2',
        'waits_bucket{kind="a",le="1.0"} 3',
        'waits_bucket{kind="a",le="+Inf"} 4',
        'waits_count{kind="a"} 4',
        'waits_sum{kind="a"} 7.65',
        "",
    ]


def test_two_metrics_of_one_name_are_a_fault() -> None:
    registry = Registry()
    Counter("calls", "Calls.", registry)
    with pytest.raises(ValueError, match="calls"):
        Gauge("calls", "Calls.", registry)
