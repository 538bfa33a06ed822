"""Readiness of a proxy, for the platform's balancer.

A proxy is ready when it has a lease and, if it probes endpoints itself, at
least one of them answers.  One endpoint is enough: requiring all would take
every proxy out of service whenever one endpoint restarts.  The check reads
state that the proxy keeps anyway, so it costs the endpoints nothing.
"""

import dataclasses
import json

from waxwinglift.connection import HealthState
from waxwinglift.process._http_page import Page
from waxwinglift.process._http_page import serving_page


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Whether callers should be sent here, and why not."""

    is_ready: bool
    reason: str


def check_readiness(
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


def serving_readiness(address, check):
    """Return a context that answers with 200 or 503 while it is open.

    Parameters
    ----------
    address : Address
        Where to listen.
    check : callable
        Returns the `Readiness` now.
    """
    return serving_page(address, lambda: _make_page(check()))


def _make_page(readiness):
    status = "200 OK" if readiness.is_ready else "503 Service Unavailable"
    body = json.dumps(dataclasses.asdict(readiness)) + "\n"
    return Page(status, "application/json", body.encode())
