"""Counters, gauges and histograms in the text form that Prometheus reads.

Made for counting in the path of every message: one look into a dictionary.
"""

from abc import ABC, abstractmethod
from bisect import bisect_left
from collections.abc import Iterator, Mapping, Sequence
from itertools import accumulate

__all__ = ["Counter", "Gauge", "Histogram", "Metric", "Registry"]

_Labels = tuple[tuple[str, str], ...]


class Metric(ABC):
    """A metric with its values by labels."""

    def __init__(self, name: str, doc: str, registry: "Registry") -> None:
        """Start without values.

        Args:
            name: Name in the text form.
            doc: What it tells, in a sentence.
            registry: Renders it.
        """
        self.name = name
        self.doc = doc
        registry.add(self)

    @property
    @abstractmethod
    def kind(self) -> str:
        """Kind in the text form."""

    @abstractmethod
    def lines(self) -> Iterator[str]:
        """Give its values as lines of the text form."""


class Counter(Metric):
    """A number by labels that only grows."""

    def __init__(self, name: str, doc: str, registry: "Registry") -> None:
        super().__init__(name, doc, registry)
        self._values: dict[_Labels, float] = {}

    @property
    def kind(self) -> str:
        """Kind in the text form."""
        return "counter"

    def inc(self, labels: Mapping[str, str]) -> None:
        """Add one; labels come in the same order each time."""
        key = tuple(labels.items())
        self._values[key] = self._values.get(key, 0) + 1

    def set(self, labels: Mapping[str, str], value: float) -> None:
        """Set a value."""
        self._values[tuple(labels.items())] = value

    def get(self, labels: Mapping[str, str]) -> float:
        """Give a value; 0 for one that was never counted."""
        return self._values.get(tuple(labels.items()), 0)

    def lines(self) -> Iterator[str]:
        """Give its values as lines of the text form."""
        for labels, value in self._values.items():
            yield f"{self.name}{_braces(labels)} {value}"


class Gauge(Counter):
    """A number by labels as it is now."""

    @property
    def kind(self) -> str:
        """Kind in the text form."""
        return "gauge"


class Histogram(Metric):
    """How many values were up to each bound, by labels."""

    def __init__(self, name: str, doc: str, registry: "Registry", bounds: Sequence[float]) -> None:
        """Start without values.

        Args:
            name: Name in the text form.
            doc: What it tells, in a sentence.
            registry: Renders it.
            bounds: Upper bounds of the buckets, lowest first; one without a bound follows.
        """
        super().__init__(name, doc, registry)
        self._bounds = list(bounds)
        self._counts: dict[_Labels, list[int]] = {}
        self._sums: dict[_Labels, float] = {}

    @property
    def kind(self) -> str:
        """Kind in the text form."""
        return "histogram"

    def observe(self, labels: Mapping[str, str], value: float) -> None:
        """Take a value; one at a bound is within it."""
        key = tuple(labels.items())
        counts = self._counts.get(key)
        if counts is None:
            counts = self._counts[key] = [0] * (len(self._bounds) + 1)
        counts[bisect_left(self._bounds, value)] += 1
        self._sums[key] = self._sums.get(key, 0.0) + value

    def lines(self) -> Iterator[str]:
        """Give its values as lines of the text form."""
        bounds = [*map(str, self._bounds), "+Inf"]
        for labels, counts in self._counts.items():
            for bound, count in zip(bounds, accumulate(counts), strict=True):
                yield f"{self.name}_bucket{_braces((*labels, ('le', bound)))} {count}"
            yield f"{self.name}_count{_braces(labels)} {sum(counts)}"
            yield f"{self.name}_sum{_braces(labels)} {self._sums[labels]}"


class Registry:
    """The metrics of a process."""

    def __init__(self) -> None:
        self._metrics: dict[str, Metric] = {}

    def add(self, metric: Metric) -> None:
        """Add a metric.

        Raises:
            ValueError: There is one of this name.
        """
        if metric.name in self._metrics:
            raise ValueError(f"two metrics have the name {metric.name}")
        self._metrics[metric.name] = metric

    def get_all(self) -> list[Metric]:
        """Give all metrics."""
        return list(self._metrics.values())

    def render(self) -> bytes:
        """Render all metrics in the text form, in the order of their names."""
        lines: list[str] = []
        for name, metric in sorted(self._metrics.items()):
            lines += (f"# HELP {name} {metric.doc}", f"# TYPE {name} {metric.kind}")
            lines += metric.lines()
        return ("\n".join(lines) + "\n").encode()


def _braces(labels: _Labels) -> str:
    """Give labels in the text form."""
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{_escaped(value)}"' for name, value in labels) + "}"


def _escaped(value: str) -> str:
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
