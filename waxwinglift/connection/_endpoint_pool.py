"""Decides which connections to one endpoint to use, open or close."""

from waxwinglift.connection._endpoint_pool_actions import CloseConnection
from waxwinglift.connection._endpoint_pool_actions import OpenConnection
from waxwinglift.connection._endpoint_pool_actions import ProbeConnection
from waxwinglift.connection._endpoint_pool_actions import ReportTimeout
from waxwinglift.connection._endpoint_pool_actions import UseConnection
from waxwinglift.connection._opening_pace import OpeningPace
from waxwinglift.connection._pool_records import ConnectionNeed
from waxwinglift.connection._pool_records import ConnectionRecord
from waxwinglift.connection._pool_records import PoolRecords
from waxwinglift.connection._pool_records import WaitingHolders
from waxwinglift.connection._types import ConnectionId
from waxwinglift.connection._types import ConnectionState

# Connections without a workspace that are kept open where requests have one.
_SHARED_WARM_COUNT = 1


class EndpointPool:
    """Connection pool of one endpoint; returns actions and does no I/O.

    Every method that returns a list returns `OpenConnection`,
    `ProbeConnection`, `ReportTimeout`, `CloseConnection` and
    `UseConnection` actions.  A holder is any hashable value that identifies
    a transaction; it is unique among the transactions that wait or run.

    A connection is opened under the name of one workspace, or of none, and
    runs only its transactions.  At the connection limit, an idle connection of
    another workspace is closed for a holder that waits.

    Parameters
    ----------
    settings : EndpointPoolSettings
    connection_limit_count : int
        Connections that the endpoint accepts from all clients.  The pool
        uses at most ``(limit - 1) // 2``, so that the next owner can start
        with the other half and one stays free for control.
    slots_count : int
        Transactions that may run at the same time.
    """

    def __init__(self, settings, connection_limit_count, slots_count):
        self.settings = settings
        self.limit_count = (connection_limit_count - 1) // 2
        self.slots_count = slots_count
        # Connections kept open even if no transaction needs them; None means
        # ``slots_count`` and ``settings.spare_count`` together.
        self.warm_count = None
        # Whether requests name a workspace, so that connections cannot be
        # opened before the first request of each.
        self.is_per_workspace = False
        self._connections = PoolRecords(settings.lost_connection_ms)
        self._waiting = WaitingHolders()
        self._is_enabled = False
        self._next_id = 1
        self._pace = OpeningPace(settings)
        self._due_ms = float("-inf")
        self._state_timeouts_ms = {
            ConnectionState.IDLE: settings.idle_probe_ms,
            ConnectionState.SUSPECT: settings.probe_timeout_ms,
            ConnectionState.OPENING: settings.open_timeout_ms,
        }

    @property
    def due_ms(self):
        """Time before which `tick` would do nothing."""
        return float("-inf") if self._waiting else self._due_ms

    @property
    def connection_count(self):
        """Number of connections that are open, opening or still closing."""
        return len(self._connections)

    @property
    def waiting_count(self):
        """Number of holders that wait for a connection."""
        return len(self._waiting)

    @property
    def is_released(self):
        """Whether the pool is disabled and has no connection left."""
        return not self._is_enabled and not self._connections

    def state(self, connection):
        """Return the state of a connection; CLOSED when it is unknown."""
        record = self._connections.get(connection)
        return record.state if record else ConnectionState.CLOSED

    def enable(self, now_ms):
        """Start to open connections in advance.

        Call it when this proxy owns the endpoint and holds a live lease.
        """
        self._is_enabled = True
        return self._open_missing(now_ms)

    def close_all(self, now_ms):
        """Close all connections, after the loss of the lease or ownership.

        The code that calls this must fail the holders that wait or run.

        Returns
        -------
        list of CloseConnection
        """
        self._is_enabled = False
        self._waiting.clear()
        actions = []
        for connection in self._connections:
            actions += self._close(connection, now_ms)
        return actions

    def acquire(self, holder, now_ms, need=ConnectionNeed()):
        """Request a connection for a transaction.

        This or a later call returns the connection as `UseConnection`.
        """
        self._waiting[holder] = need
        return self._serve_waiting(now_ms)

    def take_idle(self, holder, now_ms, need):
        """Return an idle connection for a transaction now, or None.

        No holder that waits can use an idle connection, so none is overtaken.
        """
        connection = self._connections.find_idle(need)
        if connection is not None:
            self._use(connection, holder, need, now_ms)
        return connection

    def expected_wait_ms(self, need, now_ms):
        """Return the expected wait of a new holder for a connection.

        Only openings are counted: a connection of the workspace may become
        free earlier.
        """
        if not self.is_per_workspace:
            return 0.0
        needs = [*self._waiting.needs(need.urgency_index), need]
        missing = self._connections.missing_workspaces(needs, now_ms)
        opening_count = self._connections.count(ConnectionState.OPENING)
        return self._pace.expected_wait_ms(
            len(missing) + opening_count, self.limit_count
        )

    def expecting(self, workspace):
        """Return a context manager that protects a workspace's connections.

        They are the last to be closed for other workspaces.
        """
        return self._waiting.expecting(workspace)

    def cancel(self, holder):
        """Remove a waiting holder; return whether it was waiting."""
        return self._waiting.pop(holder, None) is not None

    def release(self, connection, now_ms):
        """Return a connection whose session is idle again to the pool.

        Call it only after ReadyForQuery with status idle.  After a timeout,
        a cancellation or an unfinished transaction, call `discard` instead.
        """
        record = self._connections.get(connection)
        if record is None or record.state is not ConnectionState.BUSY:
            return []
        record.holder = None
        record.is_block = False
        record.used_ms = now_ms
        if record.is_suspect:
            return self._probe(connection, now_ms) + self._serve_waiting(
                now_ms
            )
        self._set_state(connection, ConnectionState.IDLE, now_ms)
        return self._serve_waiting(now_ms)

    def discard(self, connection, now_ms, is_unanswered=False):
        """Close and replace a connection whose state is unknown."""
        if connection not in self._connections:
            return []
        if is_unanswered:
            self._connections.record_lost(now_ms)
        return self._close(connection, now_ms) + self._serve_waiting(now_ms)

    def mark_others_suspect(self, connection, now_ms):
        """Require a probe of all other connections before their next use."""
        actions = []
        for other, record in self._connections.items():
            if other == connection:
                continue
            if record.state is ConnectionState.IDLE:
                actions += self._probe(other, now_ms)
            elif record.state is ConnectionState.BUSY:
                record.is_suspect = True
        return actions

    def probe_longest_idle(self, before_ms, now_ms):
        """Probe the connection that has been idle longest.

        Only a connection that became idle before ``before_ms`` is probed.  It
        is closed instead if it is surplus.  Health probes of the endpoint use
        the idle connections in turn, so they also serve as the probe that
        each idle connection needs.
        """
        idle = self._connections.find_longest_idle(before_ms)
        return [] if idle is None else self._probe_or_close_idle(idle, now_ms)

    def open_one(self, now_ms):
        """Open one connection, ignoring the back-off after failures.

        The health monitor uses it.  Does nothing at the connection limit, but
        without connections, lost ones don't count.
        """
        limit_count = self.limit_count
        room_count = self._room_count(now_ms) if self._connections else 1
        if not self._is_enabled or min(limit_count, room_count) <= 0:
            return []
        return [self._open(now_ms)]

    def on_opened(self, connection, now_ms):
        """Record that a connection became usable."""
        if self.state(connection) is not ConnectionState.OPENING:
            return []
        opened = self._connections[connection]
        self._pace.record_success(now_ms - opened.since_ms)
        self._set_state(connection, ConnectionState.IDLE, now_ms)
        return self._serve_waiting(now_ms)

    def on_open_failed(self, connection, now_ms):
        """Record that opening a connection was refused or timed out."""
        self._delay_opening(now_ms)
        return self.on_closed(connection, now_ms)

    def on_probe_answer(self, connection, now_ms):
        """Record that a probed connection answered."""
        if self.state(connection) is not ConnectionState.SUSPECT:
            return []
        self._connections[connection].is_suspect = False
        self._set_state(connection, ConnectionState.IDLE, now_ms)
        return self._serve_waiting(now_ms)

    def on_closed(self, connection, now_ms):
        """Record that either side has closed a connection."""
        if self._connections.pop(connection, None) is None:
            return []
        return self._serve_waiting(now_ms)

    def tick(self, now_ms):
        """Probe idle connections, close unresponsive ones, open missing ones.

        From ``due_ms`` on, call this at least every half probe timeout.
        """
        self._due_ms = now_ms + self.settings.idle_probe_ms
        if now_ms < self._pace.after_ms:
            self._due_ms = min(self._due_ms, self._pace.after_ms)
        actions = []
        for connection in list(self._connections):
            actions += self._apply_state_timeout(connection, now_ms)
        return actions + self._serve_waiting(now_ms)

    def shrink(self, now_ms):
        """Close idle connections above a limit that was lowered."""
        excess_count = self._connections.open_count - self.limit_count
        idle = self._connections.idle_connections()
        actions = []
        for connection in idle[: max(0, excess_count)]:
            actions += self._close(connection, now_ms)
        return actions

    def _apply_state_timeout(self, connection, now_ms):
        record = self._connections[connection]
        limit_ms = self._state_timeouts_ms.get(record.state, float("inf"))
        due_ms = record.since_ms + limit_ms
        if now_ms < due_ms:
            self._due_ms = min(self._due_ms, due_ms)
            return []
        if record.state is ConnectionState.IDLE:
            return self._probe_or_close_idle(connection, now_ms)
        self._connections.record_lost(now_ms)
        if record.state is ConnectionState.SUSPECT:
            closed = self._close(connection, now_ms)
            return [ReportTimeout(connection), *closed]
        self._delay_opening(now_ms)
        return self._close(connection, now_ms)

    def _serve_waiting(self, now_ms):
        actions = []
        for holder, need in self._waiting.by_urgency():
            connection = self._connections.find_idle(need)
            if connection is None:
                if not self.is_per_workspace:
                    break
                continue
            del self._waiting[holder]
            self._use(connection, holder, need, now_ms)
            actions.append(UseConnection(connection, holder))
        return actions + self._open_missing(now_ms)

    def _use(self, connection, holder, need, now_ms):
        self._set_state(connection, ConnectionState.BUSY, now_ms)
        record = self._connections[connection]
        record.holder = holder
        record.is_block = need.is_block

    def _open_missing(self, now_ms):
        if not self._is_enabled or now_ms < self._pace.after_ms:
            return []
        openings_count = self._openings_left_count()
        # Each of these makes room for one of the missing connections.
        closing_count = self._connections.count(ConnectionState.CLOSED)
        actions = []
        needs = self._waiting.needs() if self.is_per_workspace else []
        missing = self._connections.missing_workspaces(needs, now_ms)
        for workspace in missing[: max(0, openings_count)]:
            if self._room_count(now_ms) > 0:
                actions.append(self._open(now_ms, workspace))
            elif closing_count > 0:
                closing_count -= 1
            else:
                # No waiting holder can use an idle connection.
                replaced = self._connections.find_replaceable(self._waiting)
                if replaced is not None:
                    actions += self._close(replaced, now_ms)
        if len(missing) >= openings_count:
            return actions
        missing_count = min(
            self._wanted_count() - self._usable_count(),
            self._room_count(now_ms),
            openings_count - len(actions),
        )
        return actions + [self._open(now_ms) for _ in range(missing_count)]

    def _room_count(self, now_ms):
        return self.limit_count - self._connections.occupied_count(now_ms)

    def _openings_left_count(self):
        """Return how many further connections may open at the same time."""
        opening_count = self._connections.count(ConnectionState.OPENING)
        return self._pace.limit_count(self.limit_count) - opening_count

    def _probe_or_close_idle(self, connection, now_ms):
        # When a suspect turns out healthy, its replacement is surplus.
        is_surplus = self._usable_count() > self._wanted_count()
        record = self._connections[connection]
        is_kept = self.settings.keeps_surplus or record.workspace is not None
        if is_surplus and not is_kept:
            return self._close(connection, now_ms)
        return self._probe(connection, now_ms)

    def _wanted_count(self):
        """Return the number of connections of no workspace that are wanted."""
        needed_count = self._connections.count_shared({ConnectionState.BUSY})
        needed_count += self._waiting.shared_count()
        warm_count = self.warm_count
        if warm_count is None:
            warm_count = self.slots_count + self.settings.spare_count
        if self.is_per_workspace:
            warm_count = min(warm_count, _SHARED_WARM_COUNT)
        return max(warm_count, needed_count)

    def _usable_count(self):
        usable = set(ConnectionState) - {ConnectionState.CLOSED}
        if self._waiting:
            # Probes of unresponsive connections fail late, so open others
            # now.
            usable.discard(ConnectionState.SUSPECT)
        return self._connections.count_shared(usable)

    def _open(self, now_ms, workspace=None):
        connection = ConnectionId(self._next_id)
        self._next_id += 1
        record = ConnectionRecord(ConnectionState.OPENING, now_ms, workspace)
        self._connections[connection] = record
        self._due_ms = min(
            self._due_ms, now_ms + self.settings.open_timeout_ms
        )
        return OpenConnection(connection, workspace)

    def _probe(self, connection, now_ms):
        self._set_state(connection, ConnectionState.SUSPECT, now_ms)
        return [ProbeConnection(connection)]

    def _close(self, connection, now_ms):
        """Request closing; the connection counts until `on_closed`."""
        if self.state(connection) is ConnectionState.CLOSED:
            return []
        self._set_state(connection, ConnectionState.CLOSED, now_ms)
        return [CloseConnection(connection)]

    def _set_state(self, connection, state, now_ms):
        record = self._connections[connection]
        record.state = state
        record.since_ms = now_ms
        limit_ms = self._state_timeouts_ms.get(state, float("inf"))
        self._due_ms = min(self._due_ms, now_ms + limit_ms)

    def _delay_opening(self, now_ms):
        self._pace.record_failure(now_ms)
        self._due_ms = min(self._due_ms, self._pace.after_ms)
