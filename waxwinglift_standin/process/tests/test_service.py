"""Tests announcements to control and the departure of a server."""

import asyncio
import contextlib

import grpclib.server
import pytest

from waxwinglift.process.rpc.control_grpc import ControlBase
from waxwinglift.process.rpc.control_pb2 import AnnounceReply
from waxwinglift_standin.process import running_group
from waxwinglift_standin.process._service import StandinService
from waxwinglift_standin.process.tests import _helpers as helpers


class Control(ControlBase):
    """Control daemon that records announcements."""

    def __init__(self, accepts=True):
        self.announcements = asyncio.Queue()
        self._accepts = accepts

    async def Announce(self, stream):  # noqa: N802
        self.announcements.put_nowait(await stream.recv_message())
        await stream.send_message(AnnounceReply(accepted=self._accepts))

    async def _unused(self, stream):
        raise NotImplementedError

    Renew = Watch = Relay = Consensus = Propose = Status = _unused
    Join = ConfirmIndex = ReplaceDesiredState = _unused


@contextlib.asynccontextmanager
async def running_control(accepts=True):
    """Yield a control daemon and its address."""
    control = Control(accepts)
    server = grpclib.server.Server([control])
    await server.start("127.0.0.1", 0)
    host, port = server._server.sockets[0].getsockname()
    try:
        yield control, {"host": host, "port": port}
    finally:
        server.close()
        await server.wait_closed()


async def settings_with(addresses, **values):
    """Return settings with control addresses, for a server to be started."""
    overrides = {"control_addresses": addresses, "leaving_ms": 0} | values
    async with running_group(1, **overrides) as (server,):
        return server.settings


def test_announcement_reports_the_current_state():
    # Control selects servers by these fields; stale ones misroute requests.
    async def scenario():
        async with running_control() as (control, address):
            settings = await settings_with(
                [address], initial_role="replica", announce_interval_ms=50
            )
            async with StandinService(settings) as service:
                first = await control.announcements.get()
                assert first.port == service.server.address.port
                await helpers.query(service.server, "select pg_promote()")
                promoted = first
                while promoted.in_recovery:
                    promoted = await control.announcements.get()
                await service.leave()
                last = promoted
                while not last.leaving:
                    last = await control.announcements.get()
                await helpers.query(service.server, "select 1")
        return first, promoted, last

    first, promoted, last = helpers.run(scenario())
    assert (first.endpoint, first.group) == ("server-1", "group")
    assert (first.slots_count, first.connection_limit_count) == (3, 25)
    assert (first.data_centre, first.region) == ("dc-1", "region-1")
    found = [
        (a.term, a.in_recovery, a.leaving) for a in (first, promoted, last)
    ]
    assert found == [(1, True, False), (2, False, False), (2, False, True)]


@pytest.mark.parametrize("is_stopped", [True, False])
def test_next_control_daemon_is_tried(is_stopped):
    # If only the first control daemon were tried, a server would not be
    # announced while that daemon is stopped or refuses announcements.
    async def scenario():
        async with contextlib.AsyncExitStack() as stack:
            context = running_control(accepts=False)
            _, first_address = await stack.enter_async_context(context)
            if is_stopped:
                await stack.aclose()
            context = running_control()
            control, address = await stack.enter_async_context(context)
            settings = await settings_with([first_address, address])
            async with StandinService(settings):
                return (await control.announcements.get()).endpoint

    assert helpers.run(scenario()) == "server-1"
