"""Faults that can be injected into a run.

Each function selects its targets from the state of the run at the time of the
call and schedules the end of the fault.
"""

from collections.abc import Callable
import dataclasses

WRITES_RESUME = "writes resume within 3 s; none is lost or doubled"
WRITES_CONTINUE = "writes go on; none is lost or doubled"
PRIMARY_FENCED = "a replaced primary confirms nothing"
LEASE_REQUIRED = "a proxy without a lease confirms nothing"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault and the promise that must hold despite it."""

    name: str
    promise: str
    inject: Callable


FAULTS = {}

# Longer than a lease with its margin plus a failover.
LONG_FAULT_MS = 3500.0
SHORT_FAULT_MS = 1000.0


def fault(name, promise):
    """Register a fault under the name printed in the table."""

    def register(function):
        FAULTS[name] = Fault(name, promise, function)
        return function

    return register


def _names(nodes):
    return [node.name for node in nodes]


def _cut(run, first, second, duration_ms=LONG_FAULT_MS):
    pairs = (_names(first), _names(second))
    run.world.cut(*pairs)
    run.call_after(duration_ms, run.world.heal, *pairs)


def _kill(run, node, duration_ms=LONG_FAULT_MS):
    node.kill()
    run.call_after(duration_ms, node.restart)


def _freeze(run, node, duration_ms):
    node.freeze()
    run.call_after(duration_ms, node.thaw)


@fault("primary killed", WRITES_RESUME)
def _primary_killed(run):
    _kill(run, run.primary)


@fault("old primary returns", PRIMARY_FENCED)
def _old_primary_returns(run):
    """Restart the old primary before, during or after the failover."""
    _kill(run, run.primary, run.world.rng.uniform(300.0, 1500.0))


@fault("primary frozen", WRITES_RESUME)
def _primary_frozen(run):
    _freeze(run, run.primary, LONG_FAULT_MS)


@fault("primary frozen briefly", PRIMARY_FENCED)
def _primary_frozen_briefly(run):
    _freeze(run, run.primary, SHORT_FAULT_MS)


@fault("primary cut from replicas", WRITES_RESUME)
def _primary_cut_from_replicas(run):
    _cut(run, [run.primary], run.replicas())


@fault("primary cut from control", WRITES_CONTINUE)
def _primary_cut_from_control(run):
    _cut(run, [run.primary], run.members)


@fault("primary cut from proxies", WRITES_RESUME)
def _primary_cut_from_proxies(run):
    _cut(run, [run.primary], run.proxies)


@fault("primary cut from its owner", WRITES_RESUME)
def _primary_cut_from_owner(run):
    _cut(run, [run.primary], [run.owner])


@fault("primary isolated", PRIMARY_FENCED)
def _primary_isolated(run):
    others = [*run.members, *run.proxies, *run.replicas()]
    _cut(run, [run.primary], others)


@fault("replica lagging", WRITES_CONTINUE)
def _replica_lagging(run):
    replica = run.world.rng.choice(run.replicas())
    replica.replay_delay_ms = 400.0
    run.call_after(LONG_FAULT_MS, setattr, replica, "replay_delay_ms", 0.0)


@fault("replica killed", WRITES_CONTINUE)
def _replica_killed(run):
    _kill(run, run.world.rng.choice(run.replicas()))


@fault("primary leaves", WRITES_RESUME)
def _primary_leaves(run):
    server = run.primary
    server.is_leaving = True
    run.call_after(LONG_FAULT_MS, setattr, server, "is_leaving", False)


@fault("owner killed", WRITES_RESUME)
def _owner_killed(run):
    _kill(run, run.owner)


@fault("owner frozen", LEASE_REQUIRED)
def _owner_frozen(run):
    _freeze(run, run.owner, 2 * SHORT_FAULT_MS)


@fault("owner cut from control", LEASE_REQUIRED)
def _owner_cut_from_control(run):
    _cut(run, [run.owner], run.members)


@fault("control leader killed", WRITES_CONTINUE)
def _leader_killed(run):
    _kill(run, run.leader)


@fault("control leader frozen", LEASE_REQUIRED)
def _leader_frozen(run):
    _freeze(run, run.leader, 2 * SHORT_FAULT_MS)


@fault("control leader cut from the others", LEASE_REQUIRED)
def _leader_cut(run):
    others = [m for m in run.members if m is not run.leader]
    _cut(run, [run.leader], others)


@fault("control leader loses its disk", WRITES_CONTINUE)
def _leader_loses_disk(run):
    """Stop the leader permanently.

    Without its stored votes it must not rejoin under its name.
    """
    run.leader.lose_disk()


@fault("data centre of the primary lost", WRITES_RESUME)
def _data_centre_lost(run):
    data_centre = run.primary.data_centre
    for node in [*run.members, *run.proxies, *run.servers]:
        if node.data_centre == data_centre:
            _kill(run, node)


@fault("regions cut from each other", WRITES_RESUME)
def _regions_cut(run):
    nodes = [*run.members, *run.proxies, *run.servers]
    south = [n for n in nodes if n.data_centre == "c"]
    _cut(run, south, [n for n in nodes if n.data_centre != "c"])


def _freeze_before_message(run, node, name, is_match, duration_ms, on_freeze):
    """Freeze ``node`` just before it handles a matching message.

    ``is_match`` selects the message, which stays queued and is handled first
    when the node thaws.  ``on_freeze`` is called when the node freezes.
    """
    execute = node.execute

    def execute_until_match(action, *arguments):
        handler = getattr(node, f"on_{name}")
        if action == handler and is_match(*arguments):
            node.__dict__.pop("execute", None)
            _freeze(run, node, duration_ms)
            on_freeze()
        execute(action, *arguments)

    node.execute = execute_until_match


def _freeze_entry_before_answer(run, on_freeze):
    """Freeze an entry proxy before it forwards an acknowledgement."""
    entries = [p for p in run.proxies if p.is_usable and p is not run.owner]
    entry = run.world.rng.choice(entries)

    def is_acknowledged(owner, number, verdict, term, position):
        return verdict == "ok"

    # Leases of 1000 ms are renewed every 250 ms, so most of them are still
    # valid after 800 ms.
    _freeze_before_message(
        run, entry, "answer", is_acknowledged, 800.0, on_freeze
    )


@fault("entry proxy frozen with an answer, primary isolated", LEASE_REQUIRED)
def _entry_frozen_with_answer(run):
    """Thaw the entry proxy shortly before its lease expires."""
    _freeze_entry_before_answer(run, lambda: _primary_isolated(run))


@fault(
    "entry proxy frozen with an answer, primary and leader lost",
    LEASE_REQUIRED,
)
def _entry_frozen_leader_lost(run):
    """Elect a leader that has not received a renewal of the frozen proxy."""

    def isolate_and_kill():
        _primary_isolated(run)
        _leader_killed(run)

    _freeze_entry_before_answer(run, isolate_and_kill)


@fault("owner frozen with an answer, primary isolated", LEASE_REQUIRED)
def _owner_frozen_with_answer(run):
    """Delay a poll result that shows the quorum of a write past a failover.

    The owner is also the entry proxy of the write and receives no log entries,
    so only its expired lease can stop it from acknowledging the write.
    """
    owner = run.owner

    def has_quorum(server, timeline, lsn, flushed):
        pending = owner.owner_requests.values()
        is_own_entry = any(entry == owner.name for entry, _, _ in pending)
        return is_own_entry and max(flushed.values(), default=0) == lsn

    def isolate():
        _primary_isolated(run)
        _cut(run, [owner], run.members)

    duration_ms = 2 * SHORT_FAULT_MS
    _freeze_before_message(
        run, owner, "polled", has_quorum, duration_ms, isolate
    )


@fault("proxy without log entries, primary killed", WRITES_RESUME)
def _proxy_without_entries(run):
    """Drop the log entries sent to a proxy, but not its renewals.

    Its lease ends only because the leader no longer extends it.
    """
    proxies = [p for p in run.proxies if p is not run.owner]
    proxy = run.world.rng.choice(proxies)
    proxy.on_entries = lambda relay, after_index, entries: None
    run.call_after(LONG_FAULT_MS, proxy.__dict__.pop, "on_entries", None)
    _primary_killed(run)
