"""Specification of the configuration log for an explicit-state checker.

Five machines are explored completely; each rule of ``Rules`` can be switched
off, which must lead to a violation.

``log``
    Elections, appends, commits and crashes of three voters in three terms.
    A leader appends one entry, its first, so that an entry is named by its
    term and a log is a tuple of terms.  An election and an append are single
    steps; what a crash between their halves may lose is lost by the step
    ``crash``.
``diverged``
    The same from a state of ``log`` in which two leaders have written their
    entries to their own logs only, with two further terms.
``daemon``
    The same in two terms with a daemon that follows any member.
``repair``
    The same in two terms with a learner and its promotion as a second kind
    of entry.
``edits``
    Two operators edit one version and resend; one replica applies the whole
    log, one starts from a snapshot of any age.

Timing (leases, pre-votes, check-quorum) is not modelled here; the simulation
in the tests covers it.  Bound: fewer than 200,000 states for each machine;
the largest, ``repair``, has about 22,000.
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


def _has_no_fault(name):
    return lambda state: state["fault"] != name


def _group_protocol(name, bounds, rules):
    machine = GroupMachine(bounds, rules)
    return Protocol(
        name=name,
        candidate=False,
        fields=Group._fields,
        initial=tuple(machine.initial),
        transitions=machine.steps,
        invariants={p: _has_no_fault(p) for p in GROUP_PROPERTIES},
    )


def build_protocol(name, rules):
    """Return the machine ``name`` under ``rules``."""
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
    """Outcome of a search.

    ``violations`` maps a broken property to the labels of the shortest way
    to it.
    """

    states_count: int
    is_exhaustive: bool
    violations: dict


def check_model(name, rules, states_limit_count=STATES_LIMIT_COUNT):
    """Explore the machine ``name`` and return its report."""
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
