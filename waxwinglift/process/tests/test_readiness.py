"""Tests of the state that a proxy reports to load balancers."""

import pathlib

from opentelemetry import trace
import pytest

from waxwinglift.connection import HealthState
from waxwinglift.process import _settings
from waxwinglift.process._data_path_types import NoMetrics
from waxwinglift.process._proxy import ProxyService
from waxwinglift.process._readiness import check_readiness
from waxwinglift.version import LogIndex
from waxwinglift.version._leases import DaemonLease
from waxwinglift.version._workspaces import WorkspaceSettings
from waxwinglift.version._workspaces import digest_key

_EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "proxy.toml"


@pytest.mark.parametrize(
    ("arguments", "reason"),
    [
        ((False, True, {HealthState.UP}), "ready"),
        ((False, True, ()), "ready"),
        ((True, True, {HealthState.UP}), "draining"),
        ((False, False, {HealthState.UP}), "no lease"),
        ((False, True, {HealthState.DOWN}), "no endpoint answers"),
        (
            (False, True, (), True),
            "control and a primary cannot be reached",
        ),
        (
            (False, True, (), False, True),
            "control does not confirm the workspaces' keys",
        ),
    ],
)
def test_reason(arguments, reason):
    # Callers of a proxy that cannot serve them must go to another one.
    readiness = check_readiness(*arguments)
    assert readiness.reason == reason
    assert readiness.is_ready is (reason == "ready")


@pytest.mark.parametrize(
    ("limit_ms", "age_ms", "has_workspaces", "is_ready"),
    [
        (4000.0, 1900.0, True, True),
        (4000.0, 2100.0, True, False),
        (4000.0, float("inf"), True, False),
        (4000.0, 2100.0, False, True),
        (0.0, 60_000.0, True, True),
    ],
)
def test_callers_leave_before_their_keys_are_refused(
    limit_ms, age_ms, has_workspaces, is_ready
):
    # A load balancer notices seconds later; until then every operation of a
    # workspace would be refused.
    loaded = _settings.load_settings(_EXAMPLE, _settings.ProxySettings)
    settings = loaded.ok_value
    entry = settings.entry.model_copy(update={"view_age_limit_ms": limit_ms})
    proxy = ProxyService(
        settings.model_copy(update={"entry": entry}),
        NoMetrics(),
        trace.NoOpTracer(),
    )
    proxy.lease = DaemonLease()
    proxy.lease.is_live = lambda now_ms: True
    proxy.view.age_ms = lambda: age_ms
    proxy.view.fleet.index = LogIndex(1)
    if has_workspaces:
        workspace = WorkspaceSettings("acme", (digest_key(b"k1"),))
        proxy.view.fleet.set_workspace(workspace)
    assert proxy.check_readiness().is_ready is is_ready
