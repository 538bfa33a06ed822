"""Connection to an endpoint that one transaction uses."""

import asyncio
import dataclasses

from waxwinglift.connection import TransactionStatus
from waxwinglift.connection._endpoint_errors import EndpointConnectionLost
from waxwinglift.connection._pool_records import ConnectionNeed
from waxwinglift.request import RequestId
from waxwinglift.request._statements import Command
from waxwinglift.request._statements import CommandKind
from waxwinglift.request._statements import Reply
from waxwinglift.request._statements import Statement
from waxwinglift.request._statements import StatementVerb
from waxwinglift.version import Position

# Longest wait for a rollback before the connection is closed.
_ROLLBACK_TIMEOUT_MS = 500.0
_ROLLBACK = Command(CommandKind.ROLLBACK)
# Kinds of commands that TrackedConnection records as successful.
_RECORDED_KINDS = frozenset(
    {CommandKind.RESET, CommandKind.SET, CommandKind.PREPARE}
)


class TransactionConnection:
    """Connection of one transaction, acquired when it is needed.

    The session's values are applied to it before the next statement.

    Parameters
    ----------
    owner : StatementOwner
    request : RequestId
        Identifies the transaction in the owner's connection pool.
    need : ConnectionNeed
        The connection that it needs.
    """

    def __init__(
        self,
        owner,
        request: RequestId,
        need: ConnectionNeed = ConnectionNeed(),
    ):
        self._owner = owner
        self._need = need
        self._request = request
        # Pair of the ConnectionId and the TrackedConnection.
        self._acquired = None
        self._values: dict[bytes, bytes] = {}
        # Whether a command is recorded as successful whose success is unknown.
        self._is_record_unconfirmed = False
        # Whether the endpoint has not answered a statement on it in time.
        self._is_unanswered = False

    def set_values(self, settings: dict[str, str]):
        """Set the session values to apply before the next statement."""
        self._values = {
            name.encode("latin-1"): value.encode("latin-1")
            for name, value in settings.items()
        }

    @property
    def is_ready(self) -> bool:
        """Whether a usable connection was acquired."""
        return self._acquired is not None and self._acquired[1].is_usable

    @property
    def expected_wait_ms(self) -> float:
        """Expected time until `acquire` would return a connection."""
        if self._acquired is not None:
            return 0.0
        pool = self._owner.connections.pool
        return pool.expected_wait_ms(self._need, self._owner.now_ms())

    def expecting(self):
        """Return a context manager for the time before `acquire`."""
        return self._owner.connections.pool.expecting(self._need.workspace)

    def wait_until(self, patient_until_ms: float):
        """Set the time until which an opening is not worth its slot."""
        self._need = dataclasses.replace(
            self._need, patient_until_ms=patient_until_ms
        )

    def take_idle(self) -> bool:
        """Use an idle connection if there is one; never wait."""
        if self._acquired is None:
            self._acquired = self._owner.connections.take_idle(
                self._request, self._need
            )
        return self._acquired is not None

    async def acquire(self, timeout_ms: float) -> bool:
        """Wait for a connection; return False if none is free in time."""
        if self._acquired is None:
            self._acquired = await self._owner.connections.acquire(
                self._request, timeout_ms, self._need
            )
        return self._acquired is not None

    async def run(self, commands: list[Command]) -> list[Reply]:
        """Send commands in one write and return their replies.

        Raises
        ------
        EndpointConnectionLost
            The replies are not complete.
        """
        replies = await self._acquired[1].run(commands)
        recorded = [
            reply.answer.error is None
            for command, reply in zip(commands, replies)
            if command.kind in _RECORDED_KINDS
        ]
        if recorded:
            self._is_record_unconfirmed = not all(recorded)
        return replies

    def build_commands(
        self, statement: Statement, after: Position | None
    ) -> list[Command]:
        """Return the commands for the session's values and the statement.

        Values and prepared statements are recorded before they are sent, so
        the endpoint must confirm them or the connection is closed.
        """
        connection = self._acquired[1]
        commands = connection.commands_to_apply(self._values)
        if commands:
            self._is_record_unconfirmed = True
        if statement.verb is not StatementVerb.EXECUTE:
            command = Command(
                CommandKind.CALLER,
                statement.request,
                statement.text,
                after=after,
            )
            return [*commands, command]
        name, prepared = connection.prepare(statement.shape)
        if prepared:
            self._is_record_unconfirmed = True
        command = Command(
            CommandKind.EXECUTE,
            statement.request,
            name=name,
            arguments=statement.arguments,
            after=after,
        )
        return [*commands, *prepared, command]

    def clear_prepared(self):
        """Clear the record of prepared statements that the endpoint lost."""
        if self._acquired is not None:
            self._acquired[1].prepared.clear()

    def record_timeout(self):
        """Report that the endpoint did not answer on the connection."""
        if self._acquired is not None:
            self._owner.record_timeout(self._acquired[0])
            self._is_unanswered = True

    def release(self):
        """Give the connection back to the pool; its session must be idle.

        A connection with an unconfirmed record is closed.
        """
        if self._is_record_unconfirmed:
            self.discard()
        elif self._acquired is not None:
            self._owner.connections.release(self._detach()[0])

    def discard(self):
        """Close the connection, because its state is unknown."""
        if self._acquired is not None:
            is_unanswered = self._is_unanswered
            self._owner.connections.discard(self._detach()[0], is_unanswered)

    def roll_back(self):
        """Roll back the open transaction without delaying the caller.

        A connection with an unconfirmed record is closed.
        """
        if self._is_record_unconfirmed:
            self.discard()
        elif self._acquired is not None:
            self._owner.run_in_background(self._roll_back(*self._detach()))

    def _detach(self):
        acquired, self._acquired = self._acquired, None
        self._is_record_unconfirmed = False
        self._is_unanswered = False
        return acquired

    async def _roll_back(self, connection_id, connection):
        try:
            async with asyncio.timeout(_ROLLBACK_TIMEOUT_MS / 1000):
                (reply,) = await connection.run([_ROLLBACK])
        except (TimeoutError, EndpointConnectionLost):
            self._owner.connections.discard(connection_id)
            return
        if reply.status is TransactionStatus.IDLE:
            self._owner.connections.release(connection_id)
        else:
            self._owner.connections.discard(connection_id)
