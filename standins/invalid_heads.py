"""Heads of responses that RFC 9110 and RFC 9112 forbid."""

__all__ = ["INVALID_HEADS", "INVALID_STATUSES", "invalid_answer"]

INVALID_STATUSES = (
    "000",
    "001",
    "020",
    "099",
    "600",
    "999",
    "0",
    "20",
    "2000",
    "-20",
    "+20",
    "20x",
    "2 0",
    "",
)
_INVALID_NAMES = {
    "blank in a name": b"X Bad",
    "tab in a name": b"X\tBad",
    "control byte in a name": b"X\x01Bad",
    "NUL in a name": b"X\x00Bad",
    "DEL in a name": b"X\x7fBad",
    "byte above 127 in a name": b"X\xe4Bad",
    "slash in a name": b"X/Bad",
    "quote in a name": b'X"Bad',
    "no name": b"",
    "blank before a name": b" X-Bad",
    "tab before a name": b"\tX-Bad",
    "blank before the colon": b"X-Bad ",
}
_INVALID_LINES = {
    **{case: name + b": 1" for case, name in _INVALID_NAMES.items()},
    "no colon": b"X-Bad",
    "folded line": b"X-Bad: 1\r\n 2",
    "control byte in a value": b"X-Bad: a\x01b",
    "DEL in a value": b"X-Bad: a\x7fb",
    "NUL in a value": b"X-Bad: a\x00b",
    "bare CR in a value": b"X-Bad: a\rb",
    "length with a blank in its name": b"Content Length: 3",
    "length that is folded": b"X-Bad: 1\r\n Content-Length: 3",
    "length beside chunks": b"Content-Length: 6\r\nTransfer-Encoding: chunked",
}


def _insert(line: bytes) -> bytes:
    return b"HTTP/1.1 200 X\r\nX-Good: 1\r\n" + line + b"\r\n\r\n"


INVALID_HEADS = {
    **{f"status {status}": f"HTTP/1.1 {status} X\r\n\r\n".encode() for status in INVALID_STATUSES},
    **{case: _insert(line) for case, line in _INVALID_LINES.items()},
    "no version": b"200 X\r\n\r\n",
    "control byte in the reason": b"HTTP/1.1 200 a\x01b\r\n\r\n",
}


def invalid_answer(case: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return an answer whose head is invalid, and that is whole otherwise.

    Args:
        case: A key of ``INVALID_HEADS``.
        headers: Further headers.
        body: The body.
    """
    start, _, rest = INVALID_HEADS[case].partition(b"\r\n")
    lines = [f"{name}: {value}".encode() for name, value in headers.items()]
    if b"Transfer-Encoding" in rest:
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    elif b"Content-Length" not in rest:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join((start, *lines, rest)) + body
