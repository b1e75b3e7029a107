"""Samples of what instances tell each other, made from the types of a build.

It runs with the sources of any build, also of earlier ones, and uses nothing of this one:

    python message_samples.py write           # prints the samples of the build as JSON
    python message_samples.py read < SAMPLES  # prints what the build makes of others' samples
"""

import importlib
import itertools
import json
import sys
from typing import Any

import msgspec
from msgspec import inspect

__all__ = ["main", "write"]

# Where a build keeps its messages; earlier ones had them one folder higher.
_MODULES = ("cleatlink.relay.peers.messages", "cleatlink.relay.peer_messages")
_SNAPSHOT = "Snapshot"
_LISTS = (inspect.ListType, inspect.VarTupleType, inspect.SetType, inspect.FrozenSetType)


def _messages() -> Any:
    """Import the build's messages."""
    for name in _MODULES:
        try:
            return importlib.import_module(name)
        except ModuleNotFoundError:
            continue
    raise SystemExit("this build has no messages")


class _Sampler:
    """Makes a value of a type; no two of its numbers and texts are alike."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)

    def sample(self, kind: Any) -> Any:
        """Give a value as it is encoded: tuples of fields are lists."""
        if isinstance(kind, inspect.UnionType):
            return self.sample(next(item for item in kind.types if not _is_none(item)))
        if isinstance(kind, _LISTS):
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
        return self._plain(kind)

    def _plain(self, kind: Any) -> Any:
        """Give a value of a type that holds no others."""
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
        raise TypeError(f"no sample of {kind}")


def _is_none(kind: Any) -> bool:
    return isinstance(kind, inspect.NoneType)


def write() -> dict[str, str]:
    """Give the samples of this build by the name of their types, encoded as they are sent."""
    messages = _messages()
    union: Any = inspect.type_info(messages.Message)
    kinds = {kind.cls.__name__: kind for kind in union.types}
    kinds[_SNAPSHOT] = inspect.type_info(messages.Snapshot)
    samples = {}
    for name, kind in sorted(kinds.items()):
        value = msgspec.convert(_Sampler().sample(kind), type=kind.cls, strict=False)
        samples[name] = messages.encode(value).hex()
    return samples


def _read(samples: dict[str, str]) -> dict[str, str | None]:
    """Give what this build makes of samples, encoded anew; None for what it can't read."""
    messages = _messages()
    found: dict[str, str | None] = {}
    for name, text in samples.items():
        data = bytes.fromhex(text)
        if name == _SNAPSHOT:
            try:
                value = msgspec.msgpack.decode(data, type=messages.Snapshot)
            except msgspec.MsgspecError:
                value = None
        else:
            value = messages.decode_datagram(data)
        found[name] = None if value is None else messages.encode(value).hex()
    return found


def main(arguments: list[str]) -> int:
    """Write or read samples."""
    if arguments == ["write"]:
        print(json.dumps(write(), indent=1, sort_keys=True))
        return 0
    if arguments == ["read"]:
        print(json.dumps(_read(json.load(sys.stdin))))
        return 0
    print(__doc__)
    return 2


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
