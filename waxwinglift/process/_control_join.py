"""Discovery of the control group and requests to join it."""

import asyncio
import contextlib

from waxwinglift.process import _clock
from waxwinglift.process._types import Address
from waxwinglift.process._types import DaemonId
from waxwinglift.process.rpc import control_grpc
from waxwinglift.process.rpc import control_pb2
from waxwinglift.process.rpc._channels import CALL_ERRORS

_RETRY_INTERVAL_S = 0.25
_CALL_TIMEOUT_S = 1.0
# Time without a known leader after which a member may have been removed.
_LEADERLESS_LIMIT_MS = 2000.0
# Maximum number of senders of consensus messages whose addresses are kept.
_SENDERS_LIMIT_COUNT = 32


class AddressBook:
    """Addresses of the control members.

    Parameters
    ----------
    configured : dict of DaemonId to Address
        Addresses of the members that the settings list.
    seeds : callable
        Returns the seed addresses of the current settings.
    """

    def __init__(self, configured, seeds):
        self._configured = configured
        self._seeds = seeds
        self._senders: dict[DaemonId, Address] = {}
        self._fleet = lambda: None

    def track_members(self, node):
        """From now on, also use the addresses in a ControlNode's state."""
        self._configured = {**self._configured, **node.logged_addresses}
        self._fleet = lambda: node.fleet

    def record_sender(self, member: DaemonId, address: Address):
        """Record the address of the sender of a message.

        This is how a new member learns the leader's address before it has
        received its first entry.
        """
        self._senders.pop(member, None)
        self._senders[member] = address
        while len(self._senders) > _SENDERS_LIMIT_COUNT:
            del self._senders[next(iter(self._senders))]

    def find(self, member: DaemonId) -> Address | None:
        """Return the address of a member, None when it is unknown."""
        fleet = self._fleet()
        known = None if fleet is None else fleet.members.get(member)
        if known is not None:
            return known.address
        return self._senders.get(member) or self._configured.get(member)

    def all_addresses(self) -> list[Address]:
        """Return all known addresses, each once."""
        fleet = self._fleet()
        members = [] if fleet is None else fleet.members.values()
        addresses = [
            *self._seeds(),
            *(member.address for member in members),
            *self._configured.values(),
            *self._senders.values(),
        ]
        return list(dict.fromkeys(addresses))


class GroupJoiner:
    """Sends join requests to all known daemons while that is needed.

    Parameters
    ----------
    member : DaemonId
    address : Address
        Where this daemon listens.
    location : Location
    node : ControlNode
    address_book : AddressBook
    channels : ChannelCache
    """

    def __init__(
        self, member, address, location, node, address_book, channels
    ):
        self._member = member
        self._address = address
        self._location = location
        self._node = node
        self._address_book = address_book
        self._channels = channels
        self._leader_seen_ms = _clock.monotonic_ms()

    async def run(self):
        """Check at regular intervals; never returns."""
        while True:
            if self._needs_to_join():
                await self._send_join_requests()
            await asyncio.sleep(_RETRY_INTERVAL_S)

    def _needs_to_join(self):
        """Return whether this daemon is not, or may no longer be, a member.

        A removed member receives no notice of its removal, because the other
        members no longer send to it.
        """
        consensus = self._node.consensus
        now_ms = _clock.monotonic_ms()
        is_member = any(m.member == self._member for m in consensus.members)
        if consensus.leader_hint is not None and is_member:
            self._leader_seen_ms = now_ms
            return False
        if not is_member:
            return True
        return now_ms - self._leader_seen_ms >= _LEADERLESS_LIMIT_MS

    async def _send_join_requests(self):
        request = control_pb2.JoinRequest(
            member=self._member,
            host=self._address.host,
            port=self._address.port,
            data_centre=self._location.data_centre,
            region=self._location.region,
        )
        addresses = [
            a for a in self._address_book.all_addresses() if a != self._address
        ]
        await asyncio.gather(
            *(self._send_join_request(a, request) for a in addresses)
        )

    async def _send_join_request(self, address, request):
        stub = control_grpc.ControlStub(self._channels.get(address))
        try:
            await stub.Join(request, timeout=_CALL_TIMEOUT_S)
        except CALL_ERRORS:
            self._channels.discard(address)


@contextlib.contextmanager
def background_task(coroutine):
    """Run a coroutine in a task that is cancelled with the context."""
    task = asyncio.ensure_future(coroutine)
    try:
        yield task
    finally:
        task.cancel()
