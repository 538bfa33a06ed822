"""Tests that the limits of a shutdown fit each other and the grace period."""

import asyncio
import socket
import time
import types

from opentelemetry import trace
import pytest

from waxwinglift.platform import _roles
from waxwinglift.platform.tests.test_settings import _VALUES
from waxwinglift.platform.tests.test_settings import _load
from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process._control_link import ControlLink
from waxwinglift.process._data_path_settings import EntrySettings
from waxwinglift.process._data_path_types import NoMetrics
from waxwinglift.process._entry_server import STOP_TIMEOUT_S
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._settings import ProxyTimingSettings
from waxwinglift.version._leases import DaemonLease
from waxwinglift.version._view_age import ViewAge


@pytest.mark.parametrize("grace_s", [3, 6, 12])
def test_shutdown_with_an_unresponsive_control_fits_the_grace_period(
    tmp_path, grace_s
):
    """The last renewal comes after the drain and may take its time limit.

    The stop of the sessions between them has a limit of its own.
    """
    values = _VALUES | {"bounds": {"graceS": grace_s, "drainMs": 7000}}
    settings = _roles.proxy_settings(_load(tmp_path, values).ok_value)
    # A server that accepts connections and does not answer.
    with socket.create_server(("127.0.0.1", 0)) as control:
        address = Address(*control.getsockname())
        renewed_ms = asyncio.run(_last_renewal_ms(settings, address))
    whole_ms = settings.timing.drain_timeout_ms + 1000 * STOP_TIMEOUT_S
    assert whole_ms + renewed_ms < grace_s * 1000


async def _last_renewal_ms(settings, address):
    """Return the duration of the last renewal of a proxy."""
    view = FleetView(
        DaemonId(settings.daemon), settings.location, lambda: False
    )
    reports = types.SimpleNamespace(
        down_endpoints=lambda: (), released_endpoints=lambda: ()
    )
    link = ControlLink(
        settings.model_copy(update={"control": (address,)}),
        view,
        DaemonLease(),
        ViewAge(),
        reports,
        NoMetrics(),
        trace.NoOpTracer(),
    )
    started_s = time.monotonic()
    await link.on_stop()
    return 1000 * (time.monotonic() - started_s)


def test_default_limit_of_the_whole_drain_includes_the_answers():
    """Defaults must not end the whole drain with its first phase.

    Otherwise statements are cut at the limit for open transactions.
    """
    entry = EntrySettings(token_secret="0" * 32)
    answered_ms = entry.drain_timeout_ms + entry.drain_answer_timeout_ms
    assert answered_ms < ProxyTimingSettings().drain_timeout_ms
