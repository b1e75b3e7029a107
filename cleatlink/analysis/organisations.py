"""What became of organisations' requests, by organisation and data centre."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from cleatlink.analysis.lines import LogLine
from cleatlink.analysis.outcomes import Outcome

__all__ = ["OrganisationRow", "OrganisationTable"]


class OrganisationRow(NamedTuple):
    """One row.

    Attributes:
        organisation: Name of the organisation.
        data_centre: Where its requests arrived; empty if the logs do not tell.
        counts: How many of its requests came to which outcome.
        over: How many were refused as over its limit, among those refused.
        limit_per_s: Its limit when it was last over it; None if it never was.
    """

    organisation: str
    data_centre: str
    counts: Counter[Outcome]
    over: int
    limit_per_s: float | None


class OrganisationTable:
    """Counts requests by whose they are."""

    def __init__(self) -> None:
        self._data_centres: dict[str, str] = {}
        self._counts: dict[tuple[str, str], Counter[Outcome]] = defaultdict(Counter)
        self._over: Counter[tuple[str, str]] = Counter()
        self._limits: dict[str, float] = {}

    def add(self, line: LogLine) -> None:
        """Take a line that tells a limit, or where an instance runs."""
        if line.message == "instance: starts":
            self._data_centres[line.instance] = str(line.fields.get("data_centre", ""))
        elif line.message == "relay: is above its organisation's rate limit":
            organisation = str(line.fields.get("organisation", ""))
            self._limits[organisation] = line.number("limit_per_s")

    def count(self, line: LogLine, outcome: Outcome) -> None:
        """Count a request by the line that tells its end."""
        organisation = line.fields.get("organisation")
        if organisation is None:
            return
        key = str(organisation), self._data_centres.get(line.instance, "")
        self._counts[key][outcome] += 1
        if line.fields.get("kind") == "over_limit":
            self._over[key] += 1

    def rows(self) -> Iterator[OrganisationRow]:
        """Give the rows by name."""
        for (organisation, data_centre), counts in sorted(self._counts.items()):
            over = self._over[organisation, data_centre]
            limit = self._limits.get(organisation)
            yield OrganisationRow(organisation, data_centre, counts, over, limit)
