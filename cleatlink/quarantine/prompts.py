"""The parts of a prompt by which crashes of endpoints are recorded.

Different requests can share parts of their prompts, and a part can crash each endpoint that begins
an answer to it. So a crash is recorded for the requests in progress and for the parts of their
prompts.
"""

import hashlib
from typing import NamedTuple

__all__ = [
    "MAX_PARTS",
    "NO_PROMPT",
    "PromptParts",
    "Suspect",
    "digest_prompt",
    "select_parts",
]

# The same size as that of a request's identity, since both are cleared by the same messages.
_DIGEST_BYTES = 8
# Number of parts that are recorded for a prompt: the first ones and the last ones. The crash of an
# endpoint that runs many of the longest prompts fits into a datagram.
MAX_PARTS = 16


class PromptParts(NamedTuple):
    """Digests of what a prompt consists of, apart from its last part.

    Attributes:
        service: Digest of the service that runs the prompt; empty for calls without a prompt.
        organisation: Digest of the caller's organisation.
        parts: Digests of the parts, each once; they differ between services.
    """

    service: bytes = b""
    organisation: bytes = b""
    parts: tuple[bytes, ...] = ()

    def part_names(self) -> list[str]:
        """Return the digests of the parts as in log lines."""
        return [part.hex() for part in self.parts]


NO_PROMPT = PromptParts()


class Suspect(NamedTuple):
    """A request that was in progress at a crash.

    Attributes:
        identity: Identity of the request.
        prompt: The parts of its prompt.
        in_progress_s: Seconds for which it had been in progress.
    """

    identity: bytes
    prompt: PromptParts
    in_progress_s: float


def digest_prompt(service: str, organisation: str, part_names: tuple[str, ...]) -> PromptParts:
    """Return the digests of a prompt.

    Args:
        service: Name of the service that runs it.
        organisation: Name of the caller's organisation; empty for none.
        part_names: Names of its parts, without the last one.
    """
    return PromptParts(
        _digest("service", service),
        _digest("organisation", organisation),
        tuple(_digest("part", service, name) for name in select_parts(part_names)),
    )


def select_parts(part_names: tuple[str, ...]) -> list[str]:
    """Return the names of the parts that are recorded for a prompt, each once.

    Args:
        part_names: Names of its parts, without the last one.
    """
    names = list(dict.fromkeys(part_names))
    if len(names) <= MAX_PARTS:
        return names
    half = MAX_PARTS // 2
    return names[:half] + names[-half:]


def _digest(*texts: str) -> bytes:
    """Return the digest of some texts."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for text in texts:
        data = text.encode()
        digest.update(b"%d:" % len(data))
        digest.update(data)
    return digest.digest()
