"""Identifies the organisation behind a request by its API key, and holds the rate limits."""

from collections.abc import Iterable
from typing import NamedTuple

from cleatlink.core.organisations import Organisation, digest_key
from cleatlink.core.routes import Route
from cleatlink.organisations.keys import KeyTable, read_key
from cleatlink.organisations.limits import OrganisationLimits

__all__ = ["ANONYMOUS", "CallerIdentity", "OrganisationAccess"]


class CallerIdentity(NamedTuple):
    """The identity of a request's caller.

    Attributes:
        organisation: Organisation that owns the request's key; None for an anonymous request.
        digest: Digest of the request's key.
    """

    organisation: Organisation | None
    digest: bytes = b""

    @property
    def name(self) -> str:
        """Name of the organisation; empty if there is none."""
        return self.organisation.name if self.organisation is not None else ""


ANONYMOUS = CallerIdentity(None)


class OrganisationAccess:
    """Checks keys against the active route table; accepts all requests if keys are not used."""

    def __init__(self, limits: OrganisationLimits) -> None:
        self._keys: KeyTable | None = None
        self.limits = limits

    @property
    def checks_keys(self) -> bool:
        """Whether the active route table lists organisations, so that keys are checked."""
        return self._keys is not None

    def use_table(self, organisations: Iterable[Organisation] | None) -> None:
        """Replace the keys and limits by those of a route table; None turns key checks off."""
        listed = tuple(organisations or ())
        self._keys = None if organisations is None else KeyTable(listed)
        self.limits.use_table(listed)

    def identify(self, credentials: Iterable[bytes], route: Route) -> CallerIdentity | None:
        """Return the caller's identity; None if the caller may not use this route.

        Args:
            credentials: Values of the request's credentials headers, by default Authorization.
            route: The request's route.
        """
        if self._keys is None:
            return ANONYMOUS
        key = read_key(credentials)
        digest = digest_key(key) if key is not None else b""
        organisation = self._keys.find(digest)
        if organisation is None:
            return ANONYMOUS if route.public else None
        return CallerIdentity(organisation, digest)

    def is_key_valid(self, caller: CallerIdentity) -> bool:
        """Check whether the request's key still belongs to the same organisation."""
        if self._keys is None or caller.organisation is None:
            return True
        owner = self._keys.find(caller.digest)
        return owner is not None and owner.name == caller.name
