"""A peer client and a peer server with a fake executor, for tests."""

import asyncio
import contextlib

from result import Ok

from waxwinglift.connection import TransactionStatus
from waxwinglift.process import Address
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.process._peer_client import PeerClient
from waxwinglift.process._peer_service import PeerServer
from waxwinglift.process._peer_service import PeerService
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.version import EndpointId
from waxwinglift.version import Epoch
from waxwinglift.version import GroupName
from waxwinglift.version import Lsn
from waxwinglift.version import PoolName
from waxwinglift.version import Position
from waxwinglift.version import Rank
from waxwinglift.version import Term


def header(caller="caller", deadline_left_ms=1000):
    """Return the header of a transaction."""
    return ExecuteHeader(
        EndpointId("endpoint"),
        GroupName("group"),
        Epoch(1),
        Term(1),
        PoolName("pool"),
        Rank("low"),
        caller,
        deadline_left_ms=deadline_left_ms,
    )


class FakeTransaction:
    """Answers an exchange as its messages say.

    ``wait`` waits for ever; ``send <count>`` sends this many parts of 64 KiB;
    ``fill <count>`` sends one part of this many bytes; anything else is
    answered with itself and the caller's name.
    """

    def __init__(self, executor, caller):
        self.caller = caller
        self.sent_bytes = 0
        self.was_interrupted = False
        self.is_closed = False
        self._executor = executor
        self._task = None
        self._is_cancelled = False

    async def run(self, exchange, sink):
        """Run an exchange."""
        self._executor.started.append(exchange.messages)
        self._task = asyncio.current_task()
        try:
            return await self._run(exchange.messages, sink)
        except asyncio.CancelledError:
            if not self._is_cancelled:
                self.was_interrupted = True
                raise
            self._task.uncancel()
            failure = not_run(FailureCode.CANCELLED, "cancelled")
            return ExchangeEnd(failure=failure)
        finally:
            self._task = None

    def cancel(self):
        """Cancel the running exchange."""
        if self._task is not None:
            self._is_cancelled = True
            self._task.cancel()

    async def close(self):
        """Record the end of the transaction."""
        # A transaction is rolled back even if that takes time.
        await asyncio.sleep(0)
        self.is_closed = True

    async def _run(self, messages, sink):
        verb, _, argument = messages.decode().partition(" ")
        if verb == "wait":
            await asyncio.sleep(60)
        if verb == "send":
            for number in range(int(argument)):
                part = bytes([number % 256]) * 2**16
                await sink(part)
                self.sent_bytes += len(part)
        elif verb == "fill":
            await sink(b"x" * int(argument))
        else:
            await sink(messages + b" " + self.caller.encode())
        is_block = verb == "block"
        status = TransactionStatus.IDLE
        if is_block:
            status = TransactionStatus.IN_TRANSACTION
        return ExchangeEnd(status=status)


class FakeExecutor:
    """Opens fake transactions and keeps them by caller."""

    is_unresponsive = False

    def __init__(self):
        self.transactions = {}
        self.started = []

    def open(self, header):
        """Open a transaction."""
        transaction = FakeTransaction(self, header.caller)
        self.transactions[header.caller] = transaction
        return transaction

    async def group_position(self, group, term):
        """Return a position, or wait for the group ``wait``."""
        if group == "wait":
            await asyncio.sleep(60)
        return Ok(Position(term, Lsn(42)))


class PeerPair:
    """A client and a server."""

    def __init__(self, executor, server, client):
        self.executor = executor
        self.server = server
        self.client = client

    @property
    def address(self):
        """Address of the server."""
        return self.client.address

    def transaction(self, caller):
        """Return the caller's transaction at the server."""
        return self.executor.transactions[caller]

    async def wait_for(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def peer_pair(compresses=False):
    """Yield a client and a server."""
    executor = FakeExecutor()
    server = PeerServer([PeerService(executor, lambda key: None)])
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    client = PeerClient(Address("127.0.0.1", port), compresses)
    try:
        yield PeerPair(executor, server, client)
    finally:
        client.close()
        server.close()
        await server.wait_closed()
        await settle()


async def settle():
    """Let closed transports release their sockets before the loop ends."""
    await asyncio.sleep(0.02)


class Received:
    """Sink that collects an answer, once ``is_open`` is set."""

    def __init__(self, is_open=True):
        self.parts = []
        self.is_open = asyncio.Event()
        if is_open:
            self.is_open.set()

    async def __call__(self, data):
        await self.is_open.wait()
        self.parts.append(data)

    @property
    def data(self):
        """Bytes of the answer."""
        return b"".join(self.parts)
