"""Tests of what a process loads before it serves.

After a loss of power every process starts at the same time, and a proxy has a
fraction of a core, so that each module it loads delays the first answer.
"""

import subprocess
import sys

import pytest

_CONTROL_ONLY = (
    "waxwinglift.version._consensus",
    "waxwinglift.version._control_core",
    "waxwinglift.version._failover",
    "waxwinglift.version._log_store",
    "waxwinglift.version._membership",
    "waxwinglift.process._control_node",
    "waxwinglift.platform._control_http",
)
_PROXY_ONLY = (
    "waxwinglift.process._entry_server",
    "waxwinglift.process._owner",
    "waxwinglift.connection._endpoint_pool",
)
_POSTGRESQL = ("pygwire", "waxwinglift.process._postgresql")
_TOOLS = ("opentelemetry.sdk", "hypothesis", "asyncpg", "psycopg")
# Settings are light modules that all roles load.
_ALLOWED = ("waxwinglift.version._failover_settings",)


@pytest.mark.parametrize(
    ("program", "excluded"),
    [
        ("_proxy_program", (*_CONTROL_ONLY, *_POSTGRESQL, *_TOOLS)),
        ("_control_program", (*_PROXY_ONLY, *_POSTGRESQL, *_TOOLS)),
    ],
)
def test_role_loads_no_module_of_another_role(program, excluded):
    code = (
        "import sys, waxwinglift.platform._roles,"
        f" waxwinglift.platform.{program}\n"
        "print(*sys.modules, sep='\\n')"
    )
    run = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = set(run.stdout.split()) - set(_ALLOWED)
    unwanted = sorted(name for name in loaded if name.startswith(excluded))
    assert not unwanted
