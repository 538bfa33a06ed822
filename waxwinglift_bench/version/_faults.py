"""Faults of the fault tables.

Each takes the run, picks its victims from the state at that moment and
schedules its own end.
"""

from collections.abc import Callable
import dataclasses

RESUMES = "writes resume within 3 s; none is lost or doubled"
WRITES_CONTINUE = "writes go on; none is lost or doubled"
FENCED = "a replaced primary confirms nothing"
LEASED = "a proxy without a lease confirms nothing"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault, and the promise that it puts to the test."""

    name: str
    promise: str
    apply: Callable


FAULTS = {}

# Longer than a lease with margin and a change of primary.
LONG_MS = 3500.0
SHORT_MS = 1000.0


def fault(name, promise):
    """Register a fault under the name that the table prints."""

    def register(function):
        FAULTS[name] = Fault(name, promise, function)
        return function

    return register


def _names(nodes):
    return [node.name for node in nodes]


def _cut(run, first, second, duration_ms=LONG_MS):
    pairs = (_names(first), _names(second))
    run.world.cut(*pairs)
    run.after(duration_ms, run.world.heal, *pairs)


def _kill(run, node, duration_ms=LONG_MS):
    node.kill()
    run.after(duration_ms, node.restart)


def _freeze(run, node, duration_ms):
    node.freeze()
    run.after(duration_ms, node.thaw)


@fault("primary killed", RESUMES)
def _primary_killed(run):
    _kill(run, run.primary)


@fault("old primary returns", FENCED)
def _old_primary_returns(run):
    """Back before, during or after the change."""
    _kill(run, run.primary, run.world.rng.uniform(300.0, 1500.0))


@fault("primary frozen", RESUMES)
def _primary_frozen(run):
    _freeze(run, run.primary, LONG_MS)


@fault("primary frozen briefly", FENCED)
def _primary_frozen_briefly(run):
    _freeze(run, run.primary, SHORT_MS)


@fault("primary cut from replicas", RESUMES)
def _primary_cut_from_replicas(run):
    _cut(run, [run.primary], run.replicas())


@fault("primary cut from control", WRITES_CONTINUE)
def _primary_cut_from_control(run):
    _cut(run, [run.primary], run.members)


@fault("primary cut from proxies", RESUMES)
def _primary_cut_from_proxies(run):
    _cut(run, [run.primary], run.proxies)


@fault("primary cut from its owner", RESUMES)
def _primary_cut_from_owner(run):
    _cut(run, [run.primary], [run.owner])


@fault("primary isolated", FENCED)
def _primary_isolated(run):
    others = [*run.members, *run.proxies, *run.replicas()]
    _cut(run, [run.primary], others)


@fault("replica lagging", WRITES_CONTINUE)
def _replica_lagging(run):
    replica = run.world.rng.choice(run.replicas())
    replica.replay_delay_ms = 400.0
    run.after(LONG_MS, setattr, replica, "replay_delay_ms", 0.0)


@fault("replica killed", WRITES_CONTINUE)
def _replica_killed(run):
    _kill(run, run.world.rng.choice(run.replicas()))


@fault("primary leaves", RESUMES)
def _primary_leaves(run):
    server = run.primary
    server.is_leaving = True
    run.after(LONG_MS, setattr, server, "is_leaving", False)


@fault("owner killed", RESUMES)
def _owner_killed(run):
    _kill(run, run.owner)


@fault("owner frozen", LEASED)
def _owner_frozen(run):
    _freeze(run, run.owner, 2 * SHORT_MS)


@fault("owner cut from control", LEASED)
def _owner_cut_from_control(run):
    _cut(run, [run.owner], run.members)


@fault("control leader killed", WRITES_CONTINUE)
def _leader_killed(run):
    _kill(run, run.leader)


@fault("control leader frozen", LEASED)
def _leader_frozen(run):
    _freeze(run, run.leader, 2 * SHORT_MS)


@fault("control leader cut from the others", LEASED)
def _leader_cut(run):
    others = [m for m in run.members if m is not run.leader]
    _cut(run, [run.leader], others)


@fault("control leader loses its disk", WRITES_CONTINUE)
def _leader_loses_disk(run):
    """It must not come back under its name: it has forgotten its votes."""
    run.leader.lose_disk()


@fault("data centre of the primary lost", RESUMES)
def _data_centre_lost(run):
    data_centre = run.primary.data_centre
    for node in [*run.members, *run.proxies, *run.servers]:
        if node.data_centre == data_centre:
            _kill(run, node)


@fault("regions cut from each other", RESUMES)
def _regions_cut(run):
    nodes = [*run.members, *run.proxies, *run.servers]
    south = [n for n in nodes if n.data_centre == "c"]
    _cut(run, south, [n for n in nodes if n.data_centre != "c"])


def _freeze_at_answer(run, node, name, is_due, duration_ms, then):
    """Freeze ``node`` just before it executes a message that is due.

    The message waits; it is executed first when the node thaws.  ``then``
    is called when the node freezes.
    """
    execute = node.execute

    def execute_until_due(action, *arguments):
        handler = getattr(node, f"on_{name}")
        if action == handler and is_due(*arguments):
            node.__dict__.pop("execute", None)
            _freeze(run, node, duration_ms)
            then()
        execute(action, *arguments)

    node.execute = execute_until_due


def _freeze_entry_with_answer(run, then):
    """Freeze an entry proxy that is about to pass a confirmed answer on."""
    entries = [p for p in run.proxies if p.is_usable and p is not run.owner]
    entry = run.world.rng.choice(entries)

    def is_confirmed(owner, number, verdict, term, position):
        return verdict == "ok"

    # Most leases of 1000 ms that are renewed every 250 ms still run then.
    _freeze_at_answer(run, entry, "answer", is_confirmed, 800.0, then)


@fault("entry proxy frozen with an answer, primary isolated", LEASED)
def _entry_frozen_with_answer(run):
    """The answer is confirmed shortly before the lease ends."""
    _freeze_entry_with_answer(run, lambda: _primary_isolated(run))


@fault("entry proxy frozen with an answer, primary and leader lost", LEASED)
def _entry_frozen_leader_lost(run):
    """The new leader does not know of the lease from any renewal."""

    def lose():
        _primary_isolated(run)
        _leader_killed(run)

    _freeze_entry_with_answer(run, lose)


@fault("owner frozen with an answer, primary isolated", LEASED)
def _owner_frozen_with_answer(run):
    """The poll that confirms an answer is handled after the change.

    Without entries of the log the owner has its lease alone to go by.
    """
    owner = run.owner

    def is_confirming(server, timeline, lsn, flushed):
        numbers = owner.owner_requests.values()
        has_own = any(entry == owner.name for entry, _, _ in numbers)
        return has_own and max(flushed.values(), default=0) == lsn

    def isolate():
        _primary_isolated(run)
        _cut(run, [owner], run.members)

    duration_ms = 2 * SHORT_MS
    _freeze_at_answer(
        run, owner, "polled", is_confirming, duration_ms, isolate
    )


@fault("proxy without log entries, primary killed", RESUMES)
def _proxy_without_entries(run):
    """Its renewals pass, so only the leader can end its lease."""
    proxies = [p for p in run.proxies if p is not run.owner]
    proxy = run.world.rng.choice(proxies)
    proxy.on_entries = lambda relay, after_index, entries: None
    run.after(LONG_MS, proxy.__dict__.pop, "on_entries", None)
    _primary_killed(run)
