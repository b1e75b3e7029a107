"""Parses and checks KNOWN-RED.txt, the list of known test failures.

A heading, ``fails:`` or ``seen once:``, sets the kind of the entries below it. An entry is a line
``test | command | seed | what was seen | issue``. The field ``test`` is ``-`` if no test shows the
failure, and the field ``seed`` is ``-`` if the command takes no seed.
"""

from collections import Counter
from enum import Enum
from typing import NamedTuple

__all__ = ["NOT_APPLICABLE", "FailureKind", "KnownFailure", "parse_known_failures"]

# Value of a field that does not apply to an entry.
NOT_APPLICABLE = "-"
_ENTRY_FORMAT = "test | command | seed | what was seen | issue"
_FIELD_COUNT = _ENTRY_FORMAT.count("|") + 1


class FailureKind(Enum):
    """Whether a known failure occurs in every run; the value is the heading in the list.

    Attributes:
        FAILS: Occurs in every run; the test must fail.
        SEEN_ONCE: Occurs in some runs, and its cause is unknown; the test may pass or fail.
    """

    FAILS = "fails"
    SEEN_ONCE = "seen once"


# Maximum number of entries of each kind.
_MAX_ENTRIES = {FailureKind.FAILS: 3, FailureKind.SEEN_ONCE: 12}


class KnownFailure(NamedTuple):
    """One entry of the list.

    Attributes:
        kind: Whether the failure occurs in every run.
        test: The pytest id of the test; ``-`` if no test shows the failure.
        command: The command that reproduces the failure.
        seed: The command's seed; ``-`` if it takes none.
        symptom: What was observed.
        issue: Number of the issue.
    """

    kind: FailureKind
    test: str
    command: str
    seed: str
    symptom: str
    issue: str

    @property
    def names_test(self) -> bool:
        """Whether the entry names a test, and not only a command."""
        return self.test != NOT_APPLICABLE


def parse_known_failures(text: str) -> tuple[list[KnownFailure], list[str]]:
    """Parse the list.

    Returns:
        The valid entries, and a description of each fault in the list.
    """
    known: list[KnownFailure] = []
    faults: list[str] = []
    headings = {f"{kind.value}:": kind for kind in FailureKind}
    kind: FailureKind | None = None
    for number, line in enumerate(text.splitlines(), 1):
        fields = [field.strip() for field in line.split("|")]
        if line.strip() in headings:
            kind = headings[line.strip()]
        elif not line.strip():
            continue
        elif len(fields) != _FIELD_COUNT or not all(fields):
            faults.append(f"line {number} is not '{_ENTRY_FORMAT}'")
        elif kind is None:
            faults.append(f"line {number} has no heading above it")
        else:
            known.append(KnownFailure(kind, *fields))
    return known, faults + _find_faults(known)


def _find_faults(known: list[KnownFailure]) -> list[str]:
    """Describe the faults of the whole list: too many entries, duplicates, missing tests."""
    faults = []
    for kind, max_entries in _MAX_ENTRIES.items():
        count = sum(item.kind is kind for item in known)
        if count > max_entries:
            faults.append(f"{count} entries of '{kind.value}'; {max_entries} are allowed")
    tests = Counter(item.test for item in known if item.names_test)
    faults += [f"listed twice: {test}" for test, count in tests.items() if count > 1]
    faults += [
        f"entry under 'fails' names no test: {item.command}"
        for item in known
        if item.kind is FailureKind.FAILS and not item.names_test
    ]
    return faults
