"""Asks the homes of workspaces for the right to start operations."""

import asyncio
from collections.abc import Callable
import math

from result import Err
from result import Result

from waxwinglift.process._data_path_types import Executors
from waxwinglift.process._data_path_types import Metrics
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request._quota import QuotaAnswer
from waxwinglift.request._quota import QuotaOutcome
from waxwinglift.version._types import WorkspaceName
from waxwinglift.version._workspace_homes import WorkspaceHomes

# Time limit for the answer of a home; several round trips between regions.
_ANSWER_TIMEOUT_S = 0.25
# Time for which a right that was not used can serve another operation of the
# workspace.  A longer one would move operations from one window of the limit
# to the next.
_UNUSED_RIGHT_MS = 500.0
# Time after which a workspace whose homes cannot be reached may be served
# again.
_UNREACHABLE_RETRY_MS = 300


class QuotaGate:
    """Admits the operations of workspaces at an entry proxy.

    Parameters
    ----------
    view : FleetView
    executors : Executors
    now_ms : callable
    metrics : Metrics
    """

    def __init__(
        self,
        view: FleetView,
        executors: Executors,
        now_ms: Callable[[], float],
        metrics: Metrics,
    ):
        self._view = view
        self._executors = executors
        self._now_ms = now_ms
        self._metrics = metrics
        self._homes = WorkspaceHomes(lambda: view.fleet, now_ms)
        view.add_listener(self._homes.update)
        # Times until which unused rights are valid.
        self._unused_until_ms: dict[WorkspaceName, list[float]] = {}
        self._refused_until_ms: dict[WorkspaceName, float] = {}

    def close(self):
        """Stop listening to the fleet view."""
        self._view.remove_listener(self._homes.update)

    async def admit(self, workspace: WorkspaceName | None) -> Failure | None:
        """Return None if an operation of a workspace may start, or why not."""
        limit = self._view.fleet.workspaces.get(workspace)
        if limit is None or limit.rate_per_s is None:
            return None
        if self._take_unused(workspace):
            return None
        wait_ms = self._refused_until_ms.get(workspace, 0.0) - self._now_ms()
        if wait_ms > 0:
            return self._refuse(wait_ms)
        asked = await self._ask_homes(workspace)
        if isinstance(asked, Err):
            self._metrics.incr("entry.quota.unreachable")
            return asked.err_value
        answer = asked.ok_value
        if answer.outcome is QuotaOutcome.GRANTED:
            return None
        refused_until_ms = self._now_ms() + answer.retry_after_ms
        self._refused_until_ms[workspace] = refused_until_ms
        return self._refuse(answer.retry_after_ms)

    def give_back(self, workspace: WorkspaceName | None):
        """Record that an admitted operation has not run."""
        limit = self._view.fleet.workspaces.get(workspace)
        if limit is None or limit.rate_per_s is None:
            return
        valid_until_ms = self._now_ms() + _UNUSED_RIGHT_MS
        self._unused_until_ms.setdefault(workspace, []).append(valid_until_ms)

    def _take_unused(self, workspace):
        rights = self._unused_until_ms.pop(workspace, None)
        if rights is None:
            return False
        now_ms = self._now_ms()
        valid = [until_ms for until_ms in rights if until_ms > now_ms]
        if len(valid) > 1:
            self._unused_until_ms[workspace] = valid[1:]
        return bool(valid)

    def _refuse(self, wait_ms):
        self._metrics.incr("entry.quota.exceeded")
        message = "the workspace has reached its limit of operations"
        return not_run(FailureCode.OVER_QUOTA, message, math.ceil(wait_ms))

    async def _ask_homes(self, workspace) -> Result[QuotaAnswer, Failure]:
        reason = "none is known"
        for home in self._homes.find(workspace):
            asked = await self._ask(home, workspace)
            if isinstance(asked, Err):
                reason = asked.err_value
            elif asked.ok_value.outcome is QuotaOutcome.NOT_HOME:
                reason = f"{home} does not count them"
            else:
                return asked
        message = f"the workspace's operations cannot be counted: {reason}"
        return Err(
            not_run(FailureCode.UNAVAILABLE, message, _UNREACHABLE_RETRY_MS)
        )

    async def _ask(self, home, workspace) -> Result[QuotaAnswer, str]:
        executor = self._executors.executor_for(home)
        if executor is None or executor.is_unresponsive:
            return Err(f"{home} does not answer")
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                asked = await executor.take_quota(workspace)
        except TimeoutError:
            return Err(f"{home} did not answer in time")
        return asked.map_err(lambda failure: failure.message)
