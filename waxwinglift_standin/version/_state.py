"""State of a server: role, log, databases, replicas and faults."""

import asyncio
import collections
import contextlib
import dataclasses
import logging
import time

from waxwinglift.version import EndpointRole
from waxwinglift.version import Lsn
from waxwinglift_standin.version._log import decode_transaction
from waxwinglift_standin.version._log import encode_transaction
from waxwinglift_standin.version._log import LoggedTransaction
from waxwinglift_standin.version._log import StatementLog

_LOG = logging.getLogger(__name__)


def _now_us():
    return time.time_ns() // 1000


@dataclasses.dataclass(slots=True)
class Faults:
    """Active faults and lags; the settings contain the initial lags."""

    receive_lag_ms: float = 0.0
    replay_lag_ms: float = 0.0
    slow_factor: float = 1.0
    is_frozen: bool = False
    is_replication_cut: bool = False


@dataclasses.dataclass(slots=True)
class ReplicaProgress:
    """Positions sent to a streaming replica and reported by it."""

    name: str
    sent_lsn: Lsn
    flush_lsn: Lsn
    replay_lsn: Lsn


class FifoSemaphore:
    """Slots that are granted in order of arrival."""

    def __init__(self, count):
        self._free_count = count
        self._waiters = collections.deque()

    @property
    def waiting_count(self):
        """Number of waiting tasks."""
        return sum(not waiter.done() for waiter in self._waiters)

    async def acquire(self):
        """Acquire a slot, waiting until one is free."""
        if self._free_count and not self._waiters:
            self._free_count -= 1
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            raise

    def release(self):
        """Release a slot, which the first waiting task then acquires."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self._free_count += 1


class ServerState:
    """State shared by the connections of a server.

    Parameters
    ----------
    settings : StandinSettings
        Settings of the server.
    database : Database
        Committed state and working copy, both empty.
    store : LogStore or None
        File that stores the log, None to keep it only in memory.
    """

    def __init__(self, settings, database, store=None):
        self.settings = settings
        self.database = database
        self.store = store
        self.log = StatementLog()
        self.role = EndpointRole(settings.initial_role)
        self.primary_conninfo = settings.primary_conninfo
        self.pending_conninfo = self.primary_conninfo
        self.slots = FifoSemaphore(settings.slots_count)
        self.write_lock = FifoSemaphore(1)
        self.faults = Faults(settings.receive_lag_ms, settings.replay_lag_ms)
        self.replay_lsn = self.log.end_lsn
        self.replayed_commit_us = None
        self.replicas = {}
        self.receiver = None
        self.sessions = {}
        self.changed = asyncio.Event()
        self.unfrozen = asyncio.Event()
        self.unfrozen.set()
        self._replayed_count = 0
        self._received_times_s = collections.deque()

    @property
    def in_recovery(self):
        """Whether the server is a replica."""
        return self.role is EndpointRole.REPLICA

    def notify_change(self):
        """Wake all tasks that wait for a change of log, role or faults."""
        self.changed.set()
        self.changed = asyncio.Event()

    def load(self):
        """Read the log and the role from the store and replay the log."""
        if self.store is None:
            return
        for record in self.store.load_records():
            self.log.append(record)
        self.replay_all()
        role = self.store.load_value("role")
        if role is not None:
            self.role = EndpointRole(role)
            self.primary_conninfo = self.store.load_value("conninfo")
            self.pending_conninfo = self.primary_conninfo
        self.save_role()

    def save_role(self):
        """Store role and connection string for the next start."""
        if self.store is not None:
            self.store.save_value("role", self.role.value)
            self.store.save_value("conninfo", self.primary_conninfo)

    def commit(self, transaction):
        """Commit the working copy and log its statements.

        Raises
        ------
        sqlite3.IntegrityError
            If a deferred constraint fails; nothing is committed then.
        """
        self.database.commit()
        logged = LoggedTransaction(_now_us(), transaction.statements)
        if not logged.statements:
            return
        self.database.replay_on_committed(logged)
        self._append(self.log.make_record(encode_transaction(logged)))
        self._mark_replayed(len(self.log.records))
        self.notify_change()

    def _append(self, record):
        if self.store is not None:
            self.store.append(record)
        self.log.append(record)

    def _mark_replayed(self, count):
        self._replayed_count = count
        if count:
            self.replay_lsn = self.log.records[count - 1].end_lsn

    def receive(self, record):
        """Append a record from the primary, to be replayed later."""
        self._append(record)
        self._received_times_s.append(asyncio.get_running_loop().time())
        self.notify_change()

    def replay_next(self):
        """Replay the next received record; return False if there is none."""
        if self._replayed_count == len(self.log.records):
            return False
        record = self.log.records[self._replayed_count]
        transaction = decode_transaction(record.payload)
        self.database.replay_on_both(transaction)
        self._mark_replayed(self._replayed_count + 1)
        self.replayed_commit_us = transaction.committed_us
        if self._received_times_s:
            self._received_times_s.popleft()
        self.notify_change()
        return True

    def replay_all(self):
        """Replay all received records."""
        while self.replay_next():
            pass

    async def replay_received(self):
        """Replay received records after the replay lag, until cancelled."""
        while True:
            if not self._received_times_s:
                await self.changed.wait()
                continue
            await self.wait_lag(self._received_times_s[0], "replay_lag_ms")
            if self._received_times_s:
                self.replay_next()
            # Lets sessions run while a long log is replayed.
            await asyncio.sleep(0)

    async def wait_lag(self, arrived_s, lag_name):
        """Wait until the lag `lag_name` has passed since `arrived_s`.

        A change of the lag also applies to waits in progress.  While the
        server is frozen, the wait continues.
        """
        loop = asyncio.get_running_loop()
        while True:
            changed = self.changed
            lag_s = getattr(self.faults, lag_name) / 1000
            remaining_s = arrived_s + lag_s - loop.time()
            if remaining_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
        await self.unfrozen.wait()

    async def wait_until(self, condition):
        """Wait until `condition` returns true; check it at each change."""
        while not condition():
            await self.changed.wait()

    def promote(self):
        """Replay the received records, end recovery and start a new term."""
        if not self.in_recovery:
            return
        self.replay_all()
        self.role = EndpointRole.PRIMARY
        self.receiver = None
        start = LoggedTransaction(_now_us(), [])
        term = self.log.term + 1
        self._append(self.log.make_record(encode_transaction(start), term))
        self._mark_replayed(len(self.log.records))
        self.save_role()
        _LOG.info("promoted to primary", extra={"term": term})
        self.notify_change()

    def reload(self):
        """Apply the settings changed by ALTER SYSTEM."""
        if self.primary_conninfo != self.pending_conninfo:
            self.primary_conninfo = self.pending_conninfo
            # Stops the receiver before it appends records in transit.
            self.receiver = None
        self.save_role()
        self.notify_change()

    def set_frozen(self, is_frozen):
        """Suspend or resume all activity of the server."""
        self.faults.is_frozen = is_frozen
        if is_frozen:
            self.unfrozen.clear()
        else:
            self.unfrozen.set()

    def freeze_for(self, duration_ms):
        """Freeze the server, and resume it after `duration_ms`."""
        self.set_frozen(True)
        loop = asyncio.get_running_loop()
        loop.call_later(duration_ms / 1000, self.set_frozen, False)
