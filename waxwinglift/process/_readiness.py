"""Readiness of a proxy, for the platform's balancer.

A proxy is ready when it has a lease and, if it probes endpoints itself, at
least one of them answers.  One endpoint is enough: requiring all would take
every proxy out of service whenever one endpoint restarts.  The check reads
state that the proxy keeps anyway, so it costs the endpoints nothing.
"""

import asyncio
import contextlib
import dataclasses
import json

from waxwinglift.connection import HealthState

REQUEST_LIMIT_BYTES = 4096
REQUEST_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Whether callers should be sent here, and why not."""

    is_ready: bool
    reason: str


def judge_readiness(
    is_draining, has_lease, health_states, is_missing_primary=False
):
    """Return the readiness that follows from a proxy's state.

    Parameters
    ----------
    is_draining : bool
        Whether the proxy is shutting down.
    has_lease : bool
        Whether its lease is live.
    health_states : collection of HealthState
        Health of the endpoints that it probes.
    is_missing_primary : bool
        Whether a group's primary cannot be used from here and control
        cannot be asked for the next one; another proxy may do better.
    """
    if is_draining:
        return Readiness(False, "draining")
    if not has_lease:
        return Readiness(False, "no lease")
    if health_states and HealthState.UP not in health_states:
        return Readiness(False, "no endpoint answers")
    if is_missing_primary:
        return Readiness(False, "control and a primary cannot be reached")
    return Readiness(True, "ready")


@contextlib.asynccontextmanager
async def serving_readiness(address, judge):
    """Answer ``GET`` requests with 200 or 503 while the context is open.

    Parameters
    ----------
    address : Address
        Where to listen.
    judge : callable
        Returns the `Readiness` now.
    """

    async def answer(reader, writer):
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            await _answer(reader, writer, judge())
        writer.close()

    server = await asyncio.start_server(answer, address.host, address.port)
    async with server:
        yield server


async def _answer(reader, writer, readiness):
    line = await asyncio.wait_for(
        reader.read(REQUEST_LIMIT_BYTES), REQUEST_TIMEOUT_S
    )
    if not line.startswith(b"GET "):
        writer.write(b"HTTP/1.0 405 Method Not Allowed\r\n\r\n")
        return
    status = "200 OK" if readiness.is_ready else "503 Service Unavailable"
    body = json.dumps(dataclasses.asdict(readiness)) + "\n"
    writer.write(
        f"HTTP/1.0 {status}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
    )
    await writer.drain()
