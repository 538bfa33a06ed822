"""Database server that implements the platform's line protocol."""

import asyncio
import contextlib
import dataclasses
import enum
import itertools

from waxwinglift.process import Address
from waxwinglift_standin.platform._session import ServerSession

# Above the largest line (1 MiB).
_READ_LIMIT_BYTES = 2**21


class ServerState(enum.Enum):
    """Whether a server runs and whether it answers."""

    UP = "up"
    UNRESPONSIVE = "dark"
    DOWN = "down"


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSettings:
    """Limits and delays of a server.

    Parameters
    ----------
    slots_count : int
    queue_count : int
        Statements that may wait for a slot; further ones are refused.
    connection_limit_count : int
    work_ms, opening_ms : float
        Time that a statement and a new connection occupy a slot.
    """

    slots_count: int = 3
    queue_count: int = 24
    connection_limit_count: int = 23
    work_ms: float = 1.0
    opening_ms: float = 1.0


class DatabaseServer:
    """Server of a group; the group implements its replication.

    Parameters
    ----------
    name : str
        Id of the server; connections for another id are refused.
    group : ServerGroup
    data_centre : str
    settings : ServerSettings
    """

    def __init__(self, name, group, data_centre, settings):
        self.name = name
        self.group = group
        self.data_centre = data_centre
        self.settings = settings
        self.state = ServerState.DOWN
        self.is_draining = False
        # Term for which PAUSE has fenced the server, 0 if it is not fenced.
        # A fenced server receives no commits.
        self.fenced_term = 0
        self.address: Address | None = None
        self.sessions: set[ServerSession] = set()
        # Request id of each statement and the name of its client.
        self.clients: list[tuple[bytes, bytes]] = []
        self.slots = asyncio.Semaphore(settings.slots_count)
        self.waiting_count = 0
        self.receipt_numbers = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def log(self):
        """Log of this server."""
        return self.group.logs[self.name]

    @property
    def is_primary(self):
        """Whether the server is the primary of its group."""
        return self.group.primary == self.name

    async def start(self, port=0):
        """Start to listen; a restarted server has its earlier log and port."""
        self.state = ServerState.UP
        if port == 0 and self.address is not None:
            port = self.address.port
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", port, limit=_READ_LIMIT_BYTES
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = Address(host, port)

    def crash(self):
        """Abort all connections; open transactions are rolled back."""
        self.state = ServerState.DOWN
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for session in list(self.sessions):
            session.abort()

    def stop_answering(self):
        """Stop answering on open and new connections."""
        self.state = ServerState.UNRESPONSIVE

    def resume_answering(self):
        """Resume answering."""
        self.state = ServerState.UP

    async def use_slot(self, work_ms):
        """Occupy a slot for `work_ms`; return False if the queue is full."""
        if self.waiting_count >= self.settings.queue_count:
            return False
        self.waiting_count += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting_count -= 1
        try:
            await asyncio.sleep(work_ms / 1000)
        finally:
            self.slots.release()
        return True

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        session = ServerSession(self, reader, writer)
        self.sessions.add(session)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await session.serve()
        except asyncio.CancelledError:
            # Only `crash` cancels this task; it also ends the connection.
            session.abort()
        finally:
            self.sessions.discard(session)
            self._tasks.discard(task)
            writer.close()
