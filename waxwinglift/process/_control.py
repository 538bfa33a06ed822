"""Service of a control daemon."""

import contextlib
import logging

from grpclib.server import Server
import mode

from waxwinglift.connection._backend import EndpointAccount
from waxwinglift.connection._lost_sessions import CONTROL_NAME
from waxwinglift.process import _control_settings
from waxwinglift.process._control_node import ControlNode
from waxwinglift.process._control_relay import Relay
from waxwinglift.process._control_rpc import ControlRpc
from waxwinglift.process._control_transport import ConsensusTransport
from waxwinglift.process._types import DaemonId
from waxwinglift.process.rpc._channels import ChannelCache
from waxwinglift.version._log_store import open_log_store

logger = logging.getLogger(__name__)

LEARNER_INTERVAL_S = 1.0


@contextlib.asynccontextmanager
async def _serving(handlers, address):
    server = Server(handlers)
    await server.start(address.host, address.port)
    try:
        yield server
    finally:
        server.close()
        await server.wait_closed()


@contextlib.contextmanager
def _open_channels():
    channels = ChannelCache()
    try:
        yield channels
    finally:
        channels.close()


class ControlService(mode.Service):
    """One control daemon.

    Parameters
    ----------
    settings : ControlSettings
        Settings, passed whole.
    metrics : object
        Counters.
    tracer : opentelemetry.trace.Tracer
        Source of spans.
    is_founding : bool
        Whether an empty data folder starts a new fleet.
    """

    def __init__(self, settings, metrics, tracer, is_founding=False):
        super().__init__()
        self.settings = settings
        self.metrics = metrics
        self.tracer = tracer
        self.is_founding = is_founding

    async def on_start(self):
        """Open the log store, join the log and serve."""
        settings = self.settings
        store = self.add_context(open_log_store(settings.data_folder))
        cut_bytes = store.report.cut_bytes_count
        if cut_bytes:
            logger.warning("cut a torn log tail of %d bytes", cut_bytes)
        founders = _control_settings.find_founders(
            settings, store, self.is_founding
        )
        channels = self.add_context(_open_channels())
        self._transport = ConsensusTransport(
            DaemonId(settings.member), self._find_address, channels
        )
        self.node = ControlNode(
            settings,
            store,
            founders,
            self._transport.send,
            EndpointAccount(
                settings.endpoint_user,
                settings.endpoint_password.get_secret_value(),
                settings.endpoint_database,
                CONTROL_NAME,
            ),
            self.metrics,
        )
        self._relay = Relay(settings, self._find_leader, channels)
        rpc = ControlRpc(
            self.node, self._relay, self._find_leader, channels, self.tracer
        )
        await self.add_async_context(_serving([rpc], settings.listen))
        logger.info(
            "serving at %s, log index %d",
            settings.listen,
            self.node.fleet.index,
        )

    async def on_stop(self):
        """Stop sending; the store and the channels close by themselves."""
        self._transport.close()
        self.node.stop()

    def _find_address(self, member):
        found = self.node.fleet.members.get(member)
        if found is not None:
            return found.address
        # A learner does not know the members before its first snapshot.
        for row in self.settings.members:
            if row.member == member:
                return row.address
        return None

    def _find_leader(self):
        leader = self.node.consensus.leader_hint
        if leader is None or leader == self.settings.member:
            return None
        return self._find_address(leader)

    @mode.Service.task
    async def _tick(self):
        interval_s = self.settings.timing.tick_interval_ms / 1000
        while not self.should_stop:
            self.node.tick()
            await self.sleep(interval_s)

    @mode.Service.task
    async def _run_relay(self):
        await self._relay.run()

    @mode.Service.task
    async def _promote_learners(self):
        while not self.should_stop:
            await self.sleep(LEARNER_INTERVAL_S)
            self.node.promote_learners()
