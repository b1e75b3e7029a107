"""What organisations cost one instance: looking a key up, and taking a new table in."""

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

_KEYS_EACH = 3
_LOOK_UPS = 20_000


def _item(count: int) -> StoreItem:
    """Give a table of so many organisations as the configuration service gives it."""
    organisations = [
        {
            "name": f"organisation-{number}",
            "api_keys": [f"key-{number}-{key}-0123456789" for key in range(_KEYS_EACH)],
            "rate_per_s": 1000,
            "burst": 1000,
        }
        for number in range(count)
    ]
    value = {"version": 1, "routes": [], "services": [], "tenants": organisations}
    text = base64.b64encode(json.dumps(value).encode()).decode()
    item = {"private_key": "op/config", "revision": 1, "value": text}
    read = parse_item(msgspec.Raw(json.dumps(item).encode()))
    assert read is not None, "it is written as the store writes it"
    return read


def measure_organisations(count: int) -> dict[str, Any]:
    """Measure one number of organisations, of three keys each.

    Returns:
        One row: microseconds a look-up, milliseconds to read a table and to put it in force,
        megabytes that it holds.
    """
    item = _item(count)
    tracemalloc.start()
    table = parse_configuration(item)
    gate = OrganisationAccess(OrganisationLimits(LimitTolerance(), 0.0))
    gate.use_table(table.organisations)
    held_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    began_at = time.perf_counter()
    table = parse_configuration(item)
    read_s = time.perf_counter() - began_at
    began_at = time.perf_counter()
    gate.use_table(table.organisations)
    use_s = time.perf_counter() - began_at
    keys = KeyTable(table.organisations or ())
    wanted = [b"key-%d-1-0123456789" % (number % count) for number in range(_LOOK_UPS)]
    began_at = time.perf_counter()
    for key in wanted:
        keys.find(digest_key(key))
    look_up_s = (time.perf_counter() - began_at) / _LOOK_UPS
    return {
        "organisations": count,
        "look_up_us": 1e6 * look_up_s,
        "read_ms": 1e3 * read_s,
        "use_ms": 1e3 * use_s,
        "held_mb": held_mb,
    }
