"""The tenants command."""

import click

from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process.cli import _client
from waxwinglift.version._entry_codec import decode_fleet
from waxwinglift.version._tenant_homes import TenantHomes
from waxwinglift.version._tenants import fingerprint


@click.command()
@click.argument("names", nargs=-1)
@click.pass_obj
def tenants(addresses, names):
    """Show tenants with their keys' fingerprints, limits and homes.

    The home of a tenant is the proxy that counts its operations.  Without
    NAMES, all tenants are shown.

    \b
    Example:
      waxwinglift -c 127.0.0.1:7001 tenants acme
    """
    fleet = decode_fleet(_client.fetch_status(addresses).fleet)
    unknown = [name for name in names if name not in fleet.tenants]
    if unknown:
        raise click.ClickException(f"unknown tenants: {', '.join(unknown)}")
    homes = TenantHomes(lambda: fleet, monotonic_ms)
    for name in names or sorted(fleet.tenants):
        click.echo(describe_tenant(fleet.tenants[name], homes.find(name)))


def describe_tenant(settings, homes):
    """Return the line of one tenant.

    Parameters
    ----------
    settings : TenantSettings
    homes : sequence of DaemonId
        The home and its substitute.
    """
    keys = " ".join(fingerprint(key) for key in settings.keys) or "none"
    limit = "no limit"
    if settings.rate_per_s is not None:
        limit = f"{settings.rate_per_s:g}/s, burst {settings.burst_count:g}"
    counted = "none" if not homes else homes[0]
    return f"tenant {settings.tenant}: keys {keys}, {limit}, home {counted}"
