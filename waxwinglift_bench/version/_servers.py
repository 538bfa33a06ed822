"""Simulated database servers, each with a log and a timeline."""

from waxwinglift.process import Address
from waxwinglift.process import Location
from waxwinglift.process import Registry
from waxwinglift.version import _announcements
from waxwinglift.version import _failover_messages as messages
from waxwinglift.version._types import ServerPosition
from waxwinglift_bench.version._virtual import Node

# Handlers of the failover planner's actions; each takes ``(server, action)``
# and returns the outcome.
SERVER_ACTION_HANDLERS = Registry()
on_server_action = SERVER_ACTION_HANDLERS.register


class Server(Node):
    """One server of the group ``g``; a log offset counts writes.

    A replica copies its upstream's log as long as its own log is a prefix of
    it.  A diverged log stays unchanged until the server is rebuilt.
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
        self.announcement_number = 0
        self.acknowledged_number = None
        self.member_index = self.world.rng.randrange(len(self.members))
        self.call_every(500.0, self.announce)
        self.call_every(100.0, self.follow)

    @property
    def position(self):
        return ServerPosition(self.timeline, len(self.log))

    def announce(self):
        """Announce this server to control, as the platform does."""
        region = self.world.data_centres.regions[self.data_centre]
        announcement = _announcements.Announcement(
            endpoint=self.name,
            group="g",
            address=Address("127.0.0.1", 5432),
            location=Location(self.data_centre, region),
            slots_count=3,
            connection_limit_count=25,
            group_size_count=self.size_count,
            # The platform announces the timeline as the term.
            term=self.timeline,
            in_recovery=self.in_recovery,
            is_leaving=self.is_leaving,
        )
        self.announcement_number += 1
        self.send_announcement(announcement, self.announcement_number)

    def send_announcement(self, announcement, number):
        """Send an announcement; try the next member if it is not answered."""
        if (
            number != self.announcement_number
            or number == self.acknowledged_number
        ):
            return
        member = self.members[self.member_index % len(self.members)]
        self.send(member, "announcement", announcement, number)
        self.call_later(100.0, self.retry_announcement, announcement, number)

    def retry_announcement(self, announcement, number):
        if number != self.acknowledged_number:
            self.member_index += 1
            self.send_announcement(announcement, number)

    def on_announced(self, member, number):
        self.acknowledged_number = number

    def follow(self):
        """Request the missing log records from the upstream."""
        if self.in_recovery and self.upstream is not None:
            self.send(self.upstream, "follow", self.timeline, tuple(self.log))

    def on_follow(self, replica, timeline, log):
        """Record the replica's flushed offset and send the missing records."""
        is_prefix = log == tuple(self.log[: len(log)])
        if not is_prefix or timeline > self.timeline:
            return
        self.flushed[replica] = (len(log), self.now_ms)
        if len(log) < len(self.log) or timeline < self.timeline:
            records = tuple(self.log[len(log) :])
            self.send(replica, "wal", self.timeline, len(log), records)

    def on_wal(self, upstream, timeline, start, records):
        """Append the received records after the replay delay."""
        if self.replay_delay_ms:
            item = (upstream, timeline, start, records)
            self.call_later(self.replay_delay_ms, self.append, *item)
        else:
            self.append(upstream, timeline, start, records)

    def append(self, upstream, timeline, start, records):
        """Append records unless the server no longer follows the sender."""
        if upstream != self.upstream or not self.in_recovery:
            return
        if start > len(self.log) or timeline < self.timeline:
            return
        received = [*self.log[:start], *records]
        if len(received) > len(self.log):
            self.log = received
        self.timeline = timeline
        self.follow()

    def push_wal(self):
        """Send new writes to replicas with a request in the last 500 ms."""
        for replica, (flushed, seen_ms) in self.flushed.items():
            if self.now_ms - seen_ms < 500.0:
                records = tuple(self.log[flushed:])
                self.send(replica, "wal", self.timeline, flushed, records)

    def on_execute(self, proxy, request, write):
        """Execute a write, or refuse it while in recovery."""
        if self.in_recovery:
            self.send(proxy, "executed", request, None)
            return
        self.log.append(write)
        self.push_wal()
        self.send(proxy, "executed", request, self.position)

    def on_read(self, proxy, request):
        """Return the position and the data at that position."""
        self.send(proxy, "data", request, self.position, tuple(self.log))

    def on_probe(self, proxy):
        """Answer a health probe."""
        self.send(proxy, "probed", self.timeline)

    def on_poll(self, proxy):
        """Return the log offsets of this server and of its replicas."""
        if not self.in_recovery:
            flushed = {r: lsn for r, (lsn, _) in self.flushed.items()}
            lsn = len(self.log)
            self.send(proxy, "polled", self.timeline, lsn, flushed)

    def on_sql(self, member, action):
        """Execute an action of the failover planner."""
        outcome = SERVER_ACTION_HANDLERS[type(action)](self, action)
        self.send(member, "outcome", action, outcome)

    def rebuild(self, primary):
        """Become a replica with a copy of the primary's data."""
        self.log = list(primary.log)
        self.timeline = primary.timeline
        self.in_recovery = True
        self.upstream = primary.name
        self.flushed.clear()


def _build_outcome(outcome_type, action, *fields):
    return outcome_type(action.group, action.term, action.endpoint, *fields)


def _not_a_replica(action):
    return messages.ActionFailed(action, "not a replica", is_reached=True)


@on_server_action(messages.FenceServer)
def _fence(server, action):
    if not server.in_recovery:
        return _not_a_replica(action)
    server.upstream = None
    return _build_outcome(messages.ServerFenced, action)


@on_server_action(messages.ReadPosition)
def _read_position(server, action):
    if not server.in_recovery:
        return _not_a_replica(action)
    return _build_outcome(messages.PositionRead, action, server.position)


@on_server_action(messages.PromoteServer)
def _promote(server, action):
    if server.in_recovery:
        server.in_recovery = False
        server.upstream = None
        server.timeline += 1
        server.flushed.clear()
    return _build_outcome(messages.ServerPromoted, action, server.timeline)


@on_server_action(messages.RepointServer)
def _repoint(server, action):
    if server.in_recovery:
        server.upstream = action.primary
        server.follow()
    return _build_outcome(messages.ServerRepointed, action)
