"""Executes the actions of the endpoint pool and the admission queue."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
import functools
from typing import Protocol

from waxwinglift.connection import ConnectionId
from waxwinglift.connection._endpoint_errors import EndpointFull
from waxwinglift.connection._endpoint_errors import EndpointRefused
from waxwinglift.connection._endpoint_pool_actions import CloseConnection
from waxwinglift.connection._endpoint_pool import EndpointPool
from waxwinglift.connection._endpoint_pool_actions import OpenConnection
from waxwinglift.connection._endpoint_pool_actions import ProbeConnection
from waxwinglift.connection._endpoint_pool_actions import ReportTimeout
from waxwinglift.connection._endpoint_pool_actions import UseConnection
from waxwinglift.connection._pool_records import ConnectionNeed
from waxwinglift.process import Registry
from waxwinglift.request import Failure
from waxwinglift.request import RequestId
from waxwinglift.request._admission import AdmissionQueue
from waxwinglift.request._admission import Start
from waxwinglift.request._admission import Ticket
from waxwinglift.version._types import WorkspaceName

# Methods that execute one type of pool action.
_action_handlers = Registry()
_on_action = _action_handlers.register


class ManagedConnection(Protocol):
    """Open connection to an endpoint, of any protocol.

    Only connections of PostgreSQL also have a ``key``.
    """

    on_lost: Callable[[], None] | None

    @property
    def is_usable(self) -> bool:
        """Whether neither side has closed the connection."""

    def probe(self, on_probed: Callable[[bool], None]):
        """Send a request that needs no slot; report its outcome."""

    def close(self):
        """Close now, without waiting for answers."""


class OpenResult(enum.Enum):
    """Outcome of an attempt to open a connection."""

    OPENED = "opened"
    REFUSED = "refused"
    FULL = "full"


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiter:
    """Transaction that waits for a connection, as in `EndpointPool`."""

    future: asyncio.Future
    need: ConnectionNeed


class ConnectionManager:
    """Opens, probes, hands out and closes the connections of one endpoint.

    Parameters
    ----------
    pool : EndpointPool
    open_connection : callable
        Opens a connection for a workspace or None; raises EndpointRefused.
    now_ms : callable
    on_response : callable
        Called when a probe was answered without an error.
    on_timeout : callable
        Called with the id of a connection whose probe timed out.
    on_attempt : callable, optional
        Called with the `OpenResult` of each attempt to open a connection.
    """

    def __init__(
        self,
        pool: EndpointPool,
        open_connection: Callable[
            [WorkspaceName | None], Awaitable[ManagedConnection]
        ],
        now_ms: Callable[[], float],
        on_response: Callable[[], None],
        on_timeout: Callable[[ConnectionId], None],
        on_attempt: Callable[["OpenResult"], None] = lambda result: None,
    ):
        self.pool = pool
        self._open_connection = open_connection
        self._now_ms = now_ms
        self._on_response = on_response
        self._on_timeout = on_timeout
        self._on_attempt = on_attempt
        self._has_lost_connection = False
        self._connections: dict[ConnectionId, ManagedConnection] = {}
        self._tasks: dict[ConnectionId, asyncio.Task] = {}
        self._waiters: dict[RequestId, _Waiter] = {}

    def process_ids(self) -> set[int]:
        """Return the process ids of the open connections.

        Used for PostgreSQL only.
        """
        return {
            connection.key.process_id
            for connection in self._connections.values()
        }

    def enable(self):
        """Start to open connections in advance."""
        self.perform(self.pool.enable(self._now_ms()))

    def close_all(self):
        """Close all connections, even those that run a transaction."""
        self.perform(self.pool.close_all(self._now_ms()))
        self.refuse_waiting()

    def refuse_waiting(self):
        """Fail the transactions that wait for a connection."""
        for waiter in self._waiters.values():
            if not waiter.future.done():
                waiter.future.set_result(None)

    def tick(self):
        """Run the pool's timers and discard connections that ended."""
        if self._has_lost_connection:
            self._has_lost_connection = False
            self._discard_lost()
        now_ms = self._now_ms()
        if now_ms >= self.pool.due_ms:
            self.perform(self.pool.tick(now_ms))

    def mark_others_suspect(self, connection_id: ConnectionId):
        """Require a probe of all other connections before their next use."""
        now_ms = self._now_ms()
        self.perform(self.pool.mark_others_suspect(connection_id, now_ms))

    def open_one(self):
        """Open one more connection unless the limit is reached."""
        self.perform(self.pool.open_one(self._now_ms()))

    def shrink(self):
        """Close idle connections above the pool's limit."""
        self.perform(self.pool.shrink(self._now_ms()))

    def probe_longest_idle(self, before_ms: float) -> bool:
        """Probe a connection that has been idle since before ``before_ms``.

        Return whether there was one.
        """
        now_ms = self._now_ms()
        actions = self.pool.probe_longest_idle(before_ms, now_ms)
        self.perform(actions)
        return any(isinstance(action, ProbeConnection) for action in actions)

    def take_idle(
        self, holder: RequestId, need: ConnectionNeed
    ) -> tuple[ConnectionId, ManagedConnection] | None:
        """Return an idle connection without a wait, or None."""
        while True:
            now_ms = self._now_ms()
            connection_id = self.pool.take_idle(holder, now_ms, need)
            if connection_id is None:
                return None
            connection = self._connections.get(connection_id)
            if connection is not None and connection.is_usable:
                return connection_id, connection
            self.discard(connection_id)

    async def acquire(
        self,
        holder: RequestId,
        timeout_ms: float,
        need: ConnectionNeed = ConnectionNeed(),
    ) -> tuple[ConnectionId, ManagedConnection] | None:
        """Return a connection, None if the wait timed out or was refused."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[holder] = _Waiter(waiter, need)
        self._request(holder)
        try:
            if not waiter.done():
                await asyncio.wait([waiter], timeout=timeout_ms / 1000)
            return waiter.result() if waiter.done() else None
        except asyncio.CancelledError:
            if waiter.done() and waiter.result() is not None:
                self.release(waiter.result()[0])
            raise
        finally:
            del self._waiters[holder]
            self.pool.cancel(holder)

    def release(self, connection_id: ConnectionId):
        """Return a connection to the pool once its session is idle."""
        self.perform(self.pool.release(connection_id, self._now_ms()))

    def discard(self, connection_id: ConnectionId, is_unanswered=False):
        """Close a connection whose state is unknown.

        With ``is_unanswered``, the endpoint may not notice it.
        """
        now_ms = self._now_ms()
        self.perform(self.pool.discard(connection_id, now_ms, is_unanswered))

    def perform(self, actions):
        """Execute the actions of the pool in order."""
        for action in actions:
            _action_handlers[type(action)](self, action)

    @_on_action(OpenConnection)
    def _open(self, action):
        self._start_task(
            action.connection,
            self._finish_open(action.connection, action.workspace),
        )

    @_on_action(ProbeConnection)
    def _probe(self, action):
        on_probed = functools.partial(self._end_probe, action.connection)
        self._connections[action.connection].probe(on_probed)

    @_on_action(ReportTimeout)
    def _report_timeout(self, action):
        self._on_timeout(action.connection)

    @_on_action(CloseConnection)
    def _close(self, action):
        task = self._tasks.pop(action.connection, None)
        if task is not None and task is not asyncio.current_task():
            task.cancel()
        connection = self._connections.pop(action.connection, None)
        if connection is not None:
            connection.close()
        closed = self.pool.on_closed(action.connection, self._now_ms())
        self.perform(closed)

    @_on_action(UseConnection)
    def _use(self, action):
        waiter = self._waiters.get(action.holder)
        connection = self._connections.get(action.connection)
        if waiter is None or waiter.future.done():
            self.release(action.connection)
        elif connection is None or not connection.is_usable:
            self.discard(action.connection)
            self._request(action.holder)
        else:
            waiter.future.set_result((action.connection, connection))

    def _request(self, holder):
        waiter = self._waiters[holder]
        actions = self.pool.acquire(holder, self._now_ms(), waiter.need)
        self.perform(actions)

    def _start_task(self, connection_id, work):
        task = asyncio.ensure_future(work)
        self._tasks[connection_id] = task
        task.add_done_callback(
            lambda done: self._remove_task(connection_id, done)
        )

    def _remove_task(self, connection_id, task):
        if self._tasks.get(connection_id) is task:
            del self._tasks[connection_id]

    async def _finish_open(self, connection_id, workspace):
        try:
            connection = await self._open_connection(workspace)
        except EndpointRefused as error:
            now_ms = self._now_ms()
            self.perform(self.pool.on_open_failed(connection_id, now_ms))
            is_full = isinstance(error, EndpointFull)
            self._on_attempt(
                OpenResult.FULL if is_full else OpenResult.REFUSED
            )
            return
        # on_response is not called: a PostgreSQL server may accept
        # connections but run no statements.  Protocols for which an opened
        # connection shows a healthy endpoint use on_attempt.
        self._connections[connection_id] = connection
        connection.on_lost = self._on_lost
        self.perform(self.pool.on_opened(connection_id, self._now_ms()))
        self._on_attempt(OpenResult.OPENED)

    def _on_lost(self):
        # The connection's transaction may still have to read the last bytes,
        # so the connection is discarded only at the next tick.
        self._has_lost_connection = True

    def _discard_lost(self):
        for connection_id, connection in list(self._connections.items()):
            if not connection.is_usable:
                self.discard(connection_id)

    def _end_probe(self, connection_id, is_success):
        if not is_success:
            self.discard(connection_id)
            return
        self._on_response()
        self.perform(self.pool.on_probe_answer(connection_id, self._now_ms()))


class SlotQueue:
    """Lets transactions wait for the slots of one endpoint.

    Parameters
    ----------
    queue : AdmissionQueue
    now_ms : callable
    """

    def __init__(self, queue: AdmissionQueue, now_ms: Callable[[], float]):
        self.queue = queue
        self._now_ms = now_ms
        self._waiters: dict[RequestId, asyncio.Future] = {}

    @property
    def is_waiting(self) -> bool:
        """Whether a transaction waits for a slot."""
        return bool(self._waiters)

    async def enter(self, ticket: Ticket) -> Failure | None:
        """Wait for a slot; return the failure if the ticket is refused."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[ticket.request] = waiter
        self._perform(self.queue.offer(ticket, self._now_ms()))
        try:
            return await waiter
        except asyncio.CancelledError:
            self._perform(self.queue.cancel(ticket))
            if waiter.done() and not waiter.cancelled():
                self.leave(ticket, None)
            raise
        finally:
            del self._waiters[ticket.request]

    def find_refusal(self, ticket: Ticket) -> Failure | None:
        """Return the failure of a ticket that is not worth offering yet."""
        refusal = self.queue.find_refusal(ticket, self._now_ms())
        return None if refusal is None else refusal.failure

    def leave(
        self,
        ticket: Ticket,
        service_ms: float | None,
        work_ms: float | None = None,
    ):
        """Free the slot of a started ticket; see `AdmissionQueue.finish`."""
        now_ms = self._now_ms()
        self._perform(self.queue.finish(ticket, now_ms, service_ms, work_ms))

    def tick(self):
        """Refuse the tickets whose deadline has passed."""
        self._perform(self.queue.expire(self._now_ms()))

    def refuse_all(self, failure: Failure):
        """Refuse all tickets that wait."""
        self._perform(self.queue.refuse_all(failure))

    def _perform(self, actions):
        for action in actions:
            waiter = self._waiters.get(action.ticket.request)
            is_start = isinstance(action, Start)
            if waiter is None or waiter.done():
                if is_start:
                    self.leave(action.ticket, None)
                continue
            waiter.set_result(None if is_start else action.failure)
