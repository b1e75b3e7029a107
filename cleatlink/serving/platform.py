"""Client for the platform's service: reads and watches the configuration and the instance list."""

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import Any, NamedTuple

import httpx
import msgspec

from cleatlink.core.data import Endpoint, Fleet, Instance
from cleatlink.core.errors import OutcomeUnknownError, PlatformError
from cleatlink.serving.http_client import MAX_ANSWER_BYTES, create_client, read_body
from cleatlink.serving.settings import Address

__all__ = ["Document", "DocumentKind", "HttpPlatform", "Platform", "parse_fleet"]

# How long the platform may delay its answer to a watch request.
WATCH_TIMEOUT_S = 10.0
_READ_TIMEOUT_S = 2.0


class DocumentKind(StrEnum):
    """Kind of document that the platform publishes."""

    CONFIG = "config"
    INSTANCES = "instances"


class Document(NamedTuple):
    """One revision of a published document."""

    revision: int
    value: Any


class Platform(ABC):
    """Interface to the platform."""

    @abstractmethod
    async def read(self, kind: DocumentKind) -> Document | None:
        """Read the newest revision that the platform returns; None if it has no document.

        Raises:
            PlatformError: The platform did not answer, or violated its documented API.
        """

    @abstractmethod
    async def watch(self, kind: DocumentKind, after: int) -> Document | None:
        """Wait for a revision higher than ``after``; return None if the watch timed out.

        Raises:
            PlatformError: The platform did not answer, or violated its documented API.
        """


class HttpPlatform(Platform):
    """The platform's HTTP API: ``/v1/config`` and ``/v1/instances``."""

    def __init__(self, address: Address) -> None:
        self._base = f"http://{address}/v1"
        self._client = create_client(httpx.Timeout(_READ_TIMEOUT_S))

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def read(self, kind: DocumentKind) -> Document | None:
        """Read the newest revision; see ``Platform.read``."""
        return await self._fetch(f"{self._base}/{kind}", _READ_TIMEOUT_S)

    async def watch(self, kind: DocumentKind, after: int) -> Document | None:
        """Wait for a newer revision; see ``Platform.watch``."""
        url = f"{self._base}/{kind}?after={after}&wait={WATCH_TIMEOUT_S}"
        return await self._fetch(url, WATCH_TIMEOUT_S + _READ_TIMEOUT_S)

    async def _fetch(self, url: str, timeout_s: float) -> Document | None:
        try:
            async with self._client.stream("GET", url, timeout=timeout_s) as response:
                if response.status_code == httpx.codes.NO_CONTENT:
                    return None
                if response.status_code != httpx.codes.OK:
                    raise PlatformError(f"platform responded with status {response.status_code}")
                body = await read_body(response, MAX_ANSWER_BYTES)
        except (httpx.HTTPError, OutcomeUnknownError) as error:
            raise PlatformError(repr(error)) from error
        try:
            data = msgspec.json.decode(body)
            return Document(int(data["revision"]), data["value"])
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as error:
            raise PlatformError(
                f"platform response has no valid revision and value: {error!r}"
            ) from error


def parse_fleet(document: Document) -> Fleet:
    """Parse an instance list.

    Raises:
        PlatformError: The document does not have the documented structure.
    """
    try:
        value = document.value
        endpoints = tuple(_parse_endpoint(item) for item in value["endpoints"])
        instances = tuple(_parse_instance(item) for item in value["instances"])
    except (KeyError, TypeError, AttributeError) as error:
        raise PlatformError(f"invalid instance list: {error!r}") from error
    return Fleet(document.revision, endpoints, instances)


def _parse_endpoint(item: dict[str, Any]) -> Endpoint:
    return Endpoint(
        str(item["name"]),
        str(item["address"]),
        str(item["data_centre"]),
        str(item["pool"]),
        item.get("state") == "leaving",
    )


def _parse_instance(item: dict[str, Any]) -> Instance:
    return Instance(
        str(item["name"]),
        str(item["peer_address"]),
        str(item["data_centre"]),
        item.get("state") == "leaving",
    )
