"""Slot and connection of one transaction at the owner of an endpoint."""

import asyncio

from waxwinglift.connection import ConnectionId
from waxwinglift.connection._backend import EndpointConnection
from waxwinglift.connection._endpoint_errors import EndpointConnectionLost
from waxwinglift.connection._backend_packet import ExchangeSummary
from waxwinglift.connection._backend_packet import Packet
from waxwinglift.connection._backend_packet import settings_statements
from waxwinglift.connection._orphaned_sessions import is_idle
from waxwinglift.connection._orphaned_sessions import session_state_sql
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request import RequestId
from waxwinglift.request._admission import Ticket
from waxwinglift.request._floors import FloorState
from waxwinglift.request._owner_answer import AnswerBuffer


class StatementFailed(Exception):
    """Ends an exchange with a failure and closes the connection."""

    def __init__(self, failure: Failure):
        super().__init__(failure.message)
        self.failure = failure


class TransactionSlot:
    """Checks a transaction and occupies its slot and connection.

    ``is_running`` is True while an exchange of the transaction runs.
    ``is_sent`` is True once a byte of the caller's statement may have reached
    the endpoint.  ``is_replica`` is True if the endpoint was a replica at the
    start of the transaction, even if its role has changed since.

    Parameters
    ----------
    owner : EndpointOwner
    header : ExecuteHeader
    request : RequestId
        Unique among the requests of the owner.
    """

    def __init__(self, owner, header: ExecuteHeader, request: RequestId):
        self.connection: EndpointConnection | None = None
        self.is_running = False
        self.is_sent = False
        self.is_ended = False
        self.is_replica = False
        self.queue_wait_ms = 0.0
        self.floor_wait_ms = 0.0
        self._owner = owner
        self._header = header
        self._request = request
        self._connection_id: ConnectionId | None = None
        self._ticket: Ticket | None = None
        self._started_ms = 0.0
        # Time at which the awaited answer last made progress; None while no
        # answer is awaited.
        self._progress_ms: float | None = None
        self._reads_count = 0

    async def begin(self, summary: ExchangeSummary) -> ExchangeEnd | None:
        """Check the request, wait for a slot and acquire a connection.

        Returns
        -------
        ExchangeEnd or None
            The refusal, or None if the transaction may start.
        """
        owner = self._owner
        refusal = (
            owner.find_refusal(self._header) or await self._wait_for_floor()
        )
        if refusal is not None:
            return refusal
        failure = await self._enter_queue(summary)
        failure = failure or await self._acquire_connection()
        if failure is not None:
            return self._refuse(failure)
        # The assignment and the lease may have changed during the waits for
        # the floor, the slot and the connection.
        refusal = owner.find_refusal(self._header)
        self.is_replica = not owner.is_primary
        return refusal

    async def send(self, packet: Packet, buffer: AnswerBuffer | None):
        """Send a packet and read its answers within the time limits.

        Raises
        ------
        EndpointConnectionLost
            The connection ended before the answer was complete, or the time
            limit passed.
        StatementFailed
            The connection ended before the packet was sent.
        """
        settings = self._owner.settings
        if self.connection is None or not self.connection.is_usable:
            message = "connection lost before the statement was sent"
            failure = not_run(FailureCode.UNAVAILABLE, message)
            raise StatementFailed(failure)
        loop = asyncio.get_running_loop()
        response_timer = loop.call_later(
            settings.silence_ms / 1000,
            self._owner.record_timeout,
            self._connection_id,
        )
        statement_timer = loop.call_later(
            settings.statement_timeout_ms / 1000, self.connection.close
        )
        self.is_sent = True
        self._progress_ms = self._owner.now_ms()
        self._reads_count = self.connection.reads_count
        try:
            write = None if buffer is None else buffer.write
            await self.connection.run(packet.data, packet.steps, write)
        finally:
            self._progress_ms = None
            response_timer.cancel()
            statement_timer.cancel()
        self._owner.monitor.record_response()

    async def close_if_answer_lost(self):
        """Close the connection if the network has lost the awaited answer.

        Call it when ``is_unresponsive`` returns True.

        A query on another connection shows whether the session at the
        endpoint is idle.  If it is, the answer was lost or the statement
        never arrived, and the session may hold the locks of an open
        transaction until its connection is closed.
        """
        owner, connection, reads_count = (
            self._owner,
            self.connection,
            self._reads_count,
        )
        try:
            (step,) = await owner.monitor.query(
                session_state_sql(connection.key.process_id)
            )
        except EndpointConnectionLost:
            return
        is_unchanged = (
            self.connection is connection
            and connection.reads_count == reads_count
        )
        if is_unchanged and self._progress_ms is not None and is_idle(step):
            owner.metrics.incr("owner.silent_closed")
            connection.close()

    def is_unresponsive(self) -> bool:
        """Return whether the answer made no progress for ``silence_ms``.

        Each return of True starts this period again.
        """
        if self._progress_ms is None:
            return False
        now_ms = self._owner.now_ms()
        if self.connection.reads_count != self._reads_count:
            self._reads_count = self.connection.reads_count
            self._progress_ms = now_ms
        limit_ms = self._owner.settings.silence_ms
        if now_ms - self._progress_ms < limit_ms:
            return False
        self._progress_ms = now_ms
        return True

    async def run_setup(self, packet: Packet):
        """Run statements of the proxy itself before the caller's."""
        try:
            await self.send(packet, None)
        except EndpointConnectionLost as error:
            message = f"connection lost before the statement: {error}"
            failure = not_run(FailureCode.UNAVAILABLE, message)
            raise StatementFailed(failure) from error
        finally:
            self.is_sent = False

    def record_exchange(self, packet: Packet, summary: ExchangeSummary):
        """Record the prepared statements and settings of an exchange."""
        self.connection.prepared |= packet.newly_prepared()
        self.connection.prepared.difference_update(summary.closed_names)
        if summary.changes_settings:
            self.connection.settings = None

    def release(self):
        """Free the slot and give the connection back to the pool.

        The session must be idle.  A connection with too many prepared
        statements is closed.
        """
        limit_count = self._owner.settings.prepared_limit_count
        if len(self.connection.prepared) > limit_count:
            self.discard()
            return
        self._release_slot()
        self._owner.connections.release(self._connection_id)
        self._connection_id, self.connection = None, None

    def discard(self):
        """Free the slot and close the connection."""
        self._release_slot()
        if self._connection_id is not None:
            self._owner.connections.discard(self._connection_id)
            self._connection_id, self.connection = None, None

    def end_if_idle(self):
        """Close the connection if the transaction waits for its caller."""
        if not self.is_running:
            self.discard()

    def cancel_and_discard(self):
        """Cancel the statement at the endpoint and close the connection."""
        if self.connection is not None and self.is_sent:
            self._owner.cancel_statement(self.connection.key)
        self.discard()

    async def _wait_for_floor(self):
        header = self._header
        if not header.read_only or self._owner.is_primary:
            return None
        limit_ms = min(
            self._owner.settings.replica_wait_ms,
            header.floor_wait_limit_ms,
            header.deadline_left_ms,
        )
        started_ms = self._owner.now_ms()
        positions = self._owner.positions
        state = await positions.wait_for_floor(
            header.floor, header.max_age_ms, limit_ms
        )
        self.floor_wait_ms = self._owner.now_ms() - started_ms
        if state is FloorState.MET:
            return None
        if state is FloorState.LOST:
            message = (
                "the session's floor was discarded by a change of primary"
            )
            failure = not_run(FailureCode.FLOOR_LOST, message)
        else:
            message = "the replica is behind the session's floor"
            failure = not_run(FailureCode.UNAVAILABLE, message)
        return ExchangeEnd(failure=failure, failed_position=positions.position)

    async def _enter_queue(self, summary):
        now_ms = self._owner.now_ms()
        header = self._header
        ticket = Ticket(
            request=self._request,
            pool=header.pool,
            rank=header.rank,
            caller=header.caller,
            arrival_ms=now_ms,
            deadline_ms=now_ms + header.deadline_left_ms,
            is_block=summary.starts_block,
        )
        failure = await self._owner.slots.enter(ticket)
        if failure is not None:
            return failure
        self._ticket = ticket
        self._started_ms = self._owner.now_ms()
        self.queue_wait_ms = self._started_ms - now_ms
        self._owner.metrics.timing("owner.queue_wait", self.queue_wait_ms)
        self._owner.add_running(self)
        return None

    async def _acquire_connection(self):
        left_ms = self._ticket.deadline_ms - self._started_ms
        acquired = await self._owner.connections.acquire(
            self._request, left_ms
        )
        if acquired is None:
            message = "no connection to the endpoint was free in time"
            return not_run(FailureCode.UNAVAILABLE, message)
        self._connection_id, self.connection = acquired
        wanted = self._header.settings
        statements = settings_statements(self.connection.settings, wanted)
        return await self._apply_settings(statements) if statements else None

    async def _apply_settings(self, statements):
        packet = Packet()
        for text in statements:
            packet.add_query(text)
        self.connection.settings = None
        await self.run_setup(packet)
        for step in packet.steps:
            if step.error is not None:
                message = (
                    f"cannot apply a session setting: {step.error.message}"
                )
                return not_run(FailureCode.BAD_PARAMETER, message)
        self.connection.settings = dict(self._header.settings)
        return None

    def _refuse(self, failure):
        return ExchangeEnd(failure=failure, queue_wait_ms=self.queue_wait_ms)

    def _release_slot(self):
        self.is_ended = True
        if self._ticket is None:
            return
        service_ms = self._owner.now_ms() - self._started_ms
        ticket, self._ticket = self._ticket, None
        self._owner.slots.leave(ticket, service_ms, service_ms)
        self._owner.remove_running(self)
