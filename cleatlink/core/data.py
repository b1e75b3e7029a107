"""The vocabulary: immutable named tuples which every other module speaks.

Times are seconds. A field that ends in ``_s`` is a duration, ``deadline`` and
``at`` are readings of the caller's monotonic clock. Sizes that end in
``_tokens`` are counted in tokens of the model that is asked.
"""

import math
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from cleatlink.core.errors import ErrorKind
from cleatlink.core.labels import Selector

__all__ = [
    "CacheNews",
    "CallRule",
    "Configuration",
    "DataCentre",
    "Endpoint",
    "FencedOrder",
    "Fleet",
    "Instance",
    "KvHandle",
    "Limits",
    "LoadReport",
    "Objective",
    "Placement",
    "Pool",
    "Ran",
    "Refusal",
    "Request",
    "RequestClass",
    "Role",
    "Service",
    "ServiceKind",
]


class Role(StrEnum):
    """What an endpoint does in a request."""

    PREFILL = "prefill"
    DECODE = "decode"
    BOTH = "both"
    PLAIN = "plain"


class ServiceKind(StrEnum):
    """How a service is spoken to."""

    MODEL = "model"
    PLAIN = "plain"


class Ran(StrEnum):
    """What is known about whether a request ran at an endpoint."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class DataCentre(NamedTuple):
    """A data centre (zone) with the labels that operators gave it."""

    name: str
    region: str
    labels: Mapping[str, str]


class Pool(NamedTuple):
    """A set of endpoints of one service with one starting role."""

    name: str
    service: str
    role: Role
    labels: Mapping[str, str]
    checks_fences: bool


class CallRule(NamedTuple):
    """Calls of a plain service which may not be repeated.

    ``method`` is a method name or ``*``; ``path`` is a glob over the path
    below the service's name.
    """

    method: str
    path: str


class Service(NamedTuple):
    """Something that callers ask by name: models or a plain service."""

    name: str
    kind: ServiceKind
    models: tuple[str, ...]
    unrepeatable: tuple[CallRule, ...]


class RequestClass(NamedTuple):
    """A class of requests: where it may run, how urgent it is, its targets.

    Attributes:
        name: Its name.
        service: Service that it asks.
        priority: From 0; more is more urgent.
        ttft_target_s: Seconds to the first token.
        token_target_s: Seconds between tokens.
        deadline_s: Longest life of a request.
        max_wait_s: Longest wait for room.
        selector: Endpoints that it may use.
        runs_late: Whether a request runs although it must miss its target.
        queue_limit_s: Longest prefill queue behind which it is put; a class with
            more urgent ones beside it waits here instead of in front of them.
    """

    name: str
    service: str
    priority: int
    ttft_target_s: float
    token_target_s: float
    deadline_s: float
    max_wait_s: float
    selector: Selector
    runs_late: bool = False
    queue_limit_s: float = math.inf


class Limits(NamedTuple):
    """Bounds that every entry instance enforces.

    Attributes:
        body_bytes: Size of a request's body.
        prompt_tokens: Tokens of a prompt.
        output_tokens: Tokens of an answer.
        requests_in_flight: Requests in progress on one instance.
        max_attempts: Attempts of one request.
        retry_share: Retries as a share of requests.
    """

    body_bytes: int
    prompt_tokens: int
    output_tokens: int
    requests_in_flight: int
    max_attempts: int
    retry_share: float


class Objective(NamedTuple):
    """The weight of goodput against wasted prefill; the two add up to one."""

    goodput: float
    wasted_prefill: float


class Configuration(NamedTuple):
    """One accepted configuration; ``revision`` orders configurations."""

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
    """An endpoint (back end) from the instance list."""

    name: str
    address: str
    data_centre: str
    pool: str
    leaving: bool = False


class Instance(NamedTuple):
    """An entry instance (machine) of the system from the instance list."""

    name: str
    peer_address: str
    data_centre: str
    leaving: bool = False


class Fleet(NamedTuple):
    """The instance list as last read; ``revision`` orders the lists."""

    revision: int
    endpoints: tuple[Endpoint, ...]
    instances: tuple[Instance, ...]


class LoadReport(NamedTuple):
    """What an endpoint says of itself, some time ago."""

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


class CacheNews(NamedTuple):
    """What an endpoint's prefix cache took in and threw out lately.

    Attributes:
        added: Hashes of prefixes now cached.
        removed: Hashes of prefixes no longer cached.
        last: Number of the last event told; ask for what comes after it.
        gap: Whether events between the last call and this one are lost.
    """

    added: tuple[int, ...]
    removed: tuple[int, ...]
    last: int
    gap: bool


class FencedOrder(NamedTuple):
    """A desired state of an endpoint, told with a number that only grows.

    Attributes:
        kind: What is ordered: ``role``, ``model``, ``adapter`` or ``version``.
        value: The desired state.
        revision: Configuration revision that the order follows.
        fence: Above every fence that the endpoint has accepted before.
    """

    kind: str
    value: str
    revision: int
    fence: int


class Request(NamedTuple):
    """A classified request, before it is placed."""

    name: str
    organisation: str
    service: str
    model: str
    request_class: str
    prompt_tokens: int
    max_output_tokens: int
    prefix_hash: int
    deadline: float
    first_token_by: float = math.inf


class KvHandle(NamedTuple):
    """Where a prefill's result waits for the decode that imports it."""

    engine: str
    host: str
    port: int
    blocks: tuple[int, ...]


class Placement(NamedTuple):
    """Where a request goes, and why; ``prefill`` is ``decode`` if one serves."""

    prefill: Endpoint
    decode: Endpoint
    reason: str


class Refusal(NamedTuple):
    """Why a request gets no answer; the kind's table row gives the rest."""

    kind: ErrorKind
    detail: str
    retry_after_s: float | None = None
