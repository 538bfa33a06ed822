"""The ``waxwinglift-proxy`` and ``waxwinglift-control`` commands."""

import click

import waxwinglift
from waxwinglift.process import _observability
from waxwinglift.process import _runner
from waxwinglift.process import _settings
from waxwinglift.process._control import ControlService
from waxwinglift.process._control_settings import EmptyFolderError
from waxwinglift.process._proxy import ProxyService
from waxwinglift.process.cli._check_config import load_or_exit
from waxwinglift.version._store_records import StoreError

# The daemon cannot start: a data folder or an address is not usable.
START_ERRORS = (EmptyFolderError, StoreError, OSError)

_path_argument = click.argument("path", type=click.Path(dir_okay=False))


def run_daemon(settings, process_name, make_service):
    """Run a daemon until it is stopped, then exit with its code.

    Parameters
    ----------
    settings : ProxySettings or ControlSettings
    process_name : str
        Shown in each log line.
    make_service : callable
        Called with the settings, the metrics and the tracer.

    Raises
    ------
    ClickException
        The daemon could not start.
    """
    observability = settings.observability
    _observability.configure_logging(observability, process_name)
    metrics = _observability.make_metrics(observability)
    with _observability.open_tracer(observability, process_name) as tracer:
        try:
            code = _runner.run_service(
                lambda: make_service(settings, metrics, tracer)
            )
        except START_ERRORS as error:
            raise click.ClickException(str(error)) from error
    raise click.exceptions.Exit(int(code))


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
