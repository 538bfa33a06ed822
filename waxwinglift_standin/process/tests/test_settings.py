"""Tests that an invalid settings file is refused with a clear message."""

import click.testing
import pytest
import tomli_w

from waxwinglift_standin.process import main

VALID = {
    "id": "a",
    "group": "g",
    "address": {"host": "127.0.0.1", "port": 0},
    "data_centre": "d",
    "region": "r",
}


def check_settings(tmp_path, content):
    path = tmp_path / "server.toml"
    path.write_text(tomli_w.dumps(content), encoding="utf-8")
    runner = click.testing.CliRunner()
    return runner.invoke(main, [str(path), "--check-config"])


def test_valid_settings_are_accepted(tmp_path):
    result = check_settings(tmp_path, VALID)
    assert result.exit_code == 0
    assert "settings are valid" in result.output


@pytest.mark.parametrize(
    ("change", "texts"),
    [
        ({"slot_count": 3}, ["slot_count: unknown key"]),
        ({"slots_count": 0}, ["slots_count", "allowed: 1 to 1000"]),
        ({"id": ""}, ["id:", "allowed: 1 to 63 characters"]),
        ({"initial_role": "x"}, ["initial_role", "primary, replica"]),
        ({"faults": {"melt": "on"}}, ["faults", 'unknown fault "melt"']),
        ({"address": {"host": "localhost", "port": 1}}, ["address.host"]),
        ({"control_addresses": [{"host": "127.0.0.1", "port": 70000}]},
         ["control_addresses.0.port", "allowed: 0 to 65535"]),
        ({"primary_address": {"host": "127.0.0.1", "port": -1}},
         ["primary_address.port", "allowed: 0 to 65535"]),
    ],
)  # fmt: skip
def test_invalid_settings_are_refused(tmp_path, change, texts):
    # If invalid keys were ignored, the server would run with other settings.
    result = check_settings(tmp_path, VALID | change)
    assert result.exit_code == 1
    assert "server.toml" in result.output
    for text in texts:
        assert text in result.output


@pytest.mark.parametrize(
    ("content", "text"),
    [("id = ", "Invalid value"), (None, "No such file")],
)
def test_unreadable_file_is_refused(tmp_path, content, text):
    path = tmp_path / "server.toml"
    if content is not None:
        path.write_text(content, encoding="utf-8")
    runner = click.testing.CliRunner()
    result = runner.invoke(main, [str(path), "--check-config"])
    assert result.exit_code == 1
    assert text in result.output
