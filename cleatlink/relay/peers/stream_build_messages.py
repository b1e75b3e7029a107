"""Messages between instances about the builds at which streams began."""

import msgspec

__all__ = ["StreamBuildAnswer", "StreamBuildItem", "StreamBuildQuery", "StreamBuildUpdate"]


class StreamBuildItem(msgspec.Struct, array_like=True, frozen=True):
    """The build at which a stream began.

    Attributes:
        key: Key of the stream.
        build: The build.
        expires_in_s: Seconds until the stream's caller no longer waits.
    """

    key: bytes
    build: str
    expires_in_s: float


class StreamBuildUpdate(msgspec.Struct, array_like=True, frozen=True, tag="x"):
    """Streams that the receiver is to remember."""

    streams: list[StreamBuildItem]


class StreamBuildQuery(msgspec.Struct, array_like=True, frozen=True, tag="y"):
    """Question for the build at which a stream began.

    Attributes:
        name: Name of the sender.
        number: Number of the question at the sender.
        key: Key of the stream.
    """

    name: str
    number: int
    key: bytes


class StreamBuildAnswer(msgspec.Struct, array_like=True, frozen=True, tag="z"):
    """Answer to a question.

    Attributes:
        name: Name of the sender.
        number: Number of the question.
        builds: Builds of the stream; empty if the sender does not know it, several if its key is
            ambiguous.
    """

    name: str
    number: int
    builds: list[str]
