"""Adopts configurations upwards only, whatever order or source they come in.

Stale platform replicas, peers that lag and restarts all offer old revisions;
the rule that only a higher revision replaces the one in force is the whole
defence, and is therefore kept in one place.
"""

from enum import StrEnum
from typing import NamedTuple

from cleatlink.config.document import Fault
from cleatlink.config.loader import load_configuration
from cleatlink.core.data import Configuration

__all__ = ["Adoption", "Adopter", "Published"]


class Published(NamedTuple):
    """A configuration as published: its revision and its text."""

    revision: int
    text: str


class Adoption(StrEnum):
    """What became of an offered configuration."""

    ADOPTED = "adopted"
    KNOWN = "known"
    OLDER = "older"
    INVALID = "invalid"
    CONFLICT = "conflict"


class Adopter:
    """Holds the configuration in force and judges what is offered."""

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._published: Published | None = None
        self._faults: list[Fault] = []
        self._highest_seen = 0

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force; None before the first."""
        return self._configuration

    @property
    def published(self) -> Published | None:
        """The configuration in force as published, to pass on to peers."""
        return self._published

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first."""
        return self._published.revision if self._published else 0

    @property
    def highest_seen(self) -> int:
        """The highest revision judged so far, valid or not."""
        return self._highest_seen

    @property
    def faults(self) -> list[Fault]:
        """The faults of the last invalid configuration above the one in force."""
        return self._faults

    def offer(self, published: Published) -> Adoption:
        """Judge an offered configuration and adopt it if it is newer and valid."""
        if published.revision < self.revision:
            return Adoption.OLDER
        if published.revision == self.revision:
            same = self._published is not None and published.text == self._published.text
            return Adoption.KNOWN if same else Adoption.CONFLICT
        configuration, faults = load_configuration(published.text, published.revision)
        self._highest_seen = max(self._highest_seen, published.revision)
        if configuration is None:
            self._faults = faults
            return Adoption.INVALID
        self._configuration, self._published, self._faults = configuration, published, []
        return Adoption.ADOPTED
