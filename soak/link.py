"""A loopback proxy between two parts, which can delay, silence, cut one way or reset."""

from enum import StrEnum

import trio

__all__ = ["Link", "LinkFault"]

_READ_BYTES = 65_536
_DELAY_S = 0.25


class LinkFault(StrEnum):
    """What a link does to the bytes that it carries."""

    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    ONE_WAY = "one way"


class Link:
    """Carries connections to a target; the target may change, as an address does."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self._fault: LinkFault | None = None
        self._changed = trio.Event()
        self._listener: trio.SocketListener | None = None
        self._streams: set[trio.SocketStream] = set()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to carry connections."""
        self._listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        self.address = f"127.0.0.1:{self._listener.socket.getsockname()[1]}"
        nursery.start_soon(self._accept)

    def refuse(self) -> None:
        """Refuse connections, as the address of a crashed process does."""
        if self._listener is not None:
            self._listener.socket.close()

    async def accept_again(self, nursery: trio.Nursery) -> None:
        """Carry connections again, at the same address."""
        port = int(self.address.rpartition(":")[2])
        self._listener = (await trio.open_tcp_listeners(port, host="127.0.0.1"))[0]
        nursery.start_soon(self._accept)

    def close(self) -> None:
        """Stop, and end every connection."""
        if self._listener is not None:
            self._listener.socket.close()
        self._end_all()

    def set_fault(self, fault: LinkFault | None) -> None:
        """Put a fault in force, or heal the link; silent bytes go on when it is healed."""
        self._fault = fault
        self._changed.set()
        self._changed = trio.Event()
        if fault is LinkFault.RESET:
            self._end_all()

    def _end_all(self) -> None:
        for stream in list(self._streams):
            stream.socket.close()

    async def _accept(self) -> None:
        assert self._listener is not None, "started before"
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    stream = await self._listener.accept()
                except (trio.ClosedResourceError, OSError):
                    return
                nursery.start_soon(self._carry, stream)

    async def _carry(self, caller: trio.SocketStream) -> None:
        """Carry one connection until either side ends it."""
        self._streams.add(caller)
        target: trio.SocketStream | None = None
        try:
            if self._fault is LinkFault.RESET:
                return
            host, _, port = self.target.rpartition(":")
            target = await trio.open_tcp_stream(host, int(port))
            self._streams.add(target)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, caller, target, False, nursery.cancel_scope)
                nursery.start_soon(self._copy, target, caller, True, nursery.cancel_scope)
        except OSError:
            return
        finally:
            for stream in (caller, target):
                if stream is not None:
                    self._streams.discard(stream)
                    stream.socket.close()

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        answers: bool,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive_some(_READ_BYTES)
                await self._hold(answers)
                if not data:
                    break
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    async def _hold(self, answers: bool) -> None:
        """Wait for as long as the fault in force holds these bytes up."""
        if self._fault is LinkFault.DELAY:
            await trio.sleep(_DELAY_S)
        while self._fault is LinkFault.SILENCE or (self._fault is LinkFault.ONE_WAY and answers):
            await self._changed.wait()
