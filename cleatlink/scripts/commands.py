"""The commands of ``cleatlink``.

Modules that only some commands need are imported when these commands run, so that a relay starts
fast.
"""

import json
import sys
from importlib import import_module
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click
import trio

from cleatlink.clock import SuspendAwareClock, unix_ms
from cleatlink.core.address import Address, parse_address
from cleatlink.core.errors import ConfigurationError, ListenError
from cleatlink.platform import (
    PROTOCOL,
    SETTINGS_VARIABLE,
    PlatformStore,
    SettingsError,
    load_settings,
)
from cleatlink.relay.daemon import run_relay
from cleatlink.relay.settings import RelaySettings
from cleatlink.routing.mechanisms import Mechanism

__all__ = ["main"]

ErrorT = TypeVar("ErrorT", bound=Exception)


class AddressType(click.ParamType[Address]):
    """Type of flags whose value is an IP address and a port."""

    name = "IP:PORT"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> Address:
        """Convert the value of a flag."""
        if isinstance(value, Address):
            return value
        try:
            return parse_address(str(value))
        except ConfigurationError as error:
            self.fail(str(error), param, ctx)


_ADDRESS = AddressType()


@click.group(context_settings={"auto_envvar_prefix": "CLEATLINK", "show_default": True})
@click.version_option(package_name=None, version="0.1.0")
def main() -> None:
    """Route inference requests over separate prefill and decode pools.

    Each flag can also be given as an environment variable, such as
    CLEATLINK_ENTRY_NAME for --name of the command entry.
    """


@main.command()
@click.option(
    "--settings-file",
    type=click.Path(path_type=Path),
    envvar=SETTINGS_VARIABLE,
    default=None,
    help="Settings file of a platform; only --metrics-listen and --without apply with it.",
)
@click.option(
    "--metrics-listen",
    type=_ADDRESS,
    default=None,
    help="Address to serve metrics on, with --settings-file.",
)
@click.option(
    "--without",
    type=click.Choice([mechanism.value for mechanism in Mechanism]),
    multiple=True,
    help="Mechanism to disable for an experiment, with --settings-file.",
)
@click.option("--name", default=None, help="Name of this instance in the instance list.")
@click.option("--data-centre", default=None, help="Data centre in which this instance runs.")
@click.option("--listen", type=_ADDRESS, default="127.0.0.1:8000", help="Address for callers.")
@click.option("--peer-listen", type=_ADDRESS, default="127.0.0.1:8001", help="Address for peers.")
@click.option("--platform", type=_ADDRESS, default=None, help="Address of the platform's service.")
@click.option(
    "--peer",
    "peers",
    type=_ADDRESS,
    multiple=True,
    help="Address of a peer to ask if the platform can't be reached.",
)
@click.option("--seed", type=int, default=None, help="Seed of random choices; by default the time.")
@click.option("--poll-s", default=1.0, help="Seconds between two load reports of an endpoint.")
@click.option(
    "--connect-timeout-s", default=1.0, help="Timeout in seconds for connecting to an endpoint."
)
@click.option("--prefill-timeout-s", default=30.0, help="Timeout in seconds for a prefill.")
@click.option(
    "--stall-timeout-s", default=2.0, help="Seconds without a token until a stream is resumed."
)
@click.option(
    "--caller-timeout-s",
    default=10.0,
    help="Seconds without reading until a caller counts as gone.",
)
def entry(
    settings_file: Path | None,
    metrics_listen: Address | None,
    without: tuple[str, ...],
    **flags: Any,
) -> None:
    """Run an entry instance until SIGTERM; then finish all requests and exit with 0.

    Without a settings file, --name and --data-centre are required, and the
    instance prints one line of JSON with its addresses when it starts to listen.
    """
    if settings_file is not None:
        _run_relay(settings_file, metrics_listen, frozenset(map(Mechanism, without)))
    else:
        _run_entry(**flags)


def _run_relay(
    settings_file: Path, metrics_listen: Address | None, without: frozenset[Mechanism]
) -> None:
    """Run the relay with a platform's settings file."""

    def load() -> RelaySettings:
        return load_settings(settings_file, metrics_listen)._replace(without=without)

    faults: list[str] = []
    try:
        trio.run(
            run_relay,
            load,
            PROTOCOL,
            lambda settings: PlatformStore(settings.store),
            clock=SuspendAwareClock(),
        )
    except* SettingsError as group:
        faults = [fault for error in _flatten(group) for fault in error.faults]
    except* ListenError as group:
        faults = [str(error) for error in _flatten(group)]
    if faults:
        _print_faults(settings_file, faults)
        sys.exit(1)


def _flatten(group: ExceptionGroup[ErrorT]) -> list[ErrorT]:
    """Return the errors in an exception group and in the groups that it contains."""
    errors: list[ErrorT] = []
    for error in group.exceptions:
        errors += _flatten(error) if isinstance(error, ExceptionGroup) else [error]
    return errors


def _print_faults(file: Path, faults: list[str]) -> None:
    for fault in faults:
        click.echo(f"{file}: {fault}", err=True)


def _run_entry(peers: tuple[Address, ...], seed: int | None, **flags: Any) -> None:
    """Run an entry with settings from flags."""
    serving = import_module("cleatlink.serving")
    logs = import_module("cleatlink.serving.logs")
    for name in ("name", "data_centre"):
        if flags[name] is None:
            raise click.UsageError(f"Missing option '--{name.replace('_', '-')}'.")
    incarnation = unix_ms()
    settings = serving.Settings(
        peers=peers,
        seed=incarnation if seed is None else seed,
        incarnation=incarnation,
        **flags,
    )
    faults = serving.check_settings(settings)
    if faults:
        raise click.UsageError("; ".join(faults))
    logs.write_logs()
    trio.run(serving.run_daemon, settings, _print_addresses, clock=SuspendAwareClock())


def _print_addresses(callers: Address, peers: Address) -> None:
    click.echo(json.dumps({"address": str(callers), "peer_address": str(peers)}))


class _LazyCommand(click.Command):
    """A command whose module is imported when the command runs, so that a relay starts fast."""

    def __init__(self, name: str, module: str, short_help: str) -> None:
        super().__init__(name, short_help=short_help)
        self._module = module

    def make_context(self, *args: Any, **kwargs: Any) -> click.Context:
        """Make the context of the imported command."""
        return self._load().make_context(*args, **kwargs)

    def _load(self) -> click.Command:
        command: click.Command = getattr(import_module(self._module), self.name or "")
        return command


main.add_command(
    _LazyCommand("analyze", "cleatlink.scripts.analyze", "Analyze logs: which requests were lost.")
)


@main.group()
def config() -> None:
    """Check configurations."""


@config.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print the result as JSON.")
def check(file: Path, as_json: bool) -> None:
    """Check a configuration or, if it ends in .toml, a platform's settings file.

    Prints all faults and exits with 1 if there are any.
    """
    if file.suffix == ".toml":
        _check_settings(file, as_json)
    try:
        text = file.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise click.ClickException(f"{file} can't be read: {error}") from None
    configuration, faults = import_module("cleatlink.config").load_configuration(text)
    if as_json:
        rows = [fault._asdict() for fault in faults]
        click.echo(json.dumps({"valid": configuration is not None, "faults": rows}))
    else:
        for fault in faults:
            click.echo(f"{file}: {fault}", err=True)
        if configuration is not None:
            click.echo(f"{file}: valid; {len(configuration.classes)} classes")
    sys.exit(0 if configuration is not None else 1)


def _check_settings(file: Path, as_json: bool) -> NoReturn:
    """Check a platform's settings file and exit."""
    faults: list[str] = []
    try:
        load_settings(file)
    except SettingsError as error:
        faults = error.faults
    if as_json:
        click.echo(json.dumps({"valid": not faults, "faults": faults}))
    elif faults:
        _print_faults(file, faults)
    else:
        click.echo(f"{file}: valid settings")
    sys.exit(1 if faults else 0)
