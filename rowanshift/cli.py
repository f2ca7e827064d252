"""The command line."""

import signal
import sys
from pathlib import Path
from typing import Annotated

import trio
import typer
from loguru import logger

from rowanshift import __version__
from rowanshift.net.config import Config, ConfigError, load
from rowanshift.net.lines import Lines
from rowanshift.net.service import Service

app = typer.Typer(help="Spreads keys over cache servers before a slow origin.", no_args_is_help=True,
                  add_completion=False, pretty_exceptions_enable=False)

ConfigPath = Annotated[Path, typer.Option("--config", "-c", envvar="BALANCER_CONFIG",
                                          help="The configuration, as JSON.")]


def loaded(path: Path) -> Config:
    try:
        return load(path)
    except ConfigError as error:
        typer.echo(f"rowanshift: {error}", err=True)
        raise typer.Exit(2) from error


@app.command()
def serve(config: ConfigPath, level: Annotated[str, typer.Option(help="What to log.")] = "INFO") -> None:
    """Run a router until SIGTERM; SIGHUP has it read its configuration again."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the service heeds it, and while it ends
    loaded_config = loaded(config)
    logger.remove()
    logger.add(sys.stderr, level=level.upper(), format="{time:HH:mm:ss.SSS} {level: <7} {message}",
               backtrace=False, diagnose=False, filter=Lines())
    try:
        trio.run(Service(loaded_config, config).run)
    except* OSError as group:
        typer.echo(f"rowanshift: {group.exceptions[0]}", err=True)
        raise typer.Exit(1) from group


@app.command()
def check(config: ConfigPath) -> None:
    """Read a configuration and say what is in it."""
    c = loaded(config)
    typer.echo(f"{c.name}: listens on {c.listen[0]}:{c.listen[1]}; {len(c.names.categories)} categories, "
               f"{len(c.names.tenants)} tenants, {len(c.known.get('instances', ()))} servers known, "
               f"{c.settings.routers} routers"
               + (f"; calls on {c.control[0]}:{c.control[1]}" if c.control else ""))


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


def main() -> None:
    if sys.argv[1:2] != ["serve"]:  # a router alone needs none of it
        from rowanshift.migrate import migrate
        from rowanshift.standins.demo import demo
        from rowanshift.virtual.command import simulate

        app.command()(migrate)
        app.command()(demo)
        app.command()(simulate)
    app()
