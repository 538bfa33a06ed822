"""Group of database servers: replication and changes of primary."""

import asyncio
import dataclasses

from waxwinglift_standin.platform._log import Commit
from waxwinglift_standin.platform._log import ServerLog
from waxwinglift_standin.platform._server import DatabaseServer
from waxwinglift_standin.platform._server import ServerSettings
from waxwinglift_standin.platform._server import ServerState


@dataclasses.dataclass(slots=True)
class ReplicationTimes:
    """Delays of replication and promotion.

    Parameters
    ----------
    receive_ms, apply_ms : float
        Time until a replica receives a commit, and from then until it has
        applied it.
    promote_ms : float
        Time from the acceptance of a promotion until the server is primary.
    """

    receive_ms: float = 1.0
    apply_ms: float = 2.0
    promote_ms: float = 50.0


class ServerGroup:
    """Servers of one database, one of which is the primary.

    Parameters
    ----------
    name : str
    times : ReplicationTimes, optional
    """

    def __init__(self, name, times=None):
        self.name = name
        self.times = times or ReplicationTimes()
        self.servers: dict[str, DatabaseServer] = {}
        self.logs: dict[str, ServerLog] = {}
        self.primary: str | None = None
        self.term = 1
        # Highest fencing token received.
        self.highest_token = -1
        self.promotions_count = 0
        # Names of the replicas to which replication is suspended.
        self.cut_off: set[str] = set()

    async def add(self, name, data_centre, settings=None):
        """Start a server; the first one becomes the primary."""
        server = DatabaseServer(
            name, self, data_centre, settings or ServerSettings()
        )
        self.servers[name] = server
        self.logs[name] = ServerLog()
        if self.primary is None:
            self.primary = name
        else:
            self.logs[name].copy_from(self.logs[self.primary])
        await server.start()
        return server

    def stop(self):
        """Stop all servers."""
        for server in self.servers.values():
            if server.state is not ServerState.DOWN:
                server.crash()

    async def commit(self, server, writes) -> bool:
        """Commit writes; return False if the server is not the primary."""
        if self.primary != server.name:
            return False
        log = self.logs[server.name]
        number = log.received[1] + 1
        commit = Commit(self.term, number, tuple(writes))
        log.append(commit)
        log.apply_first(len(log.commits))
        for name in self.servers:
            if name != server.name:
                asyncio.ensure_future(self._replicate(name, commit))
        return True

    async def promote(self, name, token) -> int:
        """Start a promotion and return the HTTP status of the response.

        It is 409 if the token is lower than an earlier one or the server is
        unknown or down.
        """
        server = self.servers.get(name)
        if token < self.highest_token:
            return 409
        self.highest_token = token
        if server is None or server.state is ServerState.DOWN:
            return 409
        if self.primary != name:
            asyncio.ensure_future(self._make_primary(name))
        return 200

    async def _replicate(self, name, commit):
        await asyncio.sleep(self.times.receive_ms / 1000)
        while name in self.cut_off:
            await asyncio.sleep(0.005)
        server, log = self.servers[name], self.logs[name]
        can_append = (
            server.state is not ServerState.DOWN
            and not server.fenced_term
            and self.primary != name
            and commit.number == log.received[1] + 1
        )
        if not can_append:
            return
        log.append(commit)
        count = len(log.commits)
        await asyncio.sleep(self.times.apply_ms / 1000)
        log.apply_first(count)

    async def _make_primary(self, name):
        await asyncio.sleep(self.times.promote_ms / 1000)
        self.promotions_count += 1
        self.primary = name
        self.term += 1
        log = self.logs[name]
        log.apply_first(len(log.commits))
        for other, server in self.servers.items():
            server.fenced_term = 0
            if other != name:
                self.logs[other].copy_from(log)
