"""Measures the cost of organisations: API key lookups, and parsing and applying a new table."""

import base64
import json
import time
import tracemalloc
from typing import Any

import msgspec

from cleatlink.core.organisations import digest_key
from cleatlink.organisations import KeyTable, LimitTolerance, OrganisationAccess, OrganisationLimits
from cleatlink.platform.configuration import parse_configuration
from cleatlink.platform.entries import StoreItem, parse_item

__all__ = ["measure_organisations"]

_KEYS_PER_ORGANISATION = 3
_LOOKUP_COUNT = 20_000


def _make_store_item(organisation_count: int) -> StoreItem:
    """Return a route table with a number of organisations, as a configuration service item."""
    organisations = [
        {
            "name": f"organisation-{number}",
            "api_keys": [f"key-{number}-{key}-0123456789" for key in range(_KEYS_PER_ORGANISATION)],
            "rate_per_s": 1000,
            "burst": 1000,
        }
        for number in range(organisation_count)
    ]
    value = {"version": 1, "routes": [], "services": [], "tenants": organisations}
    text = base64.b64encode(json.dumps(value).encode()).decode()
    item = {"private_key": "op/config", "revision": 1, "value": text}
    parsed = parse_item(msgspec.Raw(json.dumps(item).encode()))
    assert parsed is not None, "generated store item could not be parsed"
    return parsed


def measure_organisations(organisation_count: int) -> dict[str, Any]:
    """Measure a table of organisations with three API keys each.

    Args:
        organisation_count: Number of organisations.

    Returns:
        One row: microseconds per lookup, milliseconds to parse and to apply the table, and the
        megabytes that it occupies.
    """
    item = _make_store_item(organisation_count)
    tracemalloc.start()
    table = parse_configuration(item)
    access = OrganisationAccess(OrganisationLimits(LimitTolerance(), 0.0))
    access.use_table(table.organisations)
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    started_at = time.perf_counter()
    table = parse_configuration(item)
    parse_s = time.perf_counter() - started_at
    started_at = time.perf_counter()
    access.use_table(table.organisations)
    apply_s = time.perf_counter() - started_at
    key_table = KeyTable(table.organisations or ())
    keys = [
        b"key-%d-1-0123456789" % (number % organisation_count) for number in range(_LOOKUP_COUNT)
    ]
    started_at = time.perf_counter()
    for key in keys:
        key_table.find(digest_key(key))
    lookup_s = (time.perf_counter() - started_at) / _LOOKUP_COUNT
    return {
        "organisations": organisation_count,
        "look_up_us": 1e6 * lookup_s,
        "read_ms": 1e3 * parse_s,
        "use_ms": 1e3 * apply_s,
        "held_mb": memory_mb,
    }
