"""Makes variants of a site file; the only module that depends on the fields of the file.

A site file is in TOML. Single numbers of its text are replaced and the rest stays as it is, so
that nothing else differs between a site and its variant.
"""

import re

from tools.kinds.engine_profiles import EngineProfile

__all__ = ["SiteFileError", "make_variant"]


class SiteFileError(Exception):
    """The site file lacks a field or table that the variant changes, or a setting is invalid."""


def make_variant(site: str, kind: EngineProfile, settings: tuple[str, ...] = ()) -> str:
    """Return the text of a variant of a site.

    Args:
        site: Text of the site file.
        kind: Kind of engine of the variant.
        settings: Other fields to set, each as ``TABLE.FIELD=VALUE``.

    Raises:
        SiteFileError: The file lacks a field or a table, or a setting has another form.
    """
    service_lines = _find_lines(site, "llm = {")
    request_lines = _find_lines(site, "stream = {")
    for line in service_lines:
        site = site.replace(line, _change_service(line, kind))
    for line in request_lines:
        site = site.replace(line, _change_requests(line, kind))
    for setting in settings:
        site = _set_field(site, setting)
    return site


def _find_lines(site: str, part: str) -> list[str]:
    matching = [line for line in site.splitlines() if part in line]
    if not matching:
        raise SiteFileError(f"no line contains `{part}`")
    return matching


def _change_service(line: str, kind: EngineProfile) -> str:
    fields = {
        "step_ms": kind.decode_step_ms,
        "prefill_tokens_per_ms": kind.prompt_tokens_per_ms,
        "kv_tokens": kind.memory_tokens,
        "slots": kind.slots,
        "batch": kind.slots,
        "setup_ms": kind.transfer_setup_ms,
        "switch_s": kind.role_switch_s,
    }
    for name, value in fields.items():
        line = _replace_number(line, rf"(\b{name} = )[0-9.]+", value)
    if kind.engine_count_factor == 1.0:
        return line
    return re.sub(
        r"(\bcount = )(\d+)",
        lambda m: m[1] + str(max(1, round(int(m[2]) * kind.engine_count_factor))),
        line,
    )


def _change_requests(line: str, kind: EngineProfile) -> str:
    line = _replace_number(line, r"(\bpieces = \{ mean = )[0-9.]+", kind.mean_output_events)
    return _replace_number(line, r"(\bprompt_tokens = \{ mean = )[0-9.]+", kind.mean_prompt_tokens)


def _replace_number(line: str, pattern: str, value: float | None) -> str:
    if value is None:
        return line
    line, count = re.subn(pattern, lambda m: f"{m[1]}{value}", line)
    if not count:
        raise SiteFileError(f"no field of the line matches `{pattern}`")
    return line


def _set_field(site: str, setting: str) -> str:
    match = re.fullmatch(r"(\w+)\.(\w+)=(.+)", setting)
    if match is None:
        raise SiteFileError(f"setting is not TABLE.FIELD=VALUE: {setting}")
    table, field, value = match.groups()
    head = f"[{table}]\n"
    if head not in site:
        raise SiteFileError(f"the site file has no table {table}")
    before, after = site.split(head, 1)
    after = re.sub(rf"\A((?:(?!\[).*\n)*?){field} = .*\n", r"\1", after)
    return f"{before}{head}{field} = {value}\n{after}"
