"""Reads and validates configurations and keeps the active one, without I/O."""

from cleatlink.config.document import Fault
from cleatlink.config.loader import DOCUMENT_BYTES, load_configuration
from cleatlink.config.revision import Adopter, Adoption, Published

__all__ = ["DOCUMENT_BYTES", "Adopter", "Adoption", "Fault", "Published", "load_configuration"]
