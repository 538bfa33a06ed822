"""Runs a daemon as a process: logs, metrics, traces and the exit code."""

import click

from waxwinglift.process import _observability
from waxwinglift.process import _runner
from waxwinglift.process._control_settings import EmptyFolderError
from waxwinglift.version._store_records import StoreError

# Raised at start if the data folder or an address cannot be used.
START_ERRORS = (EmptyFolderError, StoreError, OSError)


def run_daemon(settings, process_name, make_service):
    """Run a daemon until it stops, then exit with its exit code.

    Parameters
    ----------
    settings : ProxySettings or ControlSettings
    process_name : str
        Included in each log line.
    make_service : callable
        Called with the settings, the metrics and the tracer.

    Raises
    ------
    ClickException
        The daemon could not start.
    """
    observability = settings.observability
    _observability.configure_logging(observability, process_name)
    with (
        _observability.open_metrics(observability) as metrics,
        _observability.open_tracer(observability, process_name) as tracer,
    ):
        try:
            code = _runner.run_service(
                lambda: make_service(settings, metrics, tracer)
            )
        except START_ERRORS as error:
            raise click.ClickException(str(error)) from error
    raise click.exceptions.Exit(int(code))
