"""Decodes what others wrote: it is read as typed values, or refused with a reason."""

import base64
import binascii
from enum import StrEnum
from typing import NamedTuple, TypeVar

import msgspec

from cleatlink.core.errors import PlatformError

__all__ = ["FaultKind", "ReadFault", "UnreadableError", "decode_base64", "decode_json"]

_Value = TypeVar("_Value")
# Enough to tell what is wrong; anybody may have written what is read.
_MOST_DETAIL = 160


class FaultKind(StrEnum):
    """In what something that was written can be unusable."""

    KEY = "key"
    SIZE = "size"
    ENCODING = "encoding"
    JSON = "json"
    FIELDS = "fields"


class ReadFault(NamedTuple):
    """Why something that was written can't be used."""

    kind: FaultKind
    detail: str


class UnreadableError(PlatformError):
    """Something that was written can't be used; ``fault`` says why."""

    def __init__(self, kind: FaultKind, detail: str) -> None:
        super().__init__(detail)
        self.fault = ReadFault(kind, detail[:_MOST_DETAIL])


def decode_json(data: bytes, kind: type[_Value]) -> _Value:
    """Decode JSON into a typed value.

    Raises:
        UnreadableError: It is no JSON, or has other fields.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as error:
        raise UnreadableError(FaultKind.FIELDS, str(error)) from error
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableError(FaultKind.JSON, str(error)) from error


def decode_base64(text: str, most_bytes: int) -> bytes:
    """Decode standard base64 with padding.

    Raises:
        UnreadableError: It is none, or longer than that.
    """
    if 3 * len(text) > 4 * (most_bytes + 2):
        raise UnreadableError(FaultKind.SIZE, f"longer than {most_bytes} bytes")
    try:
        return base64.b64decode(text, validate=True)
    except (ValueError, binascii.Error) as error:
        raise UnreadableError(FaultKind.ENCODING, f"no base64: {error}") from error
