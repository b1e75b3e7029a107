"""Keeps configuration and instance list in force, from platform and peers.

Whatever the source, a document only ever replaces one of a lower revision.
"""

from collections.abc import Callable

import trio

from cleatlink.config import ActiveConfiguration, OfferResult, PublishedConfiguration
from cleatlink.core.data import Configuration, Fleet
from cleatlink.core.errors import PlatformError
from cleatlink.serving.logs import Log
from cleatlink.serving.metrics import Metrics
from cleatlink.serving.platform import Document, DocumentKind, Platform, read_fleet

__all__ = ["DocumentStore", "watch_platform"]

_FIRST_PAUSE_S = 0.2
_MAX_PAUSE_S = 5.0


class DocumentStore:
    """Both documents as one instance has them."""

    def __init__(
        self,
        metrics: Metrics,
        on_configuration: Callable[[Configuration], None],
        on_fleet: Callable[[Fleet], None],
    ) -> None:
        self._metrics = metrics
        self._on_configuration = on_configuration
        self._on_fleet = on_fleet
        self._adopter = ActiveConfiguration()
        self._fleet: Document | None = None
        self._log = Log("config")

    @property
    def adopter(self) -> ActiveConfiguration:
        """The configuration in force and how it came about."""
        return self._adopter

    @property
    def fleet(self) -> Document | None:
        """The instance list in use, as published."""
        return self._fleet

    @property
    def complete(self) -> bool:
        """Whether both documents are there."""
        return self._adopter.configuration is not None and self._fleet is not None

    def revision(self, kind: DocumentKind) -> int:
        """Give the revision of a document; 0 before the first."""
        if kind is DocumentKind.CONFIG:
            return self._adopter.highest_validated_revision
        return self._fleet.revision if self._fleet else 0

    def offer(self, kind: DocumentKind, document: Document) -> bool:
        """Take a document from any source; tell whether it is in force now."""
        if kind is DocumentKind.CONFIG:
            return self._offer_configuration(document)
        return self._offer_fleet(document)

    def _offer_configuration(self, document: Document) -> bool:
        if not isinstance(document.value, str):
            self._log.say("configuration is no text.", revision=document.revision)
            return False
        outcome = self._adopter.offer(PublishedConfiguration(document.revision, document.value))
        self._metrics.count_adoption(outcome.value, self._adopter.revision)
        if outcome is OfferResult.INVALID:
            faults = [str(fault) for fault in self._adopter.faults[:10]]
            self._log.say("configuration refused.", revision=document.revision, faults=faults)
        elif outcome is OfferResult.CONFLICT:
            self._log.say("two configurations have one revision.", revision=document.revision)
        elif outcome is OfferResult.ADOPTED and self._adopter.configuration is not None:
            self._log.say("configuration in force.", revision=document.revision)
            self._on_configuration(self._adopter.configuration)
        return outcome is OfferResult.ADOPTED

    def _offer_fleet(self, document: Document) -> bool:
        if self._fleet is not None and document.revision <= self._fleet.revision:
            return False
        try:
            fleet = read_fleet(document)
        except PlatformError as error:
            self._log.say("instance list refused.", reason=str(error))
            return False
        self._fleet = document
        self._on_fleet(fleet)
        return True


async def watch_platform(
    platform: Platform, kind: DocumentKind, store: DocumentStore, asked: trio.Event
) -> None:
    """Watch one document for ever; sets ``asked`` after the first try."""
    log = Log("platform")
    pause = _FIRST_PAUSE_S
    while True:
        try:
            document = await _ask(platform, kind, store, first=not asked.is_set())
            if document is not None:
                store.offer(kind, document)
            if pause > _FIRST_PAUSE_S:
                log.say("answers again.", document=kind.value)
            # A platform that answers stale or empty at once must not be hammered.
            stale = document is not None and document.revision < store.revision(kind)
            pause = _MAX_PAUSE_S if stale else _FIRST_PAUSE_S
        except PlatformError as error:
            if pause == _FIRST_PAUSE_S:
                log.say("does not answer.", document=kind.value, reason=str(error))
            pause = min(_MAX_PAUSE_S, 2 * pause)
        asked.set()
        if pause > _FIRST_PAUSE_S or store.revision(kind) == 0:
            await trio.sleep(pause)


async def _ask(
    platform: Platform, kind: DocumentKind, store: DocumentStore, first: bool
) -> Document | None:
    if first or store.revision(kind) == 0:
        return await platform.read(kind)
    return await platform.watch(kind, store.revision(kind))
