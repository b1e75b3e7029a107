"""Plots what became of requests over time; needs the extra ``plot`` (matplotlib)."""

import io
from collections import Counter, defaultdict
from collections.abc import Iterable

import matplotlib as mpl
from matplotlib.figure import Figure

from cleatlink.analysis.outcomes import Outcome, RouteSecond

__all__ = ["plot_outcomes"]

_COLOURS = {
    Outcome.IN_TIME: "#4c9f70",
    Outcome.LATE: "#e8c547",
    Outcome.REFUSED: "#e07a3f",
    Outcome.BROKEN: "#b33951",
    Outcome.FAILED: "#6b2737",
    Outcome.GONE: "#8d99ae",
    Outcome.CUT: "#5c4d7d",
    Outcome.UNKNOWN: "#cccccc",
}
_INCHES = (11.0, 4.5)
_DOTS_PER_INCH = 110


def plot_outcomes(rows: Iterable[RouteSecond]) -> bytes:
    """Give a PNG with requests a second, by what became of them."""
    mpl.use("Agg")
    by_second: dict[int, Counter[Outcome]] = defaultdict(Counter)
    for row in rows:
        by_second[row.second].update(row.counts)
    seconds = sorted(by_second)
    figure = Figure(figsize=_INCHES, dpi=_DOTS_PER_INCH)
    axes = figure.subplots()
    below = [0] * len(seconds)
    for outcome, colour in _COLOURS.items():
        counts = [by_second[second][outcome] for second in seconds]
        axes.bar(seconds, counts, bottom=below, width=1.0, color=colour, label=outcome.value)
        below = [low + count for low, count in zip(below, counts, strict=True)]
    axes.set_xlabel("second of arrival")
    axes.set_ylabel("requests a second")
    axes.legend(fontsize="small", ncols=len(_COLOURS))
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png")
    return buffer.getvalue()
