"""Runs a relay instance until SIGTERM or SIGINT; SIGHUP reloads its settings."""

import signal
from collections.abc import Callable

import eliot
import trio

from cleatlink.clock import unix_ms
from cleatlink.core.errors import ConfigurationError
from cleatlink.relay.endpoints.protocol import Protocol
from cleatlink.relay.following.source import ConfigurationSource
from cleatlink.relay.instance import RelayInstance
from cleatlink.relay.logs import install_log_writer
from cleatlink.relay.settings import RelaySettings

__all__ = ["run_relay"]


async def run_relay(
    load_settings: Callable[[], RelaySettings],
    protocol: Protocol,
    open_source: Callable[[RelaySettings], ConfigurationSource],
) -> None:
    """Run a relay instance.

    Args:
        load_settings: Loads the settings; called again on SIGHUP.
        protocol: Names of headers and paths on the wire.
        open_source: Opens the client of the configuration service.

    Raises:
        ConfigurationError: The settings can't be used.
    """
    # Open the receiver before loading the settings, so that no SIGHUP for a later change is missed.
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        settings = load_settings()
        writer = install_log_writer()
        incarnation = unix_ms()
        instance = RelayInstance(settings, protocol, open_source(settings), incarnation, writer)
        stop = trio.Event()
        async with trio.open_nursery() as nursery:

            async def serve() -> None:
                await instance.run(stop)
                nursery.cancel_scope.cancel()

            nursery.start_soon(serve)
            async for signal_number in signals:
                if signal_number == signal.SIGHUP:
                    _reload(load_settings, instance)
                else:
                    stop.set()


def _reload(load_settings: Callable[[], RelaySettings], instance: RelayInstance) -> None:
    try:
        instance.reload(load_settings())
    except ConfigurationError as error:
        eliot.log_message(
            message_type="instance: new settings are invalid, keeps the current settings",
            error=str(error),
        )
