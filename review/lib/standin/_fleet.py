"""The project's programs as separate processes."""

import contextlib
import json
import os
import pathlib
import random
import socket
import subprocess
import tempfile
import time

from standin._common import CannotRun
from standin._common import http
from standin._servers import HEARTBEAT_MS

ROOT = pathlib.Path(__file__).resolve().parents[3]
# Ports of each machine; machines differ by their loopback address.
CONTROL_PORT = 8782
FRONTEND_PORT = 8784
READINESS_PORT = 8785
INTERNAL_PORTS = (7440, 7455)
METRICS_PORTS = (9464, 9465)


def _toml(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return repr(value)
    if isinstance(value, str):
        return json.dumps(value)
    return "[" + ", ".join(_toml(item) for item in value) + "]"


def _dump(values):
    plain = [
        f"{k} = {_toml(v)}"
        for k, v in values.items()
        if not isinstance(v, dict)
    ]
    tables = []
    for key, table in values.items():
        if isinstance(table, dict):
            tables.append(f"[{key}]")
            tables += [f"{k} = {_toml(v)}" for k, v in table.items()]
    return "\n".join(plain + tables) + "\n"


def _is_free(ip):
    ports = (
        CONTROL_PORT,
        FRONTEND_PORT,
        READINESS_PORT,
        *METRICS_PORTS,
        INTERNAL_PORTS[0],
        INTERNAL_PORTS[0] + 1,
    )
    for port in ports:
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def _free_network(count):
    """Return loopback addresses on which the ports are free."""
    for _ in range(200):
        middle = f"127.{random.randint(60, 200)}.{random.randint(1, 250)}"
        ips = [f"{middle}.{n}" for n in range(1, count + 1)]
        if all(_is_free(ip) for ip in ips):
            return ips
    raise CannotRun("no free loopback addresses")


ZONES = {"ub-a": "ulaanbaatar", "dk-a": "darkhan", "er-a": "erdenet"}
ZONE_NAMES = list(ZONES)


class Fleet:
    """Control daemons and proxies, as separate processes."""

    def __init__(self, record, controls=5, proxies=3):
        self.record = record
        ips = _free_network(controls + proxies)
        self.control_ips = ips[:controls]
        self.proxy_ips = ips[controls:]
        self.processes = []

    @property
    def controls(self):
        return [(ip, CONTROL_PORT) for ip in self.control_ips]

    @property
    def frontends(self):
        return [(ip, FRONTEND_PORT) for ip in self.proxy_ips]

    @contextlib.contextmanager
    def running(self, promotions):
        """Run the processes while the context is open."""
        with tempfile.TemporaryDirectory() as folder:
            self.folder = pathlib.Path(folder)
            try:
                for number, ip in enumerate(self.control_ips):
                    self._start("control", number, ip, promotions)
                for number, ip in enumerate(self.proxy_ips):
                    self._start("proxy", number, ip, promotions)
                yield self
            finally:
                self._stop()

    def _start(self, role, number, ip, promotions):
        name = f"{role}-{number}"
        data = self.folder / f"{name}.data"
        data.mkdir(exist_ok=True)
        zone = ZONE_NAMES[number % len(ZONE_NAMES)]
        listen = {"control": f"{ip}:{CONTROL_PORT}"}
        serves = ["control_plane"]
        if role == "proxy":
            listen = {
                "frontendAddr": f"{ip}:{FRONTEND_PORT}",
                "readinessAddr": f"{ip}:{READINESS_PORT}",
            }
            serves = ["frontend"]
        values = {
            "nodeName": name,
            "role": role,
            "machineClass": "core" if role == "control" else "frontend",
            "serves": serves,
            "ip": ip,
            "zone": zone,
            "region": ZONES[zone],
            "internalPorts": INTERNAL_PORTS,
            "seeds": [f"{ip}:{CONTROL_PORT}" for ip in self.control_ips[:3]],
            "bootstrap": True,
            "faultCounted": role == "control",
            "discovery": "registration",
            "entry": "virtual_ip",
            "heartbeatMs": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql"],
            "config_mode": "highest",
            "zones": ZONES,
            "bindAddrs": listen,
            "limits": {
                "cpuShare": 0.86,
                "cores": 3,
                "memoryMb": 300,
                "maxFds": 4096,
                "linkMbps": 1000.0,
                "diskMb": 128,
            },
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {
                "seedLagS": 3,
                "reuseAfterS": 2,
                "stableWindowMs": 5000,
                "ackMs": 6000,
                "catchUpS": 4,
                "drainMs": 7000,
                "graceS": 6,
                "lossSlackMs": 200,
                "configApplyMs": 3000,
                "rollbackSlackMs": 250,
                "maxSkewMs": 15000,
                "recoveryS": 12,
                "fencingRequired": True,
                "thawMs": 300,
            },
            "cloudApi": {
                "address": "%s:%d" % tuple(promotions),
                "ratePerS": 50.0,
                "duties": ["failover"],
                "dutyPerS": 50.0,
            },
        }
        if role == "control":
            values = {"dataDir": str(data), **values}
        path = self.folder / f"{name}.toml"
        path.write_text(_dump(values))
        log = open(self.folder / f"{name}.log", "wb")
        deps = ROOT / "target" / "deps"
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(deps),
            "PYTHONDONTWRITEBYTECODE": "1",
            "WAXWINGLIFT_CONFIG": str(path),
        }
        command = ["python3", "-m", "waxwinglift.platform", role]
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.processes.append(process)

    def _stop(self):
        for process in self.processes:
            process.terminate()
        deadline_s = time.monotonic() + 8
        for process in self.processes:
            try:
                process.wait(max(0.1, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def logs(self, word):
        """Return the lines of all logs that contain ``word``."""
        found = []
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if word in line:
                    found.append(f"{path.stem}: {line}")
        return found

    async def are_ready(self):
        """Return whether all proxies report that they are ready."""
        for ip in self.proxy_ips:
            status, _ = await http((ip, READINESS_PORT), "GET", "/ready")
            if status != 200:
                return False
        return True
