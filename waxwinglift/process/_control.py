"""Service of a control daemon."""

import asyncio
import contextlib
import errno
import logging

from grpclib.server import Server
import mode

from waxwinglift.connection._protocol_registry import find_endpoint_protocol
from waxwinglift.process import _control_settings
from waxwinglift.process._control_join import AddressBook
from waxwinglift.process._control_join import GroupJoiner
from waxwinglift.process._control_join import background_task
from waxwinglift.process._control_node import ControlNode
from waxwinglift.process._control_relay import Relay
from waxwinglift.process._control_rpc import ControlRpc
from waxwinglift.process._control_transport import ConsensusTransport
from waxwinglift.process._member_identity import load_or_create_identity
from waxwinglift.process._observability import serving_metrics
from waxwinglift.process._operator_service import OperatorService
from waxwinglift.process._types import DaemonId
from waxwinglift.process.rpc._channels import ChannelCache
from waxwinglift.process.rpc._convert import announcement_to_wire
from waxwinglift.version import _control_core_messages as core_messages
from waxwinglift.version._log_store import open_log_store
from waxwinglift.version._types import EndpointState

logger = logging.getLogger(__name__)

# Interval between attempts to make learners voters.
LEARNER_PROMOTION_INTERVAL_S = 1.0
# Interval between checks of the set of voters.  A change takes at least a
# round trip, so more frequent checks would not be faster.
MEMBERSHIP_INTERVAL_S = 0.1
# Longest wait for the commit of a departure.  Endpoints call another daemon if
# there is no answer within a second.
DEPARTURE_TIMEOUT_S = 0.8
# Longest time for which a start waits for a disk that refuses writes, and the
# interval between its attempts.
DISK_WAIT_S = 10.0
DISK_RETRY_S = 0.25
# Errors of a disk that is full or fails, in contrast to wrong settings.
_DISK_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EIO})


@contextlib.asynccontextmanager
async def _serving_rpc(handlers, address):
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
        Settings of the daemon.
    metrics : object
        Metrics backend.
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
        """Open the log store, start the control node and serve."""
        settings = self.settings
        if settings.discovery is not None:
            identity = load_or_create_identity(
                settings.data_folder, settings.member
            )
            settings = settings.model_copy(update={"member": identity})
            self.settings = settings
        store = await self._open_store(settings.data_folder)
        truncated_bytes = store.report.truncated_bytes_count
        if truncated_bytes:
            logger.warning(
                "truncated an incomplete log tail of %d bytes", truncated_bytes
            )
        founders = _control_settings.find_founders(
            settings, store, self.is_founding
        )
        channels = self.add_context(_open_channels())
        configured = {
            DaemonId(row.member): row.address for row in settings.members
        }
        self.address_book = AddressBook(configured, self._seeds)
        self._transport = ConsensusTransport(
            DaemonId(settings.member),
            self.address_book.find,
            channels,
            settings.listen,
        )
        protocol = find_endpoint_protocol(settings.endpoint_protocol)
        self.node = ControlNode(
            settings,
            store,
            founders,
            self._transport.send,
            protocol.make_action_runner(settings),
            self.metrics,
        )
        self.address_book.track_members(self.node)
        self._relay = Relay(settings, self._find_leader, channels)
        self.operator_service = OperatorService(
            self.node, self._find_leader, channels
        )
        rpc = ControlRpc(
            self.node,
            self._relay,
            self._find_leader,
            channels,
            self.tracer,
            self.operator_service,
            self.address_book,
        )
        await self.add_async_context(
            serving_metrics(settings.observability, self.metrics)
        )
        await self.add_async_context(_serving_rpc([rpc], settings.listen))
        if settings.discovery is not None:
            joiner = GroupJoiner(
                DaemonId(settings.member),
                settings.listen,
                _control_settings.to_location(settings.location),
                self.node,
                self.address_book,
                channels,
            )
            self.add_context(background_task(joiner.run()))
        logger.info(
            "serving at %s, log index %d",
            settings.listen,
            self.node.fleet.index,
        )

    async def _open_store(self, folder):
        """Open the log store; wait for a while if the disk refuses writes.

        A daemon that ended because of its disk would otherwise start and end
        again and again until the disk works.
        """
        try:
            async with asyncio.timeout(DISK_WAIT_S):
                while True:
                    try:
                        return self.add_context(open_log_store(folder))
                    except OSError as error:
                        if error.errno not in _DISK_ERRNOS:
                            raise
                        logger.warning("waiting for the disk: %s", error)
                    await asyncio.sleep(DISK_RETRY_S)
        except TimeoutError:
            return self.add_context(open_log_store(folder))

    def set_seeds(self, seeds):
        """Replace the seeds after the settings were reloaded."""
        discovery = self.settings.discovery.model_copy(
            update={"seeds": tuple(seeds)}
        )
        self.settings = self.settings.model_copy(
            update={"discovery": discovery}
        )

    def announce(self, announcement):
        """Process or forward an announcement.

        Returns False if no leader is known, or if the announcement cannot be
        encoded; the decoder that accepted it should have refused it.
        """
        if self.node.has_quorum:
            event = core_messages.AnnouncementReceived(announcement)
            self.node.step_core(event)
            return True
        if self.node.consensus.leader_hint is None:
            return False
        try:
            message = announcement_to_wire(announcement)
        except ValueError as error:
            self.metrics.incr("control.bad_announcements")
            logger.warning(
                "dropped an announcement that cannot be encoded: %s",
                error,
            )
            return False
        self._relay.announce(message)
        return True

    async def has_left(self, announcement):
        """Return whether a departure is in the log; wait a while for it.

        An endpoint counts on being sent no new work from the acknowledgement
        of its departure on, so that it must not precede the commit.
        """
        try:
            async with asyncio.timeout(DEPARTURE_TIMEOUT_S):
                while self._accepts_work(announcement):
                    await self.node.changed.wait()
        except TimeoutError:
            return False
        return True

    def _accepts_work(self, announcement):
        known = self.node.fleet.endpoints.get(announcement.endpoint)
        if known is None or known.state is not EndpointState.JOINED:
            return False
        # A departure does not concern a later start of the endpoint.
        started_ms = announcement.started_ms
        return not started_ms or known.started_ms <= started_ms

    def _seeds(self):
        discovery = self.settings.discovery
        return () if discovery is None else discovery.seeds

    async def on_stop(self):
        """Stop sending; the contexts close the store and the channels."""
        self._transport.close()
        self.node.stop()

    def _find_leader(self):
        leader = self.node.consensus.leader_hint
        if leader is None or leader == self.settings.member:
            return None
        return self.address_book.find(leader)

    @mode.Service.task
    async def _tick(self):
        interval_s = self.settings.timing.tick_interval_ms / 1000
        while not self.should_stop:
            self.node.tick()
            await self.sleep(interval_s)

    @mode.Service.task
    async def _stop_after_failure(self):
        """End the process; it starts again from what its disk holds."""
        await self.node.has_failed.wait()
        raise self.node.failure

    @mode.Service.task
    async def _run_relay(self):
        await self._relay.run()

    @mode.Service.task
    async def _promote_learners(self):
        if self.settings.discovery is not None:
            return
        while not self.should_stop:
            await self.sleep(LEARNER_PROMOTION_INTERVAL_S)
            self.node.promote_learners()

    @mode.Service.task
    async def _propose_membership_changes(self):
        if self.settings.discovery is None:
            return
        while not self.should_stop:
            await self.sleep(MEMBERSHIP_INTERVAL_S)
            self.node.propose_membership_change()
