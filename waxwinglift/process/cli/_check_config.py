"""The check-config command."""

import click

from waxwinglift.process import _settings

MODELS = {
    "proxy": _settings.ProxySettings,
    "control": _settings.ControlSettings,
}


def load_or_exit(path, model):
    """Return a file's settings, or print the problems and exit with code 2."""
    loaded = _settings.load_settings(path, model)
    if loaded.is_err():
        click.echo(loaded.err_value, err=True)
        raise click.exceptions.Exit(2)
    return loaded.ok_value


@click.command("check-config")
@click.argument("kind", type=click.Choice(sorted(MODELS)))
@click.argument("path", type=click.Path(dir_okay=False))
def check_config(kind, path):
    """Check a settings file without starting anything.

    \b
    Example:
      waxwinglift check-config proxy /etc/waxwinglift/proxy.toml
    """
    load_or_exit(path, MODELS[kind])
    click.echo(f"{path}: valid {kind} settings")
