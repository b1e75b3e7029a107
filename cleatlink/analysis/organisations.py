"""Counts the outcomes of organisations' requests by organisation and data centre."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from cleatlink.analysis.log_reader import LogLine
from cleatlink.analysis.outcomes import Outcome

__all__ = ["OrganisationRow", "OrganisationTable"]


class OrganisationRow(NamedTuple):
    """The requests of an organisation that arrived in one data centre.

    Attributes:
        organisation: Name of the organisation.
        data_centre: Data centre of the instances that received the requests; empty if unknown.
        counts: Number of requests by outcome.
        over_limit_count: Number of the refused requests that exceeded the organisation's rate
            limit.
        limit_per_s: The rate limit when a request last exceeded it; None if none did.
    """

    organisation: str
    data_centre: str
    counts: Counter[Outcome]
    over_limit_count: int
    limit_per_s: float | None


class OrganisationTable:
    """Counts requests by organisation and data centre."""

    def __init__(self) -> None:
        self._data_centres: dict[str, str] = {}
        self._counts: dict[tuple[str, str], Counter[Outcome]] = defaultdict(Counter)
        self._over_limit_counts: Counter[tuple[str, str]] = Counter()
        self._limits_per_s: dict[str, float] = {}

    def add(self, line: LogLine) -> None:
        """Add a log line that contains a rate limit or the data centre of an instance."""
        if line.message_type == "instance: starts":
            self._data_centres[line.instance] = str(line.fields.get("data_centre", ""))
        elif line.message_type == "relay: is above its organisation's rate limit":
            organisation = str(line.fields.get("organisation", ""))
            self._limits_per_s[organisation] = line.number("limit_per_s")

    def count(self, line: LogLine, outcome: Outcome) -> None:
        """Count a request that has ended, by the log line that reports its end."""
        organisation = line.fields.get("organisation")
        if organisation is None:
            return
        key = str(organisation), self._data_centres.get(line.instance, "")
        self._counts[key][outcome] += 1
        if line.fields.get("kind") == "over_limit":
            self._over_limit_counts[key] += 1

    def rows(self) -> Iterator[OrganisationRow]:
        """Yield the rows, sorted by organisation and data centre."""
        for (organisation, data_centre), counts in sorted(self._counts.items()):
            over_limit_count = self._over_limit_counts[organisation, data_centre]
            limit_per_s = self._limits_per_s.get(organisation)
            yield OrganisationRow(organisation, data_centre, counts, over_limit_count, limit_per_s)
