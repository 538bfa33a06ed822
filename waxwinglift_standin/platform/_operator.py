"""Operator of the platform and settings files of its machines."""

import json
import pathlib

import tomli_w

from waxwinglift.platform._http import call_http
from waxwinglift.platform._http import HttpFailed
from waxwinglift.platform._http import HttpRequest
from waxwinglift.process import Address

_CALL_TIMEOUT_S = 1.0
# Ports used on each machine.
CONTROL_PORT = 8782
CALLER_PORT = 8784
READINESS_PORT = 8785
_INTERNAL_PORTS = (7440, 7455)


def make_desired_state(version, service, route_kinds, idle_block_ms=3000):
    """Return a desired state with one service and a route for each host.

    Parameters
    ----------
    version : int
    service : str
    route_kinds : dict of str to str
        Kind of route by database name, the most urgent route first.
    idle_block_ms : int
    """
    routes = [
        {
            "name": f"r-{host}",
            "host": host,
            "pathPrefix": "/",
            "kind": kind,
            "timeoutMs": 2000,
            "targetLatencyMs": 400,
            "priority": priority,
            "service": service,
            "maxAttempts": 2,
            "maxStalenessMs": 0 if kind == "primary" else 1500,
        }
        for priority, (host, kind) in enumerate(route_kinds.items())
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": service, "maxConns": 23, "syncReplicas": 0}],
        "limits": {"txIdleMs": idle_block_ms},
    }


async def replace_desired_state(document, addresses) -> bool:
    """Send a desired state to the daemons in turn until one accepts it."""
    body = json.dumps(document).encode()
    request = HttpRequest("POST", "/Config.Replace", body)
    for address in addresses:
        try:
            response = await call_http(address, request, {}, _CALL_TIMEOUT_S)
        except HttpFailed:
            continue
        if response.status == 200:
            return True
    return False


def write_settings(path: pathlib.Path, name, ip, seeds, role, **overrides):
    """Write a machine's settings file.

    Parameters
    ----------
    path : Path
    name, ip : str
    seeds : sequence of str
        IP addresses of the control machines.
    role : str
        control or proxy.
    **overrides
        Fields to add or replace.
    """
    listen = {"control": f"{ip}:{CONTROL_PORT}"}
    if role == "proxy":
        listen = {
            "frontendAddr": f"{ip}:{CALLER_PORT}",
            "readinessAddr": f"{ip}:{READINESS_PORT}",
        }
    values = {
        "nodeName": name,
        "ip": ip,
        "zone": "dc-1",
        "region": "region-1",
        "internalPorts": list(_INTERNAL_PORTS),
        "seeds": [f"{seed}:{CONTROL_PORT}" for seed in seeds],
        "bootstrap": True,
        "heartbeatMs": 500,
        "zones": {"dc-1": "region-1"},
        "bindAddrs": listen,
        "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
        "bounds": {"graceS": 6, "drainMs": 7000},
        **overrides,
    }
    path.write_text(tomli_w.dumps(values), encoding="utf-8")


def caller_address(ip) -> Address:
    """Return the address of a machine's proxy for callers."""
    return Address(ip, CALLER_PORT)


def control_address(ip) -> Address:
    """Return the address of a control machine for operators and servers."""
    return Address(ip, CONTROL_PORT)
