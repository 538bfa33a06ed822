"""Exhaustive search of the model of a server's connections."""

import pytest

from waxwinglift_bench.version import _model_connections as model


def test_connections_stay_within_the_limit_with_all_rules():
    # Guards against a wrong rule, and against a search that ends at its limit.
    result = model.check()
    assert result["exhaustive"]
    assert all(p["holds"] is True for p in result["properties"].values())


@pytest.mark.parametrize("mutation", model.MUTATIONS)
def test_each_mutation_gives_a_counterexample(mutation):
    # A model that holds without a rule could not detect that the code lacks
    # the rule.
    properties = model.check(mutation)["properties"].values()
    traces = [p["counterexample"] for p in properties if not p["holds"]]
    assert traces
    assert len(traces[0]) > 1
