"""A control daemon and a proxy as processes on loopback, for tests."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import pathlib
import subprocess
import sys
import tempfile
import time

from waxwinglift.process import Address
from waxwinglift_standin import platform

_IPS = {"control": "127.0.81.1", "proxy": "127.0.81.2"}
_SERVICE = "ledger"
_ROUTE_KINDS = {"payouts": "primary", "balances": "bounded_staleness"}
_WAIT_S = 40.0
# State of a socket in ``/proc/net/tcp``.
_LISTENING = "0A"
_STOP_TIMEOUT_S = 10.0
# A multiple of the descriptors that each process uses at rest.
_DESCRIPTORS_COUNT = 96


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessUse:
    """Resident memory and open descriptors of a process."""

    resident_bytes: int
    descriptors_count: int


def read_use(pid) -> ProcessUse:
    """Return the present use of a process."""
    folder = pathlib.Path(f"/proc/{pid}")
    status = (folder / "status").read_text(encoding="utf-8")
    (line,) = [x for x in status.splitlines() if x.startswith("VmRSS")]
    resident_bytes = int(line.split()[1]) * 1024
    return ProcessUse(resident_bytes, len(list((folder / "fd").iterdir())))


def count_connections(address) -> int:
    """Return the connections at an address that a process has open."""
    host = "".join(f"{int(x):02X}" for x in reversed(address.host.split(".")))
    local = f"{host}:{address.port:04X}"
    table = pathlib.Path("/proc/net/tcp").read_text(encoding="utf-8")
    rows = [line.split() for line in table.splitlines()]
    # A socket without an inode is no longer open in a process.
    return sum(
        row[1] == local and row[3] != _LISTENING and row[9] != "0"
        for row in rows
    )


async def wait_for(description, condition):
    """Await ``condition`` until it returns a true value."""
    deadline_s = time.monotonic() + _WAIT_S
    while not await condition():
        if time.monotonic() > deadline_s:
            raise AssertionError(f"timed out while waiting for {description}")
        await asyncio.sleep(0.1)


class ProcessFleet:
    """Processes by role, and the requests that ordinary clients send."""

    def __init__(self, processes):
        self.processes = processes

    @property
    def callers(self) -> Address:
        """Address of the proxy for callers."""
        return platform.caller_address(_IPS["proxy"])

    @property
    def control(self) -> Address:
        """Address of the control daemon for operators and servers."""
        return platform.control_address(_IPS["control"])

    async def can_write(self, text="other 1"):
        """Return whether a write through the proxy succeeds."""
        with contextlib.suppress(OSError, TimeoutError):
            async with (
                asyncio.timeout(5),
                platform.Caller.connected(self.callers, "payouts") as caller,
            ):
                return (await caller.query(f"WRITE {text}")).is_success
        return False

    async def can_configure(self):
        """Return whether control accepts a desired state."""
        document = platform.make_desired_state(7, _SERVICE, _ROUTE_KINDS)
        return await platform.replace_desired_state(document, [self.control])


async def _announce_forever(group, address):
    for sequence in itertools.count(1):
        for server in group.servers.values():
            await platform.announce(server, sequence, [address])
        await asyncio.sleep(0.5)


@contextlib.contextmanager
def _running(folder, limits, promotions):
    processes = {}
    try:
        for role, ip in _IPS.items():
            data = folder / role
            data.mkdir()
            path = folder / f"{role}.toml"
            overrides = {"cloudApi": {"address": str(promotions)}}
            platform.write_settings(
                path,
                role,
                ip,
                [_IPS["control"]],
                role,
                dataDir=str(data),
                faultTolerance={"machines": 0, "zones": 0, "regions": 0},
                **overrides,
            )
            module = "waxwinglift.platform.tests.limited_daemon"
            arguments = [role, path, json.dumps(limits), _DESCRIPTORS_COUNT]
            command = [sys.executable, "-m", module, *map(str, arguments)]
            with (folder / f"{role}.log").open("wb") as log:
                processes[role] = subprocess.Popen(
                    command, stdout=log, stderr=subprocess.STDOUT
                )
        yield processes
    finally:
        for process in processes.values():
            process.kill()
            process.wait(_STOP_TIMEOUT_S)


@contextlib.asynccontextmanager
async def running_process_fleet(limits):
    """Yield a ProcessFleet that serves requests.

    Parameters
    ----------
    limits : dict of str to dict
        Fields by section of the settings, for all processes.
    """
    group = platform.ServerGroup(_SERVICE)
    for name in ("s1", "s2", "s3"):
        await group.add(name, "dc-1")
    tokens = itertools.count(1)
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        promotions = await stack.enter_async_context(
            platform.serving_promotions({_SERVICE: group}, tokens.__next__)
        )
        stack.callback(group.stop)
        processes = stack.enter_context(
            _running(pathlib.Path(folder), limits, promotions)
        )
        fleet = ProcessFleet(processes)
        announcing = asyncio.ensure_future(
            _announce_forever(group, fleet.control)
        )
        stack.callback(announcing.cancel)
        await wait_for("the desired state", fleet.can_configure)
        await wait_for("the first write", fleet.can_write)
        yield fleet
