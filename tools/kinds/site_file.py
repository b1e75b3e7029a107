"""Writes variants of a site file: the only place that knows its fields.

A site file is text in TOML. Single figures are replaced and the rest is left as it
is, so that nothing else differs between a site and its variant.
"""

import re

from tools.kinds.catalogue import Kind

__all__ = ["SiteError", "vary"]


class SiteError(Exception):
    """A site file that lacks what a variant changes."""


def vary(site: str, kind: Kind, settings: tuple[str, ...] = ()) -> str:
    """Give a variant of a site.

    Args:
        site: Text of the site file.
        kind: What its engines are to be like.
        settings: More fields to set, each as ``TABLE.FIELD=VALUE``.

    Raises:
        SiteError: The file lacks a field or a table.
    """
    services = _lines(site, "llm = {")
    requests = _lines(site, "stream = {")
    for line in services:
        site = site.replace(line, _vary_service(line, kind))
    for line in requests:
        site = site.replace(line, _vary_requests(line, kind))
    for setting in settings:
        site = _set(site, setting)
    return site


def _lines(site: str, part: str) -> list[str]:
    found = [line for line in site.splitlines() if part in line]
    if not found:
        raise SiteError(f"no line has `{part}`")
    return found


def _vary_service(line: str, kind: Kind) -> str:
    fields = {
        "step_ms": kind.step_ms,
        "prefill_tokens_per_ms": kind.prompt_tokens_ms,
        "kv_tokens": kind.memory_tokens,
        "slots": kind.slots,
        "batch": kind.slots,
        "setup_ms": kind.handover_ms,
        "switch_s": kind.switch_s,
    }
    for name, value in fields.items():
        line = _replace(line, rf"(\b{name} = )[0-9.]+", value)
    if kind.engines == 1.0:
        return line
    return re.sub(
        r"(\bcount = )(\d+)", lambda m: m[1] + str(max(1, round(int(m[2]) * kind.engines))), line
    )


def _vary_requests(line: str, kind: Kind) -> str:
    line = _replace(line, r"(\bpieces = \{ mean = )[0-9.]+", kind.output)
    return _replace(line, r"(\bprompt_tokens = \{ mean = )[0-9.]+", kind.prompt)


def _replace(line: str, pattern: str, value: float | None) -> str:
    if value is None:
        return line
    line, count = re.subn(pattern, lambda m: f"{m[1]}{value}", line)
    if not count:
        raise SiteError(f"nothing matches `{pattern}`")
    return line


def _set(site: str, setting: str) -> str:
    match = re.fullmatch(r"(\w+)\.(\w+)=(.+)", setting)
    if match is None:
        raise SiteError(f"not TABLE.FIELD=VALUE: {setting}")
    table, field, value = match.groups()
    head = f"[{table}]\n"
    if head not in site:
        raise SiteError(f"no table {table}")
    before, after = site.split(head, 1)
    after = re.sub(rf"\A((?:(?!\[).*\n)*?){field} = .*\n", r"\1", after)
    return f"{before}{head}{field} = {value}\n{after}"
