"""Proxies of the fault tables: real leases, real wait for the quorum."""

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
from waxwinglift.version._control_core_messages import Renewal
from waxwinglift.version._failover_messages import DownEndpoint
from waxwinglift.version._failover_progress import quorum_count
from waxwinglift.version._fleet import find_term
from waxwinglift.version._leases import DaemonLease
from waxwinglift.version._leases import LeaseSettings
from waxwinglift.version._types import GroupPhase
from waxwinglift.version._types import Position
from waxwinglift.version._types import Term
from waxwinglift_bench.version._virtual import Node

# The timer of an idle proxy's endpoints.
TICK_MS = 80.0
STALLED_AFTER_MS = 600.0
RETRY_MS = 15.0
DEADLINE_MS = 600.0
ANSWER_LIMIT_MS = 3000.0


class Proxy(Node):
    """One proxy, entry of some callers and owner of some endpoints.

    Its endpoints are judged by the product's HealthMonitor.
    """

    def __init__(
        self, world, name, data_centre, members, ledger, health_settings
    ):
        super().__init__(world, name, data_centre)
        self.members = members
        self.ledger = ledger
        self.health_settings = health_settings
        self.clock_rate = 1 + (world.rng.random() - 0.5) * 0.08
        self.start()

    def start(self):
        self.fleet = FleetState()
        self.lease = DaemonLease()
        self.waits = None
        self.waits_term = 0
        self.numbers = itertools.count()
        # A restarted process must not take an old grant for its own.
        self.sequence = self.incarnation * 1_000_000
        self.entry_requests = {}
        self.owner_requests = {}
        self.health = {}
        self.held_since_ms = None
        self.relay_number = self.world.rng.randrange(len(self.members))
        self.answered_ms = self.now_ms
        self.is_poll_due = False
        self.reported_down = ()
        self.reads = {}
        self.positions = {}
        self.every(LeaseSettings().renew_interval_ms, self.renew)
        self.every(TICK_MS, self.probe)

    @property
    def local_ms(self):
        """The process's own clock, which drifts."""
        return self.now_ms * self.clock_rate

    def has_lease(self):
        return self.lease.is_live(self.local_ms)

    @property
    def group(self):
        return self.fleet.groups.get("g")

    # Renewals, entries and health.

    def renew(self):
        """Renew at the relay; take the next relay when it is silent."""
        if self.now_ms - self.answered_ms > 400.0:
            self.relay_number += 1
            self.answered_ms = self.now_ms
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
        relay = self.members[self.relay_number % len(self.members)]
        self.send(relay, "renewal", renewal)

    def on_grant(self, relay, grant):
        self.answered_ms = self.now_ms
        self.lease.on_grant(grant.sequence, grant.lease_ms)

    def on_entries(self, relay, after_index, entries):
        """Apply new entries; renew at once when a term was raised."""
        raised_index = self.group.raised_index if self.group else 0
        self.answered_ms = self.now_ms
        for index, entry in enumerate(entries, after_index + 1):
            if index == self.fleet.index + 1:
                apply_entry(self.fleet, index, entry)
        self.follow_term()
        if self.group and self.group.raised_index > raised_index:
            self.renew()

    def probe(self):
        """Probe the endpoints that this proxy owns or stands by for."""
        for endpoint, assignment in self.fleet.owners.items():
            if self.name in (assignment.owner, assignment.standby):
                self.tick_health(endpoint, assignment.owner != self.name)
            else:
                self.health.pop(endpoint, None)
        was_down = self.reported_down
        self.reported_down = self.find_down()
        if self.reported_down != was_down:
            self.renew()

    def tick_health(self, endpoint, is_standby):
        """Send what the health monitor asks for.

        A new connection takes one message here, as a probe does.
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
        """Return the endpoints without an answer, or without a quorum."""
        if self.group is None:
            return ()
        down = {
            endpoint
            for endpoint, monitor in self.health.items()
            if monitor.state is HealthState.DOWN
        }
        term = self.group.term
        found = [DownEndpoint(e, term) for e in sorted(down)]
        since_ms = self.held_since_ms
        is_stalled = (
            since_ms is not None and self.now_ms - since_ms >= STALLED_AFTER_MS
        )
        if is_stalled and self.group.primary not in down:
            found.append(DownEndpoint(self.group.primary, term, True))
        return tuple(found)

    # Writes: the entry proxy.

    def on_write(self, caller, write):
        """Accept a write of a caller, with its deadline."""
        number = next(self.numbers)
        due_ms = self.now_ms + DEADLINE_MS
        self.entry_requests[number] = (write, due_ms)
        self.route(number)

    def route(self, number):
        """Send the write to the primary's owner, or wait a little."""
        if number not in self.entry_requests:
            return
        write, due_ms = self.entry_requests[number]
        group = self.group
        if self.now_ms >= due_ms:
            self.finish(number, "not_run")
        elif not self.has_lease() or not _is_active(group):
            self.later(RETRY_MS, self.route, number)
        else:
            assignment = self.fleet.owners.get(group.primary)
            if assignment is None or assignment.owner is None:
                self.later(RETRY_MS, self.route, number)
                return
            header = (group.primary, assignment.epoch, group.term)
            self.send(assignment.owner, "forward", number, header, write)
            self.later(ANSWER_LIMIT_MS, self.give_up, number)

    def give_up(self, number):
        self.finish(number, "may_have_run")

    def on_answer(self, owner, number, verdict, term, position):
        """Pass the owner's answer on, if the lease still allows it."""
        if number not in self.entry_requests:
            return
        if verdict == "stale":
            self.later(RETRY_MS, self.route, number)
            return
        if verdict == "ok" and not self.may_confirm(term):
            verdict = "may_have_run"
        self.finish(number, verdict, position)

    def may_confirm(self, term):
        return (
            self.has_lease()
            and _is_active(self.group)
            and self.group.term == term
        )

    def finish(self, number, verdict, position=None):
        known = self.entry_requests.pop(number, None)
        if known is not None:
            write, _ = known
            self.ledger.record(write, verdict, position, self.now_ms)

    # Writes: the owner.

    def on_forward(self, entry, number, header, write):
        """Run a write on the primary if this proxy owns it."""
        endpoint, epoch, term = header
        assignment = self.fleet.owners.get(endpoint)
        is_owner = (
            self.may_confirm(term)
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
        self.later(ANSWER_LIMIT_MS, self.answer, request, "may_have_run")

    def on_executed(self, server, request, position):
        """Hold the answer until a quorum has the position."""
        if request not in self.owner_requests:
            return
        if position is None:
            self.answer(request, "not_run")
            return
        _, _, term = self.owner_requests[request]
        position = Position(term, position.lsn)
        self.positions[request] = position
        self.follow_term()
        self.act(self.waits.hold(request, position, self.now_ms))
        if self.waits.held_count and self.held_since_ms is None:
            self.held_since_ms = self.now_ms
        self.schedule_poll()

    def follow_term(self):
        """Tell the wait about the term and the lease as they are now."""
        group = self.group
        if group is None:
            return
        if self.waits is None:
            self.waits = CommitWait(quorum_count(group.size_count))
        if group.term != self.waits_term:
            self.waits_term = group.term
            self.held_since_ms = None
        self.act(self.waits.on_term(group.term))
        self.act(self.waits.on_lease(self.has_lease()))

    def schedule_poll(self):
        if not self.is_poll_due and self.waits.held_count:
            self.is_poll_due = True
            self.later(self.waits.poll_interval_ms(), self.poll)

    def poll(self):
        self.is_poll_due = False
        self.follow_term()
        self.act(self.waits.expire(self.now_ms))
        self.send(self.group.primary, "poll")
        self.schedule_poll()

    def on_polled(self, server, timeline, lsn, flushed):
        if self.group is None or server != self.group.primary:
            return
        self.follow_term()
        term = find_term(self.group, timeline)
        released = self.waits.on_positions(term, lsn, flushed)
        if released:
            self.held_since_ms = self.now_ms
        self.act(released)
        if not self.waits.held_count:
            self.held_since_ms = None

    def act(self, actions):
        for action in actions:
            is_released = isinstance(action, Release)
            verdict = "ok" if is_released else "may_have_run"
            self.answer(action.request, verdict)

    def answer(self, request, verdict):
        known = self.owner_requests.pop(request, None)
        if known is not None:
            entry, number, term = known
            position = self.positions.pop(request, None)
            self.send(entry, "answer", number, verdict, term, position)

    # Reads.

    def on_session_read(self, caller, endpoint, floor, finish):
        """Read at a replica that has the floor; callers retry elsewhere."""
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
