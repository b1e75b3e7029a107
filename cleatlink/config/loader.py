"""Loads and validates a configuration document.

Whether a document is valid depends only on its text, so that all instances accept the same
configurations and none of them activates one that another rejects.
"""

from enum import StrEnum
from typing import TypeVar

import xxhash

from cleatlink.config.document import Fault, Section, parse_document
from cleatlink.core.data import (
    Configuration,
    DataCentre,
    Limits,
    Objective,
    Pool,
    RequestClass,
    Role,
    Service,
    ServiceKind,
    UnrepeatableCallRule,
)
from cleatlink.core.labels import Selector, parse_selector

__all__ = ["MAX_DOCUMENT_BYTES", "load_configuration"]

# In bytes; the platform's service stores values of up to 1 MB.
MAX_DOCUMENT_BYTES = 1_000_000

_METHODS = ("*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
_FORMAT_VERSION = 1
# Longest prefill queue, in seconds of work, for classes that are not the most urgent ones.
_LESS_URGENT_QUEUE_LIMIT_S = 0.05

_EnumMember = TypeVar("_EnumMember", bound=StrEnum)


def load_configuration(text: str, revision: int = 0) -> tuple[Configuration | None, list[Fault]]:
    """Load a configuration.

    Args:
        text: The YAML document.
        revision: Revision under which the document was published.

    Returns:
        The configuration and an empty list, or None and all errors in the document.
    """
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        return None, [Fault(0, "", f"document is larger than {MAX_DOCUMENT_BYTES} bytes")]
    top, faults = parse_document(text)
    if top is None:
        return None, faults
    configuration = _read_configuration(top, text, revision)
    _check_references(top, configuration)
    return (None, sorted(faults)) if faults else (configuration, [])


def _read_configuration(top: Section, text: str, revision: int) -> Configuration:
    """Read all sections; they add errors to the list of errors that they share."""
    top.integer("version", None, _FORMAT_VERSION, _FORMAT_VERSION)
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
        classes=_limit_prefill_queues(
            [_read_class(name, section) for name, section in top.named_sections("classes").items()]
        ),
        endpoint_labels=_read_endpoint_labels(top.section("endpoint_labels")),
        limits=_read_limits(top.section("limits")),
        objective=_read_objective(top.section("objective")),
    )
    top.report_unknown_keys()
    return configuration


def _read_data_centre(name: str, section: Section) -> DataCentre:
    data_centre = DataCentre(name, section.text("region"), section.labels("labels"))
    section.report_unknown_keys()
    return data_centre


def _read_service(name: str, section: Section) -> Service:
    kind = section.text("kind", choices=tuple(ServiceKind))
    rules = tuple(_read_rule(rule) for rule in section.listed_sections("unrepeatable"))
    models = section.strings("models")
    if kind == ServiceKind.MODEL and not models:
        section.add_fault("a model service needs at least one model")
    if kind == ServiceKind.MODEL and rules:
        section.add_fault("only a plain service has unrepeatable calls", "unrepeatable")
    if kind == ServiceKind.PLAIN and models:
        section.add_fault("a plain service has no models", "models")
    section.report_unknown_keys()
    return Service(name, _parse_member(ServiceKind, kind, ServiceKind.MODEL), models, rules)


def _read_rule(section: Section) -> UnrepeatableCallRule:
    rule = UnrepeatableCallRule(section.text("method", "*", _METHODS), section.text("path"))
    if rule.path and not rule.path.startswith("/"):
        section.add_fault("must start with '/'", "path")
    section.report_unknown_keys()
    return rule


def _read_pool(name: str, section: Section) -> Pool:
    role = section.text("role", choices=tuple(Role))
    pool = Pool(
        name,
        section.text("service"),
        _parse_member(Role, role, Role.BOTH),
        section.labels("labels"),
        section.boolean("checks_fences", False),
    )
    section.report_unknown_keys()
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
        section.add_fault("must not be longer than deadline_s", "max_wait_s")
    section.report_unknown_keys()
    return request_class


def _limit_prefill_queues(classes: list[RequestClass]) -> dict[str, RequestClass]:
    """Limit the prefill queue for each class that is not the most urgent one of its service.

    An engine runs prefills in order of arrival. A more urgent request can't overtake requests
    in the engine's queue, but it can overtake requests that wait in the router.
    """
    highest_priority: dict[str, int] = {}
    for item in classes:
        highest_priority[item.service] = max(item.priority, highest_priority.get(item.service, 0))
    return {
        item.name: item
        if item.priority == highest_priority[item.service]
        else item._replace(queue_limit_s=_LESS_URGENT_QUEUE_LIMIT_S)
        for item in classes
    }


def _read_selector(section: Section) -> Selector:
    """Read a selector; return one that matches everything if the key is absent."""
    if "selector" not in section.keys:
        return Selector(())
    selector, error = parse_selector(section.text("selector"))
    if error is not None:
        section.add_fault(error, "selector")
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
    section.report_unknown_keys()
    return limits


def _read_objective(section: Section) -> Objective:
    goodput = section.number("goodput", 0.5, 0, 1)
    wasted_prefill = section.number("wasted_prefill", 0.5, 0, 1)
    if abs(goodput + wasted_prefill - 1) > 1e-9:
        section.add_fault("goodput and wasted_prefill must add up to 1")
    section.report_unknown_keys()
    return Objective(goodput, wasted_prefill)


def _check_references(top: Section, configuration: Configuration) -> None:
    """Check references between sections: each name must be defined and of a matching kind."""
    for name, section in top.named_sections("pools").items():
        pool = configuration.pools[name]
        service = configuration.services.get(pool.service)
        if service is None:
            section.add_fault(f"service {pool.service!r} is not defined", "service")
        elif (service.kind is ServiceKind.PLAIN) != (pool.role is Role.PLAIN):
            section.add_fault(
                f"role {pool.role.value} does not fit a {service.kind} service", "role"
            )
    for name, section in top.named_sections("classes").items():
        service_name = configuration.classes[name].service
        if service_name not in configuration.services:
            section.add_fault(f"service {service_name!r} is not defined", "service")
    _check_models(top, configuration)
    for service_name in configuration.services:
        if not any(item.service == service_name for item in configuration.classes.values()):
            top.section("services").add_fault("no class uses this service", service_name)


def _check_models(top: Section, configuration: Configuration) -> None:
    """Check that each model belongs to only one service, so that requests have one destination."""
    owners: dict[str, str] = {}
    for name, section in top.named_sections("services").items():
        for model in configuration.services[name].models:
            owner = owners.setdefault(model, name)
            if owner != name:
                section.add_fault(f"model {model!r} already belongs to {owner}", "models")


def _parse_member(enum_type: type[_EnumMember], value: str, fallback: _EnumMember) -> _EnumMember:
    """Return the enum member; the fallback is for values with an error already recorded."""
    try:
        return enum_type(value)
    except ValueError:
        return fallback
