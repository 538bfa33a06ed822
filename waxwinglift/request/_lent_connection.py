"""The connection to an endpoint that a transaction holds."""

import asyncio

from waxwinglift.connection import TransactionStatus
from waxwinglift.connection._endpoint_errors import EndpointConnectionLost
from waxwinglift.request import RequestId
from waxwinglift.request._statements import Command
from waxwinglift.request._statements import CommandKind
from waxwinglift.request._statements import Reply
from waxwinglift.request._statements import Statement
from waxwinglift.request._statements import StatementVerb
from waxwinglift.version import Position

# Time for a rollback before the connection is given up.
_ROLLBACK_TIMEOUT_MS = 500.0
_ROLLBACK = Command(CommandKind.ROLLBACK)


class LentConnection:
    """At most one connection, and the session's values on it.

    Parameters
    ----------
    owner : StatementOwner
    request : RequestId
        Names the transaction at the owner's connections.
    """

    def __init__(self, owner, request: RequestId):
        self._owner = owner
        self._request = request
        self._acquired = None
        self._values: dict[bytes, bytes] = {}

    def set_values(self, settings: dict[str, str]):
        """Bring these session values in force with the next statement."""
        self._values = {
            name.encode("latin-1"): value.encode("latin-1")
            for name, value in settings.items()
        }

    async def acquire(self, timeout_ms: float) -> bool:
        """Wait for a connection; False when there is none in time."""
        if self._acquired is None:
            self._acquired = await self._owner.connections.acquire(
                self._request, timeout_ms
            )
        return self._acquired is not None

    async def run(self, commands: list[Command]) -> list[Reply]:
        """Send commands in one piece and return their replies.

        Raises
        ------
        EndpointConnectionLost
            The replies are not complete.
        """
        return await self._acquired[1].run(commands)

    def commands(
        self, statement: Statement, after: Position | None
    ) -> list[Command]:
        """Return what brings the session in force, and the statement."""
        link = self._acquired[1]
        commands = link.commands_to_apply(self._values)
        if statement.verb is not StatementVerb.EXECUTE:
            command = Command(
                CommandKind.CALLER,
                statement.request,
                statement.text,
                after=after,
            )
            return [*commands, command]
        name, prepared = link.prepare(statement.shape)
        command = Command(
            CommandKind.EXECUTE,
            statement.request,
            name=name,
            arguments=statement.arguments,
            after=after,
        )
        return [*commands, *prepared, command]

    def forget_prepared(self):
        """Prepare statements anew: the endpoint does not know them."""
        if self._acquired is not None:
            self._acquired[1].prepared.clear()

    def record_timeout(self):
        """Report that the endpoint has not answered on the connection."""
        if self._acquired is not None:
            self._owner.record_timeout(self._acquired[0])

    def release(self):
        """Give the connection back; its session is idle."""
        if self._acquired is not None:
            self._owner.connections.release(self._pop()[0])

    def discard(self):
        """Close the connection: what runs on it is not known."""
        if self._acquired is not None:
            self._owner.connections.discard(self._pop()[0])

    def roll_back(self):
        """End the open transaction without delaying the caller."""
        if self._acquired is not None:
            self._owner.run_in_background(self._roll_back(*self._pop()))

    def _pop(self):
        taken, self._acquired = self._acquired, None
        return taken

    async def _roll_back(self, connection, link):
        try:
            async with asyncio.timeout(_ROLLBACK_TIMEOUT_MS / 1000):
                (reply,) = await link.run([_ROLLBACK])
        except (TimeoutError, EndpointConnectionLost):
            self._owner.connections.discard(connection)
            return
        if reply.status is TransactionStatus.IDLE:
            self._owner.connections.release(connection)
        else:
            self._owner.connections.discard(connection)
