"""Checks heads of responses, which HTTP libraries accept though RFC 9110 and RFC 9112 forbid them.

Such a response is not passed on: what the server meant is not known, and the caller's library may
read it in another way, also where its body ends.
"""

import re

__all__ = ["InvalidHeadError", "ResponseHeadChecker"]

# RFC 9110, section 15: the status of a response is from 100 to 599.
_STATUS_LINE = rb"HTTP/[0-9]\.[0-9] [1-5][0-9]{2}(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r?\n"
# RFC 9110, section 5.5: a value has no control characters but tabs. RFC 9112, section 5.2: a
# gateway may reject a line that continues the one before it.
_FIELD_LINE = rb"[-!#$%&'*+.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*\r?\n"
_HEAD = re.compile(_STATUS_LINE + rb"(?:" + _FIELD_LINE + rb")*\r?\n")
_END_OF_HEAD = re.compile(rb"\n\r?\n")
_INTERIM = re.compile(rb"HTTP/[0-9]\.[0-9] 1")
# RFC 9112, section 6.1: a message with both ought to be handled as an error.
_LENGTH = re.compile(rb"\ncontent-length:", re.IGNORECASE)
_CODING = re.compile(rb"\ntransfer-encoding:", re.IGNORECASE)
# Bytes of an invalid head that the error shows.
_SHOWN_BYTES = 200


class InvalidHeadError(Exception):
    """The head of a response is invalid."""


class ResponseHeadChecker:
    """Checks the heads of the responses on one connection as their bytes arrive."""

    def __init__(self) -> None:
        self._head = bytearray()
        self._is_expected = False

    def expect_response(self) -> None:
        """Start with the first byte of the next response."""
        self._head.clear()
        self._is_expected = True

    def feed(self, data: bytes) -> None:
        """Check received bytes, up to the end of the head of a final response.

        The caller limits the length of a head without an end.

        Raises:
            InvalidHeadError: The head is invalid.
        """
        if not self._is_expected:
            return
        # The end may consist of the last bytes that arrived before and the first of these.
        searched = max(0, len(self._head) - 2)
        self._head += data
        while (end := _END_OF_HEAD.search(self._head, searched)) is not None:
            head = bytes(self._head[: end.end()])
            _check(head)
            if _INTERIM.match(head) is None:
                self._is_expected = False
                self._head.clear()
                return
            del self._head[: end.end()]
            searched = 0


def _check(head: bytes) -> None:
    """Check a complete head.

    Raises:
        InvalidHeadError: It is invalid.
    """
    if _HEAD.fullmatch(head) is None:
        raise InvalidHeadError(f"invalid head of a response: {head[:_SHOWN_BYTES]!r}")
    if _LENGTH.search(head) is not None and _CODING.search(head) is not None:
        raise InvalidHeadError("a response with both a length and a transfer coding")
