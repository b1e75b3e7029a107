"""Analyzes the relay's logs: the outcomes of requests, and the causes of losses."""

from cleatlink.analysis.log_reader import LogLine, LogReader
from cleatlink.analysis.report import Report, render_html, render_text
from cleatlink.analysis.timeline import RequestTimeline

__all__ = ["LogLine", "LogReader", "Report", "RequestTimeline", "render_html", "render_text"]
