"""Tests of the workspaces command."""

from click.testing import CliRunner
import pytest

from waxwinglift.process import cli
from waxwinglift.process.cli import _client
from waxwinglift.process.rpc import control_pb2
from waxwinglift.version import FleetState
from waxwinglift.version._entry_codec import encode_fleet
from waxwinglift.version._workspaces import WorkspaceSettings
from waxwinglift.version._workspaces import digest_key


def _fetch_status(addresses):
    fleet = FleetState()
    key = digest_key(b"secret")
    fleet.set_workspace(WorkspaceSettings("acme", (key,), 12.5, 30.0))
    fleet.set_workspace(WorkspaceSettings("birch", ()))
    return control_pb2.StatusReply(fleet=encode_fleet(fleet))


@pytest.mark.parametrize(
    ("names", "exit_code", "expected"),
    [
        ((), 0, ["acme", "12.5/s, burst 30", "birch", "keys none, no limit"]),
        (("birch",), 0, ["birch"]),
        (("other", "acme"), 1, ["unknown workspaces: other"]),
    ],
)
def test_workspaces_are_shown_without_their_keys(
    monkeypatch, names, exit_code, expected
):
    # Operators find a refused caller by the fingerprint in the log; the key
    # must not appear anywhere.
    monkeypatch.setattr(_client, "fetch_status", _fetch_status)
    arguments = ["-c", "127.0.0.1:1", "workspaces", *names]
    result = CliRunner().invoke(cli.operator, arguments)
    assert result.exit_code == exit_code, result.output
    assert all(text in result.output for text in expected)
    assert "secret" not in result.output
