"""Commands for the platform's roles: ``python3 -m waxwinglift.platform``.

Each command imports only its own role, so that it starts faster.
"""

import contextlib
import importlib
import pathlib

import click

from waxwinglift.platform import _roles
from waxwinglift.platform import _settings
from waxwinglift.process._daemon import run_daemon

_settings_option = click.option(
    "--settings",
    "path",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    default=_settings.settings_path,
    help=f"Settings file; default: path in {_settings.SETTINGS_VARIABLE}.",
)


def _load(path):
    if path is None:
        raise click.ClickException(
            "no settings file: pass --settings or set "
            f"{_settings.SETTINGS_VARIABLE}"
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
    program = importlib.import_module("waxwinglift.platform._control_program")
    run_daemon(
        _roles.control_settings(platform),
        f"control {platform.machine}",
        lambda settings, metrics, tracer: program.PlatformControl(
            platform, settings, path, metrics, tracer
        ),
    )


@main.command()
@_settings_option
def proxy(path):
    """Run a proxy."""
    platform = _load(path)
    program = importlib.import_module("waxwinglift.platform._proxy_program")
    run_daemon(
        _roles.proxy_settings(platform),
        f"proxy {platform.machine}",
        lambda settings, metrics, tracer: program.PlatformProxy(
            settings, path, metrics, tracer
        ),
    )


@main.command(name="check-config")
@_settings_option
def check_config(path):
    """Check a settings file and print the resulting settings."""
    platform = _load(path)
    if platform.listen.control is not None:
        print(_roles.control_settings(platform).model_dump_json(indent=2))
    if platform.listen.callers is not None:
        print(_roles.proxy_settings(platform).model_dump_json(indent=2))


with contextlib.suppress(BrokenPipeError):
    main()
