"""The daemon: an entry instance over real sockets, until a signal stops it."""

import signal
from collections.abc import AsyncIterator, Callable

import trio

from cleatlink.clock import unix_s
from cleatlink.serving.endpoints import HttpEndpointClient
from cleatlink.serving.entry import Entry, Outside
from cleatlink.serving.http import serve_app
from cleatlink.serving.logs import Log
from cleatlink.serving.peer_app import build_peer_app
from cleatlink.serving.peer_link import HttpPeerLink
from cleatlink.serving.platform import HttpPlatform
from cleatlink.serving.settings import Address, Settings

__all__ = ["run_daemon"]

_LOG = Log("daemon")


async def run_daemon(settings: Settings, on_listening: Callable[[Address, Address], None]) -> None:
    """Run an entry instance until SIGTERM, then finish all work and return.

    Args:
        settings: Checked settings.
        on_listening: Called with the addresses for callers and for peers.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        client = HttpEndpointClient(settings.connect_timeout_s)
        platform = HttpPlatform(settings.platform) if settings.platform else None
        stopped = trio.Event()
        async with trio.open_nursery() as nursery:
            # Peers' questions are answered once the instance stands behind them.
            waiting = _Waiting()
            peer_app = build_peer_app(waiting.answer)
            peers = await serve_app(nursery, peer_app, settings.peer_listen, stopped.wait)
            link = HttpPeerLink(peers)
            entry = Entry(settings, Outside(client, platform, link, unix_s))
            waiting.entry = entry
            app = entry.start(nursery)
            timeout_s = settings.caller_timeout_s
            callers = await serve_app(nursery, app, settings.listen, stopped.wait, timeout_s)
            _LOG.say("listens.", callers=str(callers), peers=str(peers))
            on_listening(callers, peers)
            await _wait_for_signal(signals)
            await entry.stop()
            stopped.set()
            nursery.cancel_scope.cancel()
        with trio.CancelScope(shield=True):
            await link.close()
            await client.close()
            if platform is not None:
                await platform.close()


class _Waiting:
    """Passes peers' questions on to the entry, which is built after the listener."""

    entry: Entry | None = None

    async def answer(self, path: str, body: bytes) -> bytes:
        """Answer a peer's question."""
        while self.entry is None:
            await trio.sleep(0.01)
        return await self.entry.peers.answer(path, body)


async def _wait_for_signal(signals: AsyncIterator[int]) -> None:
    async for _ in signals:
        return
