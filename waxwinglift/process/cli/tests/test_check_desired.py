"""Guards exit codes and reports of the check of a desired state."""

import json

from click.testing import CliRunner
import pydantic
import pytest

from waxwinglift.process import cli
from waxwinglift.process.cli import _client
from waxwinglift.process.rpc import control_pb2
from waxwinglift.version import FleetState
from waxwinglift.version._desired import DesiredStateRequest
from waxwinglift.version._entry_codec import encode_fleet
from waxwinglift.version.tests.test_desired import plan_and_apply
from waxwinglift.version.tests.test_desired import pool
from waxwinglift.version.tests.test_desired import request

ROUTE = {
    "name": "r-1",
    "host": "a",
    "kind": "primary",
    "timeoutMs": 800,
    "targetLatencyMs": 400,
    "priority": 0,
    "service": "g",
}
PLATFORM = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "g", "maxConns": 23}],
}
# Another path prefix does not make it another pool.
SECOND_ROUTE = ROUTE | {"name": "r-2", "pathPrefix": "/b"}
PRODUCT = pydantic.TypeAdapter(DesiredStateRequest).dump_python(
    request(7, pool("a")), mode="json"
)
BARE_PRODUCT = {k: v for k, v in PRODUCT.items() if k != "document"}


def run(folder, document, *options, control=()):
    """Run the command on a document and return its result."""
    path = folder / "state.json"
    if document is not None:
        text = document if isinstance(document, str) else json.dumps(document)
        path.write_text(text)
    arguments = [*control, "check-config", "desired", str(path), *options]
    return CliRunner().invoke(cli.operator, arguments)


@pytest.mark.parametrize(
    ("document", "exit_code", "text"),
    [
        (PLATFORM, 0, "valid desired state 7"),
        (PRODUCT, 0, "valid desired state 7"),
        (BARE_PRODUCT, 0, "valid desired state 7"),
        (PLATFORM | {"version": 0}, 1, "version"),
        (PLATFORM | {"routes": [ROUTE, ROUTE]}, 1, "two routes"),
        (
            PLATFORM | {"routes": [ROUTE, SECOND_ROUTE]},
            1,
            "never matches: pool a: is listed 2 times",
        ),
        (PRODUCT | {"groups": [{}]}, 1, "groups.0.group"),
        ({"pools": 1}, 1, "invalid: file"),
        ("{", 1, "not JSON"),
        ("[" * 100_000, 1, "not JSON"),
        (None, 2, "cannot be read"),
    ],
)
def test_file_is_checked(tmp_path, document, exit_code, text):
    """Operators' scripts depend on the exit codes."""
    result = run(tmp_path, document)
    assert result.exit_code == exit_code, result.output
    assert text in result.output


def test_json_is_only_for_desired_states(tmp_path):
    arguments = ["check-config", "proxy", str(tmp_path), "--json"]
    assert CliRunner().invoke(cli.operator, arguments).exit_code == 2


@pytest.mark.parametrize(
    ("version", "exit_code", "kinds"), [(8, 0, []), (7, 1, ["outdated"])]
)
def test_file_is_compared_with_the_state_in_force(
    tmp_path, monkeypatch, version, exit_code, kinds
):
    fleet = FleetState()
    plan_and_apply(fleet, request(7, pool("a", 900), pool("b")))

    def fetch_status(addresses):
        return control_pb2.StatusReply(fleet=encode_fleet(fleet))

    monkeypatch.setattr(_client, "fetch_status", fetch_status)
    document = PRODUCT | {"version": version}
    control = ["-c", "127.0.0.1:1"]
    result = run(tmp_path, document, "--json", control=control)
    assert result.exit_code == exit_code, result.output
    report = json.loads(result.output)
    assert report["version_in_force"] == 7
    assert [one["kind"] for one in report["problems"]] == kinds
    assert report["changes"] == [
        {"kind": "changed", "entry": "pool a"},
        {"kind": "removed", "entry": "pool b"},
    ]


def test_unreachable_control_is_an_error(tmp_path):
    result = run(tmp_path, PLATFORM, control=["-c", "127.0.0.1:1"])
    assert result.exit_code == 1
    assert "no control daemon answered" in result.output
