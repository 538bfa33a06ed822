"""Command waxwinglift-standin."""

import asyncio
import logging
import pathlib

import click
from pythonjsonlogger.json import JsonFormatter
from waxwinglift_standin.process._service import serve
from waxwinglift_standin.process._settings import load_settings
from waxwinglift_standin.process._settings import SettingsError


def _configure_logging():
    handler = logging.StreamHandler()
    handler.setFormatter(
        JsonFormatter("%(asctime)s %(levelname)s %(name)s %(message)s")
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    # The mode library logs each step of a service at INFO; log only warnings.
    logging.getLogger("mode").setLevel(logging.WARNING)


@click.command()
@click.argument(
    "settings_file", type=click.Path(path_type=pathlib.Path, dir_okay=False)
)
@click.option(
    "--check-config",
    is_flag=True,
    help="Check the settings without starting the server.",
)
def main(settings_file, check_config):
    """Run the stand-in database server with the settings of a TOML file."""
    try:
        settings = load_settings(settings_file)
    except SettingsError as error:
        raise click.ClickException(str(error)) from error
    if check_config:
        click.echo(f"{settings_file}: settings are valid")
        return
    _configure_logging()
    asyncio.run(serve(settings))
