"""Samples of the messages between instances, generated from the message types of a build.

The program runs with the source tree of any build, including earlier ones, as ``PYTHONPATH``, and
so imports nothing else of this build:

    python message_samples.py write           # prints encoded samples of the build as JSON
    python message_samples.py read < SAMPLES  # decodes samples, prints them as encoded again
"""

import importlib
import itertools
import json
import sys
from typing import Any

import msgspec
from msgspec import inspect

__all__ = ["encode_samples", "main"]

# Modules that define the messages; in earlier builds, the module was in the parent package.
_MESSAGE_MODULES = ("cleatlink.relay.peers.messages", "cleatlink.relay.peer_messages")
_SNAPSHOT = "Snapshot"
_LIST_TYPES = (inspect.ListType, inspect.VarTupleType, inspect.SetType, inspect.FrozenSetType)


def _import_messages() -> Any:
    """Import the module that defines the messages of the build."""
    for name in _MESSAGE_MODULES:
        try:
            return importlib.import_module(name)
        except ModuleNotFoundError:
            continue
    raise SystemExit("the build has no module of messages between instances")


class _SampleGenerator:
    """Generates a value of a type, in which all numbers, texts and byte strings are distinct."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)

    def sample(self, kind: Any) -> Any:
        """Return a value in its encoded form, in which structs and tuples are lists."""
        if isinstance(kind, inspect.UnionType):
            return self.sample(next(item for item in kind.types if not _is_none(item)))
        if isinstance(kind, _LIST_TYPES):
            return [self.sample(kind.item_type)]
        if isinstance(kind, inspect.TupleType):
            return [self.sample(item) for item in kind.item_types]
        if isinstance(kind, inspect.DictType):
            return {self.sample(kind.key_type): self.sample(kind.value_type)}
        if isinstance(kind, inspect.NamedTupleType):
            return [self.sample(field.type) for field in kind.fields]
        if isinstance(kind, inspect.StructType):
            fields = [self.sample(field.type) for field in kind.fields]
            return fields if kind.tag is None else [kind.tag, *fields]
        return self._sample_scalar(kind)

    def _sample_scalar(self, kind: Any) -> Any:
        """Return a value of a type that contains no other types."""
        match kind:
            case inspect.StrType():
                return f"text {next(self._numbers)}"
            case inspect.BytesType():
                return b"bytes %d" % next(self._numbers)
            case inspect.BoolType():
                return True
            case inspect.IntType():
                return next(self._numbers)
            case inspect.FloatType():
                return next(self._numbers) + 0.5
            case inspect.EnumType():
                return next(iter(kind.cls)).value
        raise TypeError(f"no sample value is defined for type {kind}")


def _is_none(kind: Any) -> bool:
    return isinstance(kind, inspect.NoneType)


def encode_samples() -> dict[str, str]:
    """Return encoded samples of this build in hexadecimal, by the name of the message type."""
    messages = _import_messages()
    union: Any = inspect.type_info(messages.Message)
    kinds = {kind.cls.__name__: kind for kind in union.types}
    kinds[_SNAPSHOT] = inspect.type_info(messages.Snapshot)
    samples = {}
    for name, kind in sorted(kinds.items()):
        value = msgspec.convert(_SampleGenerator().sample(kind), type=kind.cls, strict=False)
        samples[name] = messages.encode(value).hex()
    return samples


def _reencode(samples: dict[str, str]) -> dict[str, str | None]:
    """Decode samples and encode them again; None for samples that the build can't decode."""
    messages = _import_messages()
    reencoded: dict[str, str | None] = {}
    for name, text in samples.items():
        data = bytes.fromhex(text)
        if name == _SNAPSHOT:
            try:
                value = msgspec.msgpack.decode(data, type=messages.Snapshot)
            except msgspec.MsgspecError:
                value = None
        else:
            value = messages.decode_datagram(data)
        reencoded[name] = None if value is None else messages.encode(value).hex()
    return reencoded


def main(arguments: list[str]) -> int:
    """Run the command ``write`` or ``read``, and return the exit code."""
    if arguments == ["write"]:
        print(json.dumps(encode_samples(), indent=1, sort_keys=True))
        return 0
    if arguments == ["read"]:
        print(json.dumps(_reencode(json.load(sys.stdin))))
        return 0
    print(__doc__)
    return 2


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
