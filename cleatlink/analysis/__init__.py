"""Reads the relay's logs and tells where requests were lost, and why."""

from cleatlink.analysis.lines import LogLine, LogReader
from cleatlink.analysis.report import Report, render_html, render_text
from cleatlink.analysis.story import Story

__all__ = ["LogLine", "LogReader", "Report", "Story", "render_html", "render_text"]
