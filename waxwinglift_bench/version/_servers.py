"""Stand-in database servers of the fault tables: a log and a timeline."""

from waxwinglift.process import Address
from waxwinglift.process import Location
from waxwinglift.process import Registry
from waxwinglift.version import _announcements
from waxwinglift.version import _failover_messages as messages
from waxwinglift.version._types import ServerPosition
from waxwinglift_bench.version._virtual import Node

# What a server does for an action of the planner: takes ``(server, action)``
# and returns the outcome.
SQL_ACTIONS = Registry()
on_sql = SQL_ACTIONS.register


class Server(Node):
    """One server of the group ``g``; an offset is a number of writes.

    A replica takes over what its upstream has while its own log is a prefix
    of it; a log that has diverged stays as it is until it is rebuilt.
    """

    def __init__(
        self, world, name, data_centre, members, is_primary, size_count
    ):
        super().__init__(world, name, data_centre)
        self.members = members
        self.size_count = size_count
        self.in_recovery = not is_primary
        self.timeline = 1
        self.log = []
        self.upstream = None
        self.replay_delay_ms = 0.0
        self.is_leaving = False
        self.start()

    def start(self):
        self.flushed = {}
        self.number = 0
        self.announced_number = None
        self.member_number = self.world.rng.randrange(len(self.members))
        self.every(500.0, self.announce)
        self.every(100.0, self.follow)

    @property
    def position(self):
        return ServerPosition(self.timeline, len(self.log))

    def announce(self):
        """Tell a control daemon about this server, as the platform does."""
        region = self.world.data_centres.regions[self.data_centre]
        announcement = _announcements.Announcement(
            endpoint=self.name,
            group="g",
            address=Address("127.0.0.1", 5432),
            location=Location(self.data_centre, region),
            slots_count=3,
            connection_limit_count=25,
            group_size_count=self.size_count,
            term=self.timeline,
            in_recovery=self.in_recovery,
            is_leaving=self.is_leaving,
        )
        self.number += 1
        self.deliver(announcement, self.number)

    def deliver(self, announcement, number):
        """Send an announcement; take the next member without an answer."""
        if number != self.number or number == self.announced_number:
            return
        member = self.members[self.member_number % len(self.members)]
        self.send(member, "announcement", announcement, number)
        self.later(100.0, self.rotate, announcement, number)

    def rotate(self, announcement, number):
        if number != self.announced_number:
            self.member_number += 1
            self.deliver(announcement, number)

    def on_announced(self, member, number):
        self.announced_number = number

    def follow(self):
        """Ask the upstream for what this replica does not have."""
        if self.in_recovery and self.upstream is not None:
            self.send(self.upstream, "follow", self.timeline, tuple(self.log))

    def on_follow(self, replica, timeline, log):
        """Serve a replica and record what it has flushed."""
        is_prefix = log == tuple(self.log[: len(log)])
        if not is_prefix or timeline > self.timeline:
            return
        self.flushed[replica] = (len(log), self.now_ms)
        if len(log) < len(self.log) or timeline < self.timeline:
            rest = tuple(self.log[len(log) :])
            self.send(replica, "wal", self.timeline, len(log), rest)

    def on_wal(self, upstream, timeline, start, rest):
        """Append what the upstream sent, after the replay delay."""
        if self.replay_delay_ms:
            item = (upstream, timeline, start, rest)
            self.later(self.replay_delay_ms, self.append, *item)
        else:
            self.append(upstream, timeline, start, rest)

    def append(self, upstream, timeline, start, rest):
        """Flush received writes unless the receiver was stopped."""
        if upstream != self.upstream or not self.in_recovery:
            return
        if start > len(self.log) or timeline < self.timeline:
            return
        received = [*self.log[:start], *rest]
        if len(received) > len(self.log):
            self.log = received
        self.timeline = timeline
        self.follow()

    def stream(self):
        """Push new writes to the replicas that are connected."""
        for replica, (flushed, seen_ms) in self.flushed.items():
            if self.now_ms - seen_ms < 500.0:
                rest = tuple(self.log[flushed:])
                self.send(replica, "wal", self.timeline, flushed, rest)

    def on_execute(self, proxy, request, write):
        """Run a write, or refuse it without running it."""
        if self.in_recovery:
            self.send(proxy, "executed", request, None)
            return
        self.log.append(write)
        self.stream()
        self.send(proxy, "executed", request, self.position)

    def on_read(self, proxy, request):
        """Answer with the position and the data at that position."""
        self.send(proxy, "data", request, self.position, tuple(self.log))

    def on_probe(self, proxy):
        """Answer a health probe."""
        self.send(proxy, "probed", self.timeline)

    def on_poll(self, proxy):
        """Answer with the own offset and those that replicas flushed."""
        if not self.in_recovery:
            flushed = {r: lsn for r, (lsn, _) in self.flushed.items()}
            lsn = len(self.log)
            self.send(proxy, "polled", self.timeline, lsn, flushed)

    def on_sql(self, member, action):
        """Execute an action of the planner."""
        outcome = SQL_ACTIONS[type(action)](self, action)
        self.send(member, "outcome", action, outcome)

    def rebuild(self, primary):
        """Become a replica with a copy of the primary's data."""
        self.log = list(primary.log)
        self.timeline = primary.timeline
        self.in_recovery = True
        self.upstream = primary.name
        self.flushed.clear()


def _named(outcome_type, action, *fields):
    return outcome_type(action.group, action.term, action.endpoint, *fields)


def _not_a_replica(action):
    return messages.ActionFailed(action, "not a replica", is_reached=True)


@on_sql(messages.FenceServer)
def _fence(server, action):
    if not server.in_recovery:
        return _not_a_replica(action)
    server.upstream = None
    return _named(messages.ServerFenced, action)


@on_sql(messages.ReadPosition)
def _read_position(server, action):
    if not server.in_recovery:
        return _not_a_replica(action)
    return _named(messages.PositionRead, action, server.position)


@on_sql(messages.PromoteServer)
def _promote(server, action):
    if server.in_recovery:
        server.in_recovery = False
        server.upstream = None
        server.timeline += 1
        server.flushed.clear()
    return _named(messages.ServerPromoted, action, server.timeline)


@on_sql(messages.RepointServer)
def _repoint(server, action):
    if server.in_recovery:
        server.upstream = action.primary
        server.follow()
    return _named(messages.ServerRepointed, action)
