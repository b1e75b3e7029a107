"""Decodes external data into typed values; reports why data is unusable."""

import base64
import binascii
from enum import StrEnum
from typing import NamedTuple, TypeVar

import msgspec

from cleatlink.core.errors import PlatformError

__all__ = ["ReadFaultKind", "ReadFault", "UnreadableError", "decode_base64", "decode_json"]

_Value = TypeVar("_Value")
# In characters; the detail of an error may quote untrusted input of any length.
_MAX_DETAIL_LENGTH = 160


class ReadFaultKind(StrEnum):
    """Reasons why external data can be unusable."""

    KEY = "key"
    SIZE = "size"
    ENCODING = "encoding"
    JSON = "json"
    FIELDS = "fields"


class ReadFault(NamedTuple):
    """Reason why external data is unusable, with details."""

    kind: ReadFaultKind
    detail: str


class UnreadableError(PlatformError):
    """External data is unusable; ``fault`` holds the reason."""

    def __init__(self, kind: ReadFaultKind, detail: str) -> None:
        super().__init__(detail)
        self.fault = ReadFault(kind, detail[:_MAX_DETAIL_LENGTH])


def decode_json(data: bytes, value_type: type[_Value]) -> _Value:
    """Decode JSON into a typed value.

    Raises:
        UnreadableError: The data is not valid JSON, or its fields don't match the type.
    """
    try:
        return msgspec.json.decode(data, type=value_type)
    except msgspec.ValidationError as error:
        raise UnreadableError(ReadFaultKind.FIELDS, str(error)) from error
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableError(ReadFaultKind.JSON, str(error)) from error


def decode_base64(text: str, max_bytes: int) -> bytes:
    """Decode standard base64 with padding.

    Raises:
        UnreadableError: The text is not valid base64, or too long for ``max_bytes``.
    """
    if 3 * len(text) > 4 * (max_bytes + 2):
        raise UnreadableError(ReadFaultKind.SIZE, f"longer than {max_bytes} bytes")
    try:
        return base64.b64decode(text, validate=True)
    except (ValueError, binascii.Error) as error:
        raise UnreadableError(ReadFaultKind.ENCODING, f"no base64: {error}") from error
