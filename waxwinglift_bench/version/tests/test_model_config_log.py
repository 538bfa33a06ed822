"""Tests that the log model holds and that it depends on each rule."""

import dataclasses

import pytest

from waxwinglift_bench.version import _model_config_log as model
from waxwinglift_bench.version._model_rules import Rules

RULES = Rules()
# Each violation below is found within this number of states.
SEARCH_LIMIT_COUNT = 8_000

MUTATIONS = [
    ("persists_votes", "diverged", "one_leader_per_term"),
    ("votes_once", "diverged", "one_leader_per_term"),
    ("votes_for_complete_log", "diverged", "committed_entry_kept"),
    ("syncs_before_confirming", "daemon", "committed_entry_kept"),
    ("commits_own_term_only", "diverged", "committed_entry_kept"),
    ("checks_previous_entry", "diverged", "committed_entry_kept"),
    ("counts_majority", "diverged", "committed_entry_kept"),
    ("daemon_applies_higher_only", "daemon", "daemon_never_goes_back"),
    ("counts_voters_only", "repair", "committed_entry_kept"),
    ("promotes_caught_up_only", "repair", "promoted_member_holds_committed"),
    ("answers_resend_once", "edits", "edit_takes_effect_once"),
    ("keeps_answers_in_snapshot", "edits", "answers_agree"),
    ("compares_version", "edits", "one_edit_of_a_version_wins"),
]


@pytest.mark.parametrize("name", [*model.GROUP_BOUNDS, "edits"])
def test_model_has_no_violation_with_all_rules(name, record_property):
    # Guards against a wrong rule, and against a search that ends at its limit.
    report = model.check_model(name, RULES)
    record_property("states_count", report.states_count)
    assert report.is_exhaustive
    assert report.violations == {}
    assert 500 < report.states_count < model.STATES_LIMIT_COUNT


@pytest.mark.parametrize(("rule", "name", "violated"), MUTATIONS)
def test_disabled_rule_gives_a_counterexample(rule, name, violated):
    # If disabling a rule causes no violation, the model does not cover it.
    rules = dataclasses.replace(RULES, **{rule: False})
    report = model.check_model(name, rules, SEARCH_LIMIT_COUNT)
    trace = report.violations[violated]
    assert len(trace) > 1


def test_every_rule_has_a_mutation():
    # Guards against a new rule whose absence no test would detect.
    names = {field.name for field in dataclasses.fields(Rules)}
    assert {rule for rule, _, _ in MUTATIONS} == names


def test_diverged_start_is_reachable():
    # To save states, "diverged" starts from a later state, which must be
    # reachable in "log".
    protocol = model.build_protocol("log", RULES)
    wanted = model.GROUP_BOUNDS["diverged"].replicas
    seen = {protocol.initial}
    states = [protocol.initial]
    while states and all(state[0] != wanted for state in states):
        following = {
            s for state in states for _, s in protocol.transitions(state)
        }
        states = list(following - seen)
        seen |= following
    assert states
