"""Specification of consecutive changes of primary.

The model has a group of four servers, the smallest group that can lose two
servers and choose a primary again: the quorum is three, and two servers must
be fenced.  As in `_model_failover`, a crashed or isolated server is modelled
by transitions that do not occur.  The search therefore covers the loss of a
chosen server before or after its promotion, and a promotion that runs long
after the group has chosen another server.  Leases, the order of fencing and
reading, and changes of control leader are covered by `_model_failover` only.

Floors are compared with the function that the owners use.

Bound: 120,000 states for each search (77,397 are reached as specified).
"""

from minicheck import check_safety
from minicheck import Protocol

from waxwinglift.request._floors import check_floor
from waxwinglift.request._floors import FloorState
from waxwinglift.version import Position
from waxwinglift_bench.version import (
    _model_failover_chain_transitions as chain,
)

MAX_STATES_COUNT = 120_000

FIELDS = chain.State._fields

SCENARIOS = {
    # Two consecutive changes, starting from an active primary.
    "two_changes": chain.State(
        step=chain.ACTIVE,
        term=1,
        primary=0,
        logs=((),) * 4,
        upstreams=(chain.NO_SERVER, 0, 0, 0),
        in_recovery=(False, True, True, True),
        strays_count=0,
    ),
    # Server 1 was chosen and may be lost before or after its promotion.  The
    # former primary 0 was rebuilt and is in recovery, without an upstream.
    # Two more changes follow.
    "chosen_server_lost": chain.State(
        step=chain.PROMOTING,
        term=2,
        primary=1,
        logs=((),) * 4,
        upstreams=(chain.NO_SERVER,) * 4,
        in_recovery=(True,) * 4,
        ends=((1, 0),),
        requested=((2, 1),),
    ),
}

# Each mutation disables one rule and is named after the resulting behaviour.
# All of them give a counterexample in "chosen_server_lost".  The values, which
# replace bounds of the scenario, are the smallest that suffice.
MUTATIONS = {
    "fence_a_promoted_server": {"rebuilds_count": 0},
    "leave_out_a_later_term": {"terms_count": 1},
    "leave_out_the_given_up_server": {},
    "compare_timelines_with_terms": {"strays_count": 0},
}


def _acknowledged_writes(state):
    return [
        (number, write)
        for number, write in enumerate(state.writes)
        if write.is_acknowledged
    ]


def _has_no_lost_write(state, mutation):
    """Check that the current primary has every acknowledged write."""
    log = state.logs[state.primary]
    return all(
        chain.contains_write(log, number)
        for number, _ in _acknowledged_writes(state)
    )


def _position(state, mutation, server):
    log = state.logs[server]
    timeline = chain.timeline_of(log)
    if server == state.primary:
        return Position(state.term, chain.end_of(log))
    if mutation == "compare_timelines_with_terms":
        return Position(min(state.term, timeline), chain.end_of(log))
    return Position(chain.term_of(state, timeline) or 0, chain.end_of(log))


def _are_floors_met(state, mutation):
    """Check the floors of the acknowledged writes.

    A server that meets a floor must have the write, and the primary must meet
    every floor.
    """
    if state.step != chain.ACTIVE:
        return True
    ends = dict(state.ends)
    for number, write in _acknowledged_writes(state):
        floor = Position(write.term, write.end)
        for server in chain.SERVERS:
            is_primary = server == state.primary
            if not (state.in_recovery[server] or is_primary):
                continue
            position = _position(state, mutation, server)
            floor_state = check_floor(floor, position, ends)
            has_write = chain.contains_write(state.logs[server], number)
            if floor_state is FloorState.MET and not has_write:
                return False
            if is_primary and floor_state is not FloorState.MET:
                return False
    return True


INVARIANTS = {
    "no acknowledged write is lost": _has_no_lost_write,
    "each floor is met": _are_floors_met,
}


def _protocol(name, initial, mutation):
    violated = []

    def bind(holds):
        return lambda values: holds(chain.State(**values), mutation)

    def transitions(values):
        state = chain.State(*values)
        if mutation is not None and not violated:
            # With a mutation, one violation is enough to end the search.
            met = [holds(state, mutation) for holds in INVARIANTS.values()]
            violated.extend(is_met for is_met in met if not is_met)
        if violated:
            return []
        return [
            (label, chain.canonical(after))
            for function in chain.TRANSITIONS
            for label, after in function(state, mutation)
            if after != state
        ]

    return Protocol(
        name=name,
        candidate=False,
        fields=FIELDS,
        initial=initial,
        transitions=transitions,
        invariants={n: bind(h) for n, h in INVARIANTS.items()},
    )


def check_scenario(scenario):
    """Check a scenario with all rules and return the checker's result."""
    protocol = _protocol(scenario, SCENARIOS[scenario], None)
    return check_safety(protocol, max_states=MAX_STATES_COUNT)


def check_mutation(mutation):
    """Check with one rule disabled and return the checker's result."""
    initial = SCENARIOS["chosen_server_lost"]
    initial = initial._replace(**MUTATIONS[mutation])
    protocol = _protocol(mutation, initial, mutation)
    return check_safety(protocol, max_states=MAX_STATES_COUNT)
