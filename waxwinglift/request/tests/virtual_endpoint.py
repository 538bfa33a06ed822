"""One endpoint and its StatementOwner in virtual time, for tests of load."""

import asyncio
import contextlib
import dataclasses
import selectors

from waxwinglift.connection import TransactionStatus
from waxwinglift.connection._endpoint_errors import EndpointFull
from waxwinglift.platform.tests.statement_fleet import GROUP
from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process import DataCentre
from waxwinglift.process import Location
from waxwinglift.process import Region
from waxwinglift.process._data_path_settings import OwnerSettings
from waxwinglift.process._data_path_types import Exchange
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._statement_owner import StatementOwner
from waxwinglift.request._statements import CommandKind
from waxwinglift.request._statements import Reply
from waxwinglift.request._statements import Statement
from waxwinglift.request._statements import StatementAnswer
from waxwinglift.request._statements import StatementVerb
from waxwinglift.version import EndpointId
from waxwinglift.version import EndpointRole
from waxwinglift.version import EndpointState
from waxwinglift.version import Epoch
from waxwinglift.version import FleetState
from waxwinglift.version import GroupPhase
from waxwinglift.version import LogIndex
from waxwinglift.version import OwnerAssignment
from waxwinglift.version import PoolName
from waxwinglift.version import PoolTable
from waxwinglift.version import TableVersion
from waxwinglift.version import Term
from waxwinglift.version._entries import GroupSettings
from waxwinglift.version._fleet import Endpoint
from waxwinglift.version._fleet import Group
from waxwinglift.version._fleet import Pool
from waxwinglift.version._rank_rows import rank_name
from waxwinglift.version._rank_rows import rank_row
from waxwinglift.version._types import Fencing

ENDPOINT = EndpointId("s1")
OWNER = DaemonId("proxy-1")
LOCATION = Location(DataCentre("d1"), Region("r1"))
_SLOT_KINDS = {CommandKind.CALLER, CommandKind.EXECUTE, CommandKind.STATUS}


class _JumpingSelector(selectors.SelectSelector):
    """Skips the time in which the loop would wait."""

    now_s = 0.0

    def select(self, timeout=None):
        self.now_s += max(0.0, timeout or 0.0)
        return super().select(0)


def run_in_virtual_time(coroutine):
    """Run a coroutine on an event loop whose clock skips all waits."""
    selector = _JumpingSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now_s
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(coroutine)


def now_ms():
    """Return the virtual time."""
    return asyncio.get_running_loop().time() * 1000


@dataclasses.dataclass
class VirtualServer:
    """Server with slots; an opening occupies one as a statement does."""

    slots_count: int
    connection_limit_count: int
    delay_ms: float = 1.4
    opening_ms: float = 12.0

    def __post_init__(self):
        self.slots = asyncio.Semaphore(self.slots_count)
        self.connections = set()
        self.openings_count = 0
        self.refusals_count = 0
        self.statements_ms = 0.0
        self.work_ms = {}

    async def open(self, address, group, endpoint, workspace=None):
        """Open a connection, as the owner's protocol does."""
        await asyncio.sleep(self.delay_ms / 1000)
        if len(self.connections) >= self.connection_limit_count:
            self.refusals_count += 1
            raise EndpointFull("connection limit")
        connection = _Connection(self, workspace)
        self.connections.add(connection)
        self.openings_count += 1
        try:
            await self.use_slot(self.opening_ms)
            await asyncio.sleep(self.delay_ms / 1000)
        except BaseException:
            self.connections.discard(connection)
            raise
        return connection

    async def use_slot(self, work_ms):
        async with self.slots:
            await asyncio.sleep(work_ms / 1000)


class _Connection:
    on_lost = None
    is_usable = True

    def __init__(self, server, workspace):
        self.position = None
        self.server = server
        self.workspace = workspace
        self.is_running = False

    async def run(self, commands):
        assert not self.is_running
        self.is_running = True
        server = self.server
        await asyncio.sleep(server.delay_ms / 1000)
        for command in commands:
            if command.kind in _SLOT_KINDS:
                workspace, work_ms = server.work_ms.pop(command.request)
                assert workspace == self.workspace
                await server.use_slot(work_ms)
                server.statements_ms += work_ms
        await asyncio.sleep(server.delay_ms / 1000)
        self.is_running = False
        reply = Reply(StatementAnswer(), TransactionStatus.IDLE, None)
        return [reply for _ in commands]

    def probe(self, on_probed):
        loop = asyncio.get_running_loop()
        loop.call_later(2 * self.server.delay_ms / 1000, on_probed, True)

    def close(self):
        self.is_usable = False
        self.server.connections.discard(self)


def make_state(server, policies, location=LOCATION):
    """Return a fleet's state with one endpoint that ``OWNER`` owns."""
    state = FleetState(index=LogIndex(1))
    for name, policy in policies.items():
        table = PoolTable(PoolName(name), GROUP, (rank_row(policy),), policy)
        state.set_pool(PoolName(name), Pool(table, TableVersion(1)))
    state.groups[GROUP] = Group(
        GROUP,
        GroupPhase.ACTIVE,
        1,
        Term(1),
        ENDPOINT,
        LogIndex(0),
        {},
        {},
        Fencing.SERVER,
        GroupSettings(GROUP, server.connection_limit_count),
    )
    endpoint = Endpoint(
        ENDPOINT,
        GROUP,
        Address("127.0.0.1", 1),
        location,
        EndpointRole.PRIMARY,
        Term(1),
        server.slots_count,
        server.connection_limit_count,
        EndpointState.JOINED,
    )
    state.set_endpoint(endpoint)
    state.owners[ENDPOINT] = OwnerAssignment(ENDPOINT, OWNER, None, Epoch(1))
    return state


@contextlib.asynccontextmanager
async def running_owner(server, state, settings, daemon=OWNER):
    """Yield an owner of the endpoint with running timers."""
    view = FleetView(daemon, LOCATION, lambda: True, state)
    settings = OwnerSettings(connection_division="shares", **settings)
    owner = StatementOwner(ENDPOINT, settings, view, now_ms=now_ms)
    owner.attach(server.open, lambda one: None)
    owner.start()
    timer = asyncio.ensure_future(_tick(owner))
    try:
        yield owner
    finally:
        timer.cancel()
        await owner.stop()


async def _tick(owner):
    while True:
        owner.tick()
        await asyncio.sleep(0.05)


async def run_write(owner, request, workspace, policy, **fields):
    """Run one write; return its failure or None, and its latency in ms.

    ``fields`` are further ones of its header.
    """
    header = ExecuteHeader(
        endpoint=ENDPOINT,
        group=GROUP,
        epoch=Epoch(1),
        term=Term(1),
        pool=PoolName(""),
        rank=rank_name(policy.urgency_index),
        caller=workspace or "",
        deadline_left_ms=policy.statement_timeout_ms,
        workspace=workspace,
        **fields,
    )
    statement = Statement(StatementVerb.WRITE, request, b"WRITE a b")
    started_ms = now_ms()
    stream = owner.open(header)
    end = await stream.run(Exchange(b"", statement=statement), None)
    await stream.close()
    return end.failure, now_ms() - started_ms
