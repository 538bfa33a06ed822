"""The workspaces command."""

import click

from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process.cli import _client
from waxwinglift.version._entry_codec import decode_fleet
from waxwinglift.version._workspace_homes import WorkspaceHomes
from waxwinglift.version._workspaces import fingerprint


@click.command()
@click.argument("names", nargs=-1)
@click.pass_obj
def workspaces(addresses, names):
    """Show workspaces with their keys' fingerprints, limits and homes.

    The home of a workspace is the proxy that counts its operations.  Without
    NAMES, all workspaces are shown.

    \b
    Example:
      waxwinglift -c 127.0.0.1:7001 workspaces acme
    """
    fleet = decode_fleet(_client.fetch_status(addresses).fleet)
    unknown = [name for name in names if name not in fleet.workspaces]
    if unknown:
        raise click.ClickException(f"unknown workspaces: {', '.join(unknown)}")
    homes = WorkspaceHomes(lambda: fleet, monotonic_ms)
    for name in names or sorted(fleet.workspaces):
        click.echo(
            describe_workspace(fleet.workspaces[name], homes.find(name))
        )


def describe_workspace(settings, homes):
    """Return the line of one workspace.

    Parameters
    ----------
    settings : WorkspaceSettings
    homes : sequence of DaemonId
        The home and its substitute.
    """
    keys = " ".join(fingerprint(key) for key in settings.keys) or "none"
    limit = "no limit"
    if settings.rate_per_s is not None:
        limit = f"{settings.rate_per_s:g}/s, burst {settings.burst_count:g}"
    counted = "none" if not homes else homes[0]
    return (
        f"workspace {settings.workspace}: keys {keys}, {limit}, home {counted}"
    )
