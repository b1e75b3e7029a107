"""The list of known failures: what KNOWN-RED.txt says, and whether it is well formed.

A heading, ``fails:`` or ``seen once:``, gives the kind of the entries below it. An entry is a line
``test | command | seed | what was seen | issue``, with ``-`` where there is no seed.
"""

from collections import Counter
from enum import Enum
from typing import NamedTuple

__all__ = ["NOTHING", "Kind", "KnownRed", "read_known_red"]

# Stands in a field that does not apply.
NOTHING = "-"
_FORM = "test | command | seed | what was seen | issue"
_FIELDS = _FORM.count("|") + 1


class Kind(Enum):
    """How often a known failure comes.

    Attributes:
        FAILS: Each time; the test must fail.
        SEEN_ONCE: Not each time, and its cause is not traced; the test may pass or fail.
    """

    FAILS = "fails"
    SEEN_ONCE = "seen once"


# Entries of a kind.
_MOST = {Kind.FAILS: 3, Kind.SEEN_ONCE: 12}


class KnownRed(NamedTuple):
    """One entry of the list.

    Attributes:
        kind: How often the failure comes.
        test: Its id in pytest; ``-`` for a command that no test runs.
        command: What shows the failure.
        seed: The command's seed, or ``-``.
        seen: What was seen.
        issue: The number of its issue.
    """

    kind: Kind
    test: str
    command: str
    seed: str
    seen: str
    issue: str

    @property
    def is_test(self) -> bool:
        """Whether a test shows the failure."""
        return self.test != NOTHING


def read_known_red(text: str) -> tuple[list[KnownRed], list[str]]:
    """Read the list, with faults as data."""
    known: list[KnownRed] = []
    faults: list[str] = []
    headings = {f"{kind.value}:": kind for kind in Kind}
    kind: Kind | None = None
    for number, line in enumerate(text.splitlines(), 1):
        fields = [field.strip() for field in line.split("|")]
        if line.strip() in headings:
            kind = headings[line.strip()]
        elif not line.strip():
            continue
        elif len(fields) != _FIELDS or not all(fields):
            faults.append(f"line {number} is not '{_FORM}'")
        elif kind is None:
            faults.append(f"line {number} has no heading above it")
        else:
            known.append(KnownRed(kind, *fields))
    return known, faults + _find_faults(known)


def _find_faults(known: list[KnownRed]) -> list[str]:
    faults = []
    for kind, most in _MOST.items():
        count = sum(item.kind is kind for item in known)
        if count > most:
            faults.append(f"{count} entries of '{kind.value}'; {most} are allowed")
    tests = Counter(item.test for item in known if item.is_test)
    faults += [f"listed twice: {test}" for test, count in tests.items() if count > 1]
    faults += [
        f"without a test, and so not shown to fail: {item.command}"
        for item in known
        if item.kind is Kind.FAILS and not item.is_test
    ]
    return faults
