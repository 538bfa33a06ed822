"""Operators' requests to replace or read the desired state.

Any control member accepts them; a follower forwards them to the leader.  If a
member cannot confirm the outcome in time, the operator may send the request to
another one.
"""

import enum
import zlib

import pydantic

from waxwinglift.process.rpc import control_grpc
from waxwinglift.process.rpc import control_pb2
from waxwinglift.process.rpc._channels import CALL_ERRORS
from waxwinglift.version._desired import DesiredStateRequest
from waxwinglift.version._fleet import DesiredState

_ADAPTER = pydantic.TypeAdapter(DesiredStateRequest)
_COMPRESSION_LEVEL = 6


class ReplaceOutcome(enum.Enum):
    """Outcome of a request to replace the desired state.

    After UNKNOWN the request may still take effect.  It is safe to send it
    again: a version that has taken effect is accepted and not applied again.
    """

    ACCEPTED = "accepted"
    UNKNOWN = "unknown"


class OperatorService:
    """Handles requests about the desired state at one control member.

    Parameters
    ----------
    node : ControlNode
    find_leader : callable
        Returns the leader's address, None if it is this member or unknown.
    channels : ChannelCache
    """

    def __init__(self, node, find_leader, channels):
        self._node = node
        self._find_leader = find_leader
        self._channels = channels
        self._timing = node.settings.timing

    async def replace(self, request: DesiredStateRequest) -> ReplaceOutcome:
        """Replace the desired state, here or at the leader."""
        if self._node.has_quorum:
            return await self._replace_locally(request)
        data = zlib.compress(_ADAPTER.dump_json(request), _COMPRESSION_LEVEL)
        return await self._forward(data)

    async def replace_forwarded(self, data: bytes) -> ReplaceOutcome:
        """Process a request that another member forwarded.

        Raises
        ------
        ValueError
            The bytes are not a valid request.
        """
        if not self._node.has_quorum:
            return ReplaceOutcome.UNKNOWN
        try:
            request = _ADAPTER.validate_json(zlib.decompress(data))
        except zlib.error as error:
            raise ValueError(str(error)) from error
        return await self._replace_locally(request)

    async def read(self) -> DesiredState | None:
        """Return the current desired state, None if it was not confirmed.

        The leader first has a majority confirm that it still leads: a member
        that was partitioned or suspended cannot detect by itself that its
        state is outdated.
        """
        index = await self._confirmed_index()
        if index is None:
            return None
        timeout_ms = self._timing.rpc_timeout_ms
        if not await self._node.wait_for_index(index, timeout_ms):
            return None
        return self._node.fleet.desired

    async def _replace_locally(self, request):
        outcome = await self._node.replace_desired_state(
            request, self._timing.rpc_timeout_ms
        )
        if outcome.is_ok():
            return ReplaceOutcome.ACCEPTED
        return ReplaceOutcome.UNKNOWN

    async def _forward(self, data):
        address = self._find_leader()
        if address is None:
            return ReplaceOutcome.UNKNOWN
        stub = control_grpc.ControlStub(self._channels.get(address))
        request = control_pb2.DesiredStateRequest(request=data)
        # Longer than the leader's own timeout, so that its answer arrives.
        timeout_s = 2 * self._timing.rpc_timeout_ms / 1000
        try:
            reply = await stub.ReplaceDesiredState(request, timeout=timeout_s)
        except CALL_ERRORS:
            return ReplaceOutcome.UNKNOWN
        if reply.accepted:
            return ReplaceOutcome.ACCEPTED
        return ReplaceOutcome.UNKNOWN

    async def _confirmed_index(self):
        if self._node.has_quorum:
            return await self._node.confirm_index(self._timing.rpc_timeout_ms)
        address = self._find_leader()
        if address is None:
            return None
        stub = control_grpc.ControlStub(self._channels.get(address))
        timeout_s = self._timing.rpc_timeout_ms / 1000
        try:
            reply = await stub.ConfirmIndex(
                control_pb2.ConfirmIndexRequest(), timeout=timeout_s
            )
        except CALL_ERRORS:
            return None
        return reply.index if reply.confirmed else None
