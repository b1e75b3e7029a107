"""Runs one stand-in as a process that prints its address as JSON in the first line."""

import json
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import click
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

from standins import engine_app, platform, service
from standins.engine import EngineSettings


async def serve_standin(
    app: QuartTrio, background: Callable[..., Awaitable[Any]] | None = None
) -> None:
    """Serve an app on a port that the system assigns, and print its address.

    Args:
        app: App to serve.
        background: Function that runs beside the app, started with ``nursery.start``.
    """
    config = Config()
    config.bind = ["127.0.0.1:0"]
    config.loglevel = "ERROR"
    config.keep_alive_timeout = 60.0
    async with trio.open_nursery() as nursery:
        if background is not None:
            await nursery.start(background)
        binds = await nursery.start(partial(serve, app, config))
        click.echo(json.dumps({"address": binds[0].removeprefix("http://")}))


@click.group()
def main() -> None:
    """Run a stand-in."""


@main.command()
@click.option("--name", required=True)
@click.option("--token-s", default=0.01, show_default=True, help="Seconds for each token.")
@click.option("--slots", default=16, show_default=True)
@click.option("--kv-keep-s", default=3.0, show_default=True)
def engine(name: str, token_s: float, slots: int, kv_keep_s: float) -> None:
    """Run a model engine."""
    settings = EngineSettings(name, token_s=token_s, slots=slots, kv_keep_s=kv_keep_s)
    simulated_engine = engine_app.build_engine(settings)
    trio.run(serve_standin, engine_app.build_app(simulated_engine), simulated_engine.run)


@main.command("service")
@click.option("--name", required=True)
def plain_service(name: str) -> None:
    """Run a plain service."""
    trio.run(serve_standin, service.build_app(service.PlainService(name)))


@main.command("platform")
def platform_command() -> None:
    """Run the platform."""
    trio.run(serve_standin, platform.build_app(platform.Platform()))


if __name__ == "__main__":
    main()
