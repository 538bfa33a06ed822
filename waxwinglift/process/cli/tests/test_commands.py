"""Tests exit codes and messages of the commands."""

from click.testing import CliRunner
import pytest

from waxwinglift.process import cli

CONTROL_SETTINGS = """
member = "control-0"
listen = "127.0.0.1:0"
data_folder = "{folder}/data"
[[members]]
member = "control-0"
address = "127.0.0.1:7001"
[location]
data_centre = "dc-1"
region = "region-1"
"""


@pytest.mark.parametrize(
    ("command", "arguments", "exit_code", "text"),
    [
        (cli.operator, ["--help"], 0, "Examples"),
        (cli.operator, ["status"], 2, "--control"),
        (cli.operator, ["-c", "host:1", "status"], 2, "IP address"),
        (cli.operator, ["-c", "127.0.0.1:1", "status"], 1, "no control"),
        (cli.operator, ["schema"], 0, "waxwinglift_idempotency"),
        (cli.operator, ["check-config", "proxy", "absent"], 2, "absent"),
        (cli.proxy, ["absent"], 2, "absent: cannot be read"),
        (cli.control, ["absent"], 2, "absent: cannot be read"),
    ],
)
def test_command_ends_with_code_and_message(
    command, arguments, exit_code, text
):
    # Operators' scripts depend on the exit codes, operators on the messages.
    result = CliRunner().invoke(command, arguments)
    assert result.exit_code == exit_code, result.output
    assert text in result.output


def test_control_with_an_empty_folder_explains_the_options(tmp_path):
    # A traceback would not tell the operator about --found and join.
    path = tmp_path / "control.toml"
    path.write_text(CONTROL_SETTINGS.format(folder=tmp_path))
    result = CliRunner().invoke(cli.control, [str(path)])
    assert result.exit_code == 1
    assert "--found" in result.output
    assert "Traceback" not in result.output
