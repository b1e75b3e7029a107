"""Immutable data types that are shared by the other packages.

Times are in seconds. Fields that end in ``_s`` are durations; fields that end in ``deadline`` are
readings of this instance's monotonic clock. Fields that end in ``_tokens`` are sizes in tokens of
the requested model.
"""

import math
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from cleatlink.core.errors import ErrorKind
from cleatlink.core.labels import Selector

__all__ = [
    "CacheUpdate",
    "UnrepeatableCallRule",
    "Configuration",
    "DataCentre",
    "Endpoint",
    "FencedCommand",
    "Fleet",
    "Instance",
    "KvHandle",
    "Limits",
    "LoadReport",
    "Objective",
    "Placement",
    "Pool",
    "ExecutionStatus",
    "Refusal",
    "Request",
    "RequestClass",
    "Role",
    "Service",
    "ServiceKind",
]


class Role(StrEnum):
    """Part of a request that an endpoint performs."""

    PREFILL = "prefill"
    DECODE = "decode"
    BOTH = "both"
    PLAIN = "plain"


class ServiceKind(StrEnum):
    """Protocol of a service: a model API or plain HTTP calls."""

    MODEL = "model"
    PLAIN = "plain"


class ExecutionStatus(StrEnum):
    """Whether a request ran at an endpoint, as far as is known."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class DataCentre(NamedTuple):
    """A data centre (zone) with the labels that operators assigned to it."""

    name: str
    region: str
    labels: Mapping[str, str]


class Pool(NamedTuple):
    """A set of endpoints of one service with the same initial role.

    ``checks_fences`` states whether the endpoints refuse commands with a stale fencing token.
    """

    name: str
    service: str
    role: Role
    labels: Mapping[str, str]
    checks_fences: bool


class UnrepeatableCallRule(NamedTuple):
    """Pattern for calls of a plain service that must not be repeated.

    ``method`` is an HTTP method or ``*``; ``path`` is a glob pattern for the part of
    the path after the service's name.
    """

    method: str
    path: str


class Service(NamedTuple):
    """A model service or a plain service that callers address by name."""

    name: str
    kind: ServiceKind
    models: tuple[str, ...]
    unrepeatable: tuple[UnrepeatableCallRule, ...]


class RequestClass(NamedTuple):
    """A class of requests: its allowed endpoints, priority and latency targets.

    Attributes:
        name: Name of the class.
        service: Service that requests of the class are sent to.
        priority: Priority from 0; a higher value is more urgent.
        ttft_target_s: Target for the time to the first token, in seconds.
        token_target_s: Target for the time between tokens, in seconds.
        deadline_s: Maximum total duration of a request, in seconds.
        max_wait_s: Maximum wait for free endpoint capacity, in seconds.
        selector: Selects the endpoints that the class may use.
        runs_after_missed_target: Whether a request runs even if it can no longer meet its target.
        queue_limit_s: Longest prefill queue, in seconds of work, that a request may join.
            If its service also has a more urgent class, the request waits in the router
            instead, so that it doesn't delay requests of that class in the engine's queue.
    """

    name: str
    service: str
    priority: int
    ttft_target_s: float
    token_target_s: float
    deadline_s: float
    max_wait_s: float
    selector: Selector
    runs_after_missed_target: bool = False
    queue_limit_s: float = math.inf


class Limits(NamedTuple):
    """Limits that each entry instance enforces.

    Attributes:
        body_bytes: Maximum size of a request body.
        prompt_tokens: Maximum number of tokens in a prompt.
        output_tokens: Maximum number of tokens in an answer.
        requests_in_flight: Maximum number of requests in progress on one instance.
        max_attempts: Maximum number of attempts per request.
        retry_share: Maximum number of retries as a fraction of all requests.
    """

    body_bytes: int
    prompt_tokens: int
    output_tokens: int
    requests_in_flight: int
    max_attempts: int
    retry_share: float


class Objective(NamedTuple):
    """Relative weights of goodput and wasted prefill; their sum is one."""

    goodput: float
    wasted_prefill: float


class Configuration(NamedTuple):
    """A valid configuration; a higher ``revision`` is newer."""

    revision: int
    digest: str
    data_centres: Mapping[str, DataCentre]
    services: Mapping[str, Service]
    pools: Mapping[str, Pool]
    classes: Mapping[str, RequestClass]
    endpoint_labels: Mapping[str, Mapping[str, str]]
    limits: Limits
    objective: Objective


class Endpoint(NamedTuple):
    """An endpoint (back end) as given in the instance list."""

    name: str
    address: str
    data_centre: str
    pool: str
    leaving: bool = False


class Instance(NamedTuple):
    """An entry instance (machine) as given in the instance list."""

    name: str
    peer_address: str
    data_centre: str
    leaving: bool = False


class Fleet(NamedTuple):
    """The instance list as last read; a higher ``revision`` is newer."""

    revision: int
    endpoints: tuple[Endpoint, ...]
    instances: tuple[Instance, ...]


class LoadReport(NamedTuple):
    """State of an endpoint as the endpoint last reported it; may be out of date.

    Attributes:
        endpoint: Name of the endpoint.
        incarnation: Identifier of the endpoint's process; empty if it reports none.
        role: Role of the endpoint.
        slots: Maximum number of concurrent requests.
        running: Number of decodes in progress; 0 if it reports none.
        waiting_tokens: Prompt tokens of the prefills that are queued or in progress.
        memory_tokens: Size of the KV cache, in tokens.
        memory_free_tokens: Free part of the KV cache, in tokens.
        leaving: Whether the endpoint accepts no new work.
        prefill_tokens_per_s: Prefill throughput.
        fence: Highest fencing token that the endpoint accepted.
    """

    endpoint: str
    incarnation: str
    role: Role
    slots: int
    running: int
    waiting_tokens: int
    memory_tokens: int
    memory_free_tokens: int
    leaving: bool
    prefill_tokens_per_s: float
    fence: int = 0


class CacheUpdate(NamedTuple):
    """Recent insertions into and evictions from an endpoint's prefix cache.

    Attributes:
        added: Hashes of prefixes that were added to the cache.
        removed: Hashes of prefixes that were evicted.
        last: Number of the last event in this update; the next poll asks for later events.
        gap: Whether events between the previous poll and this one were lost.
    """

    added: tuple[int, ...]
    removed: tuple[int, ...]
    last: int
    gap: bool


class FencedCommand(NamedTuple):
    """A command to change the state of an endpoint, with an increasing fencing token.

    Attributes:
        kind: What to change: ``role``, ``model``, ``adapter`` or ``version``.
        value: The desired state.
        revision: Configuration revision that the command is based on.
        fence: Fencing token; higher than all tokens that the endpoint accepted before.
    """

    kind: str
    value: str
    revision: int
    fence: int


class Request(NamedTuple):
    """A classified request that is not yet assigned to endpoints.

    Attributes:
        name: Identifier of the request.
        organisation: Name of the calling organisation.
        service: Service that the request is sent to.
        model: Requested model; empty for a plain call.
        request_class: Name of the request's class.
        prompt_tokens: Tokens of the prompt; 0 for a plain call.
        max_output_tokens: Maximum number of tokens of the answer; 0 for a plain call.
        prefix_hash: Hash of the prompt's prefix, to find endpoints that have it in their cache.
        deadline: Time at which the request is given up.
        first_token_deadline: Latest time of the first token; infinite if a request may run even
            if it misses its target.
    """

    name: str
    organisation: str
    service: str
    model: str
    request_class: str
    prompt_tokens: int
    max_output_tokens: int
    prefix_hash: int
    deadline: float
    first_token_deadline: float = math.inf


class KvHandle(NamedTuple):
    """Location of the KV cache that a prefill produced, from which the decode imports it."""

    engine: str
    host: str
    port: int
    blocks: tuple[int, ...]


class Placement(NamedTuple):
    """Endpoints assigned to a request, and the reason for the choice.

    ``prefill`` and ``decode`` are the same endpoint if it does both.
    """

    prefill: Endpoint
    decode: Endpoint
    reason: str


class Refusal(NamedTuple):
    """Reason why a request is refused; ``errors.ERROR_RESPONSES`` maps its kind to a response."""

    kind: ErrorKind
    detail: str
    retry_after_s: float | None = None
