"""The ``waxwinglift-proxy`` and ``waxwinglift-control`` commands."""

import click

import waxwinglift
from waxwinglift.process import _settings
from waxwinglift.process._control import ControlService
from waxwinglift.process._daemon import run_daemon
from waxwinglift.process._proxy import ProxyService
from waxwinglift.process.cli._check_config import load_or_exit

_path_argument = click.argument("path", type=click.Path(dir_okay=False))


@click.command()
@click.version_option(waxwinglift.__version__)
@_path_argument
def proxy(path):
    """Run a proxy with the TOML settings in PATH.

    SIGTERM drains it: statements and transactions in flight finish first.

    \b
    Example:
      waxwinglift-proxy /etc/waxwinglift/proxy.toml
    """
    settings = load_or_exit(path, _settings.ProxySettings)
    run_daemon(settings, f"proxy {settings.daemon}", ProxyService)


@click.command()
@click.version_option(waxwinglift.__version__)
@click.option(
    "--found",
    "is_founding",
    is_flag=True,
    help="Start a new fleet when the data folder is empty.",
)
@_path_argument
def control(path, is_founding):
    """Run a control daemon with the TOML settings in PATH.

    \b
    Example:
      waxwinglift-control --found /etc/waxwinglift/control.toml
    """
    settings = load_or_exit(path, _settings.ControlSettings)

    def make_service(*arguments):
        return ControlService(*arguments, is_founding=is_founding)

    run_daemon(settings, f"control {settings.member}", make_service)
