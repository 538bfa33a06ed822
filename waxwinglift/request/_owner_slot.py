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
    """An exchange ends with a failure; the connection is not reused."""

    def __init__(self, failure: Failure):
        super().__init__(failure.message)
        self.failure = failure


class TransactionSlot:
    """Checks a transaction, and holds its slot and connection.

    ``is_sent`` tells whether a byte of the caller's statement may have
    reached the endpoint; ``is_replica`` is the endpoint's role at the start,
    whatever happened to it since.

    Parameters
    ----------
    owner : EndpointOwner
    header : ExecuteHeader
    request : RequestId
        Unique at the owner.
    """

    def __init__(self, owner, header: ExecuteHeader, request: RequestId):
        self.link: EndpointConnection | None = None
        self.is_sent = False
        self.is_ended = False
        self.is_replica = False
        self.queue_wait_ms = 0.0
        self.floor_wait_ms = 0.0
        self._owner = owner
        self._header = header
        self._request = request
        self._connection: ConnectionId | None = None
        self._ticket: Ticket | None = None
        self._started_ms = 0.0
        # When the answer waited for last made progress; None while none is.
        self._alive_ms: float | None = None
        self._reads_count = 0

    async def begin(self, facts: ExchangeSummary) -> ExchangeEnd | None:
        """Check the request, wait for a slot and take a connection.

        Returns
        -------
        ExchangeEnd or None
            The refusal, None when the transaction may start.
        """
        owner = self._owner
        refusal = owner.check(self._header) or await self._wait_for_floor()
        if refusal is not None:
            return refusal
        failure = await self._enter_queue(facts)
        failure = failure or await self._take_connection()
        if failure is not None:
            return self._refuse(failure)
        # The assignment and the lease may have changed during the waits.
        refusal = owner.check(self._header)
        self.is_replica = not owner.is_primary
        return refusal

    async def send(self, packet: Packet, buffer: AnswerBuffer | None):
        """Send a packet and read its answers within the time limits.

        Raises
        ------
        EndpointConnectionLost
            The connection ended, or the answer was not complete in time.
        StatementFailed
            The connection had ended before.
        """
        settings = self._owner.settings
        if self.link is None or not self.link.is_usable:
            message = "connection lost before the statement was sent"
            failure = not_run(FailureCode.UNAVAILABLE, message)
            raise StatementFailed(failure)
        loop = asyncio.get_running_loop()
        silence = loop.call_later(
            settings.silence_ms / 1000,
            self._owner.record_timeout,
            self._connection,
        )
        limit = loop.call_later(
            settings.statement_timeout_ms / 1000, self.link.close
        )
        self.is_sent = True
        self._alive_ms = self._owner.now_ms()
        self._reads_count = self.link.reads_count
        try:
            take = None if buffer is None else buffer.take
            await self.link.run(packet.data, packet.steps, take)
        finally:
            self._alive_ms = None
            silence.cancel()
            limit.cancel()
        self._owner.monitor.record_response()

    async def close_if_answer_lost(self):
        """Give up on an answer that the network has lost track of.

        Call it when ``is_unresponsive`` says so.

        The endpoint says by another connection that the session is idle: it
        has answered, or has never got the statement.  Until the connection
        is closed, it may hold locks for an open transaction.
        """
        owner, link, reads_count = self._owner, self.link, self._reads_count
        try:
            (step,) = await owner.monitor.query(
                session_state_sql(link.key.process_id)
            )
        except EndpointConnectionLost:
            return
        is_same = self.link is link and link.reads_count == reads_count
        if is_same and self._alive_ms is not None and is_idle(step):
            owner.metrics.incr("owner.silent_closed")
            link.close()

    def is_unresponsive(self) -> bool:
        """Whether an answer made no progress; once in each silence time."""
        if self._alive_ms is None:
            return False
        now_ms = self._owner.now_ms()
        if self.link.reads_count != self._reads_count:
            self._reads_count = self.link.reads_count
            self._alive_ms = now_ms
        limit_ms = self._owner.settings.silence_ms
        if now_ms - self._alive_ms < limit_ms:
            return False
        self._alive_ms = now_ms
        return True

    async def prepare(self, packet: Packet):
        """Send the proxy's own statements that precede the caller's."""
        try:
            await self.send(packet, None)
        except EndpointConnectionLost as error:
            message = f"connection lost before the statement: {error}"
            failure = not_run(FailureCode.UNAVAILABLE, message)
            raise StatementFailed(failure) from error
        finally:
            self.is_sent = False

    def record_exchange(self, packet: Packet, facts: ExchangeSummary):
        """Record what an exchange did to the connection."""
        self.link.prepared |= packet.newly_prepared()
        self.link.prepared.difference_update(facts.closed_names)
        if facts.changes_settings:
            self.link.settings = None

    def release(self):
        """Give back the slot and the connection, which is idle."""
        limit_count = self._owner.settings.prepared_limit_count
        if len(self.link.prepared) > limit_count:
            self.discard()
            return
        self._leave()
        self._owner.connections.release(self._connection)
        self._connection, self.link = None, None

    def discard(self):
        """Give back the slot and close the connection."""
        self._leave()
        if self._connection is not None:
            self._owner.connections.discard(self._connection)
            self._connection, self.link = None, None

    def stop_statement(self):
        """Have the endpoint stop what still runs, and close."""
        if self.link is not None and self.is_sent:
            self._owner.cancel_statement(self.link.key)
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
            message = "the floor was discarded by a change of primary"
            failure = not_run(FailureCode.FLOOR_LOST, message)
        else:
            message = "the replica is behind the session's floor"
            failure = not_run(FailureCode.UNAVAILABLE, message)
        return ExchangeEnd(failure=failure, failed_position=positions.position)

    async def _enter_queue(self, facts):
        now_ms = self._owner.now_ms()
        header = self._header
        ticket = Ticket(
            request=self._request,
            pool=header.pool,
            rank=header.rank,
            caller=header.caller,
            arrival_ms=now_ms,
            deadline_ms=now_ms + header.deadline_left_ms,
            is_block=facts.starts_block,
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

    async def _take_connection(self):
        left_ms = self._ticket.deadline_ms - self._started_ms
        taken = await self._owner.connections.acquire(self._request, left_ms)
        if taken is None:
            message = "no connection to the endpoint in time"
            return not_run(FailureCode.UNAVAILABLE, message)
        self._connection, self.link = taken
        wanted = self._header.settings
        statements = settings_statements(self.link.settings, wanted)
        return await self._apply(statements) if statements else None

    async def _apply(self, statements):
        packet = Packet()
        for text in statements:
            packet.add_query(text)
        self.link.settings = None
        await self.prepare(packet)
        for step in packet.steps:
            if step.error is not None:
                message = f"a session setting failed: {step.error.message}"
                return not_run(FailureCode.BAD_PARAMETER, message)
        self.link.settings = dict(self._header.settings)
        return None

    def _refuse(self, failure):
        return ExchangeEnd(failure=failure, queue_wait_ms=self.queue_wait_ms)

    def _leave(self):
        self.is_ended = True
        if self._ticket is None:
            return
        service_ms = self._owner.now_ms() - self._started_ms
        ticket, self._ticket = self._ticket, None
        self._owner.slots.leave(ticket, service_ms)
        self._owner.remove_running(self)
