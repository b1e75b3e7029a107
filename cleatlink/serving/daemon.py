"""The daemon: runs an entry instance on sockets until a signal stops it."""

import signal
from collections.abc import AsyncIterator, Callable

import trio

from cleatlink.clock import unix_s
from cleatlink.serving.endpoints import HttpEndpointClient
from cleatlink.serving.entry import Entry, EntryDependencies
from cleatlink.serving.http_server import serve_app
from cleatlink.serving.logs import Log
from cleatlink.serving.peer_app import build_peer_app
from cleatlink.serving.peer_link import HttpPeerLink
from cleatlink.serving.platform import HttpPlatform
from cleatlink.serving.settings import Address, Settings

__all__ = ["run_daemon"]

_LOG = Log("daemon")


async def run_daemon(settings: Settings, on_listening: Callable[[Address, Address], None]) -> None:
    """Run an entry instance until SIGTERM or SIGINT, then finish all work and return.

    Args:
        settings: Valid settings.
        on_listening: Called with the addresses at which it listens for callers and for peers.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        client = HttpEndpointClient(settings.connect_timeout_s)
        platform = HttpPlatform(settings.platform) if settings.platform else None
        stopped = trio.Event()
        async with trio.open_nursery() as nursery:
            # The entry needs the address of the listener for peers, so requests of peers wait
            # until the entry has been built.
            forwarder = _PeerRequestForwarder()
            peer_app = build_peer_app(forwarder.forward)
            peers = await serve_app(nursery, peer_app, settings.peer_listen, stopped.wait)
            link = HttpPeerLink(peers)
            entry = Entry(settings, EntryDependencies(client, platform, link, unix_s))
            forwarder.entry = entry
            app = entry.start(nursery)
            timeout_s = settings.caller_timeout_s
            callers = await serve_app(nursery, app, settings.listen, stopped.wait, timeout_s)
            _LOG.log_message("listens.", callers=str(callers), peers=str(peers))
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


class _PeerRequestForwarder:
    """Forwards requests of peers to the entry, which is built after the listener."""

    entry: Entry | None = None

    async def forward(self, path: str, body: bytes) -> bytes:
        """Return the entry's answer to a request of a peer."""
        while self.entry is None:
            await trio.sleep(0.01)
        return await self.entry.peers.handle_request(path, body)


async def _wait_for_signal(signals: AsyncIterator[int]) -> None:
    async for _ in signals:
        return
