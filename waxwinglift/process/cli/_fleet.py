"""The status, drain and member commands."""

import click

from waxwinglift.process import _checks
from waxwinglift.process import DaemonId
from waxwinglift.process.cli import _client
from waxwinglift.version import _entries
from waxwinglift.version._entry_codec import decode_fleet
from waxwinglift.version._entry_codec import encode_entry


@click.command()
@click.pass_obj
def status(addresses):
    """Show the control leader, groups, endpoints, owners and proxies."""
    reply = _client.fetch_status(addresses)
    fleet = decode_fleet(reply.fleet)
    freshness = (
        "" if reply.is_fresh else "  (not confirmed by a leader: may be stale)"
    )
    click.echo(
        f"control: {reply.member}, leader {reply.leader or 'none'}, "
        f"term {reply.control_term}, commit {reply.commit_index}{freshness}"
    )
    for line in _describe_fleet(fleet):
        click.echo(line)
    for daemon in reply.daemons:
        click.echo(
            f"lease {daemon.daemon}: applied {daemon.applied_index}, "
            f"{'live' if daemon.is_live else 'expired'}"
        )
    for note in reply.group_notes:
        click.echo(f"change of primary: {note}")


def _describe_fleet(fleet):
    for member in fleet.members.values():
        vote = "voter" if member.is_voter else "learner"
        yield f"member {member.member}: {member.address}, {vote}"
    for group in fleet.groups.values():
        yield (
            f"group {group.group}: {group.phase.value}, term {group.term}, "
            f"primary {group.primary or 'none'}"
        )
    for endpoint in fleet.endpoints.values():
        owner = fleet.owners.get(endpoint.endpoint)
        owner_text = f"{owner.owner} epoch {owner.epoch}" if owner else "none"
        yield (
            f"endpoint {endpoint.endpoint}: group {endpoint.group}, "
            f"{endpoint.address}, {endpoint.role.value}, "
            f"timeline {endpoint.term}, {endpoint.state.value}, "
            f"owner {owner_text}"
        )
    for daemon in fleet.daemons.values():
        yield (
            f"proxy {daemon.daemon}: {daemon.location.data_centre}, "
            f"{daemon.state.value}"
        )


@click.command()
@click.argument("daemon")
@click.pass_obj
def drain(addresses, daemon):
    """Move all endpoints away from a proxy before it is stopped."""
    entry = _entries.DaemonDraining(daemon=DaemonId(daemon))
    _client.propose(addresses, encode_entry(entry))
    click.echo(f"proxy {daemon}: draining")


@click.group()
def member():
    """Add and remove control daemons, one at a time."""


@member.command("add")
@click.argument("name")
@click.argument("address")
@click.pass_obj
def add_member(addresses, name, address):
    """Add a control daemon as a learner.

    It becomes a voter once it has stored all committed entries.  Start it
    with ``join = true`` and an empty data folder.
    """
    try:
        parsed = _checks.check_address(address)
    except ValueError as error:
        raise click.ClickException(f"{address}: {error}") from error
    entry = _entries.MemberAdded(member=DaemonId(name), address=parsed)
    _client.propose(addresses, encode_entry(entry))
    click.echo(f"member {name}: added as a learner")


@member.command("remove")
@click.argument("name")
@click.pass_obj
def remove_member(addresses, name):
    """Remove a control daemon that is lost or retired."""
    entry = _entries.MemberRemoved(member=DaemonId(name))
    _client.propose(addresses, encode_entry(entry))
    click.echo(f"member {name}: removed")
