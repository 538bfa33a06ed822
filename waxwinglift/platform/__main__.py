"""Programs of the platform's roles: ``python3 -m waxwinglift.platform``."""

import contextlib
import logging
import pathlib

import click
import mode

from waxwinglift.platform import _control_http
from waxwinglift.platform import _http
from waxwinglift.platform import _roles
from waxwinglift.platform import _settings
from waxwinglift.process._control import ControlService
from waxwinglift.process._proxy import ProxyService
from waxwinglift.process.cli._daemons import run_daemon

logger = logging.getLogger(__name__)

# Time between two looks at the settings file, which may change unannounced.
_RELOAD_INTERVAL_S = 1.0

_settings_option = click.option(
    "--settings",
    "path",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    default=_settings.settings_path,
    help=f"Settings file; {_settings.SETTINGS_VARIABLE} without it.",
)


class SettingsReloader(mode.Service):
    """Takes the seeds of a settings file that changes, signalled or not.

    Other settings need a restart.

    Parameters
    ----------
    path : Path
    set_seeds : callable
        Called with the addresses of the control seeds after each change.
    """

    def __init__(self, path, set_seeds):
        super().__init__()
        self._path = path
        self._set_seeds = set_seeds
        self._seeds = None

    def reload(self):
        """Read the file again; one that is not valid changes nothing."""
        loaded = _settings.load_platform_settings(self._path)
        if loaded.is_err():
            logger.warning("settings not reloaded: %s", loaded.err_value)
            return
        seeds = loaded.ok_value.control_seeds
        if seeds == self._seeds:
            return
        if self._seeds is not None:
            logger.info("settings reloaded: seeds are %s", _join(seeds))
        self._seeds = seeds
        self._set_seeds(seeds)

    @mode.Service.task
    async def _watch(self):
        while not self.should_stop:
            self.reload()
            await self.sleep(_RELOAD_INTERVAL_S)


class PlatformControl(mode.Service):
    """A control daemon behind the platform's HTTP interface."""

    def __init__(self, platform, settings, path, metrics, tracer):
        super().__init__()
        self.platform = platform
        self.control = ControlService(settings, metrics, tracer)
        self._reloader = SettingsReloader(path, self.control.set_seeds)

    def reload(self):
        """Read the settings again."""
        self._reloader.reload()

    async def on_start(self):
        """Start the daemon, then listen for operators and servers."""
        await self.add_runtime_dependency(self.control)
        api = _control_http.ControlApi(self.control, self.platform.regions)
        await self.add_async_context(
            _http.serving_http(self.platform.listen.control, api.handle)
        )
        await self.add_runtime_dependency(self._reloader)


class PlatformProxy(mode.Service):
    """A proxy whose seeds follow the platform's settings file."""

    def __init__(self, settings, path, metrics, tracer):
        super().__init__()
        self.proxy = ProxyService(settings, metrics, tracer)
        self._reloader = SettingsReloader(path, self.proxy.link.set_control)

    def reload(self):
        """Read the settings again."""
        self._reloader.reload()

    async def on_start(self):
        """Start the proxy."""
        await self.add_runtime_dependency(self.proxy)
        await self.add_runtime_dependency(self._reloader)


def _join(addresses):
    return ", ".join(str(address) for address in addresses)


def _load(path):
    if path is None:
        raise click.ClickException(
            f"name a settings file or set {_settings.SETTINGS_VARIABLE}"
        )
    loaded = _settings.load_platform_settings(path)
    if loaded.is_err():
        raise click.ClickException(loaded.err_value)
    return loaded.ok_value


@click.group()
def main():
    """Run waxwinglift's daemons on the platform."""


@main.command()
@_settings_option
def control(path):
    """Run a control daemon."""
    platform = _load(path)
    run_daemon(
        _roles.control_settings(platform),
        f"control {platform.machine}",
        lambda settings, metrics, tracer: PlatformControl(
            platform, settings, path, metrics, tracer
        ),
    )


@main.command()
@_settings_option
def proxy(path):
    """Run a proxy."""
    platform = _load(path)
    run_daemon(
        _roles.proxy_settings(platform),
        f"proxy {platform.machine}",
        lambda settings, metrics, tracer: PlatformProxy(
            settings, path, metrics, tracer
        ),
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
