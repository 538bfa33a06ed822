"""Guards the rules of a change of primary by exhaustive search."""

import pytest

from waxwinglift_bench.version._model_failover import check_mutation
from waxwinglift_bench.version._model_failover import check_scenario
from waxwinglift_bench.version._model_failover import MUTATIONS
from waxwinglift_bench.version._model_failover import SCENARIOS


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_rules_keep_every_invariant(scenario):
    result = check_scenario(scenario)
    assert result["exhaustive"]
    assert all(p["holds"] is True for p in result["properties"].values())


@pytest.mark.parametrize("mutation", MUTATIONS)
def test_each_rule_is_needed(mutation):
    # A specification that holds without a rule would not notice its loss in
    # the code either.
    properties = check_mutation(mutation)["properties"].values()
    traces = [p["counterexample"] for p in properties if not p["holds"]]
    assert traces
    assert len(traces[0]) > 1
