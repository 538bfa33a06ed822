"""Fake proxies and relays, as seen by the control leader."""

import collections
import dataclasses

from waxwinglift.version import _control_core_messages as messages
from waxwinglift.version import LogIndex
from waxwinglift.version._entries import OwnersAssigned
from waxwinglift.version._leases import DaemonLease
from waxwinglift.version._renewals import DownEndpoint
from waxwinglift.version._renewals import Renewal
from waxwinglift.version._types import Term

# Time after which a previous owner reports that it released an endpoint.
RELEASE_DELAY_MS = 100.0


@dataclasses.dataclass(slots=True)
class _Proxy:
    """One proxy with its lease and the endpoints that it probes."""

    number: int
    record: object
    applied_index: LogIndex
    lease: DaemonLease = dataclasses.field(default_factory=DaemonLease)
    sequence: int = 0
    renewed_ms: float = -1e9
    is_early_scheduled: bool = False
    # By endpoint: time at which this proxy began to probe it, and time at
    # which this proxy was replaced as its owner.
    probed_since_ms: dict = dataclasses.field(default_factory=dict)
    previous_owner_since_ms: dict = dataclasses.field(default_factory=dict)
    had_lease: bool = False
    lease_losses_count: int = 0


class _Relay:
    """Relay of one control member; a follower batches calls to the leader."""

    def __init__(self, outage, is_leader):
        self._outage = outage
        self._is_leader = is_leader
        self._pending = {}
        self.calls_count = 0
        self.batches_count = 0

    def submit(self, key, event, proxy):
        """Pass a call of a proxy or endpoint to the leader."""
        self.calls_count += 1
        settings = self._outage.settings
        if self._is_leader:
            calls = [(event, proxy)]
            self._step_leader(calls, settings.call_cpu_ms, 1.0)
            return
        if not self._pending:
            due_ms = self._outage.now_ms + settings.relay_batch_ms
            self._outage.call_at(due_ms, self._flush)
        self._pending[key] = (event, proxy)

    def _flush(self):
        settings = self._outage.settings
        calls, self._pending = list(self._pending.values()), {}
        self.batches_count += 1
        charged_ms = settings.batch_cpu_ms + settings.item_cpu_ms * len(calls)
        arrival_ms = self._outage.now_ms + settings.hop_ms
        self._outage.call_at(
            arrival_ms, self._step_leader, calls, charged_ms, settings.hop_ms
        )

    def _step_leader(self, calls, charged_ms, delay_ms):
        events = [event for event, _ in calls]
        answers = self._outage.step_leader(events, charged_ms)
        proxies = {p.record.daemon: p for _, p in calls if p is not None}
        answer_ms = self._outage.busy_until_ms + delay_ms
        for answer in answers:
            proxy = proxies[answer.daemon]
            self._outage.call_at(answer_ms, _apply_answer, proxy, answer)


def _apply_answer(proxy, answer):
    if isinstance(answer, messages.GrantLease):
        proxy.lease.on_grant(answer.sequence, answer.lease_ms)


class Proxies:
    """All proxies and relays."""

    def __init__(self, outage):
        self._outage = outage
        fleet = outage.core.fleet
        self._proxies = {
            name: _Proxy(number, record, fleet.index)
            for number, (name, record) in enumerate(fleet.daemons.items())
        }
        self.relays = [
            _Relay(outage, number == 0)
            for number in range(outage.settings.members_count)
        ]
        self.renewals_count = 0
        self.replies_count = 0
        self.min_lease_left_ms = 1e9
        for assignment in fleet.owners.values():
            self._record_assignment(assignment)

    def relay_of(self, number):
        """Return the relay that the proxy ``number`` uses."""
        return self.relays[number % len(self.relays)]

    def follower_of(self, number):
        """Return the follower that endpoint ``number`` uses as relay."""
        followers = self.relays[1:]
        return followers[number % len(followers)]

    def start(self):
        """Schedule the first renewals, spread over the renewal interval."""
        interval_ms = self._outage.settings.renew_interval_ms
        for proxy in self._proxies.values():
            first_ms = interval_ms * proxy.number / len(self._proxies)
            self._outage.call_at(first_ms, self._renew_if_due, proxy)

    def finish(self, end_ms):
        """Record leases that expired after the last renewal of a proxy.

        The leader may be too far behind to have granted that renewal.
        """
        for proxy in self._proxies.values():
            if not self._outage.is_lost(proxy.record.location):
                self._record_lease(proxy, end_ms)

    def lease_losses_count(self):
        """Return how often a surviving proxy lost its lease."""
        return sum(p.lease_losses_count for p in self._proxies.values())

    def _renew_if_due(self, proxy):
        """Renew if the interval since the last renewal has passed."""
        if self._outage.is_lost(proxy.record.location):
            return
        interval_ms = self._outage.settings.renew_interval_ms
        due_ms = proxy.renewed_ms + interval_ms
        if due_ms <= self._outage.now_ms:
            self._renew(proxy)
            due_ms = self._outage.now_ms + interval_ms
        self._outage.call_at(due_ms, self._renew_if_due, proxy)

    def _renew(self, proxy):
        now_ms = self._outage.now_ms
        proxy.is_early_scheduled = False
        proxy.renewed_ms = now_ms
        proxy.sequence += 1
        self._record_lease(proxy, now_ms)
        proxy.lease.on_sent(proxy.sequence, now_ms)
        self.renewals_count += now_ms >= self._outage.loss_ms
        event = messages.RenewalReceived(self._renewal(proxy), True)
        # A unique key: a batch includes every renewal of a proxy.
        key = (proxy.number, proxy.sequence)
        self.relay_of(proxy.number).submit(key, event, proxy)

    def _record_lease(self, proxy, now_ms):
        left_ms = proxy.lease.left_ms(now_ms)
        has_lease = left_ms > 0
        proxy.lease_losses_count += proxy.had_lease and not has_lease
        proxy.had_lease = has_lease
        if now_ms >= self._outage.loss_ms:
            self.min_lease_left_ms = min(self.min_lease_left_ms, left_ms)

    def _renewal(self, proxy):
        record = proxy.record
        return Renewal(
            daemon=record.daemon,
            address=record.address,
            location=record.location,
            applied_index=proxy.applied_index,
            sequence=proxy.sequence,
            down=tuple(self._find_down(proxy)),
            released=tuple(self._find_released(proxy)),
        )

    def _find_down(self, proxy):
        outage = self._outage
        oldest_ms = outage.now_ms - outage.settings.down_after_ms
        if oldest_ms < outage.loss_ms:
            return
        for name, probed_since_ms in proxy.probed_since_ms.items():
            endpoint = outage.core.fleet.endpoints[name]
            if probed_since_ms <= oldest_ms and outage.is_lost(
                endpoint.location
            ):
                term = outage.core.fleet.groups[endpoint.group].term
                yield DownEndpoint(name, Term(term))

    def _find_released(self, proxy):
        oldest_ms = self._outage.now_ms - RELEASE_DELAY_MS
        return [
            n
            for n, ms in proxy.previous_owner_since_ms.items()
            if ms <= oldest_ms
        ]

    def on_entry(self, entry):
        """Apply the endpoint assignments of a committed entry."""
        if isinstance(entry, OwnersAssigned):
            for assignment in entry.assignments:
                self._record_assignment(assignment)

    def _record_assignment(self, assignment):
        now_ms = self._outage.now_ms
        name = assignment.endpoint
        for daemon in (assignment.owner, assignment.standby):
            if daemon is not None:
                self._proxies[daemon].probed_since_ms.setdefault(name, now_ms)
        if not now_ms:
            # Initial assignments replace nothing.
            return
        probing = (assignment.owner, assignment.standby)
        for daemon, proxy in self._proxies.items():
            if daemon not in probing:
                proxy.probed_since_ms.pop(name, None)
            if daemon == assignment.previous:
                proxy.previous_owner_since_ms.setdefault(name, now_ms)
            else:
                proxy.previous_owner_since_ms.pop(name, None)

    def deliver(self, index):
        """Send the entries up to ``index`` to all surviving proxies."""
        due_ms = self._outage.busy_until_ms + self._outage.settings.hop_ms
        self._outage.call_at(due_ms, self._apply, index)

    def _apply(self, index):
        for proxy in self._proxies.values():
            if self._outage.is_lost(proxy.record.location):
                continue
            self.replies_count += 1
            proxy.applied_index = max(proxy.applied_index, index)
            self._schedule_early_renewal(proxy)

    def _schedule_early_renewal(self, proxy):
        """Renew now, or as soon as the minimum interval has passed."""
        outage = self._outage
        if proxy.is_early_scheduled:
            return
        due_ms = proxy.renewed_ms + outage.settings.early_interval_ms
        if due_ms <= outage.now_ms:
            self._renew(proxy)
            return
        proxy.is_early_scheduled = True
        outage.call_at(due_ms, self._renew_early, proxy)

    def _renew_early(self, proxy):
        if proxy.is_early_scheduled and not self._outage.is_lost(
            proxy.record.location
        ):
            self._renew(proxy)


def relay_core_percent(relay, replies_per_s, run_s, settings):
    """Return a relay's processor time in percent of a core."""
    cpu_ms = relay.calls_count * settings.call_cpu_ms
    cpu_ms += relay.batches_count * settings.batch_cpu_ms
    return (cpu_ms / run_s + replies_per_s * settings.watch_cpu_ms) / 10


def counts_by_kind(entries):
    """Return counts as text, such as ``3 TermRaised, 2 DaemonLeft``."""
    ordered = collections.Counter(entries).most_common()
    return ", ".join(f"{count} {kind}" for kind, count in ordered)
