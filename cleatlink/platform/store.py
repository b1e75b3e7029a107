"""Reads and watches the platform's store: the configuration and the workers' entries."""

import base64
import binascii
import math
from typing import Any
from urllib.parse import quote

import msgspec
import trio

from cleatlink.core.address import Address
from cleatlink.core.data import Role
from cleatlink.core.errors import EndpointError, PlatformError
from cleatlink.core.organisations import Organisation, TokenLimit, digest_key
from cleatlink.core.routes import (
    CallerLimits,
    EngineTraits,
    Route,
    RoutedEndpoint,
    RoutedService,
    RouteKind,
    RouteTable,
    ServiceShare,
)
from cleatlink.relay.connection import EndpointConnection
from cleatlink.relay.protocol import OutgoingRequest
from cleatlink.relay.source import ConfigurationSource, HistoryGoneError, SourceChange
from cleatlink.routing.fleet_records import EndpointRecord

__all__ = ["PlatformStore", "read_table"]

_CONFIG_KEY = "op/config"
_WORKERS = "servers/"
_ANSWER_S = 1.0
_CONNECT_S = 0.5
_SILENCE_S = 1.5
_MOST_BYTES = 64_000_000
_MS = 1000.0
# Callers leave a stream that is silent for the longest of: so many seconds, so many times its
# route's target, so many of its longest pauses. These are the platform's own figures.
_MIN_PATIENCE_S = 2.0
_PATIENCE_TARGETS = 4.0
_PATIENCE_PAUSES = 8.0
# The platform's callers heed a time to come back up to this share of what is left of theirs.
_HEEDED_SHARE = 1 / 3


class PlatformStore(ConfigurationSource):
    """The platform's store over HTTP."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._connection: EndpointConnection | None = None

    async def read(self) -> SourceChange:
        """Read everything."""
        records: list[EndpointRecord] = []
        revision: int | None = None
        after = ""
        while True:
            path = f"/kv-range?path_prefix={quote(_WORKERS, safe='')}"
            path += f"&after={quote(after, safe='')}" if after else ""
            page = await self._get(path, _ANSWER_S)
            if page is None:
                raise PlatformError("the list of workers is missing")
            # Changes after the first page are told by a watch from there.
            revision = int(page["at"]) if revision is None else revision
            records += [_read_record(entry) for entry in page["items"]]
            if not page["more"]:
                break
            after = page["items"][-1]["private_key"]
        item = await self._get(f"/kv-key?private_key={quote(_CONFIG_KEY, safe='')}", _ANSWER_S)
        table = None if item is None else read_table(item)
        return SourceChange(table, records, revision, whole=True)

    async def watch(self, after: int, wait_s: float) -> SourceChange:
        """Wait for changes after a revision."""
        path = f"/kv-watch?path_prefix=&after={after}&wait_ms={int(wait_s * _MS)}"
        answer = await self._get(path, wait_s + _ANSWER_S)
        if answer is None:
            raise PlatformError("no watch is to be had")
        table: RouteTable | None = None
        records = []
        for event in answer["events"]:
            if event["private_key"] == _CONFIG_KEY and "value" in event:
                table = read_table(event)
            elif event["private_key"].startswith(_WORKERS):
                records.append(_read_record(event))
        return SourceChange(table, records, int(answer["at"]), whole=False)

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _get(self, path: str, timeout_s: float) -> dict[str, Any] | None:
        """Make a reading call; None stands for 404."""
        try:
            with trio.fail_after(timeout_s):
                return await self._ask(path)
        except (EndpointError, trio.TooSlowError, KeyError, TypeError) as error:
            self.close()
            raise PlatformError(repr(error)) from error
        except BaseException:
            self.close()
            raise

    async def _ask(self, path: str) -> dict[str, Any] | None:
        if self._connection is None or not self._connection.usable:
            self.close()
            self._connection = await EndpointConnection.open(
                str(self._address), _SILENCE_S, _CONNECT_S
            )
        headers = ((b"Host", str(self._address).encode()),)
        request = OutgoingRequest(b"GET", path.encode(), headers, b"")
        head = await self._connection.exchange(request)
        body = await self._connection.read_body(_MOST_BYTES)
        if not self._connection.finish(trio.current_time()):
            self.close()
        if head.status == 404:
            return None
        if head.status == 410:
            raise HistoryGoneError("the history is gone")
        if head.status != 200:
            raise PlatformError(f"status {head.status}")
        try:
            answer: dict[str, Any] = msgspec.json.decode(body, type=dict[str, Any])
        except msgspec.MsgspecError as error:
            raise PlatformError(f"not understood: {error!r}") from error
        return answer


def _decode(item: dict[str, Any]) -> dict[str, Any]:
    try:
        value: dict[str, Any] = msgspec.json.decode(
            base64.b64decode(item["value"]), type=dict[str, Any]
        )
    except (msgspec.MsgspecError, binascii.Error) as error:
        raise PlatformError(f"{item['private_key']} is not understood: {error!r}") from error
    return value


def _read_record(item: dict[str, Any]) -> EndpointRecord:
    """Read a worker's entry; one that is gone has no value."""
    name = item["private_key"].removeprefix(_WORKERS)
    revision = int(item["revision"])
    if "value" not in item:
        return EndpointRecord(name, revision, None)
    value = _decode(item)
    endpoint = RoutedEndpoint(
        name=name,
        address=value["address"],
        data_centre=value.get("zone", ""),
        service=value["service"],
        role=Role(value["stage"]) if value.get("stage") else Role.PLAIN,
        slots=int(value.get("slots", 1)),
        leaving=value.get("state") == "draining",
    )
    return EndpointRecord(name, revision, endpoint)


def read_table(item: dict[str, Any]) -> RouteTable:
    """Read a configuration."""
    value = _decode(item)
    services = {entry["name"]: _read_service(entry) for entry in value["services"]}
    limits = value.get("limits", {})
    default = CallerLimits()
    return RouteTable(
        revision=int(value["version"]),
        routes=tuple(_read_route(entry) for entry in value["routes"]),
        services=services,
        limits=CallerLimits(
            int(limits.get("max_header_bytes", default.header_bytes)),
            int(limits.get("max_body_bytes", default.body_bytes)),
            limits.get("header_timeout_ms", default.header_timeout_s * _MS) / _MS,
            limits.get("idle_timeout_ms", default.idle_timeout_s * _MS) / _MS,
        ),
        organisations=_read_organisations(value),
    )


def _read_organisations(value: dict[str, Any]) -> tuple[Organisation, ...] | None:
    entries = value.get("tenants")
    return None if entries is None else tuple(_read_organisation(entry) for entry in entries)


def _read_organisation(entry: dict[str, Any]) -> Organisation:
    priority = entry.get("priority")
    rate = float(entry.get("rate_per_s") or 0.0)
    limit = None
    if rate > 0:
        limit = TokenLimit(
            rate,
            float(entry.get("burst") or 0.0),
            entry.get("unit") == "tokens",
            int(entry.get("plain_tokens", 1)),
        )
    return Organisation(
        name=entry["name"],
        key_digests=tuple(digest_key(key.encode()) for key in entry.get("api_keys", ())),
        priority=None if priority is None else int(priority),
        limit=limit,
    )


def _read_service(entry: dict[str, Any]) -> RoutedService:
    engine = entry.get("engine")
    traits = None
    if engine is not None:
        traits = EngineTraits(
            int(engine["slots"]),
            int(engine["kv_cache_tokens"]),
            float(engine.get("handle_retention_s", 0.5)),
            float(engine.get("role_switch_s", 0.0)),
            float(engine.get("hold_ms", 0.0)) / _MS,
            # The platform's stride: tokens from one event to the next.
            max(1, int(engine.get("stride", 1))),
        )
    return RoutedService(entry["name"], int(entry.get("connection_limit", 0)), traits)


def _read_route(entry: dict[str, Any]) -> Route:
    shares = entry.get("traffic_split")
    if not shares:
        shares = [{"service": entry["service"], "weight": 1}]
    target_s = entry.get("target_latency_ms", entry["timeout_ms"]) / _MS
    event_gap_s = entry.get("gap_target_ms", math.inf) / _MS
    return Route(
        name=entry["name"],
        host=entry["host"],
        path_prefix=entry["path_prefix"],
        kind=RouteKind(entry["kind"]),
        timeout_s=entry["timeout_ms"] / _MS,
        target_s=target_s,
        priority=int(entry.get("priority", 0)),
        shares=tuple(ServiceShare(share["service"], int(share["weight"])) for share in shares),
        max_attempts=int(entry.get("attempts", 1)),
        resumable=bool(entry.get("resumable", False)),
        event_gap_s=event_gap_s,
        patience_s=_patience_s(target_s, event_gap_s),
        heeded_share=_HEEDED_SHARE,
        public=bool(entry.get("public", False)),
    )


def _patience_s(target_s: float, event_gap_s: float) -> float:
    """Give the silence after which the platform's callers leave a stream."""
    pauses_s = _PATIENCE_PAUSES * event_gap_s if math.isfinite(event_gap_s) else 0.0
    return max(_MIN_PATIENCE_S, _PATIENCE_TARGETS * target_s, pauses_s)
