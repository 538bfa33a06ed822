"""Tests of the limit of a workspace, summed over all proxies.

Guards against a workspace that gets its limit at several proxies: each
counting for itself, or two homes after a failure.
"""

import random

import pytest

from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process import DataCentre
from waxwinglift.process import Location
from waxwinglift.process import Region
from waxwinglift.process._policy_settings import QuotaSettings
from waxwinglift.request._quota import QuotaHome
from waxwinglift.request._quota import QuotaOutcome
from waxwinglift.request._token_bucket import TokenBucket
from waxwinglift.version import FleetState
from waxwinglift.version._fleet import Daemon
from waxwinglift.version._types import DaemonState
from waxwinglift.version._types import WorkspaceName
from waxwinglift.version._workspace_homes import WorkspaceHomes
from waxwinglift.version._workspaces import WorkspaceSettings

_WORKSPACE = WorkspaceName("acme")
_SETTINGS = QuotaSettings(
    window_ms=5000, overage_ratio=0.1, slack_count=20, takeover_ms=3750
)
_LOCATION = Location(DataCentre("a"), Region("r"))
# Time until control removes a proxy that it does not hear from, and time for
# which such a proxy still accepts callers.
_REMOVAL_MS = 2200.0
_CUT_OFF_MS = 3750.0


def _limit_count(rate_per_s, burst_count):
    allowed_count = rate_per_s * 5 + burst_count
    return allowed_count * 1.1 + 20


def _largest_window(times_ms):
    """Return the largest number of operations in 5 s."""
    largest, first = 0, 0
    for last, time_ms in enumerate(times_ms):
        while times_ms[first] <= time_ms - 5000:
            first += 1
        largest = max(largest, last - first + 1)
    return largest


class _Proxy:
    """A proxy's copy of the fleet and its counts."""

    def __init__(self, name, cluster):
        self.name = DaemonId(name)
        self.cluster = cluster
        self.fleet = FleetState()
        self.is_up = True
        self.is_cut_off = False
        self._homes = WorkspaceHomes(
            lambda: self.fleet, lambda: cluster.now_ms
        )
        self.quota_home = QuotaHome(self.name, _SETTINGS, self._homes)

    def homes(self):
        return self._homes.find(_WORKSPACE)

    def take(self):
        now_ms = self.cluster.now_ms
        return self.quota_home.take(self.fleet, _WORKSPACE, now_ms).outcome

    def update(self, daemons, limit):
        self.fleet.daemons = dict(daemons)
        self.fleet.set_workspace(limit)
        self._homes.update()


class _Cluster:
    """Proxies whose views follow the control log after a few ms."""

    def __init__(self, rate_per_s, count=20):
        self.now_ms = 0.0
        self.rate_per_s = rate_per_s
        self.granted_ms = []
        self.asked_count = 0
        self.daemons = {}
        self.proxies = {}
        for number in range(count):
            proxy = _Proxy(f"p{number}", self)
            self.proxies[proxy.name] = proxy
            self.join(proxy.name)
        self.publish()

    @property
    def limit(self):
        return WorkspaceSettings(
            _WORKSPACE, (), self.rate_per_s, self.rate_per_s
        )

    def join(self, name, state=DaemonState.ACTIVE):
        address = Address("127.0.0.1", 1)
        self.daemons[name] = Daemon(name, address, _LOCATION, state)

    def publish(self):
        for proxy in self.proxies.values():
            if proxy.is_up and not proxy.is_cut_off:
                proxy.update(self.daemons, self.limit)

    def home(self):
        """Return the workspace's home in the state of control."""
        probe = _Proxy("none", self)
        probe.update(self.daemons, self.limit)
        return self.proxies[probe.homes()[0]]

    def ask(self, entry):
        """Let a caller at a proxy start an operation, as `QuotaGate` does."""
        self.asked_count += 1
        for name in entry.homes():
            home = self.proxies[name]
            is_reached = home.is_up and home.is_cut_off == entry.is_cut_off
            if not is_reached:
                continue
            outcome = home.take()
            if outcome is QuotaOutcome.GRANTED:
                self.granted_ms.append(self.now_ms)
            if outcome is not QuotaOutcome.NOT_HOME:
                return

    def run(self, rng, demand_per_s, until_ms, serves=lambda proxy: True):
        while self.now_ms < until_ms:
            self.now_ms += rng.expovariate(demand_per_s / 1000)
            entry = rng.choice(list(self.proxies.values()))
            if entry.is_up and serves(entry):
                self.ask(entry)


def _run_calm(cluster, rng, demand_per_s):
    # A home that has just started counts the time before as used.
    cluster.now_ms = 3000.0
    cluster.run(rng, demand_per_s, 20_000)


def _run_kill(cluster, rng, demand_per_s):
    cluster.run(rng, demand_per_s, 8000)
    home = cluster.home()
    home.is_up = False
    cluster.run(rng, demand_per_s, 8000 + _REMOVAL_MS)
    del cluster.daemons[home.name]
    cluster.publish()
    cluster.run(rng, demand_per_s, 16_000)


def _run_drain(cluster, rng, demand_per_s):
    cluster.run(rng, demand_per_s, 8000)
    home = cluster.home()
    cluster.join(home.name, DaemonState.DRAINING)
    cluster.publish()
    cluster.run(rng, demand_per_s, 16_000)


def _run_cut_off(cluster, rng, demand_per_s, other_count=0):
    """Cut the home off with other proxies; they go on for a while."""
    cluster.run(rng, demand_per_s, 8000)
    home = cluster.home()
    others = [one for one in cluster.proxies.values() if one is not home]
    for proxy in (home, *others[:other_count]):
        proxy.is_cut_off = True

    def serves(proxy):
        return not proxy.is_cut_off or cluster.now_ms < 8000 + _CUT_OFF_MS

    cluster.run(rng, demand_per_s, 8000 + _REMOVAL_MS, serves)
    for proxy in cluster.proxies.values():
        if proxy.is_cut_off:
            del cluster.daemons[proxy.name]
    cluster.publish()
    cluster.run(rng, demand_per_s, 20_000, serves)


def _run_halved(cluster, rng, demand_per_s):
    _run_cut_off(cluster, rng, demand_per_s, len(cluster.proxies) // 2)


def _run_freeze(cluster, rng, demand_per_s):
    """Let the home freeze for less than its removal takes, and return."""
    cluster.run(rng, demand_per_s, 8000)
    home = cluster.home()
    home.is_up = False
    cluster.run(rng, demand_per_s, 9800)
    home.is_up = True
    cluster.run(rng, demand_per_s, 18_000)


def _run_restart(cluster, rng, demand_per_s):
    """Kill the home; a new process joins under its name."""
    _run_kill(cluster, rng, demand_per_s)
    for name, proxy in cluster.proxies.items():
        if not proxy.is_up:
            cluster.proxies[name] = _Proxy(name, cluster)
            cluster.join(name)
    cluster.publish()
    cluster.run(rng, demand_per_s, cluster.now_ms + 8000)


_COURSES = {
    "calm": _run_calm,
    "home killed": _run_kill,
    "home drained": _run_drain,
    "home cut off": _run_cut_off,
    "half cut off": _run_halved,
    "home frozen": _run_freeze,
    "home restarted": _run_restart,
}


@pytest.mark.parametrize("course", _COURSES)
@pytest.mark.parametrize("rate_per_s", [1.0, 10.0, 135.0])
@pytest.mark.parametrize("factor", [0.6, 1.1, 8.0])
def test_no_window_exceeds_the_limit(course, rate_per_s, factor):
    cluster = _Cluster(rate_per_s)
    _COURSES[course](cluster, random.Random(7), factor * rate_per_s)
    limit_count = _limit_count(rate_per_s, rate_per_s)
    assert _largest_window(cluster.granted_ms) <= limit_count


@pytest.mark.parametrize(
    ("course", "least_share"),
    [
        ("calm", 0.99),
        ("home drained", 0.97),
        ("home frozen", 0.85),
        ("home killed", 0.75),
    ],
)
@pytest.mark.parametrize("rate_per_s", [10.0, 135.0])
def test_demand_below_the_limit_is_granted(course, least_share, rate_per_s):
    # What is refused below the limit is lost to the callers.  After a failure
    # of the home, a part is refused while it may still grant operations.
    cluster = _Cluster(rate_per_s)
    _COURSES[course](cluster, random.Random(3), 0.6 * rate_per_s)
    share = len(cluster.granted_ms) / cluster.asked_count
    assert share >= least_share


def test_hot_workspace_gets_its_whole_limit():
    # 8 times the limit at 20 proxies must not end below the limit.
    cluster = _Cluster(100.0)
    cluster.run(random.Random(5), 800.0, 20_000)
    assert len(cluster.granted_ms) >= 0.97 * 100 * 20


def test_lower_limit_binds_within_a_window():
    cluster = _Cluster(100.0)
    rng = random.Random(5)
    cluster.run(rng, 90.0, 8000)
    cluster.rate_per_s = 10.0
    cluster.publish()
    cluster.run(rng, 90.0, 20_000)
    late = [time_ms for time_ms in cluster.granted_ms if time_ms > 8000]
    assert _largest_window(late) <= _limit_count(10.0, 10.0)


@pytest.mark.parametrize(
    ("rate_per_s", "capacity_count", "waits_for_ever"),
    [(0.0, 5.0, True), (5.0, 0.5, True), (0.5, 5.0, False)],
)
def test_bucket_that_never_fills_says_so(
    rate_per_s, capacity_count, waits_for_ever
):
    # A time to come back that never comes would let callers wait in vain.
    bucket = TokenBucket(0.0, 0.0)
    wait_ms = bucket.take(rate_per_s, capacity_count, 0.0)
    assert (wait_ms == float("inf")) is waits_for_ever


def test_unlimited_or_unknown_workspace():
    cluster = _Cluster(1.0)
    home = cluster.home()
    home.fleet.set_workspace(WorkspaceSettings(_WORKSPACE, ()))
    assert {home.take() for _ in range(100)} == {QuotaOutcome.GRANTED}
    home.fleet.remove_workspace(_WORKSPACE)
    assert home.take() is QuotaOutcome.NOT_HOME
