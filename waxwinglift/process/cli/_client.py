"""Client for the control daemons, used by operators' commands."""

import asyncio
import contextlib

import click

from waxwinglift.process import _checks
from waxwinglift.process.rpc import control_grpc
from waxwinglift.process.rpc import control_pb2
from waxwinglift.process.rpc._channels import CALL_ERRORS
from waxwinglift.process.rpc._channels import open_channel

CALL_TIMEOUT_S = 3.0


class ControlAddress(click.ParamType):
    """Command-line form of a control daemon's address."""

    name = "IP:PORT"

    def convert(self, value, param, ctx):
        """Return the `Address` of the option's text."""
        try:
            return _checks.check_address(value)
        except ValueError as error:
            self.fail(f"{value}: {error}", param, ctx)


@contextlib.contextmanager
def _open_stub(address):
    with open_channel(address) as channel:
        yield control_grpc.ControlStub(channel)


async def _call_any(addresses, call):
    problems = []
    for address in addresses:
        with _open_stub(address) as stub:
            try:
                return await call(stub)
            except CALL_ERRORS as error:
                problems.append(f"{address}: {error or type(error).__name__}")
    raise click.ClickException(
        "no control daemon answered:\n  " + "\n  ".join(problems)
    )


def propose(addresses, entry_bytes):
    """Send an entry to the control log and return the reply.

    There is no retry after a lost answer.  The operator may repeat the
    command; an edit of a pool is repeated with the same edit id.

    Raises
    ------
    click.ClickException
        If no control daemon answers or the entry is not accepted.
    """
    request = control_pb2.ProposeRequest(entry=entry_bytes)

    async def call(stub):
        return await stub.Propose(request, timeout=CALL_TIMEOUT_S)

    reply = asyncio.run(_call_any(addresses, call))
    if not reply.accepted:
        raise click.ClickException(reply.error)
    return reply


def fetch_status(addresses):
    """Return the status that a control daemon reports."""
    request = control_pb2.StatusRequest()

    async def call(stub):
        return await stub.Status(request, timeout=CALL_TIMEOUT_S)

    return asyncio.run(_call_any(addresses, call))
