"""gRPC service of a control daemon."""

import asyncio
import contextlib

from grpclib.const import Status as GrpcStatus
from grpclib.exceptions import GRPCError

from waxwinglift.process._checks import find_address_error
from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process._consensus_envelopes import decode_envelope
from waxwinglift.process._control_relay import make_refused_grant
from waxwinglift.process._operator_service import ReplaceOutcome
from waxwinglift.process._relayed_renewals import answer_batch
from waxwinglift.process._relayed_renewals import RenewalHandles
from waxwinglift.process._trace_context import extract_context
from waxwinglift.process._trace_context import current_traceparent
from waxwinglift.process._types import Address
from waxwinglift.process._types import DaemonId
from waxwinglift.process.rpc import control_grpc
from waxwinglift.process.rpc import control_pb2
from waxwinglift.process.rpc._channels import CALL_ERRORS
from waxwinglift.process.rpc._convert import announcement_from_wire
from waxwinglift.process.rpc._convert import encode_answer
from waxwinglift.process.rpc._convert import find_announcement_error
from waxwinglift.process.rpc._convert import join_location_from_wire
from waxwinglift.process.rpc._convert import pack_snapshot
from waxwinglift.process.rpc._convert import renewal_from_wire
from waxwinglift.version import _control_core_messages as core_messages
from waxwinglift.version import _entries
from waxwinglift.version._consensus_types import MessageReceived
from waxwinglift.version._entry_codec import decode_entry
from waxwinglift.version._entry_codec import encode_fleet
from waxwinglift.version._fleet import EditAnswer
from waxwinglift.version._membership import JoinRequest

# Entries that an operator may propose; only the leader proposes others.
OPERATOR_ENTRIES = (
    _entries.PoolEdited,
    _entries.DaemonDraining,
    _entries.MemberAdded,
    _entries.MemberRemoved,
)
WATCH_BATCH_BYTES = 1 << 18
WATCH_KEEPALIVE_S = 1.0


class ControlRpc(control_grpc.ControlBase):
    """Serves endpoints, proxies, operators and other members.

    Parameters
    ----------
    node : ControlNode
        This member.
    relay : Relay
        Forwards renewals and announcements to the leader.
    find_leader : callable
        Returns the leader's address, None if it is this member or unknown.
    channels : ChannelCache
        Channels to the other members.
    tracer : opentelemetry.trace.Tracer
        Source of spans.
    operator_service : OperatorService
        Handles requests about the desired state.
    address_book : AddressBook
        Records the addresses of message senders.
    """

    def __init__(
        self,
        node,
        relay,
        find_leader,
        channels,
        tracer,
        operator_service,
        address_book,
    ):
        self._node = node
        self._relay = relay
        self._find_leader = find_leader
        self._channels = channels
        self._tracer = tracer
        self._operator_service = operator_service
        self._address_book = address_book
        self._timing = node.settings.timing
        self._snapshot = (None, b"")
        self._handles = RenewalHandles()

    async def Announce(self, stream):  # noqa: N802
        """Accept an endpoint's announcement."""
        message = await stream.recv_message()
        problem = find_announcement_error(announcement_from_wire(message))
        if problem:
            raise GRPCError(GrpcStatus.INVALID_ARGUMENT, problem)
        self._accept_announcement(message)
        reply = control_pb2.AnnounceReply(
            accepted=self._should_keep_endpoint()
        )
        await stream.send_message(reply)

    def _should_keep_endpoint(self):
        """Return whether the endpoint should keep using this member.

        The leader processes an announcement but redirects the endpoint to a
        follower: with 2,610 endpoints, single announcements cost the leader a
        fifth of a core, batches from followers a thirtieth.
        """
        node = self._node
        is_only_member = len(node.consensus.members) == 1
        if node.has_quorum and not is_only_member:
            return False
        return node.consensus.leader_hint is not None

    def _accept_announcement(self, message):
        if not self._node.has_quorum:
            self._relay.announce(message)
            return
        announcement = announcement_from_wire(message)
        self._node.step_core(core_messages.AnnouncementReceived(announcement))

    async def Renew(self, stream):  # noqa: N802
        """Grant or refuse a proxy's lease."""
        message = await stream.recv_message()
        if self._node.has_quorum:
            grant = self._renew_locally(message)
        else:
            context = extract_context(message.traceparent)
            with self._tracer.start_as_current_span("control.relay", context):
                if message.traceparent:
                    message.traceparent = current_traceparent()
                grant = await self._relay.renew(message)
        await stream.send_message(grant)

    def _renew_locally(self, message):
        context = extract_context(message.traceparent)
        with self._tracer.start_as_current_span("control.grant", context):
            return self._decide_renewal(message)

    def _decide_renewal(self, message):
        renewal = renewal_from_wire(message)
        problem = find_address_error(renewal.address)
        if problem:
            return make_refused_grant(message, problem)
        answer = self._node.renew(renewal)
        is_granted = isinstance(answer, core_messages.GrantLease)
        return control_pb2.Grant(
            granted=is_granted,
            lease_ms=answer.lease_ms if is_granted else 0,
            commit_index=answer.commit_index,
            sequence=message.sequence,
            reason="" if is_granted else answer.reason,
        )

    async def Relay(self, stream):  # noqa: N802
        """Process a batch that another member forwarded."""
        batch = await stream.recv_message()
        if not self._node.has_quorum:
            await stream.send_message(control_pb2.RelayReply(is_leader=False))
            return
        for announcement in batch.announcements:
            self._accept_announcement(announcement)
        reply = answer_batch(batch, self._handles, self._renew_locally)
        await stream.send_message(reply)

    async def Watch(self, stream):  # noqa: N802
        """Stream committed entries, preceded by a snapshot where needed.

        An empty keep-alive message each second lets the proxy detect a failed
        stream.
        """
        request = await stream.recv_message()
        index = request.applied_index
        while True:
            changed = self._node.changed
            reply = self._next_entries(index)
            if not reply.entries and not reply.snapshot:
                await _wait_for_event(changed, WATCH_KEEPALIVE_S)
                reply = self._next_entries(index)
            await stream.send_message(reply)
            index = max(index, reply.snapshot_index, _last_index(reply))

    def _next_entries(self, index):
        node = self._node
        if index > node.fleet.index:
            return control_pb2.WatchReply()
        entries = node.consensus.committed_entries(index, WATCH_BATCH_BYTES)
        if entries is None:
            snapshot_index, snapshot = self._snapshot_for_streams()
            return control_pb2.WatchReply(
                snapshot=snapshot, snapshot_index=snapshot_index
            )
        # Only applied entries are sent: a later snapshot has the applied state
        # and must not be older than the state that the proxy already has.
        applied = [e for e in entries if e.index <= node.fleet.index]
        return control_pb2.WatchReply(
            first_index=applied[0].index if applied else 0,
            entries=[entry.payload for entry in applied],
        )

    def _snapshot_for_streams(self):
        """Return index and bytes of a snapshot.

        All entries after it are still in the log.  It is encoded once for all
        proxies that reconnect at the same time: encoding it 32 times took
        longer than the leases of the relay's other proxies.
        """
        node = self._node
        index, _ = self._snapshot
        if index is None or node.consensus.committed_entries(index, 0) is None:
            data = pack_snapshot(encode_fleet(node.fleet))
            self._snapshot = (node.fleet.index, data)
        return self._snapshot

    async def Consensus(self, stream):  # noqa: N802
        """Receive a consensus message from another member."""
        envelope = await stream.recv_message()
        if envelope.recipient != self._node.member:
            await stream.send_message(control_pb2.ConsensusAck())
            return
        sender = DaemonId(envelope.sender)
        address = Address(envelope.sender_host, envelope.sender_port)
        if not find_address_error(address):
            self._address_book.record_sender(sender, address)
        is_known = self._address_book.find(sender) is not None
        ack = control_pb2.ConsensusAck(reads_short=is_known)
        await stream.send_message(ack)
        try:
            message = decode_envelope(envelope)
        except ValueError:
            self._node.metrics.incr("control.bad_messages")
            return
        self._node.step_consensus(MessageReceived(envelope.sender, message))

    async def Join(self, stream):  # noqa: N802
        """Record a request to become a member, here or at the leader."""
        request = await stream.recv_message()
        address = Address(request.host, request.port)
        problem = find_address_error(address)
        if problem:
            raise GRPCError(GrpcStatus.INVALID_ARGUMENT, problem)
        is_accepted = self._node.has_quorum
        if is_accepted:
            self._node.record_join_request(
                JoinRequest(
                    DaemonId(request.member),
                    address,
                    join_location_from_wire(request),
                )
            )
        elif not request.forwarded:
            is_accepted = await self._forward_join(request)
        await stream.send_message(control_pb2.JoinReply(accepted=is_accepted))

    async def _forward_join(self, request):
        address = self._find_leader()
        if address is None:
            return False
        request.forwarded = True
        stub = control_grpc.ControlStub(self._channels.get(address))
        timeout_s = self._timing.rpc_timeout_ms / 1000
        try:
            reply = await stub.Join(request, timeout=timeout_s)
        except CALL_ERRORS:
            return False
        return reply.accepted

    async def ConfirmIndex(self, stream):  # noqa: N802
        """Return a confirmed log index if this member is the leader."""
        await stream.recv_message()
        index = None
        if self._node.has_quorum:
            timeout_ms = self._timing.rpc_timeout_ms
            index = await self._node.confirm_index(timeout_ms)
        reply = control_pb2.ConfirmIndexReply(
            confirmed=index is not None, index=index or 0
        )
        await stream.send_message(reply)

    async def ReplaceDesiredState(self, stream):  # noqa: N802
        """Process a desired state that a follower forwarded."""
        message = await stream.recv_message()
        try:
            outcome = await self._operator_service.replace_forwarded(
                message.request
            )
        except ValueError as error:
            raise GRPCError(GrpcStatus.INVALID_ARGUMENT, str(error)) from error
        is_accepted = outcome is ReplaceOutcome.ACCEPTED
        reply = control_pb2.DesiredStateReply(accepted=is_accepted)
        await stream.send_message(reply)

    async def Propose(self, stream):  # noqa: N802
        """Propose an operator's entry, here or at the leader."""
        request = await stream.recv_message()
        await stream.send_message(await self._propose(request))

    async def _propose(self, request):
        try:
            entry = decode_entry(request.entry)
        except ValueError as error:
            return control_pb2.ProposeReply(error=f"bad entry: {error}")
        if not isinstance(entry, OPERATOR_ENTRIES):
            return control_pb2.ProposeReply(
                error=f"operators may not propose {type(entry).__name__}"
            )
        if isinstance(entry, _entries.MemberAdded):
            problem = find_address_error(entry.address)
            if problem:
                return control_pb2.ProposeReply(error=problem)
        if not self._node.has_quorum:
            return await self._forward_proposal(request)
        outcome = await self._node.propose(entry, self._timing.rpc_timeout_ms)
        if outcome.is_err():
            return control_pb2.ProposeReply(error=outcome.err_value.message)
        index = self._node.fleet.index
        reply = control_pb2.ProposeReply(accepted=True, index=index)
        if isinstance(outcome.ok_value, EditAnswer):
            reply.answer = encode_answer(outcome.ok_value)
        return reply

    async def _forward_proposal(self, request):
        address = self._find_leader()
        if address is None or request.forwarded:
            return control_pb2.ProposeReply(
                error="no control leader was found"
            )
        request.forwarded = True
        stub = control_grpc.ControlStub(self._channels.get(address))
        # Longer than the leader's own timeout, so that its answer arrives.
        timeout_s = 2 * self._timing.rpc_timeout_ms / 1000
        try:
            return await stub.Propose(request, timeout=timeout_s)
        except CALL_ERRORS:
            return control_pb2.ProposeReply(
                error="the answer of the control leader was lost; "
                "resend with the same edit id"
            )

    async def Status(self, stream):  # noqa: N802
        """Return the status of the fleet, from the leader if there is one."""
        request = await stream.recv_message()
        address = self._find_leader()
        reply = None
        if not (self._node.has_quorum or request.forwarded or not address):
            reply = await self._forward_status(address)
        await stream.send_message(reply or self._make_status_reply())

    async def _forward_status(self, address):
        stub = control_grpc.ControlStub(self._channels.get(address))
        request = control_pb2.StatusRequest(forwarded=True)
        timeout_s = self._timing.rpc_timeout_ms / 1000
        try:
            return await stub.Status(request, timeout=timeout_s)
        except CALL_ERRORS:
            return None

    def _make_status_reply(self):
        node = self._node
        leases = node.core.leases
        now_ms = monotonic_ms()
        daemons = [
            control_pb2.DaemonStatus(
                daemon=daemon,
                applied_index=leases.applied_index(daemon),
                is_live=leases.is_live(daemon, now_ms),
            )
            for daemon in node.fleet.daemons
        ]
        return control_pb2.StatusReply(
            member=node.member,
            leader=node.consensus.leader_hint or "",
            control_term=node.consensus.term,
            commit_index=node.consensus.commit_index,
            fleet=encode_fleet(node.fleet),
            daemons=daemons,
            is_fresh=node.has_quorum,
            group_notes=[
                f"{group}: {text}"
                for group, text in node.core.statuses().items()
            ],
        )


async def _wait_for_event(event, timeout_s):
    with contextlib.suppress(asyncio.TimeoutError):
        await asyncio.wait_for(event.wait(), timeout_s)


def _last_index(reply):
    if not reply.entries:
        return 0
    return reply.first_index + len(reply.entries) - 1
