"""Turns a configuration document into a checked ``Configuration``.

Whether a document is accepted is a pure function of its text, so that every
instance judges alike: two instances never differ on what is in force.
"""

from enum import StrEnum
from typing import TypeVar

import xxhash

from cleatlink.config.document import Fault, Section, parse_document
from cleatlink.core.data import (
    CallRule,
    Configuration,
    DataCentre,
    Limits,
    Objective,
    Pool,
    RequestClass,
    Role,
    Service,
    ServiceKind,
)
from cleatlink.core.labels import Selector, parse_selector

__all__ = ["DOCUMENT_BYTES", "load_configuration"]

# The platform's service holds values up to a megabyte.
DOCUMENT_BYTES = 1_000_000

_METHODS = ("*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
_FORMAT = 1
_QUEUE_LIMIT_S = 0.05

_Member = TypeVar("_Member", bound=StrEnum)


def load_configuration(text: str, revision: int = 0) -> tuple[Configuration | None, list[Fault]]:
    """Load a configuration.

    Args:
        text: The YAML document.
        revision: The revision under which it was published.

    Returns:
        The configuration and no faults, or None and every fault there is.
    """
    if len(text.encode()) > DOCUMENT_BYTES:
        return None, [Fault(0, "", f"document is larger than {DOCUMENT_BYTES} bytes")]
    top, faults = parse_document(text)
    if top is None:
        return None, faults
    configuration = _read_configuration(top, text, revision)
    _check_references(top, configuration)
    return (None, sorted(faults)) if faults else (configuration, [])


def _read_configuration(top: Section, text: str, revision: int) -> Configuration:
    """Read every section; faults gather in the sections' list."""
    top.integer("version", None, _FORMAT, _FORMAT)
    configuration = Configuration(
        revision=revision,
        digest=xxhash.xxh3_128_hexdigest(text.encode()),
        data_centres={
            name: _read_data_centre(name, section)
            for name, section in top.named_sections("data_centres").items()
        },
        services={
            name: _read_service(name, section)
            for name, section in top.named_sections("services").items()
        },
        pools={
            name: _read_pool(name, section) for name, section in top.named_sections("pools").items()
        },
        classes=_limit_queues(
            [_read_class(name, section) for name, section in top.named_sections("classes").items()]
        ),
        endpoint_labels=_read_endpoint_labels(top.section("endpoint_labels")),
        limits=_read_limits(top.section("limits")),
        objective=_read_objective(top.section("objective")),
    )
    top.finish()
    return configuration


def _read_data_centre(name: str, section: Section) -> DataCentre:
    data_centre = DataCentre(name, section.text("region"), section.labels("labels"))
    section.finish()
    return data_centre


def _read_service(name: str, section: Section) -> Service:
    kind = section.text("kind", choices=tuple(ServiceKind))
    rules = tuple(_read_rule(rule) for rule in section.listed_sections("unrepeatable"))
    models = section.texts("models")
    if kind == ServiceKind.MODEL and not models:
        section.fault("a model service needs at least one model")
    if kind == ServiceKind.MODEL and rules:
        section.fault("only a plain service has unrepeatable calls", "unrepeatable")
    if kind == ServiceKind.PLAIN and models:
        section.fault("a plain service has no models", "models")
    section.finish()
    return Service(name, _member(ServiceKind, kind, ServiceKind.MODEL), models, rules)


def _read_rule(section: Section) -> CallRule:
    rule = CallRule(section.text("method", "*", _METHODS), section.text("path"))
    if rule.path and not rule.path.startswith("/"):
        section.fault("must start with '/'", "path")
    section.finish()
    return rule


def _read_pool(name: str, section: Section) -> Pool:
    role = section.text("role", choices=tuple(Role))
    pool = Pool(
        name,
        section.text("service"),
        _member(Role, role, Role.BOTH),
        section.labels("labels"),
        section.boolean("checks_fences", False),
    )
    section.finish()
    return pool


def _read_class(name: str, section: Section) -> RequestClass:
    request_class = RequestClass(
        name,
        section.text("service"),
        section.integer("priority", 0, 0, 1000),
        section.number("ttft_target_s", 0.91, 0.001, 3600),
        section.number("token_target_s", 0.079, 0.0001, 60),
        section.number("deadline_s", 60.0, 0.01, 3600),
        section.number("max_wait_s", 0.5, 0, 600),
        _read_selector(section),
        section.text("late", "refuse", ("refuse", "run")) == "run",
    )
    if request_class.max_wait_s > request_class.deadline_s:
        section.fault("must not be longer than deadline_s", "max_wait_s")
    section.finish()
    return request_class


def _limit_queues(classes: list[RequestClass]) -> dict[str, RequestClass]:
    """Keep classes from queueing in front of more urgent ones of their service.

    An engine works its prefills off in the order in which they come. What waits
    there can't be overtaken, what waits here can.
    """
    urgent: dict[str, int] = {}
    for item in classes:
        urgent[item.service] = max(item.priority, urgent.get(item.service, 0))
    return {
        item.name: item
        if item.priority == urgent[item.service]
        else item._replace(queue_limit_s=_QUEUE_LIMIT_S)
        for item in classes
    }


def _read_selector(section: Section) -> Selector:
    """Read a selector; an absent one selects everything."""
    if "selector" not in section.keys:
        return Selector(())
    selector, error = parse_selector(section.text("selector"))
    if error is not None:
        section.fault(error, "selector")
    return selector or Selector(())


def _read_endpoint_labels(parent: Section) -> dict[str, dict[str, str]]:
    return {name: dict(parent.labels(name)) for name in parent.keys}


def _read_limits(section: Section) -> Limits:
    limits = Limits(
        body_bytes=section.integer("body_bytes", 1_000_000, 1_000, 64_000_000),
        prompt_tokens=section.integer("prompt_tokens", 100_000, 1, 2_000_000),
        output_tokens=section.integer("output_tokens", 8_192, 1, 200_000),
        requests_in_flight=section.integer("requests_in_flight", 1_000, 1, 100_000),
        max_attempts=section.integer("max_attempts", 4, 1, 20),
        retry_share=section.number("retry_share", 0.1, 0, 1),
    )
    section.finish()
    return limits


def _read_objective(section: Section) -> Objective:
    goodput = section.number("goodput", 0.5, 0, 1)
    wasted_prefill = section.number("wasted_prefill", 0.5, 0, 1)
    if abs(goodput + wasted_prefill - 1) > 1e-9:
        section.fault("goodput and wasted_prefill must add up to 1")
    section.finish()
    return Objective(goodput, wasted_prefill)


def _check_references(top: Section, configuration: Configuration) -> None:
    """Check names that point from one section to another."""
    for name, section in top.named_sections("pools").items():
        pool = configuration.pools[name]
        service = configuration.services.get(pool.service)
        if service is None:
            section.fault(f"service {pool.service!r} is not defined", "service")
        elif (service.kind is ServiceKind.PLAIN) != (pool.role is Role.PLAIN):
            section.fault(f"role {pool.role.value} does not fit a {service.kind} service", "role")
    for name, section in top.named_sections("classes").items():
        service_name = configuration.classes[name].service
        if service_name not in configuration.services:
            section.fault(f"service {service_name!r} is not defined", "service")
    _check_models(top, configuration)
    for service_name in configuration.services:
        if not any(item.service == service_name for item in configuration.classes.values()):
            top.section("services").fault("no class asks for this service", service_name)


def _check_models(top: Section, configuration: Configuration) -> None:
    """Check that each model belongs to one service, or a request could go to either."""
    owners: dict[str, str] = {}
    for name, section in top.named_sections("services").items():
        for model in configuration.services[name].models:
            owner = owners.setdefault(model, name)
            if owner != name:
                section.fault(f"model {model!r} already belongs to {owner}", "models")


def _member(kind: type[_Member], value: str, fallback: _Member) -> _Member:
    """Give the enumeration's member, or a fallback where a fault is noted already."""
    try:
        return kind(value)
    except ValueError:
        return fallback
