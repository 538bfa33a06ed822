"""Tests the platform's settings file and the settings derived from it."""

import pytest
from result import Err
import tomli_w

from waxwinglift.platform import _roles
from waxwinglift.platform._settings import load_platform_settings
from waxwinglift.process import Address

_VALUES = {
    "nodeName": "core-ub-a-1",
    "ip": "10.1.0.8",
    "zone": "ub-a",
    "region": "ulaanbaatar",
    "internalPorts": [7440, 7455],
    "seeds": ["10.1.0.11:8782", "10.2.0.8:8782"],
    "bootstrap": True,
    "heartbeatMs": 1200,
    "zones": {"ub-a": "ulaanbaatar"},
    "bindAddrs": {
        "control": "10.1.0.8:8782",
        "frontendAddr": "10.1.0.8:8784",
        "readinessAddr": "10.1.0.8:8785",
    },
    "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
    "bounds": {"graceS": 6, "drainMs": 7000},
    "cloudApi": {"address": "10.200.0.160:8783", "ratePerS": 50.0},
}


def _load(folder, values):
    path = folder / "settings.toml"
    path.write_text(tomli_w.dumps(values), encoding="utf-8")
    return load_platform_settings(path)


def test_seeds_are_reached_at_the_members_port(tmp_path):
    """Seeds have the operators' port; members use another one."""
    platform = _load(tmp_path, _VALUES).ok_value
    assert platform.control_seeds == (
        Address("10.1.0.11", 7440),
        Address("10.2.0.8", 7440),
    )


def test_ports_of_two_processes_differ(tmp_path):
    """Two roles on one machine must not listen on the same port."""
    platform = _load(tmp_path, _VALUES).ok_value
    alone = _VALUES | {"bindAddrs": {"frontendAddr": "10.1.0.8:8784"}}
    proxy = _load(tmp_path, alone).ok_value
    ports = [
        platform.control_listen.port,
        platform.peer_listen.port,
        platform.metrics_listen.port,
        proxy.metrics_listen.port,
    ]
    assert len(set(ports)) == len(ports)


@pytest.mark.parametrize("disks_count, voters_count", [(0, 1), (1, 3), (2, 5)])
def test_majority_remains_after_the_tolerated_losses(
    tmp_path, disks_count, voters_count
):
    """A majority must remain after the losses that must be tolerated."""
    values = _VALUES | {"faultTolerance": {"machines": disks_count}}
    values["dataDir"] = "/data"
    settings = _roles.control_settings(_load(tmp_path, values).ok_value)
    assert settings.membership.voters_count == voters_count


def test_drain_ends_before_the_process_is_killed(tmp_path):
    """Open transactions get the first half of the grace period."""
    settings = _roles.proxy_settings(_load(tmp_path, _VALUES).ok_value)
    assert settings.entry.drain_timeout_ms == 3000
    assert settings.timing.drain_timeout_ms < 6000


@pytest.mark.parametrize(
    ("contracts", "order"),
    [([], "turns"), (["base"], "turns"), (["base", "pool"], "deadline")],
)
def test_contract_selects_the_order_of_admission(tmp_path, contracts, order):
    """A deployment without the contract must keep its behaviour."""
    values = _VALUES | {"contracts": contracts}
    settings = _roles.proxy_settings(_load(tmp_path, values).ok_value)
    assert settings.owner.admission.order == order
    assert settings.owner.admission.wait_fraction == 0.5


@pytest.mark.parametrize("grace_s", [3, 6, 12])
def test_statements_finish_after_the_limit_for_open_transactions(
    tmp_path, grace_s
):
    """Running statements get an answer well after that limit.

    Without a limit of their own, a proxy that stops cuts statements that
    were sent shortly before the half of the grace period.
    """
    values = _VALUES | {"bounds": {"graceS": grace_s, "drainMs": 7000}}
    settings = _roles.proxy_settings(_load(tmp_path, values).ok_value)
    entry = settings.entry
    answered_ms = entry.drain_timeout_ms + entry.drain_answer_timeout_ms
    assert entry.drain_timeout_ms == grace_s * 500
    # A process that was short of processor time was killed before it had
    # answered: the last sixth of the grace period is left for its end.
    assert answered_ms == pytest.approx(grace_s * 1000 * 3 / 4, abs=1)
    drain_ms = settings.timing.drain_timeout_ms
    assert answered_ms < drain_ms <= grace_s * 1000 * 5 / 6


def test_unknown_fields_are_ignored(tmp_path):
    """The platform may add fields at any time."""
    values = _VALUES | {"news": {"a": [1]}, "contracts": ["base"]}
    assert _load(tmp_path, values).is_ok()


@pytest.mark.parametrize(
    "contracts, expected",
    [((), "latency"), (("base",), "latency"), (("base", "pool"), "load")],
)
def test_contract_of_scarce_servers_selects_the_policy(
    tmp_path, contracts, expected
):
    """Other deployments of the platform must keep their behaviour."""
    values = _VALUES | {"contracts": list(contracts)}
    settings = _roles.proxy_settings(_load(tmp_path, values).ok_value)
    assert settings.entry.routing.server_policy == expected


@pytest.mark.parametrize(
    "change, named",
    [
        ({"nodeName": ""}, "nodeName"),
        ({"ip": "somewhere"}, "ip"),
        ({"internalPorts": [7440]}, "internalPorts"),
        ({"seeds": ["10.1.0.11"]}, "seeds"),
        ({"heartbeatMs": 0}, "heartbeatMs"),
        ({"faultTolerance": {"machines": -1}}, "faultTolerance.machines"),
    ],
)
def test_invalid_settings_name_the_field(tmp_path, change, named):
    """The message names the invalid field."""
    loaded = _load(tmp_path, _VALUES | change)
    assert isinstance(loaded, Err)
    assert named in loaded.err_value


def test_missing_and_broken_files(tmp_path):
    """An unreadable file must not cause a traceback."""
    assert load_platform_settings(tmp_path / "none.toml").is_err()
    path = tmp_path / "broken.toml"
    path.write_text("ip = ", encoding="utf-8")
    assert load_platform_settings(path).is_err()


@pytest.mark.parametrize(
    "change, named",
    [
        ({"internalPorts": [7440, 65536]}, "internalPorts"),
        ({"internalPorts": [0, 10]}, "internalPorts"),
        ({"internalPorts": [-1, 10]}, "internalPorts"),
        ({"heartbeatMs": float("inf")}, "heartbeatMs"),
        ({"heartbeatMs": float("nan")}, "heartbeatMs"),
        ({"bounds": {"graceS": float("inf")}}, "bounds.graceS"),
    ],
    ids=[
        "port beyond 16 bits",
        "port 0",
        "negative port",
        "infinite interval",
        "interval that is not a number",
        "infinite grace period",
    ],
)
def test_number_that_cannot_be_used_names_the_field(tmp_path, change, named):
    """The process must not end later in a conversion of the number."""
    loaded = _load(tmp_path, _VALUES | change)
    assert isinstance(loaded, Err)
    assert named in loaded.err_value


def test_deeply_nested_file(tmp_path):
    """A file that is reloaded must not end the process."""
    path = tmp_path / "nested.toml"
    path.write_text("a = " + "[" * 100_000, encoding="utf-8")
    assert load_platform_settings(path).is_err()


@pytest.mark.parametrize(
    ("contracts", "relay_order"),
    [([], "hash"), (["base"], "hash"), (["base", "pool"], "nearest")],
)
def test_bytes_between_regions_are_saved_where_they_are_charged(
    tmp_path, contracts, relay_order
):
    """Other deployments must keep even shares of the relays."""
    platform = _load(tmp_path, _VALUES | {"contracts": contracts}).ok_value
    settings = _roles.proxy_settings(platform)
    assert settings.relay_order == relay_order
    assert settings.compresses_between_regions is (relay_order == "nearest")
