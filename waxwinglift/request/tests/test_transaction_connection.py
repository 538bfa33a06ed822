"""Tests what a connection's record says after an interrupted statement."""

import asyncio

import pytest

from waxwinglift.connection import TransactionStatus
from waxwinglift.connection._tracked_connection import TrackedConnection
from waxwinglift.request import RequestId
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
        self.commands = []

    async def run(self, commands):
        self.commands.extend(commands)
        answer = StatementAnswer((), b"", None)
        return [Reply(answer, TransactionStatus.IDLE, None) for _ in commands]


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

    async def acquire(self, request, timeout_ms):
        return 1, self.connection

    def release(self, connection_id):
        self.released_count += 1

    def discard(self, connection_id):
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
