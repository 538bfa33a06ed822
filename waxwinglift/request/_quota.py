"""Counts the operations of each workspace at one proxy, its home.

All proxies ask the home for each operation, so that the limit of a workspace
is neither split between them nor exceeded by all of them together.
"""

import dataclasses
import enum
import math

from waxwinglift.process import DaemonId
from waxwinglift.process._policy_settings import QuotaSettings
from waxwinglift.request._token_bucket import TokenBucket
from waxwinglift.version._fleet import FleetState
from waxwinglift.version._types import WorkspaceName
from waxwinglift.version._workspace_homes import WorkspaceHomes
from waxwinglift.version._workspaces import WorkspaceSettings

# Longest time to come back that is advised to a caller.
_RETRY_LIMIT_MS = 5000


class QuotaOutcome(enum.Enum):
    """Answer to the request to start an operation.

    GRANTED: the operation may start.
    EXCEEDED: the workspace has started as many as its limit allows.
    NOT_HOME: the proxy does not count the workspace's operations.
    """

    GRANTED = "granted"
    EXCEEDED = "exceeded"
    NOT_HOME = "not_home"


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaAnswer:
    """Outcome and the time after which to ask again; 0 if not known."""

    outcome: QuotaOutcome
    retry_after_ms: int = 0


@dataclasses.dataclass(slots=True)
class _Account:
    """Count of one workspace's operations.

    ``home`` is the workspace's home at the last request, and
    ``reduced_until_ms`` the time until which its predecessor may still grant
    operations.
    """

    bucket: TokenBucket
    home: DaemonId
    reduced_until_ms: float = -math.inf


class QuotaHome:
    """Grants operations of the workspaces whose home is this proxy.

    A substitute, or a home whose predecessor has left the fleet without a
    drain, grants only a part of the limit: the predecessor may be cut off
    and still grant the whole.

    Parameters
    ----------
    daemon : DaemonId
        This proxy.
    settings : QuotaSettings
    homes : WorkspaceHomes
    """

    def __init__(
        self, daemon: DaemonId, settings: QuotaSettings, homes: WorkspaceHomes
    ):
        self._daemon = daemon
        self._settings = settings
        self._homes = homes
        self._accounts: dict[WorkspaceName, _Account] = {}

    def take(
        self, fleet: FleetState, workspace: WorkspaceName, now_ms: float
    ) -> QuotaAnswer:
        """Let a workspace start one operation, or say when to ask again."""
        limit = fleet.workspaces.get(workspace)
        homes = () if limit is None else self._homes.find(workspace)
        if self._daemon not in homes:
            self._accounts.pop(workspace, None)
            return QuotaAnswer(QuotaOutcome.NOT_HOME)
        if limit.rate_per_s is None:
            return QuotaAnswer(QuotaOutcome.GRANTED)
        account = self._account(fleet, limit, homes[0], now_ms)
        is_reduced = (
            homes[0] != self._daemon or now_ms < account.reduced_until_ms
        )
        rate_per_s, capacity_count = self._rate_and_capacity(limit, is_reduced)
        wait_ms = account.bucket.take(rate_per_s, capacity_count, now_ms)
        if not wait_ms:
            return QuotaAnswer(QuotaOutcome.GRANTED)
        retry_after_ms = math.ceil(min(wait_ms, _RETRY_LIMIT_MS))
        return QuotaAnswer(QuotaOutcome.EXCEEDED, retry_after_ms)

    def _account(self, fleet, limit, home, now_ms):
        account = self._accounts.get(limit.workspace)
        if account is None:
            level_count = self._first_level(limit, home, now_ms)
            account = _Account(TokenBucket(level_count, now_ms), home)
            self._accounts[limit.workspace] = account
        elif account.home != home:
            if home == self._daemon and account.home not in fleet.daemons:
                account.reduced_until_ms = now_ms + self._settings.takeover_ms
            account.home = home
        return account

    def _first_level(self, limit, home, now_ms):
        """Return the tokens of a workspace that has asked for none here yet.

        Its former home may have granted all until the set of proxies changed.
        """
        if home != self._daemon:
            return 1.0
        elapsed_s = (now_ms - self._homes.changed_ms) / 1000
        _, capacity_count = self._rate_and_capacity(limit, False)
        return min(capacity_count, 1.0 + limit.rate_per_s * elapsed_s)

    def _rate_and_capacity(self, limit: WorkspaceSettings, is_reduced):
        settings = self._settings
        if is_reduced:
            rate_per_s = settings.reduced_ratio * limit.rate_per_s
            return rate_per_s, 1.0 + rate_per_s
        window_s = settings.window_ms / 1000
        window_count = limit.rate_per_s * window_s + limit.burst_count
        tolerated_count = (
            settings.overage_ratio * window_count + settings.slack_count
        )
        return (
            limit.rate_per_s,
            limit.burst_count + settings.tolerance_share * tolerated_count,
        )
