"""Specification of a change of primary, for an explicit-state checker.

The model has one group of three servers (0 is the primary, 1 and 2 are its
replicas), two proxies with one write each, and control.  A crashed or
isolated server or proxy is modelled by transitions that do not occur.  The
search therefore covers any number of such failures in any order, and a change
of primary without a failure.  Two failures change the state and happen at
most once each: a change of control leader, which loses the progress within
the current phase, and a late action of the former leader, which undoes a
fence.

Time is not modelled: a lease may expire at any moment, and the leader treats
it as expired only after the daemon does.  Leases of proxies that have applied
the raised term never expire in the model, which only permits more behaviour.

Bounds: 80,000 states for each search (66,527 are reached as specified), and
200,000 states in 15 s for both scenarios and all mutations.
"""

from minicheck import check_safety
from minicheck import Protocol

from waxwinglift_bench.version._model_failover_transitions import ACKNOWLEDGED
from waxwinglift_bench.version._model_failover_transitions import ACTIVE
from waxwinglift_bench.version._model_failover_transitions import OLD_PRIMARY
from waxwinglift_bench.version._model_failover_transitions import OLD_VIEW
from waxwinglift_bench.version._model_failover_transitions import REPLACED
from waxwinglift_bench.version._model_failover_transitions import State
from waxwinglift_bench.version._model_failover_transitions import TRANSITIONS

MAX_STATES_COUNT = 80_000

# Each mutation disables one rule and is named after the resulting behaviour.
# The scenario, the number of leader changes and the number of late actions of
# a former leader are the smallest that give a counterexample.
MUTATIONS = {
    "no_lease_wait": ("first_change", 0, 0),
    "positions_read_before_fencing": ("first_change", 0, 0),
    "positions_read_before_lease_wait": ("first_change", 0, 1),
    "acknowledge_at_once": ("first_change", 0, 0),
    "acknowledge_without_lease": ("first_change", 0, 0),
    "acknowledge_in_ended_term": ("first_change", 0, 0),
    "fence_a_minority": ("first_change", 0, 0),
    "choose_by_offset_only": ("straggler", 0, 0),
    "extend_leases_behind_the_raise": ("first_change", 0, 0),
    "new_leader_skips_lease_wait": ("first_change", 1, 0),
    "grant_without_quorum": ("first_change", 1, 0),
    "leader_ends_lease_before_daemon": ("first_change", 0, 0),
}


FIELDS = State._fields

SCENARIOS = {
    "first_change": State(
        step=ACTIVE,
        logs=((), (), ()),
        timelines=(1, 1, 1),
        upstreams=(None, 0, 0),
    ),
    # Server 2 was isolated during an earlier change of primary.  Its log has
    # more writes than the others, all of the older term and unacknowledged.
    "straggler": State(
        step=ACTIVE,
        logs=((), (), ("x", "y", "z")),
        timelines=(2, 2, 1),
        upstreams=(None, 0, None),
        late_actions_count=0,
    ),
}


def _has_no_lost_write(values):
    """Check that the current primary has every acknowledged write."""
    primary = values["chosen"] if values["step"] == REPLACED else OLD_PRIMARY
    log = values["logs"][primary]
    return all(
        write != ACKNOWLEDGED or proxy in log
        for proxy, write in enumerate(values["writes"])
    )


def _has_no_late_write(values):
    """Check that no write is acknowledged after its primary was replaced.

    This is invariant 2 of docs/design.md.
    """
    return not values["is_late"]


def _has_at_most_one_primary(values):
    """Check that no leased proxy uses the old primary after the change."""
    is_old_used = any(
        has_lease and view == OLD_VIEW
        for has_lease, view in zip(
            values["has_lease"], values["views"], strict=True
        )
    )
    return not (is_old_used and values["step"] == REPLACED)


INVARIANTS = {
    "no acknowledged write is lost": _has_no_lost_write,
    "no write is acknowledged by a replaced primary": _has_no_late_write,
    "at most one usable primary": _has_at_most_one_primary,
}


def _protocol(name, initial, mutation):
    violated = []

    def transitions(values):
        state = State(*values)
        if mutation is not None and not violated:
            # With a mutation, one violation is enough to end the search.
            fields = dict(zip(FIELDS, values, strict=True))
            violated.extend(
                p for p, holds in INVARIANTS.items() if not holds(fields)
            )
        if violated:
            return []
        return [
            (label, after)
            for function in TRANSITIONS
            for label, after in function(state, mutation)
            if after != state
        ]

    return Protocol(
        name=name,
        candidate=False,
        fields=FIELDS,
        initial=initial,
        transitions=transitions,
        invariants=INVARIANTS,
    )


def check_scenario(scenario):
    """Check a scenario with all rules and return the checker's result."""
    protocol = _protocol(scenario, SCENARIOS[scenario], None)
    return check_safety(protocol, max_states=MAX_STATES_COUNT)


def check_mutation(mutation):
    """Check with one rule disabled and return the checker's result."""
    scenario, leader_changes_count, late_actions_count = MUTATIONS[mutation]
    initial = SCENARIOS[scenario]._replace(
        leader_changes_count=leader_changes_count,
        late_actions_count=late_actions_count,
    )
    protocol = _protocol(mutation, initial, mutation)
    return check_safety(protocol, max_states=MAX_STATES_COUNT)
