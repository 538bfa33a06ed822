"""Asks the homes of tenants for the right to start operations."""

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
from waxwinglift.version._tenant_homes import TenantHomes
from waxwinglift.version._types import TenantName

# Time limit for the answer of a home; several round trips between regions.
_ANSWER_TIMEOUT_S = 0.25
# Time for which a right that was not used can serve another operation of the
# tenant.  A longer one would move operations from one window of the limit to
# the next.
_UNUSED_RIGHT_MS = 500.0
# Time after which a tenant whose homes cannot be reached may be served again.
_UNREACHABLE_RETRY_MS = 300


class QuotaGate:
    """Admits the operations of tenants at an entry proxy.

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
        self._homes = TenantHomes(lambda: view.fleet, now_ms)
        view.add_listener(self._homes.update)
        # Times until which unused rights are valid.
        self._unused_until_ms: dict[TenantName, list[float]] = {}
        self._refused_until_ms: dict[TenantName, float] = {}

    def close(self):
        """Stop listening to the fleet view."""
        self._view.remove_listener(self._homes.update)

    async def admit(self, tenant: TenantName | None) -> Failure | None:
        """Return None if an operation of a tenant may start, or why not."""
        limit = self._view.fleet.tenants.get(tenant)
        if limit is None or limit.rate_per_s is None:
            return None
        if self._take_unused(tenant):
            return None
        wait_ms = self._refused_until_ms.get(tenant, 0.0) - self._now_ms()
        if wait_ms > 0:
            return self._refuse(wait_ms)
        asked = await self._ask_homes(tenant)
        if isinstance(asked, Err):
            self._metrics.incr("entry.quota.unreachable")
            return asked.err_value
        answer = asked.ok_value
        if answer.outcome is QuotaOutcome.GRANTED:
            return None
        refused_until_ms = self._now_ms() + answer.retry_after_ms
        self._refused_until_ms[tenant] = refused_until_ms
        return self._refuse(answer.retry_after_ms)

    def give_back(self, tenant: TenantName | None):
        """Record that an admitted operation has not run."""
        limit = self._view.fleet.tenants.get(tenant)
        if limit is None or limit.rate_per_s is None:
            return
        valid_until_ms = self._now_ms() + _UNUSED_RIGHT_MS
        self._unused_until_ms.setdefault(tenant, []).append(valid_until_ms)

    def _take_unused(self, tenant):
        rights = self._unused_until_ms.pop(tenant, None)
        if rights is None:
            return False
        now_ms = self._now_ms()
        valid = [until_ms for until_ms in rights if until_ms > now_ms]
        if len(valid) > 1:
            self._unused_until_ms[tenant] = valid[1:]
        return bool(valid)

    def _refuse(self, wait_ms):
        self._metrics.incr("entry.quota.exceeded")
        message = "the tenant has reached its limit of operations"
        return not_run(FailureCode.OVER_QUOTA, message, math.ceil(wait_ms))

    async def _ask_homes(self, tenant) -> Result[QuotaAnswer, Failure]:
        reason = "none is known"
        for home in self._homes.find(tenant):
            asked = await self._ask(home, tenant)
            if isinstance(asked, Err):
                reason = asked.err_value
            elif asked.ok_value.outcome is QuotaOutcome.NOT_HOME:
                reason = f"{home} does not count them"
            else:
                return asked
        message = f"the tenant's operations cannot be counted: {reason}"
        return Err(
            not_run(FailureCode.UNAVAILABLE, message, _UNREACHABLE_RETRY_MS)
        )

    async def _ask(self, home, tenant) -> Result[QuotaAnswer, str]:
        executor = self._executors.executor_for(home)
        if executor is None or executor.is_unresponsive:
            return Err(f"{home} does not answer")
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                asked = await executor.take_quota(tenant)
        except TimeoutError:
            return Err(f"{home} did not answer in time")
        return asked.map_err(lambda failure: failure.message)
