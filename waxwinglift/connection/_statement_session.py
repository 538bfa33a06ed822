"""One caller's session in a protocol of typed statements.

The message of a typed statement states its verb, such as READ, WRITE or
COMMIT, so that no SQL is parsed.
"""

import asyncio
import contextlib
import logging

from waxwinglift.connection import TransactionStatus
from waxwinglift.process._drain_phase import DrainPhase
from waxwinglift.connection._caller_identity import CallerIdentity
from waxwinglift.connection._session_failures import BLOCK_ENDED
from waxwinglift.connection._session_failures import FAILED_BLOCK
from waxwinglift.connection._session_failures import SESSION_FAILED
from waxwinglift.connection._session_failures import SHUTTING_DOWN
from waxwinglift.connection._session_failures import WRITE_IN_READ_BLOCK
from waxwinglift.connection._session_failures import message_failure
from waxwinglift.connection._statement_protocols import CallerEnd
from waxwinglift.connection._statement_protocols import CallerStartup
from waxwinglift.connection._statement_protocols import StatementCaller
from waxwinglift.process import Registry
from waxwinglift.process._entry_context import EntryContext
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request._floors import advance_floor
from waxwinglift.request._floors import is_floor_lost
from waxwinglift.request._floors import surviving_floor
from waxwinglift.request._statement_failures import Interruption
from waxwinglift.request._statement_run import StatementRunner
from waxwinglift.request._statements import PreparedShape
from waxwinglift.request._statements import Statement
from waxwinglift.request._statements import StatementAnswer
from waxwinglift.request._statements import StatementVerb
from waxwinglift.version import Position
from waxwinglift.version._types import WorkspaceName

logger = logging.getLogger(__name__)

_IDLE = TransactionStatus.IDLE
_IN_TRANSACTION = TransactionStatus.IN_TRANSACTION
_FAILED = TransactionStatus.FAILED
_DONE = StatementAnswer()

# Methods that serve statements, by verb.
_verbs = Registry()
_serves = _verbs.register


class StatementSession:
    """Serves one caller from start-up to the end of its connection.

    The proxy itself answers statements that only concern the session.  A
    transaction block is opened at an endpoint with the block's first
    statement that needs data.

    Parameters
    ----------
    context : EntryContext
    connection : StatementCaller
    drain_phase : callable
        Returns the `DrainPhase` of the proxy.
    """

    def __init__(
        self, context: EntryContext, connection: StatementCaller, drain_phase
    ):
        self.table = None
        self.floor: Position | None = None
        self.settings: dict[str, str] = {}
        self._context = context
        self._connection = connection
        self._identity: CallerIdentity | None = None
        self._drain_phase = drain_phase
        self._prepared: dict[bytes, PreparedShape] = {}
        self._status = _IDLE
        self._is_block_read_only = False
        self._have_settings_changed = False
        self._is_answering = False
        self._is_ending = False
        self._runner = StatementRunner(context, self)

    @property
    def policy(self):
        """Policy of the session's pool."""
        return self.table.policy

    @property
    def caller(self) -> str:
        """Name for which the owners' queues take turns."""
        return "" if self._identity is None else self._identity.name

    @property
    def workspace(self) -> WorkspaceName | None:
        """Workspace for which statements run; None for a public pool."""
        return self._identity.workspace

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has closed its side of the connection."""
        return self._connection.is_disconnected()

    @property
    def is_idle(self) -> bool:
        """Whether closing the session now loses no work."""
        return self._status is _IDLE and self._is_waiting

    @property
    def _is_waiting(self):
        """Whether the caller has no request that waits for an answer."""
        has_request = (
            self._is_answering or self._connection.has_unread_message()
        )
        return not has_request

    async def serve(self):
        """Serve the caller until it disconnects or the session ends."""
        try:
            if await self._start():
                await self._serve_statements()
        except asyncio.CancelledError:
            is_block = self._status is not _IDLE
            await self._refuse_unread(
                BLOCK_ENDED if is_block else SHUTTING_DOWN
            )
            raise
        finally:
            await self._runner.close()
            self._connection.close()

    def end_if_possible(self, phase: DrainPhase):
        """End the session if the phase of the shutdown allows it now.

        An open transaction is rolled back, and its caller is notified.
        """
        is_block_ended = phase is DrainPhase.ENDING_BLOCKS and self._is_waiting
        if self._is_ending or phase is DrainPhase.SERVING:
            return
        if not (self.is_idle or is_block_ended):
            return
        self._is_ending = True
        if self._status is not _IDLE:
            self._connection.notify_end(BLOCK_ENDED)
        self._connection.close()

    async def _start(self):
        message = await self._connection.receive()
        if isinstance(message, CallerEnd):
            return False
        if not isinstance(message, CallerStartup):
            failure = message_failure(message)
            await self._connection.send_failure(failure, None)
            return False
        self._identity = CallerIdentity(
            self._context, message.key, self._connection.peer
        )
        failure = self._update_table(message.pool)
        if failure is not None:
            await self._connection.send_failure(failure, None)
            return False
        await self._connection.send_ready(_IDLE, None)
        return True

    def _update_table(self, pool):
        """Use the pool's current table; return the failure if it has none."""
        table = self._context.view.table(pool)
        if table is None or table.policy is None:
            if self._context.view.fleet.desired is None:
                message = "the proxy has no configuration yet"
                return not_run(FailureCode.UNAVAILABLE, message, 500)
            message = f"database {pool} does not exist"
            return not_run(FailureCode.UNKNOWN_POOL, message)
        self.table = table
        return self._identity.update(table)

    async def _serve_statements(self):
        while True:
            message = await self._connection.receive()
            if isinstance(message, CallerEnd):
                return
            self._is_answering = True
            try:
                await self._serve_message(message)
            finally:
                self._is_answering = False
            self.end_if_possible(self._drain_phase())
            if self._is_ending:
                return

    async def _serve_message(self, message):
        if not isinstance(message, Statement):
            await self._send_failure(message_failure(message))
            return
        is_end = message.verb in (
            StatementVerb.ROLLBACK,
            StatementVerb.COMMIT,
        )
        if self._status is _FAILED and not is_end:
            await self._send_failure(FAILED_BLOCK)
            return
        await _verbs[message.verb](self, message)

    async def _send_done(self):
        await self._connection.send_answer(_DONE, self._status, None)

    async def _send_failure(self, failure: Failure):
        await self._connection.send_failure(failure, self._status)

    @_serves(StatementVerb.SET)
    async def _set(self, statement):
        settings = dict(self.settings)
        name = statement.name.decode("latin-1")
        settings[name] = statement.arguments.decode("latin-1")
        self.settings = settings
        self._have_settings_changed = True
        await self._send_done()

    @_serves(StatementVerb.PREPARE)
    async def _prepare(self, statement):
        self._prepared[statement.name] = statement.shape
        await self._send_done()

    @_serves(StatementVerb.DEALLOCATE)
    async def _deallocate(self, statement):
        self._prepared.pop(statement.name, None)
        await self._send_done()

    @_serves(StatementVerb.BEGIN, StatementVerb.BEGIN_READ)
    async def _begin(self, statement):
        if self._status is _IDLE:
            failure = self._update_table(self.table.pool)
            if failure is not None:
                await self._send_failure(failure)
                return
            self._status = _IN_TRANSACTION
            self._is_block_read_only = (
                statement.verb is StatementVerb.BEGIN_READ
            )
        await self._send_done()

    @_serves(StatementVerb.ROLLBACK)
    async def _roll_back(self, statement):
        await self._runner.close()
        self._status = _IDLE
        await self._send_done()

    @_serves(StatementVerb.COMMIT)
    async def _commit(self, statement):
        if self._status is _FAILED:
            await self._runner.close()
            self._status = _IDLE
            message = "the transaction had failed and was rolled back"
            await self._send_failure(not_run(FailureCode.ABORTED, message))
            return
        if self._status is _IDLE:
            await self._send_done()
            return
        await self._run(statement)

    @_serves(StatementVerb.READ, StatementVerb.WRITE)
    async def _read_or_write(self, statement):
        await self._run(statement)

    @_serves(StatementVerb.EXECUTE)
    async def _execute(self, statement):
        shape = self._prepared.get(statement.name)
        if shape is None:
            name = statement.name.decode("latin-1")
            message = f"prepared statement {name} does not exist"
            await self._send_failure(
                not_run(FailureCode.UNKNOWN_STATEMENT, message)
            )
            return
        bound = Statement(
            statement.verb,
            statement.request,
            statement.text,
            statement.name,
            statement.arguments,
            shape,
        )
        await self._run(bound)

    async def _run(self, statement):
        """Run a statement that needs data and send its outcome."""
        failure = self._find_refusal(statement)
        if failure is not None:
            await self._end_block_with(failure)
            return
        self._connection.set_disconnect_callback(self._runner.cancel)
        try:
            end = await self._run_at_endpoint(statement)
        except asyncio.CancelledError:
            await self._answer_interrupted(statement, Interruption.SHUTDOWN)
            raise
        except Exception:
            # The state of the session is unknown, so it ends.
            logger.exception("the session of %s failed", self.caller)
            self._is_ending = True
            await self._answer_interrupted(
                statement, Interruption.INTERNAL_ERROR
            )
            await self._refuse_unread(SESSION_FAILED)
            return
        finally:
            self._connection.set_disconnect_callback(None)
        if end.failure is not None:
            if end.failure.code is FailureCode.FLOOR_LOST:
                # A change of primary discarded writes up to the floor.  This
                # is reported once; the session then continues with the floor
                # of its other writes.
                self._lower_floor()
            await self._end_block_with(end.failure)
            return
        if self._status is not _IDLE:
            self._status = end.status
        self._record_position(statement, end)
        await self._connection.send_answer(
            end.answer, self._status, end.position
        )

    def _find_refusal(self, statement):
        """Return the failure if refused; outside a block, update the table."""
        if self._drain_phase() is DrainPhase.ENDING_BLOCKS:
            return SHUTTING_DOWN if self._status is _IDLE else BLOCK_ENDED
        if self._status is _IN_TRANSACTION:
            if self._is_block_read_only and statement.is_write:
                return WRITE_IN_READ_BLOCK
            return self._identity.update_in_block(self.table)
        return self._update_table(self.table.pool)

    async def _answer_interrupted(self, statement, interruption):
        """Send the outcome of a statement that ends without an answer."""
        is_block = self._status is not _IDLE
        failure = self._runner.interrupted_failure(
            statement, is_block, interruption
        )
        self._status = _IDLE
        await self._send_at_once(failure, _IDLE)

    async def _run_at_endpoint(self, statement):
        if self._status is _IDLE:
            return await self._runner.run_single(statement)
        if not self._runner.is_in_block:
            self._have_settings_changed = False
            return await self._runner.open_block(
                statement, self._is_block_read_only
            )
        settings = self.settings if self._have_settings_changed else None
        self._have_settings_changed = False
        return await self._runner.run_in_block(statement, settings)

    def _record_position(self, statement, end):
        """Raise the floor to the position of a write of the session."""
        answer = end.answer
        if answer.error is not None or end.served_by_replica:
            return
        if self._status is not _IDLE:
            return
        is_commit = statement.verb is StatementVerb.COMMIT
        if statement.is_write or (
            is_commit and self._runner.has_block_written
        ):
            self.floor = advance_floor(self.floor, end.position)

    def _lower_floor(self):
        """Lower the floor to the last position that was not discarded."""
        group = self._context.view.group(self.table.group)
        if group is not None and is_floor_lost(self.floor, group.term_ends):
            self.floor = surviving_floor(self.floor, group.term_ends)

    async def _refuse_unread(self, failure):
        """Answer the messages that have arrived but are not read yet."""
        status = None if self.table is None else _IDLE
        while self._connection.has_unread_message():
            if await self._connection.receive() is CallerEnd.LEFT:
                return
            await self._send_at_once(failure, status)

    async def _send_at_once(self, failure, status):
        """Send a failure; do not wait for a caller that does not read."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0):
                await self._connection.send_failure(failure, status)

    async def _end_block_with(self, failure):
        await self._runner.close()
        self._status = _IDLE
        await self._send_failure(failure)
