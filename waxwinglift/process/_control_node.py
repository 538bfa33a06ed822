"""Runs the consensus node and the control core of one control member.

The decisions are made in ``version``.  This module executes the resulting
actions and keeps the proposals and renewals that wait for an answer; the code
for each type of action is in ``_control_executors``.
"""

import asyncio
import logging
import math
import random

from result import Err
from result import Ok

from waxwinglift.process import _control_settings
from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process._control_executors import ACTION_HANDLERS
from waxwinglift.process._control_proposals import ConfirmationTable
from waxwinglift.process._control_proposals import ProposalError
from waxwinglift.process._control_proposals import ProposalFailure
from waxwinglift.process._control_proposals import ProposalTable
from waxwinglift.version import _consensus_types as consensus
from waxwinglift.version import _control_core_messages as core_messages
from waxwinglift.version import FleetState
from waxwinglift.version._action_queue import ActionQueue
from waxwinglift.version._consensus_driver import MemberDriver
from waxwinglift.version._control_core import ControlCore
from waxwinglift.version._desired import plan_replacement
from waxwinglift.version._entries import MemberAdded
from waxwinglift.version._entries import MemberPromoted
from waxwinglift.version._entry_codec import decode_entry
from waxwinglift.version._entry_codec import decode_fleet
from waxwinglift.version._entry_codec import encode_entry
from waxwinglift.version._membership import ControlGroupView
from waxwinglift.version._membership import MembershipPlanner
from waxwinglift.version._promotion import promotion_right
from waxwinglift.version._store_records import StoreError
from waxwinglift.version._store_records import StoreFormatError

logger = logging.getLogger(__name__)

# Minimum time between two appends of the leader's own entries.  Each append
# costs two messages per follower, one with the entries and one with their
# commit; appending 1,900 entries one by one used more than one core for
# seconds.
APPEND_INTERVAL_MS = 5
# Errors after which a member must stop; see MemberDriver.
_FATAL_ERRORS = (OSError, StoreError, consensus.ConsensusError)


def _decode_stored(stored):
    """Return the fleet state of a stored snapshot and the entries after it.

    The entries are decoded here as well, since one that cannot be read would
    otherwise stop the member later, while it is running.
    """
    snapshot = stored.snapshot
    try:
        entries = [decode_entry(entry.payload) for entry in stored.entries]
        fleet = decode_fleet(snapshot.data) if snapshot else FleetState()
        return fleet, entries
    except ValueError as error:
        raise StoreFormatError(
            "the data folder was written by another version; start that "
            "version, or replace this member"
        ) from error


class ControlNode:
    """One control member, without its network connections.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the daemon.
    store : LogStore
        Open log store.
    founders : sequence of (DaemonId, Address, Location or None)
        Members of a new fleet; empty for an existing one.
    send : callable
        Called with a recipient and a consensus message; must not block.
    run_action : callable
        Coroutine function that executes a ServerAction, given a
        PromotionRight, and returns the outcome event.
    metrics : object
        Metrics backend.
    """

    def __init__(self, settings, store, founders, send, run_action, metrics):
        self.settings = settings
        self.send = send
        self.run_action = run_action
        self.metrics = metrics
        self.proposals = ProposalTable()
        self.confirmations = ConfirmationTable()
        self._replacement_lock = asyncio.Lock()
        self._membership = MembershipPlanner(settings.membership)
        self.server_actions = ActionQueue()
        self.changed = asyncio.Event()
        # Error after which this member must stop, and whether there is one.
        self.failure: Exception | None = None
        self.has_failed = asyncio.Event()
        seed = f"{settings.member}-{random.SystemRandom().random()}"
        fleet, entries = _decode_stored(store.load())
        # Until a leader has committed them again, the entries of the log are
        # the only source of the members' addresses.
        self.logged_addresses = {
            entry.member: entry.address
            for entry in entries
            if isinstance(entry, MemberAdded)
        }
        self.core = ControlCore(
            _control_settings.core_settings(settings),
            random.Random(seed),
            fleet,
        )
        self._driver = MemberDriver(
            _control_settings.consensus_settings(settings),
            store,
            random.Random(seed),
            monotonic_ms,
            self._execute,
            founders,
        )
        self.snapshot_index = self.core.fleet.index
        self.lease_answers = []
        self._tasks = set()
        self._pending_entries = []
        self._append_timer = None
        self._appended_ms = -math.inf

    @property
    def consensus(self):
        """Consensus node; for reading only."""
        return self._driver.node

    @property
    def member(self):
        """This member's name."""
        return self.settings.member

    @property
    def fleet(self):
        """Fleet state as of the last applied entry."""
        return self.core.fleet

    @property
    def has_quorum(self):
        """Whether this member is the leader and has a quorum now."""
        if self.failure is not None:
            return False
        return self.consensus.is_leader_with_quorum(monotonic_ms())

    def step_consensus(self, event):
        """Pass an event to the consensus node and execute its actions.

        After a failure, events are ignored: a member that answered others
        although it cannot store anything would count for their majority.
        """
        if self.failure is not None:
            return
        try:
            self._driver.handle(event)
        except _FATAL_ERRORS as error:
            self._record_failure(error)
            return
        self.confirmations.resolve_confirmed(self.consensus, monotonic_ms())

    def _record_failure(self, error):
        self.failure = error
        self.has_failed.set()
        self.metrics.incr("control.store_failures")
        logger.critical(
            "this member stops, because it cannot store its log: %r", error
        )

    def promotion_right(self, action):
        """Return the PromotionRight that is sent along with ``action``."""
        return promotion_right(self.member, self.consensus.term, action.term)

    async def confirm_index(self, timeout_ms):
        """Return a log index that covers every entry committed so far.

        Returns
        -------
        LogIndex or None
            None if no majority confirmed within ``timeout_ms`` that this
            member is still the leader.
        """
        waiter = self.confirmations.open(monotonic_ms())
        self.step_consensus(consensus.ConfirmLeadership())
        try:
            return await asyncio.wait_for(waiter, timeout_ms / 1000)
        except asyncio.TimeoutError:
            return None

    async def wait_for_index(self, index, timeout_ms):
        """Wait until ``index`` is applied here; return False on timeout."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                while self.fleet.index < index:
                    await self.changed.wait()
        except TimeoutError:
            return False
        return True

    async def replace_desired_state(self, request, timeout_ms):
        """Replace the desired state; only one replacement runs at a time.

        Returns
        -------
        Result[Answer or None, ProposalFailure]
            Ok(None) if the current state has this version or a higher one.
        """
        async with self._replacement_lock:
            entry = plan_replacement(self.fleet, request)
            if entry is None:
                return Ok(None)
            return await self.propose(entry, timeout_ms)

    def step_core(self, event):
        """Pass an event to the control core and execute its actions."""
        self.execute_all(self.core.step(event, monotonic_ms()))

    def tick(self):
        """Run the timers of the consensus node and the control core."""
        # Until the first event, ``deadline_ms`` is the current time.  It must
        # be read before the clock, or the deadline would never be reached.
        deadline_ms = self._driver.deadline_ms
        if monotonic_ms() >= deadline_ms:
            self.step_consensus(consensus.Tick())
        self.step_core(core_messages.ControlTick(self.has_quorum))

    def renew(self, renewal):
        """Decide a renewal at the leader; return GrantLease or RefuseLease."""
        self.lease_answers = []
        event = core_messages.RenewalReceived(renewal, self.has_quorum)
        self.step_core(event)
        for answer in self.lease_answers:
            if answer.daemon == renewal.daemon:
                return answer
        return core_messages.RefuseLease(
            renewal.daemon,
            renewal.sequence,
            "the control leader made no decision",
            self.fleet.index,
        )

    async def propose(self, entry, timeout_ms):
        """Append an entry and wait until it is applied here.

        Returns
        -------
        Result[Answer, ProposalFailure]
        """
        number, future = self.proposals.open()
        payload = encode_entry(entry)
        self.step_consensus(consensus.Propose(number, payload))
        try:
            return await asyncio.wait_for(future, timeout_ms / 1000)
        except asyncio.TimeoutError:
            return Err(
                ProposalFailure(
                    ProposalError.OUTCOME_UNKNOWN,
                    "no majority answered in time; "
                    "resend with the same edit id",
                )
            )

    def promote_learners(self):
        """Propose to make learners voters; refused until they catch up."""
        if not self.has_quorum:
            return
        for row in self.consensus.members:
            if not row.is_voter:
                self.propose_in_background(MemberPromoted(row.member))

    def record_join_request(self, request):
        """Record a daemon's request to become a member."""
        self._membership.record_request(request, monotonic_ms())

    def propose_membership_change(self):
        """Propose the next membership change, if one is due."""
        if not self.has_quorum:
            return
        now_ms = monotonic_ms()
        entry = self._membership.plan(self._control_group_view(now_ms), now_ms)
        if entry is not None:
            logger.info("proposing a membership change: %s", entry)
            self.propose_in_background(entry)

    def _control_group_view(self, now_ms):
        node = self.consensus
        return ControlGroupView(
            leader=self.member,
            members=node.members,
            addresses={
                name: member.address
                for name, member in self.fleet.members.items()
            },
            time_since_answer_ms=node.time_since_answer_ms(now_ms),
            caught_up=frozenset(
                member
                for member, index in node.match_indexes().items()
                if index >= node.commit_index
            ),
        )

    def stop(self):
        """Cancel the running tasks and everything that is queued."""
        self.server_actions.drop_waiting()
        if self._append_timer is not None:
            self._append_timer.cancel()
        for task in self._tasks:
            task.cancel()

    def propose_in_background(self, entry):
        """Queue an entry for the next append, without waiting for the result.

        Entries of one step, or of the 5 ms after an append, share an append.
        """
        self._pending_entries.append(entry)
        if self._append_timer is None:
            due_ms = self._appended_ms + APPEND_INTERVAL_MS
            delay_s = max(0.0, due_ms - monotonic_ms()) / 1000
            loop = asyncio.get_running_loop()
            self._append_timer = loop.call_later(delay_s, self._append)

    def _append(self):
        self._append_timer = None
        self._appended_ms = monotonic_ms()
        entries, self._pending_entries = self._pending_entries, []
        payloads = [self._encode_or_drop(entry) for entry in entries]
        proposals = tuple(
            consensus.Propose(self.proposals.open()[0], payload)
            for payload in payloads
            if payload is not None
        )
        if proposals:
            self.step_consensus(consensus.ProposeBatch(proposals))

    def _encode_or_drop(self, entry):
        """Return the stored form of an entry, None if it has none.

        Such an entry must not take the others of the same append with it.
        """
        try:
            return encode_entry(entry)
        except ValueError as error:
            self.metrics.incr("control.entries_dropped")
            logger.warning(
                "dropped an entry of kind %s that cannot be encoded: %s",
                entry.kind.value,
                error,
            )
            return None

    def execute_all(self, actions):
        """Execute actions in order."""
        for action in actions:
            self._execute(action)

    def _execute(self, action):
        ACTION_HANDLERS[type(action)](self, action)

    def spawn(self, coroutine):
        """Run a coroutine in a task that is cancelled by `stop`."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def notify(self):
        """Wake the watch streams and all waiters for an index."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
