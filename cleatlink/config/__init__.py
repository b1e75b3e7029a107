"""Reads and validates configurations and keeps the active one, without I/O."""

from cleatlink.config.document import Fault
from cleatlink.config.loader import MAX_DOCUMENT_BYTES, load_configuration
from cleatlink.config.revision import ActiveConfiguration, OfferResult, PublishedConfiguration

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "ActiveConfiguration",
    "OfferResult",
    "Fault",
    "PublishedConfiguration",
    "load_configuration",
]
