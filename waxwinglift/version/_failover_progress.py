"""Progress of one group within one step of a failover."""

import dataclasses

from waxwinglift.version._types import EndpointRole
from waxwinglift.version._types import EndpointState
from waxwinglift.version._types import GroupPhase
from waxwinglift.version._types import ServerPosition
from waxwinglift.version._types import Timeline


def quorum_count(size_count):
    """Return how many servers must have a write to acknowledge it."""
    return size_count // 2 + 1


def fenced_needed_count(size_count):
    """Return how many servers besides the old primary must be fenced.

    Every quorum that could have acknowledged a write then contains at least
    one fenced server.
    """
    return size_count - quorum_count(size_count) + 1


def had_active_primary(group):
    """Return whether the group's previous term had an active primary."""
    return group.term - 1 in group.timelines.values()


def find_fenceable(group, members):
    """Return the servers whose fencing counts towards the needed number.

    A former primary does not count, because it was not replicating from the
    group's primary.  A chosen server that was abandoned counts once the term
    has been raised again: if it had been promoted, it could not be fenced.
    With replacements the group has more members than its size; lost members
    then do not count, because they cannot have been part of a recent quorum.
    """
    is_primary_abandoned = (
        group.phase is GroupPhase.FENCING and not had_active_primary(group)
    )
    others = [
        endpoint
        for endpoint in members
        if (endpoint.endpoint != group.primary or is_primary_abandoned)
        and endpoint.role is EndpointRole.REPLICA
    ]
    if len(members) <= group.size_count:
        return others
    return [e for e in others if e.state is not EndpointState.LOST]


@dataclasses.dataclass(slots=True)
class GroupProgress:
    """What this leader has done for one term and phase of a group.

    ``key`` is that term and phase; progress with another key is discarded.
    """

    key: tuple
    fenced: set = dataclasses.field(default_factory=set)
    # Servers that claim to be the primary.
    claimed_primaries: set = dataclasses.field(default_factory=set)
    # Servers that the platform reports as no longer running.
    not_running: set = dataclasses.field(default_factory=set)
    # Whether all proxies have stopped sending writes to the old primary, or
    # ``settle_ms`` has passed.
    have_writes_stopped: bool = False
    # By endpoint: its position and the time of the read.
    positions: dict = dataclasses.field(default_factory=dict)
    # Timeline of the chosen server, and the last write in its log; None until
    # it is promoted.
    timeline: Timeline | None = None
    last_write: ServerPosition | None = None
    status: str = ""
    # By (action type, endpoint): time before which it is not sent again.
    due_ms: dict = dataclasses.field(default_factory=dict)
    # (action type, endpoint) of the actions without an outcome.
    in_flight: set = dataclasses.field(default_factory=set)
    # By (action type, endpoint): message of the last failure.
    failures: dict = dataclasses.field(default_factory=dict)
    # By endpoint: time of the first failed contact since its last answer.
    unreachable_since_ms: dict = dataclasses.field(default_factory=dict)
    # Last proposed entry and the time of the proposal.
    proposed: object = None
    proposed_ms: float = 0.0
    # Time of the first call of ``age_ms``.
    started_ms: float | None = None

    def age_ms(self, now_ms):
        """Return the time since the first call, which sets the start."""
        if self.started_ms is None:
            self.started_ms = now_ms
        return now_ms - self.started_ms

    def may_start(self, action_type, endpoint, now_ms):
        """Return whether the action is neither in flight nor in back-off."""
        due_ms = self.due_ms.get((action_type, endpoint))
        return due_ms is None or now_ms >= due_ms

    def record_start(self, action_type, endpoint, due_ms):
        """Record that an action was sent; it is repeated at ``due_ms``."""
        self.due_ms[action_type, endpoint] = due_ms
        self.in_flight.add((action_type, endpoint))

    def record_success(self, action_type, endpoint):
        """Record a success; return whether the action was in flight."""
        key = (action_type, endpoint)
        self.due_ms.pop(key, None)
        self.failures.pop(key, None)
        self.unreachable_since_ms.pop(endpoint, None)
        was_in_flight = key in self.in_flight
        self.in_flight.discard(key)
        return was_in_flight

    def record_failure(self, action_type, endpoint, due_ms, message):
        """Record a failure and the time of the next attempt."""
        key = (action_type, endpoint)
        self.in_flight.discard(key)
        self.due_ms[key] = due_ms
        self.failures[key] = message

    def record_contact(self, endpoint, is_reached, now_ms):
        """Record whether a server answered.

        The time of the first failed contact is kept until it answers again.
        """
        if is_reached:
            self.unreachable_since_ms.pop(endpoint, None)
        else:
            self.unreachable_since_ms.setdefault(endpoint, now_ms)

    def is_unreachable_since(self, endpoint, since_ms):
        """Return whether the server has not answered since ``since_ms``."""
        first_ms = self.unreachable_since_ms.get(endpoint)
        return first_ms is not None and first_ms <= since_ms

    def failure_suffix(self, action_type, endpoint):
        """Return the action's last failure as a suffix for a status text."""
        message = self.failures.get((action_type, endpoint))
        return f" ({message})" if message else ""

    def may_propose(self, entry, now_ms, retry_ms):
        """Return whether to propose ``entry`` now; if so, record it.

        The same entry is proposed again after ``retry_ms`` only.
        """
        if self.proposed == entry and now_ms - self.proposed_ms < retry_ms:
            return False
        self.proposed = entry
        self.proposed_ms = now_ms
        return True

    def recently_read_servers(self, since_ms):
        """Return the servers whose position was read after ``since_ms``."""
        return {n for n, (_, ms) in self.positions.items() if ms > since_ms}


def waiting_text(servers, done_names, needed_count, description, progress):
    """Return a status such as "waiting for 1 of 2 servers to be fenced".

    ``description`` is the part after the numbers, such as "servers to be
    fenced".  The text lists the servers that are missing, with their last
    failures.
    """
    missing = [s.endpoint for s in servers if s.endpoint not in done_names]
    reasons = {
        endpoint: message
        for (_, endpoint), message in progress.failures.items()
    }
    names = [
        f"{name} ({reasons[name]})" if name in reasons else name
        for name in missing
    ]
    left_count = needed_count - len(done_names)
    listing = ", ".join(names) or "no other eligible server"
    return (
        f"waiting for {left_count} of {needed_count} {description}: {listing}"
    )
