"""Activates configurations only in increasing order of revision.

Stale platform replicas, peers that lag behind and restarts can all supply old revisions.
The only protection is the rule that a configuration is replaced only by one with a higher
revision, so this module is the only place that implements it.
"""

from enum import StrEnum
from typing import NamedTuple

from cleatlink.config.document import Fault
from cleatlink.config.loader import load_configuration
from cleatlink.core.data import Configuration

__all__ = ["OfferResult", "ActiveConfiguration", "PublishedConfiguration"]


class PublishedConfiguration(NamedTuple):
    """A published configuration: its revision and its text."""

    revision: int
    text: str


class OfferResult(StrEnum):
    """Result of offering a configuration.

    Attributes:
        ADOPTED: It is valid and newer than the active one, which it replaced.
        KNOWN: It is the active one.
        OLDER: Its revision is lower than the active one.
        INVALID: It is newer than the active one but has errors, so it was rejected.
        CONFLICT: It has the active revision but a different text, so it was rejected.
    """

    ADOPTED = "adopted"
    KNOWN = "known"
    OLDER = "older"
    INVALID = "invalid"
    CONFLICT = "conflict"


class ActiveConfiguration:
    """Holds the active configuration and replaces it with newer valid ones."""

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._published: PublishedConfiguration | None = None
        self._faults: list[Fault] = []
        self._highest_validated_revision = 0

    @property
    def configuration(self) -> Configuration | None:
        """The active configuration; None before the first one."""
        return self._configuration

    @property
    def published(self) -> PublishedConfiguration | None:
        """The active configuration as published, to forward to peers."""
        return self._published

    @property
    def revision(self) -> int:
        """The active revision; 0 before the first one."""
        return self._published.revision if self._published else 0

    @property
    def highest_validated_revision(self) -> int:
        """The highest revision validated so far, whether valid or not."""
        return self._highest_validated_revision

    @property
    def faults(self) -> list[Fault]:
        """Errors in the last invalid configuration that is newer than the active one."""
        return self._faults

    def offer(self, published: PublishedConfiguration) -> OfferResult:
        """Validate a configuration and activate it if it is newer than the active one and valid."""
        if published.revision < self.revision:
            return OfferResult.OLDER
        if published.revision == self.revision:
            is_same_text = self._published is not None and published.text == self._published.text
            return OfferResult.KNOWN if is_same_text else OfferResult.CONFLICT
        configuration, faults = load_configuration(published.text, published.revision)
        self._highest_validated_revision = max(self._highest_validated_revision, published.revision)
        if configuration is None:
            self._faults = faults
            return OfferResult.INVALID
        self._configuration, self._published, self._faults = configuration, published, []
        return OfferResult.ADOPTED
