"""Reads a store over HTTP, and keeps the order of its eras."""

import math
from typing import NamedTuple

import trio

from cleatlink.core.address import Address
from cleatlink.core.errors import EndpointError, PlatformError
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.protocol import OutgoingRequest, ReplyHead
from cleatlink.relay.following.source import HistoryGoneError

__all__ = ["StoreAnswer", "StoreClient"]

# The store is near; one that takes longer for a connection is cut off.
_CONNECT_S = 0.5
# The kernel gives a connection up whose data is not acknowledged for so long.
_SILENCE_S = 1.5
# A body may take as long as bytes keep coming, up to a bound in all.
_BODY_SILENCE_S = 1.0
_BODY_S = 10.0
# Far above the largest table and list: a value of a store holds a megabyte.
_MOST_BYTES = 64_000_000
_FOUND = 200
_NOT_FOUND = 404
_HISTORY_GONE = 410
# An era beyond this many digits is nonsense, and told by nobody.
_MOST_ERA_DIGITS = 15


class StoreAnswer(NamedTuple):
    """An answer of the store.

    Attributes:
        is_found: Whether there is what was asked for.
        era: The era in which it was given.
        body: Its body.
    """

    is_found: bool
    era: int
    body: bytes

    def require_era(self, era: int) -> None:
        """See that the answer is of the era of what it belongs to.

        Raises:
            HistoryGoneError: The store has come back from a copy meanwhile.
        """
        if self.era != era:
            raise HistoryGoneError(f"era {self.era} after era {era}")


class StoreClient:
    """One connection to a store."""

    def __init__(self, address: Address, era_header: bytes) -> None:
        """Prepare.

        Args:
            address: Where the store is.
            era_header: Name, in lower case, of the header that rises by one each time that the
                store comes back from a copy.
        """
        self._address = address
        self._era_header = era_header
        self._connection: EndpointConnection | None = None
        # When bytes of an answer came last.
        self._heard_at = -math.inf
        # The latest era that was told, by any answer or by peers.
        self._era = 0

    @property
    def is_answering(self) -> bool:
        """Whether bytes of an answer came just now: the rest is on its way."""
        return trio.current_time() - self._heard_at < _BODY_SILENCE_S

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def note_era(self, era: int) -> None:
        """Note an era that is known from elsewhere: answers of earlier ones are too late."""
        self._era = max(self._era, era)

    async def get(self, path: str, timeout_s: float) -> StoreAnswer:
        """Make a reading call.

        Args:
            path: Path and query.
            timeout_s: Seconds until the head of the answer is there, and without any byte of its
                body: a wait may end with either. A long body may take longer.

        Raises:
            HistoryGoneError: What is asked for is not kept.
            PlatformError: There was no answer, or one of an older era than is known.
        """
        try:
            return await self._ask(path, timeout_s)
        except (EndpointError, trio.TooSlowError) as error:
            self.close()
            raise PlatformError(repr(error)) from error
        except BaseException:
            self.close()
            raise

    async def _ask(self, path: str, timeout_s: float) -> StoreAnswer:
        with trio.fail_after(timeout_s):
            connection = await self._connect()
            headers = ((b"Host", str(self._address).encode()),)
            request = OutgoingRequest(b"GET", path.encode(), headers, b"")
            head = await connection.exchange(request, self._note_bytes)
        with trio.fail_after(timeout_s + _BODY_S):
            silence_s = max(timeout_s, _BODY_SILENCE_S)
            body = await connection.read_body(_MOST_BYTES, silence_s=silence_s)
        self._heard_at = -math.inf
        if not connection.finish(trio.current_time()):
            self.close()
        era = self._read_era(head)
        if head.status == _HISTORY_GONE:
            raise HistoryGoneError(f"the history is gone in era {era}")
        if head.status not in (_FOUND, _NOT_FOUND):
            raise PlatformError(f"status {head.status}")
        return StoreAnswer(head.status == _FOUND, era, body)

    def _note_bytes(self) -> None:
        self._heard_at = trio.current_time()

    async def _connect(self) -> EndpointConnection:
        """Give a connection that can be used; opens one if there is none."""
        if self._connection is None or not self._connection.usable:
            self.close()
            self._connection = await EndpointConnection.open(
                str(self._address), _SILENCE_S, _CONNECT_S
            )
        return self._connection

    def _read_era(self, head: ReplyHead) -> int:
        """Take the era of an answer, also of one that fails; one that tells none is of the last.

        Raises:
            PlatformError: It is older than one that is known: the answer was on its way for long.
        """
        told = head.get(self._era_header)
        if told is None or not told.isdigit() or len(told) > _MOST_ERA_DIGITS:
            return self._era
        era = int(told)
        if era < self._era:
            raise PlatformError(f"an answer of era {era} after one of era {self._era}")
        self._era = era
        return era
