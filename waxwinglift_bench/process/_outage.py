"""Loss of a data centre, simulated in virtual time with one control core.

The control core, the failover planner and the entry codec are real.  Their
measured processor time advances the virtual time: the leader handles one event
at a time, and later events wait.  Proxies, relays and servers are fakes.
"""

import collections
import heapq
import itertools
import random
import time

from waxwinglift.process import Registry
from waxwinglift.version import _control_core_messages as messages
from waxwinglift.version import _failover_messages as failover
from waxwinglift.version import GroupPhase
from waxwinglift.version import LogIndex
from waxwinglift.version._control_core import ControlCore
from waxwinglift.version._control_settings import ControlCoreSettings
from waxwinglift.version._entry_codec import decode_entry
from waxwinglift.version._entry_codec import encode_entry
from waxwinglift_bench.process import _slopes_fleet
from waxwinglift_bench.process._outage_proxies import Proxies
from waxwinglift_bench.process._outage_servers import Servers

# A handler takes ``(outage, action, answers)``.
ACTION_HANDLERS = Registry()
on_action = ACTION_HANDLERS.register
LOST_DATA_CENTRE = _slopes_fleet.LOCATIONS[0].data_centre
# Time before the loss, in which each proxy renews its lease and each endpoint
# announces itself.
WARM_UP_MS = 600.0


class Outage:
    """One simulation run.

    Parameters
    ----------
    settings : OutageSettings
        Sizes, delays and processor times to charge.
    """

    def __init__(self, settings):
        self.settings = settings
        fleet = _slopes_fleet.build_assigned_fleet(
            settings.daemons_count, settings.groups_count
        )
        self.core = ControlCore(ControlCoreSettings(), random.Random(1), fleet)
        self.now_ms = 0.0
        self.busy_until_ms = 0.0
        self.loss_ms = WARM_UP_MS
        self._events = []
        self._order = itertools.count()
        self.proposals = []
        self._is_append_due = False
        self.appends_count = 0
        self.proxies = Proxies(self)
        self.servers = Servers(self)
        self.cpu_ms = collections.Counter()
        self.cpu_by_event_ms = collections.Counter()
        self.entries = collections.Counter()
        self.log_bytes = 0
        self.longest_wait_ms = 0.0
        self.longest_step_ms = 0.0
        self.writes_resumed_ms = {}

    def call_at(self, time_ms, function, *arguments):
        """Schedule ``function`` at a virtual time."""
        event = (time_ms, next(self._order), function, arguments)
        heapq.heappush(self._events, event)

    def run(self):
        """Simulate until ``run_ms`` after the loss and return self."""
        self.core.step(messages.BecameLeader(), 0.0)
        self.proxies.start()
        self.servers.start()
        self.call_at(0.0, self._tick)
        end_ms = self.loss_ms + self.settings.run_ms
        while max(self._events[0][0], self.busy_until_ms) <= end_ms:
            self.now_ms, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self.proxies.finish(end_ms)
        return self

    def is_lost(self, location):
        """Return whether the data centre of ``location`` has been lost."""
        is_after_loss = self.now_ms >= self.loss_ms
        return is_after_loss and location.data_centre == LOST_DATA_CENTRE

    def _tick(self):
        self.step_leader([messages.ControlTick(True)], 0.0)
        tick_ms = self.core.settings.tick_interval_ms
        self.call_at(self.busy_until_ms + tick_ms, self._tick)

    def step_leader(self, events, charged_ms):
        """Step the leader once it is idle; return grants and refusals."""
        start_ms = max(self.now_ms, self.busy_until_ms)
        wait_ms = start_ms - self.now_ms
        self.longest_wait_ms = max(self.longest_wait_ms, wait_ms)
        self.busy_until_ms = start_ms
        self.charge(charged_ms, "calls")
        answers = []
        for event in events:
            started_s = time.process_time()
            actions = self.core.step(event, self.busy_until_ms)
            cpu_ms = (time.process_time() - started_s) * 1e3
            self.longest_step_ms = max(self.longest_step_ms, cpu_ms)
            self.charge(cpu_ms, type(event).__name__)
            for action in actions:
                ACTION_HANDLERS[type(action)](self, action, answers)
        self._send_proposals()
        return answers

    def charge(self, cpu_ms, category):
        """Add processor time to the leader's busy time."""
        second = int((self.busy_until_ms - self.loss_ms) // 1000)
        self.busy_until_ms += cpu_ms
        self.cpu_ms[second] += cpu_ms
        if self.busy_until_ms >= self.loss_ms:
            self.cpu_by_event_ms[category] += cpu_ms

    def _send_proposals(self):
        if not self.settings.propose_batch_ms:
            while self.proposals:
                self._append([self.proposals.pop(0)])
        elif self.proposals and not self._is_append_due:
            self._is_append_due = True
            due_ms = self.busy_until_ms + self.settings.propose_batch_ms
            self.call_at(due_ms, self._append_batch)

    def _append_batch(self):
        self._is_append_due = False
        self.busy_until_ms = max(self.now_ms, self.busy_until_ms)
        entries, self.proposals = self.proposals, []
        self._append(entries)

    def _append(self, entries):
        """Charge an append with its messages; schedule its commit."""
        settings = self.settings
        followers_count = settings.members_count - 1
        sends_ms = 2 * followers_count * settings.append_cpu_ms
        self.charge(sends_ms + settings.write_ms, "log")
        self.appends_count += 1
        commit_ms = self.busy_until_ms + settings.commit_ms
        self.call_at(commit_ms, self._commit, entries)

    def _commit(self, entries):
        """Apply committed entries and send them to the proxies."""
        started_s = time.process_time()
        payloads = [encode_entry(entry) for entry in entries]
        decoded = [decode_entry(payload) for payload in payloads]
        codec_ms = (time.process_time() - started_s) * 1e3
        for entry in decoded:
            index = LogIndex(self.core.fleet.index + 1)
            event = messages.EntryCommitted(index, entry)
            # The time of the entry codec is charged to the category "calls".
            self.step_leader([event], codec_ms / len(decoded))
            self.entries[type(entry).__name__] += 1
            self._record_writes_resumed(entry)
            self.proxies.on_entry(entry)
        self.log_bytes += sum(map(len, payloads))
        self.proxies.deliver(self.core.fleet.index)

    def _record_writes_resumed(self, entry):
        group = self.core.fleet.groups.get(getattr(entry, "group", None))
        has_new_primary = group is not None and group.term > 1
        if has_new_primary and group.phase is GroupPhase.ACTIVE:
            after_ms = self.busy_until_ms - self.loss_ms
            delay_ms = self.settings.hop_ms
            self.writes_resumed_ms.setdefault(group.group, after_ms + delay_ms)


@on_action(failover.Propose)
def _propose(outage, action, answers):
    outage.proposals.append(action.entry)


@on_action(messages.GrantLease, messages.RefuseLease)
def _answer(outage, action, answers):
    answers.append(action)


@on_action(
    failover.FenceServer,
    failover.ReadPosition,
    failover.PromoteServer,
    failover.RepointServer,
)
def _run_on_server(outage, action, answers):
    outage.servers.run_action(action)
