"""How a worker rejects requests, and rejections that it sends twice."""

import trio

from standins.relay.raw_server import RawCall, answer

__all__ = ["Rejections"]


class Rejections:
    """The rejections of one worker."""

    def __init__(self) -> None:
        self.status = 503
        # Whether a rejection names the request that it rejects.
        self.names_request = True
        # Number of rejections that were sent a second time.
        self.repeated = 0
        self._due: dict[trio.SocketStream, bytes] = {}

    def headers(self, call: RawCall) -> dict[str, str]:
        """Return the headers of the rejection of a call."""
        name = {"Attempt-Id": call.headers["attempt-id"]} if self.names_request else {}
        return {"Not-Executed": "1", **name}

    def repeat_later(self, stream: trio.SocketStream, headers: dict[str, str]) -> None:
        """Send a rejection again when the next request has come in on its connection."""
        self._due[stream] = answer(self.status, headers)

    async def send_due(self, stream: trio.SocketStream) -> None:
        """Send the rejection that is due on a connection, if there is one."""
        data = self._due.pop(stream, b"")
        if data:
            self.repeated += 1
            await stream.send_all(data)
