"""Processor time of SQL sessions of control with a server over loopback."""

import asyncio
import time

from waxwinglift.connection._backend import EndpointAccount
from waxwinglift.process._control_sql import run_server_action
from waxwinglift.version import _failover_messages as failover
from waxwinglift.version import Term
from waxwinglift_bench.process._slopes import measurement
from waxwinglift_standin.process import running_group


async def _read_positions(count):
    account = EndpointAccount("control", "", "postgres")
    async with running_group(2, connect_delay_ms=0.0) as (_, replica):
        action = failover.ReadPosition(
            replica.settings.group,
            Term(1),
            replica.settings.id,
            replica.address,
            1000,
        )
        started_s = time.process_time()
        for _ in range(count):
            outcome = await run_server_action(action, account)
            if isinstance(outcome, failover.ActionFailed):
                raise ConnectionError(outcome.message)
        return (time.process_time() - started_s) * 1e6


@measurement("leader: SQL session", "us", "session", (20, 100))
def session_us(count):
    """Processor time at both ends for sessions that read a position."""
    return asyncio.run(_read_positions(count))
