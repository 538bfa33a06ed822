"""Exhaustive search of the models of a change of primary."""

import pytest

from waxwinglift_bench.version import _model_failover as one_change
from waxwinglift_bench.version import _model_failover_chain as chain

MODELS = (one_change, chain)


@pytest.mark.parametrize(
    ("model", "scenario"),
    [(model, name) for model in MODELS for name in model.SCENARIOS],
)
def test_invariants_hold_with_all_rules(model, scenario):
    # Guards against a wrong rule, and against a search that ends at its limit.
    result = model.check_scenario(scenario)
    assert result["exhaustive"]
    assert all(p["holds"] is True for p in result["properties"].values())


@pytest.mark.parametrize(
    ("model", "mutation"),
    [(model, name) for model in MODELS for name in model.MUTATIONS],
)
def test_each_mutation_gives_a_counterexample(model, mutation):
    # A model that holds without a rule could not detect that the code lacks
    # the rule.
    properties = model.check_mutation(mutation)["properties"].values()
    traces = [p["counterexample"] for p in properties if not p["holds"]]
    assert traces
    assert len(traces[0]) > 1
