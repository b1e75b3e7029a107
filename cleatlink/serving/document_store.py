"""Stores the active configuration and instance list, received from the platform and peers.

A document replaces only one with a lower revision, whatever its source.
"""

from collections.abc import Callable

import trio

from cleatlink.config import ActiveConfiguration, OfferResult, PublishedConfiguration
from cleatlink.core.data import Configuration, Fleet
from cleatlink.core.errors import PlatformError
from cleatlink.serving.logs import Log
from cleatlink.serving.metrics import Metrics
from cleatlink.serving.platform import Document, DocumentKind, Platform, parse_fleet

__all__ = ["DocumentStore", "watch_platform"]

_MIN_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 5.0


class DocumentStore:
    """The configuration and the instance list that this instance uses."""

    def __init__(
        self,
        metrics: Metrics,
        on_configuration: Callable[[Configuration], None],
        on_fleet: Callable[[Fleet], None],
    ) -> None:
        """Create a store without documents.

        Args:
            metrics: Metrics of the instance.
            on_configuration: Called with each configuration that becomes active.
            on_fleet: Called with each instance list that becomes active.
        """
        self._metrics = metrics
        self._on_configuration = on_configuration
        self._on_fleet = on_fleet
        self._active_configuration = ActiveConfiguration()
        self._fleet_document: Document | None = None
        self._log = Log("config")

    @property
    def active_configuration(self) -> ActiveConfiguration:
        """The active configuration, with its revision and text."""
        return self._active_configuration

    @property
    def fleet_document(self) -> Document | None:
        """The active instance list, as published."""
        return self._fleet_document

    @property
    def has_both_documents(self) -> bool:
        """Whether the store has both documents."""
        return (
            self._active_configuration.configuration is not None
            and self._fleet_document is not None
        )

    def get_revision(self, kind: DocumentKind) -> int:
        """Return the highest revision of a document that was processed; 0 before the first one.

        For the configuration, this includes invalid revisions.
        """
        if kind is DocumentKind.CONFIG:
            return self._active_configuration.highest_validated_revision
        return self._fleet_document.revision if self._fleet_document else 0

    def offer(self, kind: DocumentKind, document: Document) -> bool:
        """Activate a document if it is valid and newer; return whether it was activated."""
        if kind is DocumentKind.CONFIG:
            return self._offer_configuration(document)
        return self._offer_fleet(document)

    def _offer_configuration(self, document: Document) -> bool:
        if not isinstance(document.value, str):
            self._log.log_message(
                "configuration is not a string, ignores it", revision=document.revision
            )
            return False
        result = self._active_configuration.offer(
            PublishedConfiguration(document.revision, document.value)
        )
        self._metrics.count_configuration_offer(result.value, self._active_configuration.revision)
        if result is OfferResult.INVALID:
            faults = [str(fault) for fault in self._active_configuration.faults[:10]]
            self._log.log_message(
                "configuration is invalid, keeps the current one",
                revision=document.revision,
                faults=faults,
            )
        elif result is OfferResult.CONFLICT:
            self._log.log_message(
                "configuration differs from the current one with the same revision, ignores it",
                revision=document.revision,
            )
        elif result is OfferResult.ADOPTED and self._active_configuration.configuration is not None:
            self._log.log_message("applied a configuration", revision=document.revision)
            self._on_configuration(self._active_configuration.configuration)
        return result is OfferResult.ADOPTED

    def _offer_fleet(self, document: Document) -> bool:
        if self._fleet_document is not None and document.revision <= self._fleet_document.revision:
            return False
        try:
            fleet = parse_fleet(document)
        except PlatformError as error:
            self._log.log_message(
                "instance list is invalid, keeps the current one", reason=str(error)
            )
            return False
        self._fleet_document = document
        self._on_fleet(fleet)
        return True


async def watch_platform(
    platform: Platform, kind: DocumentKind, store: DocumentStore, first_read_done: trio.Event
) -> None:
    """Read one document from the platform and follow its changes; never returns.

    Args:
        platform: The platform's service.
        kind: Document to watch.
        store: Store that receives each revision.
        first_read_done: Set after the first attempt to read the document, even if it failed.
    """
    log = Log("platform")
    backoff_s = _MIN_BACKOFF_S
    while True:
        try:
            document = await _fetch_document(
                platform, kind, store, is_first_read=not first_read_done.is_set()
            )
            if document is not None:
                store.offer(kind, document)
            if backoff_s > _MIN_BACKOFF_S:
                log.log_message("answers as expected again", document=kind.value)
            # Backs off because a platform that immediately returns an old or empty document would
            # otherwise be polled without a pause.
            is_stale = document is not None and document.revision < store.get_revision(kind)
            backoff_s = _MAX_BACKOFF_S if is_stale else _MIN_BACKOFF_S
        except PlatformError as error:
            if backoff_s == _MIN_BACKOFF_S:
                log.log_message(
                    "failed to read a document, retries", document=kind.value, reason=str(error)
                )
            backoff_s = min(_MAX_BACKOFF_S, 2 * backoff_s)
        first_read_done.set()
        if backoff_s > _MIN_BACKOFF_S or store.get_revision(kind) == 0:
            await trio.sleep(backoff_s)


async def _fetch_document(
    platform: Platform, kind: DocumentKind, store: DocumentStore, is_first_read: bool
) -> Document | None:
    if is_first_read or store.get_revision(kind) == 0:
        return await platform.read(kind)
    return await platform.watch(kind, store.get_revision(kind))
