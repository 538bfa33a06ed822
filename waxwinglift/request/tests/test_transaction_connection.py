"""Tests what a connection's record says after an interrupted statement."""

import asyncio

import pytest

from waxwinglift.connection import TransactionStatus
from waxwinglift.connection._tracked_connection import TrackedConnection
from waxwinglift.request import RequestId
from waxwinglift.request._statements import CommandKind
from waxwinglift.request._statements import EndpointError
from waxwinglift.request._statements import EndpointErrorCode
from waxwinglift.request._statements import PreparedShape
from waxwinglift.request._statements import Reply
from waxwinglift.request._statements import Statement
from waxwinglift.request._statements import StatementAnswer
from waxwinglift.request._statements import StatementVerb
from waxwinglift.request._transaction_connection import TransactionConnection

_VALUES = {"zone": "utc"}
_STATEMENTS = {
    "read": Statement(StatementVerb.READ, b"1", b"READ 1a4"),
    "prepared": Statement(
        StatementVerb.EXECUTE,
        b"2",
        b"EXECUTE item",
        shape=PreparedShape(False, b"1a4"),
    ),
}


class _Endpoint:
    """Connection that answers each command and records it."""

    is_usable = True

    def __init__(self):
        self.failing = None
        self.is_silent = False

    async def run(self, commands):
        if self.is_silent:
            self.is_silent = False
            await asyncio.Event().wait()
        return [self._reply(command) for command in commands]

    def _reply(self, command):
        error = None
        if command.kind is self.failing:
            error = EndpointError(EndpointErrorCode.READ_ONLY, b"demoted")
        answer = StatementAnswer((), b"", error)
        return Reply(answer, TransactionStatus.IDLE, None)


class _Owner:
    """Owner with one connection; also its connection pool."""

    def __init__(self):
        self.connections = self
        self.endpoint = _Endpoint()
        self.connection = TrackedConnection(
            self.endpoint, lambda: 0.0, lambda duration_ms: None
        )
        self.released_count = self.discarded_count = 0
        self.tasks = []

    async def acquire(self, request, timeout_ms, need):
        return 1, self.connection

    def release(self, connection_id):
        self.released_count += 1

    def discard(self, connection_id, is_unanswered):
        self.discarded_count += 1

    def run_in_background(self, work):
        self.tasks.append(asyncio.ensure_future(work))


@pytest.mark.parametrize("statement", _STATEMENTS)
@pytest.mark.parametrize(
    "is_built, is_sent, is_kept",
    [(False, False, True), (True, False, False), (True, True, True)],
    ids=["not built", "built", "sent"],
)
def test_interrupted_statement_leaves_no_unsent_record(
    statement, is_built, is_sent, is_kept
):
    """A reused connection must have every value that its record contains.

    The next session with these values would send no SET and run its
    statement with the values of an earlier one.
    """

    async def scenario():
        owner = _Owner()
        connection = TransactionConnection(owner, RequestId(1))
        connection.set_values(_VALUES)
        assert await connection.acquire(10.0)
        if is_built:
            commands = connection.build_commands(_STATEMENTS[statement], None)
        if is_sent:
            await connection.run(commands)
        connection.roll_back()
        await asyncio.gather(*owner.tasks)
        return owner

    owner = asyncio.run(scenario())
    assert owner.released_count == is_kept
    assert owner.discarded_count == (not is_kept)


@pytest.mark.parametrize("end", ["release", "roll_back"])
@pytest.mark.parametrize(
    "failing, is_cancelled",
    [
        (CommandKind.SET, False),
        (CommandKind.PREPARE, False),
        (None, True),
    ],
    ids=["value refused", "prepared statement refused", "not answered"],
)
def test_unconfirmed_record_closes_the_connection(failing, is_cancelled, end):
    """A value that the endpoint refused must not count as applied.

    A server that has lost the lead may refuse every statement of an open
    transaction, and replies to a cancelled statement are not read.
    """

    async def scenario():
        owner = _Owner()
        owner.endpoint.failing = failing
        owner.endpoint.is_silent = is_cancelled
        connection = TransactionConnection(owner, RequestId(1))
        connection.set_values(_VALUES)
        assert await connection.acquire(10.0)
        commands = connection.build_commands(_STATEMENTS["prepared"], None)
        if is_cancelled:
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.01):
                    await connection.run(commands)
        else:
            await connection.run(commands)
        getattr(connection, end)()
        await asyncio.gather(*owner.tasks)
        return owner

    owner = asyncio.run(scenario())
    assert owner.released_count == 0
    assert owner.discarded_count == 1
