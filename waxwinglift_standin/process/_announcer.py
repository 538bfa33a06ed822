"""Announces the server to a control daemon."""

import asyncio
import logging

import grpclib
from grpclib.client import Channel
from waxwinglift.process.rpc.control_grpc import ControlStub
from waxwinglift.process.rpc.control_pb2 import Announcement

_LOG = logging.getLogger(__name__)
_ANNOUNCE_ERRORS = (
    OSError,
    TimeoutError,
    grpclib.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
)


class Announcer:
    """Announces a server to the first control daemon that accepts it.

    Parameters
    ----------
    server : StandinServer
        Started server.
    """

    def __init__(self, server):
        self.is_leaving = False
        self._server = server
        self._settings = server.settings
        self._addresses = list(server.settings.control_addresses)
        self._channel = None
        self._is_accepted = None

    async def run(self):
        """Announce periodically until cancelled."""
        interval_s = self._settings.announce_interval_ms / 1000
        try:
            while self._addresses:
                await self._server.state.unfrozen.wait()
                await self.announce()
                await asyncio.sleep(interval_s)
        finally:
            self._close()

    async def announce(self):
        """Announce once, trying each control address at most once."""
        for _ in self._addresses:
            if await self._announce_to_first():
                self._record_reply(True)
                return
            self._close()
            self._addresses.append(self._addresses.pop(0))
        self._record_reply(False)

    def message(self):
        """Return the announcement of the server's current state."""
        settings, state = self._settings, self._server.state
        address = self._server.address
        return Announcement(
            endpoint=settings.id,
            group=settings.group,
            host=address.host,
            port=address.port,
            data_centre=settings.data_centre,
            region=settings.region,
            slots_count=settings.slots_count,
            connection_limit_count=settings.connection_limit_count,
            group_size_count=settings.group_size_count,
            term=state.log.term,
            in_recovery=state.in_recovery,
            leaving=self.is_leaving,
        )

    async def _announce_to_first(self):
        if self._channel is None:
            address = self._addresses[0]
            self._channel = Channel(str(address.host), address.port)
        timeout_s = self._settings.announce_interval_ms / 1000
        stub = ControlStub(self._channel)
        try:
            reply = await stub.Announce(self.message(), timeout=timeout_s)
        except _ANNOUNCE_ERRORS:
            return False
        return reply.accepted

    def _close(self):
        if self._channel is not None:
            self._channel.close()
            self._channel = None

    def _record_reply(self, is_accepted):
        if is_accepted != self._is_accepted:
            self._is_accepted = is_accepted
            result = (
                "accepted"
                if is_accepted
                else "not accepted by any control daemon"
            )
            _LOG.info("announcement %s", result)
