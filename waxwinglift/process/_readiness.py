"""Readiness of a proxy, reported to a load balancer.

A proxy is ready if it has a lease, or needs none, and at least one of the
endpoints that it probes answers; a proxy that probes none needs only the
lease.  Requiring all endpoints would take every proxy out of service whenever
one endpoint restarts.  The check sends no request to the endpoints.
"""

import dataclasses
import json

from waxwinglift.connection import HealthState
from waxwinglift.process._http_page import Page
from waxwinglift.process._http_page import serving_page


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Whether callers should be sent to this proxy, and the reason."""

    is_ready: bool
    reason: str


def check_readiness(
    is_draining,
    has_lease,
    health_states,
    are_primary_and_control_unreachable=False,
    are_keys_unconfirmed=False,
):
    """Return the readiness of a proxy.

    Parameters
    ----------
    is_draining : bool
        Whether the proxy is shutting down.
    has_lease : bool
        Whether its lease is live, or it can serve without one.
    health_states : collection of HealthState
        Health of the endpoints that it probes.
    are_primary_and_control_unreachable : bool
        Whether an owner has recently refused a request as outdated, and
        control, which announces the next primary, cannot be reached.
        Another proxy may be able to reach them.
    are_keys_unconfirmed : bool
        Whether the proxy soon has to refuse the keys of all workspaces,
        because control does not confirm its state of the fleet.
    """
    if is_draining:
        return Readiness(False, "draining")
    if not has_lease:
        return Readiness(False, "no lease")
    if health_states and HealthState.UP not in health_states:
        return Readiness(False, "no endpoint answers")
    if are_primary_and_control_unreachable:
        return Readiness(False, "control and a primary cannot be reached")
    if are_keys_unconfirmed:
        return Readiness(
            False, "control does not confirm the workspaces' keys"
        )
    return Readiness(True, "ready")


def serving_readiness(address, check):
    """Return a context manager that serves the readiness as 200 or 503.

    Parameters
    ----------
    address : Address
        Where to listen.
    check : callable
        Returns the current `Readiness`.
    """
    return serving_page(address, lambda: _make_page(check()))


def _make_page(readiness):
    status = "200 OK" if readiness.is_ready else "503 Service Unavailable"
    body = json.dumps(dataclasses.asdict(readiness)) + "\n"
    return Page(status, "application/json", body.encode())
