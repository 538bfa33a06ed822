"""A proxy's link to control: its watch stream and lease renewals.

A relay is the control daemon that the proxy uses; it forwards renewals to the
leader if it is not the leader itself.
"""

import asyncio
import contextlib
import logging
import math

from grpclib.exceptions import ProtocolError
import mode

from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process._fleet_updates import FleetUpdates
from waxwinglift.process._fleet_updates import WatchError
from waxwinglift.process._relays import RelayOrder
from waxwinglift.process._renewal_maker import RenewalMaker
from waxwinglift.process._trace_context import current_traceparent
from waxwinglift.process._types import DaemonId
from waxwinglift.process._watch_lag import WatchLag
from waxwinglift.process.rpc import control_grpc
from waxwinglift.process.rpc import control_pb2
from waxwinglift.process.rpc._channels import CALL_ERRORS
from waxwinglift.process.rpc._channels import open_channel
from waxwinglift.process.rpc._channels import retrieve_exception
from waxwinglift.process.rpc._convert import renewal_to_wire
from waxwinglift.version._types import DaemonState

logger = logging.getLogger(__name__)

RECONNECT_DELAY_S = 0.1
# Successive refusals after which the proxy switches to another relay.  A relay
# that is partitioned from the leader still answers, but only with refusals.
# All relays refuse during an election, which takes up to 0.7 s.
REFUSALS_LIMIT_COUNT = 8
# Minimum time between renewals that report applied entries.  A change of
# primary waits for the slowest of these reports.  During 220 changes, one
# report per watch reply used more than one core at a relay.
ENTRY_RENEWAL_INTERVAL_MS = 100
# Interval after a refusal: without a known leader the lease is about to
# expire, so the proxy retries more often.
REFUSED_INTERVAL_MS = 50
# Control sends at least one message per second; the stream counts as failed
# after three missing ones.
WATCH_TIMEOUT_S = 3.0
# Interval between checks for a nearer relay.  Only a relay that may be tried
# is called.
_NEARER_RELAY_INTERVAL_S = 1.0


class ControlLink(mode.Service):
    """Keeps the fleet view up to date and renews the lease.

    Parameters
    ----------
    settings : ProxySettings
        Settings of the proxy.
    view : FleetView
        Updated by the watch stream.
    lease : DaemonLease
        Extended by grants.
    view_age : ViewAge
        Updated by grants and applied entries.
    reports : object
        Has ``down_endpoints()`` and ``released_endpoints()``.
    metrics : object
        Metrics backend.
    tracer : opentelemetry.trace.Tracer
        Source of spans.
    """

    def __init__(
        self, settings, view, lease, view_age, reports, metrics, tracer
    ):
        super().__init__()
        self.settings = settings
        self.view = view
        self.lease = lease
        self.view_age = view_age
        self._updates = FleetUpdates(view, view_age, self._on_applied)
        self.metrics = metrics
        self.tracer = tracer
        self.is_draining = False
        self._is_stopped = False
        self._is_watching = False
        self._renewals = RenewalMaker(settings, view, reports)
        self._refusals_count = 0
        self._watch_lag = WatchLag()
        self._refusal_reason = "no answer"
        self._renew_now = asyncio.Event()
        self._relay_changed = asyncio.Event()
        self._renewed_ms = -math.inf
        self._entries_timer = None
        self._configured_addresses = tuple(settings.control)
        self._relays = RelayOrder(
            DaemonId(settings.daemon),
            view.location,
            settings.relay_order,
            settings.control,
        )
        self._has_lease = False
        self._was_active = False

    @property
    def relay(self):
        """Address of the control daemon in use."""
        return self._relays.current

    def set_control_addresses(self, addresses):
        """Use other configured addresses, after a reload of the settings."""
        self._configured_addresses = tuple(addresses)
        self._update_relays()

    def _update_relays(self):
        """Use the configured addresses and those in the fleet's state.

        Configured addresses may be outdated, since daemons are replaced.
        """
        members = self.view.fleet.members.values()
        locations = {member.address: member.location for member in members}
        addresses = {*locations, *self._configured_addresses}
        self._relays.update(addresses, locations)

    async def on_stop(self):
        """Send one renewal that reports that this proxy has stopped."""
        self._is_stopped = True
        if self._entries_timer is not None:
            self._entries_timer.cancel()
        timeout_ms = self.settings.timing.last_renewal_timeout_ms
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                with open_channel(self.relay) as channel:
                    await self._renew_once(channel)
        except TimeoutError:
            # Control notices the end of the proxy when its lease expires.
            self.metrics.incr("control.renewals_lost")

    def request_renewal(self):
        """Send the next renewal now, for instance after a health change."""
        self._renew_now.set()

    @mode.Service.task
    async def _watch_forever(self):
        while not self.should_stop:
            relay = self.relay
            try:
                await self._watch_until_changed(relay)
            except (*CALL_ERRORS, WatchError) as error:
                self.metrics.incr("control.watch_failures")
                if self._is_watching:
                    logger.warning(
                        "watch stream from %s ended: %r", relay, error
                    )
                self._is_watching = False
                self._switch_relay(relay)
            await self.sleep(RECONNECT_DELAY_S)

    async def _watch_until_changed(self, relay):
        """Watch a relay until the stream fails or another relay is used.

        When a relay loses power, the stream shows no error.  Failed renewals
        detect this earlier and switch to another relay, which ends the watch.
        """
        with open_channel(relay) as channel:
            watch = asyncio.ensure_future(self._watch(channel))
            watch.add_done_callback(retrieve_exception)
            change = asyncio.ensure_future(self._relay_changed.wait())
            try:
                await asyncio.wait(
                    {watch, change}, return_when=asyncio.FIRST_COMPLETED
                )
                if watch.done():
                    await watch
            finally:
                watch.cancel()
                change.cancel()

    def _switch_relay(self, failed):
        """Switch to the next relay unless ``failed`` is no longer in use."""
        if self.relay == failed:
            self.metrics.incr("control.relay_failures")
            self._relays.fail(monotonic_ms())
            self._on_relay_changed()

    def _on_relay_changed(self):
        self._refusals_count = 0
        self._watch_lag.reset()
        self._relay_changed.set()
        self._relay_changed = asyncio.Event()
        self.request_renewal()

    @mode.Service.task
    async def _prefer_nearer_relay(self):
        while not self.should_stop:
            await self.sleep(_NEARER_RELAY_INTERVAL_S)
            nearer = self._relays.find_nearer(monotonic_ms())
            if nearer is not None and self.lease.is_live(monotonic_ms()):
                await self._try_nearer_relay(nearer)

    async def _try_nearer_relay(self, nearer):
        """Use a nearer relay once a renewal through it was granted.

        The relay in use goes on meanwhile, so that the lease does not depend
        on the attempt.
        """
        is_granted = False
        with contextlib.suppress(*CALL_ERRORS):
            with open_channel(nearer) as channel:
                grant = await self._request_grant(channel)
            is_granted = grant.granted
            if is_granted:
                self._record_grant(grant)
        relay = self.relay
        if not is_granted:
            self._relays.reject(nearer, monotonic_ms())
        elif self._relays.is_nearer(nearer):
            logger.info(
                "using control daemon %s (%s) in place of %s (%s)",
                nearer,
                self._relays.distance(nearer).name.lower(),
                relay,
                self._relays.distance(relay).name.lower(),
            )
            self.metrics.incr("control.relay_moves")
            self._relays.move_to(nearer, monotonic_ms())
            self._on_relay_changed()

    async def _watch(self, channel):
        stub = control_grpc.ControlStub(channel)
        relay = self.relay
        async with stub.Watch.open() as stream:
            try:
                await self._receive_entries(stream, relay)
            finally:
                # The stream does not end by itself.  Cancelling it fails if
                # the connection was never opened.
                with contextlib.suppress(ProtocolError, *CALL_ERRORS):
                    await stream.cancel()

    async def _receive_entries(self, stream, relay):
        request = control_pb2.WatchRequest(
            daemon=self.settings.daemon,
            applied_index=self.view.applied_index,
        )
        await stream.send_message(request, end=True)
        while self.relay == relay:
            async with asyncio.timeout(WATCH_TIMEOUT_S):
                reply = await stream.recv_message()
            if reply is None:
                raise WatchError("stream ended")
            self._is_watching = True
            try:
                self._updates.apply(reply)
            except ValueError as error:
                raise WatchError(f"unreadable reply: {error}") from error

    def _on_applied(self, has_snapshot):
        """React to entries, or a snapshot, that are in force now."""
        self._update_draining()
        self._update_relays()
        if has_snapshot:
            self.request_renewal()
        else:
            self._renew_for_entries()

    def _renew_for_entries(self):
        """Report the applied index, at once or after the minimum time."""
        if self._entries_timer is not None:
            return
        due_ms = self._renewed_ms + ENTRY_RENEWAL_INTERVAL_MS
        delay_ms = due_ms - monotonic_ms()
        if delay_ms <= 0:
            self.request_renewal()
            return
        loop = asyncio.get_running_loop()
        self._entries_timer = loop.call_later(
            delay_ms / 1000, self._on_entries_timer
        )

    def _on_entries_timer(self):
        self._entries_timer = None
        self.request_renewal()

    def _update_draining(self):
        """Start to drain on the operator's request.

        A draining state from before this proxy was active is ignored.
        """
        daemon = self.view.fleet.daemons.get(DaemonId(self.settings.daemon))
        if daemon is None:
            return
        if daemon.state is DaemonState.ACTIVE:
            self._was_active = True
        elif self._was_active and not self.is_draining:
            logger.info("draining on the operator's request")
            self.is_draining = True

    @mode.Service.task
    async def _renew_forever(self):
        while not self.should_stop:
            relay = self.relay
            with open_channel(relay) as channel:
                await self._renew_through(relay, channel)

    async def _renew_through(self, relay, channel):
        """Renew at regular intervals until another relay is selected.

        A renewal does not wait for the previous answer: a single call to a
        control daemon that has just failed could last until the lease ends.
        """
        calls = set()
        try:
            while self.relay == relay and not self.should_stop:
                self._renew_now.clear()
                call = asyncio.ensure_future(self._renew_once(channel))
                calls.add(call)
                call.add_done_callback(calls.discard)
                await self._wait_for_renewal()
        finally:
            for call in calls:
                call.cancel()

    async def _wait_for_renewal(self):
        interval_ms = self.settings.timing.renew_interval_ms
        if self._refusals_count:
            interval_ms = min(interval_ms, REFUSED_INTERVAL_MS)
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self._renew_now.wait(), interval_ms / 1000)
        self._report_lease_change()

    async def _renew_once(self, channel):
        """Send one renewal; switch to another relay if it fails."""
        relay = self.relay
        try:
            grant = await self._request_grant(channel)
        except CALL_ERRORS:
            self.metrics.incr("control.renewals_lost")
            self._switch_relay(relay)
            return
        self._record_grant(grant)
        self._report_lease_change()
        is_lagging = self._watch_lag.record(
            grant.commit_index, self.view.applied_index, monotonic_ms()
        )
        if is_lagging and self.relay == relay:
            self.metrics.incr("control.watch_lags")
            logger.warning(
                "%s does not follow the log: log index %d has not arrived,"
                " the leader has %d",
                relay,
                self.view.applied_index + 1,
                grant.commit_index,
            )
        if is_lagging or self._refusals_count >= REFUSALS_LIMIT_COUNT:
            self._switch_relay(relay)

    async def _request_grant(self, channel):
        renewal = self._renewals.make(self.is_draining, self._is_stopped)
        stub = control_grpc.ControlStub(channel)
        self._renewed_ms = monotonic_ms()
        self.lease.on_sent(renewal.sequence, self._renewed_ms)
        timeout_s = self.settings.timing.rpc_timeout_ms / 1000
        with self.tracer.start_as_current_span("control.renew"):
            message = renewal_to_wire(renewal, current_traceparent())
            return await stub.Renew(message, timeout=timeout_s)

    def _record_grant(self, grant):
        if grant.granted:
            self._refusals_count = 0
            self.lease.on_grant(grant.sequence, grant.lease_ms)
            sent_ms = self.lease.sent_ms(grant.sequence)
            if sent_ms is not None:
                self.view_age.on_grant(
                    sent_ms, grant.commit_index, self.view.applied_index
                )
            self.metrics.incr("control.renewals_granted")
        else:
            # The leader's own refusals contain its commit index.  Only the
            # refusals of a relay without a leader count towards a switch;
            # WatchLag handles a relay that lags behind the leader.
            self._refusals_count += grant.commit_index == 0
            self._refusal_reason = grant.reason
            self.metrics.incr("control.renewals_refused")

    def _report_lease_change(self):
        has_lease = self.lease.is_live(monotonic_ms())
        if has_lease == self._has_lease:
            return
        self._has_lease = has_lease
        if has_lease:
            logger.info("lease obtained")
            self.metrics.incr("lease.obtained")
        else:
            logger.warning("lease lost: %s", self._refusal_reason)
            self.metrics.incr("lease.lost")
        self.view.notify()
