"""HTTP client of the configuration store, which rejects answers of earlier store eras."""

import math
from typing import NamedTuple

import trio

from cleatlink.core.address import Address
from cleatlink.core.errors import EndpointError, EndpointUnreachableError, PlatformError
from cleatlink.relay.endpoints.connection import EndpointConnection
from cleatlink.relay.endpoints.protocol import OutgoingRequest, ResponseHead
from cleatlink.relay.following.source import ConnectionLostError, HistoryUnavailableError

__all__ = ["StoreAnswer", "StoreClient"]

# The network distance to the store is short; a connection that takes longer to open is given up.
_CONNECT_TIMEOUT_S = 0.5
# The kernel closes a connection whose data is not acknowledged within this time.
_ACK_TIMEOUT_S = 1.5
# Longest time without any byte of a body, and longest time for the whole body.
_BODY_IDLE_TIMEOUT_S = 1.0
_BODY_TIMEOUT_S = 10.0
# Far above the largest table and page of a list: a value in the store holds at most a megabyte.
_MAX_BODY_BYTES = 16_777_216
_HTTP_OK = 200
_HTTP_NOT_FOUND = 404
_HTTP_GONE = 410
# A header with more digits is invalid and ignored.
_MAX_ERA_DIGITS = 15


class StoreAnswer(NamedTuple):
    """An answer of the store.

    Attributes:
        is_found: Whether the requested item exists.
        era: The store era of the answer.
        body: The body of the answer.
    """

    is_found: bool
    era: int
    body: bytes

    def require_era(self, era: int) -> None:
        """Check that the answer has the era of the data to which it belongs.

        Raises:
            HistoryUnavailableError: The store was restored from a copy meanwhile.
        """
        if self.era != era:
            raise HistoryUnavailableError(
                f"the store changed from era {era} to era {self.era} between two answers"
            )


class StoreClient:
    """A client that uses one connection to a store."""

    def __init__(self, address: Address, era_header: bytes) -> None:
        """Initialise; the first call opens the connection.

        Args:
            address: Address of the store.
            era_header: Name, in lower case, of the header whose value rises by one each time that
                the store is restored from a copy.
        """
        self._address = address
        self._era_header = era_header
        self._connection: EndpointConnection | None = None
        # Time at which bytes of an answer last arrived.
        self._received_at = -math.inf
        # The latest era known from any answer or from peers.
        self._era = 0

    @property
    def is_receiving(self) -> bool:
        """Whether bytes of an answer arrived recently, so that the rest is expected."""
        return trio.current_time() - self._received_at < _BODY_IDLE_TIMEOUT_S

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def record_era(self, era: int) -> None:
        """Record an era known from peers; answers of earlier eras are rejected."""
        self._era = max(self._era, era)

    async def get(self, path: str, timeout_s: float) -> StoreAnswer:
        """Send a GET request.

        Args:
            path: Path and query.
            timeout_s: Longest time until the head of the answer, and longest time without any byte
                of the body, in seconds: a watch may delay either until a change. A long body may
                take longer in all.

        Raises:
            HistoryUnavailableError: The store no longer keeps the requested history.
            ConnectionLostError: The connection ended or was silent for too long.
            PlatformError: There was no answer, or an answer of an earlier era.
        """
        try:
            return await self._request(path, timeout_s)
        except EndpointUnreachableError as error:
            self.close()
            raise PlatformError(repr(error)) from error
        except (EndpointError, trio.TooSlowError) as error:
            self.close()
            raise ConnectionLostError(repr(error)) from error
        except BaseException:
            self.close()
            raise

    async def _request(self, path: str, timeout_s: float) -> StoreAnswer:
        with trio.fail_after(timeout_s):
            connection = await self._connect()
            headers = ((b"Host", str(self._address).encode()),)
            request = OutgoingRequest(b"GET", path.encode(), headers, b"")
            head = await connection.exchange(request, self._note_bytes)
        with trio.fail_after(timeout_s + _BODY_TIMEOUT_S):
            silence_s = max(timeout_s, _BODY_IDLE_TIMEOUT_S)
            body = await connection.read_body(_MAX_BODY_BYTES, silence_timeout_s=silence_s)
        self._received_at = -math.inf
        if not connection.end_exchange(trio.current_time()):
            self.close()
        era = self._read_era(head)
        if head.status == _HTTP_GONE:
            raise HistoryUnavailableError(
                f"the store no longer keeps the requested history, in era {era}"
            )
        if head.status not in (_HTTP_OK, _HTTP_NOT_FOUND):
            raise PlatformError(f"the store answered with status {head.status}")
        return StoreAnswer(head.status == _HTTP_OK, era, body)

    def _note_bytes(self, _: int) -> None:
        self._received_at = trio.current_time()

    async def _connect(self) -> EndpointConnection:
        """Return a usable connection; open one if there is none."""
        if self._connection is None or not self._connection.is_reusable:
            self.close()
            self._connection = await EndpointConnection.open(
                str(self._address), _ACK_TIMEOUT_S, _CONNECT_TIMEOUT_S
            )
        return self._connection

    def _read_era(self, head: ResponseHead) -> int:
        """Return the era of an answer, also of a failed one; without the header, the latest known.

        Raises:
            PlatformError: The answer was delayed and has an earlier era than the latest known.
        """
        header = head.get(self._era_header)
        if header is None or not header.isdigit() or len(header) > _MAX_ERA_DIGITS:
            return self._era
        era = int(header)
        if era < self._era:
            raise PlatformError(f"an answer of era {era} after one of era {self._era}")
        self._era = era
        return era
