"""Parses the operator's configuration into a route table."""

import math

import msgspec

from cleatlink.core.decoding import decode_json
from cleatlink.core.organisations import Organisation, UsageLimit, digest_key
from cleatlink.core.routes import (
    CallerLimits,
    EngineProperties,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    ServiceShare,
)
from cleatlink.platform.entries import StoreItem, decode_value

__all__ = ["parse_configuration"]

_MAX_CONFIGURATION_BYTES = 64_000_000
_MS = 1000.0
# The platform's callers abandon a stream after a period without events. The period is the largest
# of a minimum, a multiple of the route's target latency and a multiple of its target gap between
# events. The platform defines these values.
_MIN_ABANDON_AFTER_S = 2.0
_ABANDON_TARGET_FACTOR = 4.0
_ABANDON_EVENT_GAP_FACTOR = 8.0
# The platform's callers honour a Retry-After up to this share of their remaining time.
_HONOURED_RETRY_SHARE = 1 / 3
_DEFAULT_LIMITS = CallerLimits()


class _Engine(msgspec.Struct):
    slots: int
    kv_cache_tokens: int
    handle_retention_s: float = 0.5
    role_switch_s: float = 0.0
    hold_ms: float = 0.0
    # Tokens per event of a stream.
    stride: int = 1


class _Service(msgspec.Struct):
    name: str
    connection_limit: int = 0
    engine: _Engine | None = None


class _Share(msgspec.Struct):
    service: str
    weight: int


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float
    service: str | None = None
    traffic_split: list[_Share] | None = None
    target_latency_ms: float | None = None
    gap_target_ms: float | None = None
    priority: int = 0
    attempts: int = 1
    resumable: bool = False
    public: bool = False


class _Tenant(msgspec.Struct):
    """An organisation; a ``rate_per_s`` of 0 means that it has no limit."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None
    unit: str = ""
    plain_tokens: int = 1


class _Limits(msgspec.Struct):
    max_header_bytes: int = _DEFAULT_LIMITS.header_bytes
    max_body_bytes: int = _DEFAULT_LIMITS.body_bytes
    header_timeout_ms: float = _DEFAULT_LIMITS.header_timeout_s * _MS
    idle_timeout_ms: float = _DEFAULT_LIMITS.idle_timeout_s * _MS


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


def parse_configuration(item: StoreItem) -> RouteTable:
    """Parse a configuration into a route table.

    Raises:
        UnreadableError: The configuration is invalid.
    """
    configuration = decode_json(decode_value(item, _MAX_CONFIGURATION_BYTES), _Configuration)
    limits, tenants = configuration.limits or _Limits(), configuration.tenants
    return RouteTable(
        revision=configuration.version,
        routes=tuple(_read_route(route) for route in configuration.routes),
        services={service.name: _read_service(service) for service in configuration.services},
        limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / _MS,
            limits.idle_timeout_ms / _MS,
        ),
        organisations=None if tenants is None else tuple(map(_read_organisation, tenants)),
    )


def _read_organisation(tenant: _Tenant) -> Organisation:
    limit = None
    if tenant.rate_per_s and tenant.rate_per_s > 0:
        counts_tokens = tenant.unit == "tokens"
        limit = UsageLimit(
            tenant.rate_per_s, tenant.burst or 0.0, counts_tokens, tenant.plain_tokens
        )
    digests = tuple(digest_key(key.encode()) for key in tenant.api_keys)
    return Organisation(tenant.name, digests, tenant.priority, limit)


def _read_service(service: _Service) -> RoutedService:
    engine = service.engine
    properties = None
    if engine is not None:
        properties = EngineProperties(
            engine.slots,
            engine.kv_cache_tokens,
            engine.handle_retention_s,
            engine.role_switch_s,
            engine.hold_ms / _MS,
            max(1, engine.stride),
        )
    return RoutedService(service.name, service.connection_limit, properties)


def _read_route(route: _Route) -> Route:
    shares = route.traffic_split or [_Share(route.service or "", 1)]
    target_ms = route.timeout_ms if route.target_latency_ms is None else route.target_latency_ms
    target_s = target_ms / _MS
    event_gap_s = math.inf if route.gap_target_ms is None else route.gap_target_ms / _MS
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=route.kind,
        timeout_s=route.timeout_ms / _MS,
        target_s=target_s,
        priority=route.priority,
        shares=tuple(ServiceShare(share.service, share.weight) for share in shares),
        max_attempts=route.attempts,
        resumable=route.resumable,
        event_gap_target_s=event_gap_s,
        abandon_after_s=_abandon_after_s(target_s, event_gap_s),
        max_retry_after_share=_HONOURED_RETRY_SHARE,
        public=route.public,
    )


def _abandon_after_s(target_s: float, event_gap_s: float) -> float:
    """Return the seconds without an event after which the platform's callers abandon a stream."""
    gaps_s = _ABANDON_EVENT_GAP_FACTOR * event_gap_s if math.isfinite(event_gap_s) else 0.0
    return max(_MIN_ABANDON_AFTER_S, _ABANDON_TARGET_FACTOR * target_s, gaps_s)
