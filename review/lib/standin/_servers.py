"""Stand-in for a database: a primary and its replicas."""

import asyncio
import itertools
import random
import time

from standin._common import http
from standin._session import ServerSession

HEARTBEAT_MS = 1200


class Commit:
    """Writes that are committed together."""

    def __init__(self, term, number, writes):
        self.term = term
        self.number = number
        self.writes = writes
        self.made_s = time.monotonic()

    @property
    def position(self):
        return self.term, self.number


class Service:
    """One database: a primary and its replicas.

    ``sync`` is the number of replicas that must have received a commit
    before it is acknowledged.
    """

    def __init__(self, name, record, sync=0, promote_ms=600):
        self.name = name
        self.record = record
        self.sync = sync
        self.promote_ms = promote_ms
        self.term = 1
        self.servers = {}
        self.primary = None
        self.token = -1
        # (name, time, ids of the writes in its log) of each promotion.
        self.promotions = []

    async def add(self, name, zone, lag_ms, rows=lambda item: [b"0"]):
        """Start a server; the first one is the primary."""
        server = Server(self, name, zone, lag_ms, rows)
        self.servers[name] = server
        self.primary = self.primary or name
        await server.start()
        return server

    @property
    def leader(self):
        return self.servers[self.primary]

    async def promote(self, name, token):
        """Return the HTTP status of a promotion."""
        server = self.servers.get(name)
        if token < self.token:
            return 409
        self.token = token
        if server is None or server.state == "down":
            return 409
        if name != self.primary:
            asyncio.ensure_future(self._lead(server))
        return 200

    async def _lead(self, server):
        await asyncio.sleep(self.promote_ms / 1000)
        if server.state == "down" or self.primary == server.name:
            return
        self.primary = server.name
        self.term += 1
        server.applied = len(server.log)
        held = [r for c in server.log for r, _ in c.writes]
        self.promotions.append((server.name, time.monotonic(), set(held)))
        self.record.say(
            f"promotion: {server.name} leads term {self.term} of {self.name}"
            f" with log up to {server.received}"
        )
        for other in self.servers.values():
            other.paused = 0
            if other is not server:
                other.roll_back_to(server.log)


class Server:
    """One database server."""

    def __init__(self, service, name, zone, lag_ms, rows):
        self.service = service
        self.name = name
        self.zone = zone
        self.lag_ms = lag_ms
        self.rows = rows
        self.log = []
        self.applied = 0
        self.paused = 0
        self.state = "down"
        self.address = None
        self.born_ms = 0
        self.sequence = 0
        self.heartbeat_address = None
        self.sessions = set()
        self.slots = asyncio.Semaphore(3)
        self.waiting = 0
        self.receipts = itertools.count(1)
        self.awake = asyncio.Event()
        # (time, request id, statement) of each statement that ran here.
        self.runs = []
        self._server = None
        self._tasks = []
        self._dark_s = None

    @property
    def is_primary(self):
        return self.service.primary == self.name

    @property
    def received(self):
        return self.log[-1].position if self.log else (1, 0)

    @property
    def position(self):
        return self.log[self.applied - 1].position if self.applied else (1, 0)

    async def start(self):
        """Start to listen at the same port as before, with the same log."""
        port = self.address[1] if self.address else 0
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", port, limit=2**21
        )
        self.address = self._server.sockets[0].getsockname()[:2]
        self.state = "up"
        self.awake.set()
        self.paused = 0
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self._tasks = [asyncio.ensure_future(self._replicate())]

    def crash(self):
        """Stop at once; the log is kept."""
        self.service.record.say(f"{self.name} crashes")
        self.state = "down"
        self._server.close()
        for task in self._tasks:
            task.cancel()
        self.abort_sessions()

    def go_dark(self):
        """Stop answering, on open connections and on new ones."""
        self.service.record.say(f"{self.name} goes dark")
        self.state = "dark"
        self.awake.clear()
        self._dark_s = time.monotonic()

    def wake(self):
        """Answer again; connections that were silent over 3 s are dropped."""
        self.service.record.say(f"{self.name} answers again")
        if time.monotonic() - self._dark_s >= 3:
            self.abort_sessions()
        self.state = "up"
        self.awake.set()

    def abort_sessions(self):
        for session in list(self.sessions):
            session.abort()

    def roll_back_to(self, log):
        """Keep only the commits that are also in ``log``."""
        common = 0
        for mine, other in zip(self.log, log):
            if mine is not other:
                break
            common += 1
        del self.log[common:]
        self.applied = min(self.applied, common)

    def contains(self, position):
        """Return whether the log has applied the position."""
        if position[1] == 0 or self.position >= position:
            return True
        return False

    async def _replicate(self):
        while True:
            await asyncio.sleep(0.001)
            leader = self.service.leader
            if self.is_primary or self.paused or leader.state != "up":
                continue
            if self.state != "up":
                continue
            due_s = time.monotonic() - self.lag_ms / 1000
            if leader.log[: len(self.log)] != self.log:
                self.roll_back_to(leader.log)
            for commit in leader.log[len(self.log) :]:
                if commit.made_s > due_s:
                    break
                self.log.append(commit)
            self.applied = len(self.log)

    async def commit(self, writes):
        """Commit writes; return False if this server does not lead."""
        if not self.is_primary:
            return False
        last = self.received
        number = last[1] + 1
        commit = Commit(self.service.term, number, writes)
        self.log.append(commit)
        self.applied = len(self.log)
        while self.service.sync:
            others = [
                s for s in self.service.servers.values() if s is not self
            ]
            if sum(commit in s.log for s in others) >= self.service.sync:
                break
            if not self.is_primary or self.state == "down":
                return False
            await asyncio.sleep(0.001)
        return self.is_primary

    async def use_slot(self, work_ms=4):
        """Occupy a slot; return False if the queue is full."""
        if self.waiting >= 24:
            return False
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            await asyncio.sleep(work_ms / 1000)
        finally:
            self.slots.release()
        return True

    async def _accept(self, reader, writer):
        session = ServerSession(self, reader, writer)
        self.sessions.add(session)
        try:
            await session.serve()
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
        ):
            pass
        finally:
            self.sessions.discard(session)
            writer.close()

    async def check_in(self, controls):
        """Send one check-in to the first daemon that accepts it."""
        if self.state != "up":
            return
        self.sequence += 1
        body = {
            "service": self.service.name,
            "address": "%s:%d" % tuple(self.address),
            "zone": self.zone,
            "version": "v1",
            "capacity": 3,
            "state": "ready",
            "warmupLeftMs": 0,
            "dbRole": "primary" if self.is_primary else "replica",
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        for control in random.sample(controls, len(controls)):
            path = f"/Instances.Heartbeat/{self.name}"
            status, _ = await http(control, "POST", path, body)
            if 200 <= status < 300:
                return

    async def check_in_forever(self, controls):
        """Check in at the platform's interval, and at a change of role."""
        while True:
            role = self.is_primary
            await self.check_in(controls)
            for _ in range(HEARTBEAT_MS // 50):
                await asyncio.sleep(0.05)
                if self.is_primary != role:
                    break
