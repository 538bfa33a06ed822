"""Specification of the configuration log for an explicit-state checker.

Five state machines are explored exhaustively.  Disabling any rule of
``Rules`` must lead to a violation.

``log``
    Elections, appends, commits and crashes of three voters in three terms.
    Each leader appends exactly one entry, so an entry is identified by its
    term and a log is a tuple of terms.  Elections and appends are atomic; the
    step ``crash`` discards whatever a crash in the middle of one could lose.
``diverged``
    Starts from a reachable state of ``log`` in which two leaders have
    appended their entries to their own logs only; two more terms follow.
``daemon``
    Like ``log`` with two terms, plus a daemon that may follow any member.
``repair``
    Like ``log`` with two terms, plus a learner whose promotion is a second
    kind of entry.
``edits``
    Two operators edit the same version and resend their edits.  One replica
    applies the complete log, the other restores from a snapshot of any age.

Timing (leases, pre-votes, check-quorum) is not modelled; the simulations in
the tests of ``waxwinglift.version`` and the fault tables cover it.  Each
machine must have fewer than 200,000 states; the largest, ``repair``, has about
22,000.
"""

import dataclasses

from minicheck import check_safety
from minicheck import Protocol

from waxwinglift_bench.version._model_edits import EDIT_PROPERTIES
from waxwinglift_bench.version._model_edits import Edits
from waxwinglift_bench.version._model_edits import EditsMachine
from waxwinglift_bench.version._model_group import Group
from waxwinglift_bench.version._model_group import GROUP_BOUNDS
from waxwinglift_bench.version._model_group import GROUP_PROPERTIES
from waxwinglift_bench.version._model_group import GroupMachine

STATES_LIMIT_COUNT = 200_000


def _is_not_violated(name):
    return lambda state: state["violation"] != name


def _group_protocol(name, bounds, rules):
    machine = GroupMachine(bounds, rules)
    return Protocol(
        name=name,
        candidate=False,
        fields=Group._fields,
        initial=tuple(machine.initial),
        transitions=machine.steps,
        invariants={p: _is_not_violated(p) for p in GROUP_PROPERTIES},
    )


def build_protocol(name, rules):
    """Return the state machine ``name`` with the given rules."""
    if name in GROUP_BOUNDS:
        return _group_protocol(name, GROUP_BOUNDS[name], rules)
    machine = EditsMachine(rules)
    return Protocol(
        name=name,
        candidate=False,
        fields=Edits._fields,
        initial=tuple(machine.initial),
        transitions=machine.steps,
        invariants=EDIT_PROPERTIES,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ModelReport:
    """Result of exploring a state machine.

    ``violations`` maps each violated property to the step labels of a
    shortest counterexample.
    """

    states_count: int
    is_exhaustive: bool
    violations: dict


def check_model(name, rules, states_limit_count=STATES_LIMIT_COUNT):
    """Explore the state machine ``name`` and return a ModelReport."""
    protocol = build_protocol(name, rules)
    outcome = check_safety(protocol, max_states=states_limit_count)
    violations = {
        property_name: [step["label"] for step in result["counterexample"]]
        for property_name, result in outcome["properties"].items()
        if result["holds"] is False
    }
    return ModelReport(
        outcome["reachable_states"], outcome["exhaustive"], violations
    )
