"""The check-config command."""

import click

from waxwinglift.process import _settings
from waxwinglift.process.cli._check_desired import check_desired

MODELS = {
    "proxy": _settings.ProxySettings,
    "control": _settings.ControlSettings,
}
# Kind of a file with a desired state.
DESIRED = "desired"


def load_or_exit(path, model):
    """Return a file's settings, or print the problems and exit with code 2."""
    loaded = _settings.load_settings(path, model)
    if loaded.is_err():
        click.echo(loaded.err_value, err=True)
        raise click.exceptions.Exit(2)
    return loaded.ok_value


@click.command("check-config")
@click.argument("kind", type=click.Choice(sorted([*MODELS, DESIRED])))
@click.argument("path", type=click.Path(dir_okay=False))
@click.option(
    "--json", "is_json", is_flag=True, help="Report as JSON; desired only."
)
@click.pass_obj
def check_config(addresses, kind, path, is_json):
    """Check a settings file or a desired state without starting anything.

    A desired state is compared with the one in force if --control is given.

    \b
    Examples:
      waxwinglift check-config proxy /etc/waxwinglift/proxy.toml
      waxwinglift -c 127.0.0.1:7001 check-config desired state.json
    """
    if kind == DESIRED:
        check_desired(path, addresses, is_json)
        return
    if is_json:
        raise click.UsageError("--json is only for desired states")
    load_or_exit(path, MODELS[kind])
    click.echo(f"{path}: valid {kind} settings")
