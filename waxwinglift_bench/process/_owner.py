"""Simulated endpoint owner with the real queue, pool and commit wait."""

from waxwinglift.connection._endpoint_pool_actions import CloseConnection
from waxwinglift.connection._endpoint_pool import EndpointPool
from waxwinglift.connection._endpoint_pool_actions import OpenConnection
from waxwinglift.connection._endpoint_pool_actions import ProbeConnection
from waxwinglift.connection._endpoint_pool_actions import UseConnection
from waxwinglift.process._policy_settings import EndpointPoolSettings
from waxwinglift.request import FailureCode
from waxwinglift.request import may_have_run
from waxwinglift.request import not_run
from waxwinglift.request._admission import AdmissionQueue
from waxwinglift.request._admission import Start
from waxwinglift.request._admission import Ticket
from waxwinglift.request._commit_wait import CommitWait
from waxwinglift.request._commit_wait import Release
from waxwinglift.request._floors import check_floor
from waxwinglift.request._floors import FloorState
from waxwinglift_bench.process._deployment import build_table
from waxwinglift_bench.request._requests import AttemptOutcome

# Interval at which an owner polls a replica's position while a read waits for
# its session floor.
FLOOR_POLL_MS = 5.0


class QuorumWait:
    """Holds answers of one primary until a replica has their position."""

    def __init__(self, world, group):
        self._world = world
        self._group = group
        self._term = world.fleet.groups[group].term
        self._wait = CommitWait(quorum_count=2)
        self._wait.on_lease(True)
        self._wait.on_term(self._term)
        self._held = {}
        self._is_polling = False

    def hold(self, request, position, reply):
        """Call ``reply(failure, wait_ms)`` when the wait for a quorum ends."""
        now_ms = self._world.simulation.now_ms
        self._held[request.number] = (reply, now_ms)
        self._apply(self._wait.hold(request.number, position, now_ms))
        self._schedule_poll()

    def close(self):
        """Fail all held answers, because the lease or the primary is lost."""
        self._apply(self._wait.on_lease(False))

    def _schedule_poll(self):
        if self._is_polling or not self._wait.held_count:
            return
        self._is_polling = True
        interval_ms = self._wait.poll_interval_ms()
        self._world.simulation.call_after(interval_ms, self._poll)

    def _poll(self):
        self._is_polling = False
        lsns = self._world.flushed_lsns(self._group)
        primary_lsn = self._world.logs[self._group].position().lsn
        now_ms = self._world.simulation.now_ms
        actions = self._wait.on_positions(self._term, primary_lsn, lsns)
        self._apply(actions + self._wait.expire(now_ms))
        self._schedule_poll()

    def _apply(self, actions):
        now_ms = self._world.simulation.now_ms
        for action in actions:
            reply, since_ms = self._held.pop(action.request)
            is_released = isinstance(action, Release)
            failure = None if is_released else action.failure
            reply(failure, now_ms - since_ms)


class SimulatedOwner:
    """Admission queue, connections and commit wait of one endpoint."""

    def __init__(self, world, endpoint, proxy):
        self._world = world
        self._simulation = world.simulation
        self.proxy = proxy
        self.endpoint = endpoint
        self._server = world.servers[endpoint]
        group = world.fleet.endpoints[endpoint].group
        self._group = group
        self._queue = world.variant.make_queue(world.deployment)
        self._queue.set_table(build_table(world.deployment, group))
        self._pool = EndpointPool(
            EndpointPoolSettings(),
            world.deployment.connection_limit_count,
            world.deployment.slots_count,
        )
        self._quorum_wait = QuorumWait(world, group)
        self._is_live = True
        self._pending = {}
        self._apply_pool(self._pool.enable(self._simulation.now_ms))

    def stop(self):
        """Stop without answering, like a proxy that is cut off."""
        self._is_live = False
        self._pending.clear()

    def on_server_lost(self):
        """Fail all requests, because the server is lost."""
        self._is_live = False
        failure = not_run(FailureCode.UNAVAILABLE, "endpoint replaced")
        self._apply_queue(self._queue.refuse_all(failure))
        pending, self._pending = self._pending, {}
        for _, reply, _, _ in pending.values():
            reply(AttemptOutcome(may_have_run("connection lost")))
        self._quorum_wait.close()

    def become_primary(self):
        """Start a new commit wait, because the endpoint was promoted."""
        self._quorum_wait = QuorumWait(self._world, self._group)

    def execute(self, request, reply):
        """Run a request and call ``reply(outcome)`` once, unless stopped."""
        if not self._is_live:
            failure = not_run(FailureCode.UNAVAILABLE, "not the owner")
            reply(AttemptOutcome(failure))
            return
        self._await_floor(request, reply, self._simulation.now_ms)

    def _await_floor(self, request, reply, since_ms):
        now_ms = self._simulation.now_ms
        position = self._server.position()
        if self._is_fresh_enough(request, position):
            self._enqueue(request, reply, now_ms - since_ms)
            return
        waited_ms = now_ms - since_ms
        if waited_ms >= request.wait_limit_ms or not self._is_live:
            failure = not_run(FailureCode.UNAVAILABLE, "behind the floor")
            reply(
                AttemptOutcome(
                    failure,
                    position,
                    floor_wait_ms=waited_ms,
                    is_behind=True,
                )
            )
            return
        self._simulation.call_after(
            FLOOR_POLL_MS, self._await_floor, request, reply, since_ms
        )

    def _is_fresh_enough(self, request, position):
        if request.max_age_ms is not None and not self._server.is_primary:
            now_ms = self._simulation.now_ms
            if self._server.lag.delay_ms_at(now_ms) <= request.max_age_ms:
                return True
        ends = self._world.fleet.groups[self._group].term_ends
        return check_floor(request.floor, position, ends) is FloorState.MET

    def _enqueue(self, request, reply, floor_wait_ms):
        now_ms = self._simulation.now_ms
        ticket = Ticket(
            request.number,
            f"{request.group}pool",
            request.rank,
            request.caller,
            now_ms,
            request.deadline_ms,
        )
        self._pending[request.number] = (request, reply, floor_wait_ms, ticket)
        self._simulation.call_at(request.deadline_ms, self._expire)
        self._world.statistics.record_enqueue(self.endpoint, request, now_ms)
        actions = self._queue.offer(ticket, now_ms)
        refused_count = sum(not isinstance(a, Start) for a in actions)
        self._world.statistics.record_arrival_refusals(refused_count, now_ms)
        self._apply_queue(actions)

    def _expire(self):
        self._apply_queue(self._queue.expire(self._simulation.now_ms))

    def _apply_queue(self, actions):
        for action in actions:
            number = action.ticket.request
            if isinstance(action, Start):
                now_ms = self._simulation.now_ms
                self._apply_pool(self._pool.acquire(number, now_ms))
            elif number in self._pending:
                request, reply, _, _ = self._pending.pop(number)
                # Only rejections count against the floor share of a rank,
                # because a lost endpoint has no slots to share.
                if action.failure.code is FailureCode.REJECTED:
                    self._world.record_refusal(self.endpoint, request)
                reply(AttemptOutcome(action.failure))

    def _apply_pool(self, actions):
        for action in actions:
            if isinstance(action, OpenConnection):
                self._simulation.call_after(
                    self._world.deployment.connect_ms,
                    self._on_opened,
                    action.connection,
                )
            elif isinstance(action, UseConnection):
                self._run(action.holder, action.connection)
            else:
                assert not isinstance(
                    action, (CloseConnection, ProbeConnection)
                )

    def _on_opened(self, connection):
        now_ms = self._simulation.now_ms
        self._apply_pool(self._pool.on_opened(connection, now_ms))

    def _run(self, number, connection):
        if number not in self._pending:
            return
        request = self._pending[number][0]
        started_ms = self._simulation.now_ms
        local_ms = self._world.deployment.local_delay_ms
        self._world.statistics.record_read_position(
            request, self._server.position()
        )

        def on_end(position):
            self._simulation.call_after(
                local_ms,
                self._on_ended,
                number,
                connection,
                position,
                started_ms,
            )

        self._simulation.call_after(
            local_ms, self._server.run, request, on_end
        )

    def _on_ended(self, number, connection, position, started_ms):
        if number not in self._pending:
            return
        now_ms = self._simulation.now_ms
        request, reply, floor_wait_ms, ticket = self._pending.pop(number)
        queue_wait_ms = started_ms - ticket.arrival_ms
        self._apply_pool(self._pool.release(connection, now_ms))
        service_ms = now_ms - started_ms
        self._apply_queue(self._queue.finish(ticket, now_ms, service_ms))
        self._answer(request, reply, position, queue_wait_ms, floor_wait_ms)

    def _answer(self, request, reply, position, queue_wait_ms, floor_wait_ms):
        if not self._server.is_primary:
            outcome = AttemptOutcome(
                None, position, queue_wait_ms, floor_wait_ms, by_replica=True
            )
            reply(outcome)
            return

        def on_wait_end(failure, quorum_wait_ms):
            reply(
                AttemptOutcome(
                    failure,
                    position,
                    queue_wait_ms,
                    floor_wait_ms,
                    quorum_wait_ms,
                )
            )

        self._quorum_wait.hold(request, position, on_wait_end)


def make_admission_queue(settings, deployment):
    """Return the real admission queue of one endpoint."""
    return AdmissionQueue(deployment.slots_count, settings)
