"""Plots the outcomes of requests over time; needs the extra ``plot`` (matplotlib)."""

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
    Outcome.CUT_OFF: "#b33951",
    Outcome.FAILED: "#6b2737",
    Outcome.CALLER_LEFT: "#8d99ae",
    Outcome.INTERRUPTED: "#5c4d7d",
    Outcome.UNKNOWN: "#cccccc",
}
_SIZE_INCHES = (11.0, 4.5)
_DOTS_PER_INCH = 110


def plot_outcomes(rows: Iterable[RouteSecond]) -> bytes:
    """Return a PNG with the requests per second, by outcome."""
    mpl.use("Agg")
    by_second: dict[int, Counter[Outcome]] = defaultdict(Counter)
    for row in rows:
        by_second[row.second].update(row.counts)
    seconds = sorted(by_second)
    figure = Figure(figsize=_SIZE_INCHES, dpi=_DOTS_PER_INCH)
    axes = figure.subplots()
    bottoms = [0] * len(seconds)
    for outcome, colour in _COLOURS.items():
        counts = [by_second[second][outcome] for second in seconds]
        axes.bar(seconds, counts, bottom=bottoms, width=1.0, color=colour, label=outcome.value)
        bottoms = [lower + count for lower, count in zip(bottoms, counts, strict=True)]
    axes.set_xlabel("second of arrival")
    axes.set_ylabel("requests per second")
    axes.legend(fontsize="small", ncols=len(_COLOURS))
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png")
    return buffer.getvalue()
