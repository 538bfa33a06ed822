"""The operator's command, ``waxwinglift``."""

import click

import waxwinglift
from waxwinglift.process.cli import _check_config
from waxwinglift.process.cli import _client
from waxwinglift.process.cli import _fleet
from waxwinglift.process.cli import _pools
from waxwinglift.process.cli import _schema
from waxwinglift.process.cli import _workspaces


@click.group(context_settings={"auto_envvar_prefix": "WAXWINGLIFT"})
@click.version_option(waxwinglift.__version__)
@click.option(
    "-c",
    "--control",
    "addresses",
    multiple=True,
    type=_client.ControlAddress(),
    help="Address of a control daemon; may be given several times.",
)
@click.pass_context
def operator(context, addresses):
    """Operate a waxwinglift fleet.

    \b
    Examples:
      waxwinglift -c 127.0.0.1:7001 status
      waxwinglift -c 127.0.0.1:7001 pool show payouts
    """
    needs_control = context.invoked_subcommand not in LOCAL_COMMANDS
    if needs_control and not addresses:
        raise click.UsageError("give at least one --control address")
    context.obj = addresses


LOCAL_COMMANDS = ("check-config", "schema")

operator.add_command(_check_config.check_config)
operator.add_command(_fleet.drain)
operator.add_command(_fleet.member)
operator.add_command(_fleet.status)
operator.add_command(_pools.pool)
operator.add_command(_schema.schema)
operator.add_command(_workspaces.workspaces)
