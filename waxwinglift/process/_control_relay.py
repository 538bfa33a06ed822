"""Forwards renewals and announcements to the control leader in batches."""

import asyncio

from waxwinglift.process._relayed_renewals import decode_short_grants
from waxwinglift.process._relayed_renewals import RenewalShortener
from waxwinglift.process.rpc import control_grpc
from waxwinglift.process.rpc import control_pb2
from waxwinglift.process.rpc._channels import CALL_ERRORS


def make_refused_grant(renewal, reason):
    """Return the `Grant` message that refuses a renewal."""
    return control_pb2.Grant(
        granted=False, sequence=renewal.sequence, reason=reason
    )


class Relay:
    """Batches the renewals and announcements of a member for the leader.

    Parameters
    ----------
    settings : ControlSettings
        Batch interval and time limits.
    find_leader : callable
        Returns the leader's address, None if it is this member or unknown.
    channels : ChannelCache
        Channels shared with the consensus transport.
    """

    def __init__(self, settings, find_leader, channels):
        self._settings = settings
        self._find_leader = find_leader
        self._channels = channels
        self._renewals = []
        self._announcements = {}
        self._filled = asyncio.Event()
        self._shortener_address = None
        self._shortener = RenewalShortener()

    async def renew(self, renewal):
        """Forward a renewal and return the leader's `Grant`."""
        future = asyncio.get_running_loop().create_future()
        self._renewals.append((renewal, future))
        self._filled.set()
        return await future

    def announce(self, announcement):
        """Queue an announcement; it replaces an older one of the endpoint."""
        self._announcements[announcement.endpoint] = announcement
        self._filled.set()

    async def run(self):
        """Send one batch per interval while anything is queued."""
        interval_s = self._settings.timing.relay_batch_ms / 1000
        tasks = set()
        try:
            while True:
                await self._filled.wait()
                await asyncio.sleep(interval_s)
                self._filled.clear()
                # A batch to an unresponsive leader must not delay the next.
                task = asyncio.ensure_future(self._flush())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        finally:
            for task in tasks:
                task.cancel()

    async def _flush(self):
        renewals, self._renewals = self._renewals, []
        announcements, self._announcements = self._announcements, {}
        address = self._find_leader()
        if address is None:
            _refuse_all(renewals, "no control leader is known to this member")
            return
        shortener = self._shortener_for(address)
        full, short = shortener.split(renewals)
        reply = await self._send(address, full, short, announcements)
        if reply is None:
            return
        unknown = _resolve_all(full, short, reply)
        if unknown:
            for renewal, _ in unknown:
                shortener.forget(renewal)
            reply = await self._send(address, unknown, [], {})
            if reply is not None:
                _resolve_all(unknown, [], reply)

    def _shortener_for(self, address):
        """Return the handles that the leader at an address has given."""
        if address != self._shortener_address:
            self._shortener_address = address
            self._shortener = RenewalShortener()
        return self._shortener

    async def _send(self, address, full, short, announcements):
        """Send a batch and return the leader's reply.

        Without one, the renewals are refused and None is returned.
        """
        shortener = self._shortener_for(address)
        batch = control_pb2.RelayBatch(
            relay=self._settings.member,
            renewals=[renewal for renewal, _ in full],
            announcements=list(announcements.values()),
        )
        if short:
            shortener.fill(batch, [renewal for renewal, _ in short])
        stub = control_grpc.ControlStub(self._channels.get(address))
        timeout_s = self._settings.timing.rpc_timeout_ms / 1000
        try:
            reply = await stub.Relay(batch, timeout=timeout_s)
        except CALL_ERRORS:
            self._channels.discard(address)
            _refuse_all(full + short, "the control leader does not answer")
            return None
        if not reply.is_leader:
            _refuse_all(full + short, "the control leader has changed")
            return None
        shortener.record([renewal for renewal, _ in full], reply)
        return reply


def _resolve_all(full, short, reply):
    """Pass the grants on; return the renewals whose handle is unknown."""
    for (_, future), grant in zip(full, reply.grants):
        _resolve(future, grant)
    grants = decode_short_grants(reply, [renewal for renewal, _ in short])
    unknown = []
    for (renewal, future), grant in zip(short, grants):
        if grant is None:
            unknown.append((renewal, future))
        else:
            _resolve(future, grant)
    return unknown


def _refuse_all(renewals, reason):
    for renewal, future in renewals:
        _resolve(future, make_refused_grant(renewal, reason))


def _resolve(future, grant):
    if not future.done():
        future.set_result(grant)
