"""Simulated proxies that use the real lease and commit wait."""

import itertools

from waxwinglift.connection import HealthState
from waxwinglift.connection._health_monitor import HealthMonitor
from waxwinglift.connection._health_monitor import SendProbe
from waxwinglift.connection._health_monitor import TryNewConnection
from waxwinglift.process import Address
from waxwinglift.process import Location
from waxwinglift.request._commit_wait import CommitWait
from waxwinglift.request._commit_wait import Release
from waxwinglift.request._floors import check_floor
from waxwinglift.request._floors import FloorState
from waxwinglift.version import FleetState
from waxwinglift.version._apply import apply_entry
from waxwinglift.version._renewals import Renewal
from waxwinglift.version._renewals import DownEndpoint
from waxwinglift.version._failover_progress import quorum_count
from waxwinglift.version._fleet import find_term
from waxwinglift.version._leases import DaemonLease
from waxwinglift.version._leases import LeaseSettings
from waxwinglift.version._types import GroupPhase
from waxwinglift.version._types import Position
from waxwinglift.version._types import Term
from waxwinglift_bench.version._virtual import Node

# Interval of the health timer while idle; the default of ``idle_tick_ms``.
HEALTH_INTERVAL_MS = 80.0
STALLED_AFTER_MS = 600.0
RETRY_DELAY_MS = 15.0
DEADLINE_MS = 600.0
ANSWER_TIMEOUT_MS = 3000.0


class Proxy(Node):
    """One proxy: entry proxy of some callers and owner of some endpoints.

    It checks its endpoints with the real HealthMonitor.
    """

    def __init__(
        self, world, name, data_centre, members, verdict_log, health_settings
    ):
        super().__init__(world, name, data_centre)
        self.members = members
        self.verdict_log = verdict_log
        self.health_settings = health_settings
        self.clock_rate = 1 + (world.rng.random() - 0.5) * 0.08
        self.start()

    def start(self):
        self.fleet = FleetState()
        self.lease = DaemonLease()
        self.commit_wait = None
        self.commit_wait_term = 0
        self.numbers = itertools.count()
        # A restarted process must not accept a grant of its predecessor.
        self.sequence = self.incarnation * 1_000_000
        self.entry_requests = {}
        self.owner_requests = {}
        self.health = {}
        # Time since which answers are held and none was released.
        self.no_progress_since_ms = None
        self.relay_index = self.world.rng.randrange(len(self.members))
        self.last_answer_ms = self.now_ms
        self.is_poll_scheduled = False
        self.reported_down = ()
        self.reads = {}
        self.positions = {}
        self.call_every(LeaseSettings().renew_interval_ms, self.renew)
        self.call_every(HEALTH_INTERVAL_MS, self.probe)

    @property
    def local_ms(self):
        """Local clock of the process, which drifts."""
        return self.now_ms * self.clock_rate

    def has_lease(self):
        return self.lease.is_live(self.local_ms)

    @property
    def group(self):
        return self.fleet.groups.get("g")

    # Lease renewals, log entries and health checks.

    def renew(self):
        """Renew the lease through a control member.

        The next member is used if this one has not answered for 400 ms.
        """
        if self.now_ms - self.last_answer_ms > 400.0:
            self.relay_index += 1
            self.last_answer_ms = self.now_ms
        self.sequence += 1
        self.lease.on_sent(self.sequence, self.local_ms)
        region = self.world.data_centres.regions[self.data_centre]
        renewal = Renewal(
            daemon=self.name,
            address=Address("127.0.0.1", 6000),
            location=Location(self.data_centre, region),
            applied_index=self.fleet.index,
            sequence=self.sequence,
            down=self.find_down(),
            released=tuple(
                a.endpoint
                for a in self.fleet.owners.values()
                if a.previous == self.name
            ),
        )
        relay = self.members[self.relay_index % len(self.members)]
        self.send(relay, "renewal", renewal)

    def on_grant(self, relay, grant):
        self.last_answer_ms = self.now_ms
        self.lease.on_grant(grant.sequence, grant.lease_ms)

    def on_entries(self, relay, after_index, entries):
        """Apply new entries; renew immediately if a term was raised."""
        raised_index = self.group.raised_index if self.group else 0
        self.last_answer_ms = self.now_ms
        for index, entry in enumerate(entries, after_index + 1):
            if index == self.fleet.index + 1:
                apply_entry(self.fleet, index, entry)
        self.update_commit_wait()
        if self.group and self.group.raised_index > raised_index:
            self.renew()

    def probe(self):
        """Check the endpoints of this proxy as owner or standby owner."""
        for endpoint, assignment in self.fleet.owners.items():
            if self.name in (assignment.owner, assignment.standby):
                self.tick_health(endpoint, assignment.owner != self.name)
            else:
                self.health.pop(endpoint, None)
        previous_down = self.reported_down
        self.reported_down = self.find_down()
        if self.reported_down != previous_down:
            self.renew()

    def tick_health(self, endpoint, is_standby):
        """Send the probes that the health monitor requests.

        A new connection is simulated by one message, like a probe.
        """
        if endpoint not in self.health:
            self.health[endpoint] = HealthMonitor(self.health_settings)
        monitor = self.health[endpoint]
        monitor.is_standby = is_standby
        for action in monitor.tick(self.now_ms):
            if isinstance(action, (SendProbe, TryNewConnection)):
                self.send(endpoint, "probe")

    def on_probed(self, server, timeline):
        if server in self.health:
            self.health[server].on_answer(self.now_ms)

    def find_down(self):
        """Return endpoints that are down or whose writes reach no quorum."""
        if self.group is None:
            return ()
        down = {
            endpoint
            for endpoint, monitor in self.health.items()
            if monitor.state is HealthState.DOWN
        }
        term = self.group.term
        found = [DownEndpoint(e, term) for e in sorted(down)]
        since_ms = self.no_progress_since_ms
        is_stalled = (
            since_ms is not None and self.now_ms - since_ms >= STALLED_AFTER_MS
        )
        if is_stalled and self.group.primary not in down:
            found.append(
                DownEndpoint(self.group.primary, term, is_reachable=True)
            )
        return tuple(found)

    # Writes at the entry proxy.

    def on_write(self, caller, write):
        """Accept a write of a caller and set its deadline."""
        number = next(self.numbers)
        due_ms = self.now_ms + DEADLINE_MS
        self.entry_requests[number] = (write, due_ms)
        self.route(number)

    def route(self, number):
        """Forward the write to the primary's owner, or retry after a delay."""
        if number not in self.entry_requests:
            return
        write, due_ms = self.entry_requests[number]
        group = self.group
        if self.now_ms >= due_ms:
            self.finish(number, "not_run")
        elif not self.has_lease() or not _is_active(group):
            self.call_later(RETRY_DELAY_MS, self.route, number)
        else:
            assignment = self.fleet.owners.get(group.primary)
            if assignment is None or assignment.owner is None:
                self.call_later(RETRY_DELAY_MS, self.route, number)
                return
            target = (group.primary, assignment.epoch, group.term)
            self.send(assignment.owner, "forward", number, target, write)
            self.call_later(ANSWER_TIMEOUT_MS, self.expire_request, number)

    def expire_request(self, number):
        self.finish(number, "may_have_run")

    def on_answer(self, owner, number, verdict, term, position):
        """Return the answer; acknowledge a write only under a valid lease."""
        if number not in self.entry_requests:
            return
        if verdict == "stale":
            self.call_later(RETRY_DELAY_MS, self.route, number)
            return
        if verdict == "ok" and not self.may_acknowledge(term):
            verdict = "may_have_run"
        self.finish(number, verdict, position)

    def may_acknowledge(self, term):
        return (
            self.has_lease()
            and _is_active(self.group)
            and self.group.term == term
        )

    def finish(self, number, verdict, position=None):
        pending = self.entry_requests.pop(number, None)
        if pending is not None:
            write, _ = pending
            self.verdict_log.record(write, verdict, position, self.now_ms)

    # Writes at the owner.

    def on_forward(self, entry, number, target, write):
        """Execute a write on the primary if this proxy is its owner."""
        endpoint, epoch, term = target
        assignment = self.fleet.owners.get(endpoint)
        is_owner = (
            self.may_acknowledge(term)
            and self.group.primary == endpoint
            and assignment is not None
            and (assignment.owner, assignment.epoch) == (self.name, epoch)
        )
        if not is_owner:
            self.send(entry, "answer", number, "stale", term, None)
            return
        request = next(self.numbers)
        self.owner_requests[request] = (entry, number, term)
        self.send(endpoint, "execute", request, write)
        self.call_later(
            ANSWER_TIMEOUT_MS, self.answer, request, "may_have_run"
        )

    def on_executed(self, server, request, position):
        """Hold the answer until a quorum has flushed the position."""
        if request not in self.owner_requests:
            return
        if position is None:
            self.answer(request, "not_run")
            return
        _, _, term = self.owner_requests[request]
        position = Position(term, position.lsn)
        self.positions[request] = position
        self.update_commit_wait()
        self.apply_actions(
            self.commit_wait.hold(request, position, self.now_ms)
        )
        if self.commit_wait.held_count and self.no_progress_since_ms is None:
            self.no_progress_since_ms = self.now_ms
        self.schedule_poll()

    def update_commit_wait(self):
        """Pass the current term and lease state to the commit wait."""
        group = self.group
        if group is None:
            return
        if self.commit_wait is None:
            self.commit_wait = CommitWait(quorum_count(group.size_count))
        if group.term != self.commit_wait_term:
            self.commit_wait_term = group.term
            self.no_progress_since_ms = None
        self.apply_actions(self.commit_wait.on_term(group.term))
        self.apply_actions(self.commit_wait.on_lease(self.has_lease()))

    def schedule_poll(self):
        if not self.is_poll_scheduled and self.commit_wait.held_count:
            self.is_poll_scheduled = True
            self.call_later(self.commit_wait.poll_interval_ms(), self.poll)

    def poll(self):
        self.is_poll_scheduled = False
        self.update_commit_wait()
        self.apply_actions(self.commit_wait.expire(self.now_ms))
        self.send(self.group.primary, "poll")
        self.schedule_poll()

    def on_polled(self, server, timeline, lsn, flushed):
        if self.group is None or server != self.group.primary:
            return
        self.update_commit_wait()
        term = find_term(self.group, timeline)
        released = self.commit_wait.on_positions(term, lsn, flushed)
        if released:
            self.no_progress_since_ms = self.now_ms
        self.apply_actions(released)
        if not self.commit_wait.held_count:
            self.no_progress_since_ms = None

    def apply_actions(self, actions):
        for action in actions:
            is_released = isinstance(action, Release)
            verdict = "ok" if is_released else "may_have_run"
            self.answer(action.request, verdict)

    def answer(self, request, verdict):
        pending = self.owner_requests.pop(request, None)
        if pending is not None:
            entry, number, term = pending
            position = self.positions.pop(request, None)
            self.send(entry, "answer", number, verdict, term, position)

    # Reads.

    def on_session_read(self, caller, endpoint, floor, finish):
        """Read at ``endpoint``; discard a result that is below the floor."""
        if self.has_lease() and self.group is not None:
            request = next(self.numbers)
            self.reads[request] = (floor, finish)
            self.send(endpoint, "read", request)

    def on_data(self, server, request, position, data):
        floor, finish = self.reads.pop(request, (None, None))
        if finish is None or not self.has_lease():
            return
        term = find_term(self.group, position.timeline) or Term(0)
        position = Position(term, position.lsn)
        state = check_floor(floor, position, self.group.term_ends)
        if state is FloorState.MET:
            finish(data)


def _is_active(group):
    return group is not None and group.phase is GroupPhase.ACTIVE
