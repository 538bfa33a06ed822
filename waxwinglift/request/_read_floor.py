"""Lowest position that a replica must have reached to serve a read."""

import asyncio

from result import Err
from result import Ok
from result import Result

from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.request._types import Failure
from waxwinglift.request._types import FailureCode
from waxwinglift.request._types import not_run
from waxwinglift.version import Position

# Longest wait for a position of the primary, ten round trips between
# regions; after it, the read goes to the primary itself.
_WAIT_MS = 250.0


async def find_read_floor(
    owner, header: ExecuteHeader, deadline_ms: float
) -> Result[Position | None, Failure]:
    """Return the lowest position that a read accepts, None for any.

    Parameters
    ----------
    owner : StatementOwner
    header : ExecuteHeader
    deadline_ms : float
        Time at which the read must have ended.
    """
    if not header.max_age_ms:
        return Ok(header.floor)
    left_ms = max(0.0, deadline_ms - owner.now_ms())
    try:
        async with asyncio.timeout(min(left_ms, _WAIT_MS) / 1000):
            outcome = await owner.positions.floors.find(header.max_age_ms)
    except TimeoutError:
        message = "no recent position of the primary arrived in time"
        outcome = Err(not_run(FailureCode.BEHIND, message))
    refusal = owner.find_refusal(header)
    if refusal is not None:
        # A former owner has refused what waited for slots and connections;
        # what comes later would wait there until its time limit.
        return Err(refusal.failure)
    if isinstance(outcome, Err):
        # No other replica has a recent position either.
        message = outcome.err_value.message
        return Err(not_run(FailureCode.BEHIND, message))
    known = outcome.ok_value
    return Ok(known if header.floor is None else max(header.floor, known))
