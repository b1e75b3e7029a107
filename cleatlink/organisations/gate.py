"""Decides whose request it is, and whether it may pass: keys, then limits."""

from collections.abc import Iterable
from typing import NamedTuple

from cleatlink.core.organisations import Organisation, digest_key
from cleatlink.core.routes import Route
from cleatlink.organisations.keys import KeyTable, read_key
from cleatlink.organisations.limits import OrganisationLimits

__all__ = ["NOBODY", "Holder", "OrganisationGate"]


class Holder(NamedTuple):
    """Who sent a request.

    Attributes:
        organisation: The organisation that holds its key; None on a public route.
        digest: Digest of the key that it came with.
    """

    organisation: Organisation | None
    digest: bytes = b""

    @property
    def name(self) -> str:
        """Name of the organisation; empty for none."""
        return self.organisation.name if self.organisation is not None else ""


NOBODY = Holder(None)


class OrganisationGate:
    """The organisations of the route table in force; without any, everybody passes."""

    def __init__(self, limits: OrganisationLimits) -> None:
        self._keys: KeyTable | None = None
        self.limits = limits

    @property
    def judges_keys(self) -> bool:
        """Whether requests carry keys that are this fleet's to judge."""
        return self._keys is not None

    def use_table(self, organisations: Iterable[Organisation] | None) -> None:
        """Use the organisations of a table."""
        found = tuple(organisations or ())
        self._keys = None if organisations is None else KeyTable(found)
        self.limits.use_table(found)

    def identify(self, credentials: Iterable[bytes], route: Route) -> Holder | None:
        """Give who sent a request; None if nobody who may call this route.

        Args:
            credentials: Values of the headers that carry a key.
            route: The request's route.
        """
        if self._keys is None:
            return NOBODY
        key = read_key(credentials)
        digest = digest_key(key) if key is not None else b""
        organisation = self._keys.find(digest)
        if organisation is None:
            return NOBODY if route.public else None
        return Holder(organisation, digest)

    def still_holds(self, holder: Holder) -> bool:
        """Tell whether a key that a request came with has not been taken away since."""
        if self._keys is None or holder.organisation is None:
            return True
        found = self._keys.find(holder.digest)
        return found is not None and found.name == holder.name
