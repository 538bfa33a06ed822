"""Shutdowns of the proxies of a StatementFleet, for tests."""

import asyncio
import types

from waxwinglift.platform.tests.statement_fleet import running_statement_fleet
from waxwinglift.process import _proxy
from waxwinglift.version import Epoch
from waxwinglift.version import OwnerAssignment

# A tenth of the phases that a grace period of 6 s gives.
ENTRY = {
    "drain_timeout_ms": 300.0,
    "drain_answer_timeout_ms": 200.0,
    "drain_linger_ms": 220.0,
}
WHOLE_LIMIT_MS = 525.0
# Codes that promise that nothing of the request is kept.
PROMISES = frozenset({b"BUSY", b"ABORTED", b"LAGGING", b"READONLY"})

WRITE = ((), "WRITE 1a4 coal")
BLOCK_WRITE = (("BEGIN",), "WRITE 1a4 coal")
COMMIT = (("BEGIN", "WRITE 1a4 coal"), "COMMIT")


def run(scenario, **options):
    """Run a scenario with a fleet, within a time limit."""

    async def work():
        async with asyncio.timeout(15):
            async with running_statement_fleet(**options) as fleet:
                return await scenario(fleet)

    return asyncio.run(work())


async def code_of(answer):
    """Return the answer's state and its error code, empty after a success."""
    result = await answer
    return result.state, result.error.split(b" ")[0]


async def begin(caller, block):
    """Send the statements that open a transaction."""
    for text in block:
        assert (await caller.query(text)).is_success


def assign(fleet, owner, standby=None):
    """Assign all endpoints, as control does when a proxy drains."""
    for name in fleet.state.owners:
        assignment = OwnerAssignment(name, owner, standby, Epoch(2))
        fleet.state.owners[name] = assignment
    for proxy in fleet.proxies:
        proxy.view.notify()


async def shut_down(proxy):
    """Run the shutdown of a ProxyService with the parts of a test proxy."""

    async def stop_link():
        pass

    service = object.__new__(_proxy.ProxyService)
    service.settings = types.SimpleNamespace(
        timing=types.SimpleNamespace(drain_timeout_ms=WHOLE_LIMIT_MS)
    )
    service.link = types.SimpleNamespace(
        is_draining=False, request_renewal=lambda: None, stop=stop_link
    )
    service.view, service.owners = proxy.view, proxy.owners
    service.entry, service.peers = proxy.entry, proxy.peers
    await service.on_stop()
