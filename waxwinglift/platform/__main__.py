"""Programs of the platform's roles: ``python3 -m waxwinglift.platform``."""

import contextlib
import pathlib

import click
import mode

from waxwinglift.platform import _control_http
from waxwinglift.platform import _http
from waxwinglift.platform import _roles
from waxwinglift.platform import _settings
from waxwinglift.process import _observability
from waxwinglift.process import _runner
from waxwinglift.process._control import ControlService
from waxwinglift.process._proxy import ProxyService
from waxwinglift.process.cli._daemons import START_ERRORS

_settings_option = click.option(
    "--settings",
    "path",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    default=_settings.settings_path,
    help=f"Settings file; {_settings.SETTINGS_VARIABLE} without it.",
)


class PlatformControl(mode.Service):
    """A control daemon behind the platform's HTTP interface."""

    def __init__(self, platform, metrics, tracer):
        super().__init__()
        self.platform = platform
        self.control = ControlService(
            _roles.control_settings(platform), metrics, tracer
        )

    async def on_start(self):
        """Start the daemon, then listen for operators and servers."""
        await self.add_runtime_dependency(self.control)
        api = _control_http.ControlApi(self.control, self.platform.regions)
        await self.add_async_context(
            _http.serving_http(self.platform.listen.control, api.handle)
        )


def _load(path):
    if path is None:
        raise click.ClickException(
            f"name a settings file or set {_settings.SETTINGS_VARIABLE}"
        )
    loaded = _settings.load_platform_settings(path)
    if loaded.is_err():
        raise click.ClickException(loaded.err_value)
    return loaded.ok_value


def _run(product_settings, process_name, make_service):
    observability = product_settings.observability
    _observability.configure_logging(observability, process_name)
    metrics = _observability.make_metrics(observability)
    with _observability.open_tracer(observability, process_name) as tracer:
        try:
            code = _runner.run_service(lambda: make_service(metrics, tracer))
        except START_ERRORS as error:
            raise click.ClickException(str(error)) from error
    raise click.exceptions.Exit(int(code))


@click.group()
def main():
    """Run waxwinglift's daemons on the platform."""


@main.command()
@_settings_option
def control(path):
    """Run a control daemon."""
    platform = _load(path)
    settings = _roles.control_settings(platform)
    _run(
        settings,
        f"control {platform.machine}",
        lambda metrics, tracer: PlatformControl(platform, metrics, tracer),
    )


@main.command()
@_settings_option
def proxy(path):
    """Run a proxy."""
    platform = _load(path)
    settings = _roles.proxy_settings(platform)
    _run(
        settings,
        f"proxy {platform.machine}",
        lambda metrics, tracer: ProxyService(settings, metrics, tracer),
    )


@main.command(name="check-config")
@_settings_option
def check_config(path):
    """Check a settings file and print what follows from it."""
    platform = _load(path)
    if platform.listen.control is not None:
        print(_roles.control_settings(platform).model_dump_json(indent=2))
    if platform.listen.callers is not None:
        print(_roles.proxy_settings(platform).model_dump_json(indent=2))


with contextlib.suppress(BrokenPipeError):
    main()
