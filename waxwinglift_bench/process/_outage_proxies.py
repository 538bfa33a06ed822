"""Proxies and relays as the control leader meets them."""

import collections
import dataclasses

from waxwinglift.version import _control_core_messages as messages
from waxwinglift.version import LogIndex
from waxwinglift.version._entries import OwnersAssigned
from waxwinglift.version._leases import DaemonLease
from waxwinglift.version._types import Term

RELEASE_MS = 100.0


@dataclasses.dataclass(slots=True)
class _Proxy:
    """One proxy: its lease and the endpoints that it probes."""

    number: int
    row: object
    applied_index: LogIndex
    lease: DaemonLease = dataclasses.field(default_factory=DaemonLease)
    sequence: int = 0
    renewed_ms: float = -1e9
    is_early_due: bool = False
    probed_ms: dict = dataclasses.field(default_factory=dict)
    previous_ms: dict = dataclasses.field(default_factory=dict)
    had_lease: bool = False
    losses_count: int = 0


class _Relay:
    """Batches of one control member; the leader takes its own directly."""

    def __init__(self, outage, is_leader):
        self._outage = outage
        self._is_leader = is_leader
        self._pending = {}
        self.calls_count = 0
        self.batches_count = 0

    def pass_on(self, key, event, proxy):
        """Take a call of a proxy or an endpoint."""
        self.calls_count += 1
        settings = self._outage.settings
        if self._is_leader:
            calls = [(event, proxy)]
            self._decide(calls, settings.call_cpu_ms, 1.0)
            return
        if not self._pending:
            due_ms = self._outage.now_ms + settings.relay_batch_ms
            self._outage.at(due_ms, self._flush)
        self._pending[key] = (event, proxy)

    def _flush(self):
        settings = self._outage.settings
        calls, self._pending = list(self._pending.values()), {}
        self.batches_count += 1
        charged_ms = settings.batch_cpu_ms + settings.item_cpu_ms * len(calls)
        arrival_ms = self._outage.now_ms + settings.hop_ms
        self._outage.at(
            arrival_ms, self._decide, calls, charged_ms, settings.hop_ms
        )

    def _decide(self, calls, charged_ms, delay_ms):
        events = [event for event, _ in calls]
        answers = self._outage.step_leader(events, charged_ms)
        proxies = {p.row.daemon: p for _, p in calls if p is not None}
        answer_ms = self._outage.busy_until_ms + delay_ms
        for answer in answers:
            proxy = proxies[answer.daemon]
            self._outage.at(answer_ms, _take_answer, proxy, answer)


def _take_answer(proxy, answer):
    if isinstance(answer, messages.GrantLease):
        proxy.lease.on_grant(answer.sequence, answer.lease_ms)


class Proxies:
    """All proxies with their relays."""

    def __init__(self, outage):
        self._outage = outage
        fleet = outage.core.fleet
        self._proxies = {
            name: _Proxy(number, row, fleet.index)
            for number, (name, row) in enumerate(fleet.daemons.items())
        }
        self.relays = [
            _Relay(outage, number == 0)
            for number in range(outage.settings.members_count)
        ]
        self.renewals_count = 0
        self.replies_count = 0
        self.least_left_ms = 1e9
        for assignment in fleet.owners.values():
            self._record_assignment(assignment)

    def relay_of(self, number):
        """Return the relay of the proxy of this number."""
        return self.relays[number % len(self.relays)]

    def follower_of(self, number):
        """Return the relay of the endpoint of this number."""
        followers = self.relays[1:]
        return followers[number % len(followers)]

    def start(self):
        """Spread the renewals over their interval."""
        interval_ms = self._outage.settings.renew_interval_ms
        for proxy in self._proxies.values():
            first_ms = interval_ms * proxy.number / len(self._proxies)
            self._outage.at(first_ms, self._renew_if_due, proxy)

    def finish(self, end_ms):
        """Note the leases at the end; the leader may be far behind."""
        for proxy in self._proxies.values():
            if not self._outage.is_lost(proxy.row.location):
                self._record_lease(proxy, end_ms)

    def losses_count(self):
        """Return how often a proxy that stands lost its lease."""
        return sum(p.losses_count for p in self._proxies.values())

    def _renew_if_due(self, proxy):
        """Renew at the interval, counted from the last renewal."""
        if self._outage.is_lost(proxy.row.location):
            return
        interval_ms = self._outage.settings.renew_interval_ms
        due_ms = proxy.renewed_ms + interval_ms
        if due_ms <= self._outage.now_ms:
            self._renew(proxy)
            due_ms = self._outage.now_ms + interval_ms
        self._outage.at(due_ms, self._renew_if_due, proxy)

    def _renew(self, proxy):
        now_ms = self._outage.now_ms
        proxy.is_early_due = False
        proxy.renewed_ms = now_ms
        proxy.sequence += 1
        self._record_lease(proxy, now_ms)
        proxy.lease.on_sent(proxy.sequence, now_ms)
        self.renewals_count += now_ms >= self._outage.lost_ms
        event = messages.RenewalReceived(self._renewal(proxy), True)
        # The relay keeps each renewal of a proxy.
        key = (proxy.number, proxy.sequence)
        self.relay_of(proxy.number).pass_on(key, event, proxy)

    def _record_lease(self, proxy, now_ms):
        left_ms = proxy.lease.left_ms(now_ms)
        has_lease = left_ms > 0
        proxy.losses_count += proxy.had_lease and not has_lease
        proxy.had_lease = has_lease
        if now_ms >= self._outage.lost_ms:
            self.least_left_ms = min(self.least_left_ms, left_ms)

    def _renewal(self, proxy):
        row = proxy.row
        return messages.Renewal(
            daemon=row.daemon,
            address=row.address,
            location=row.location,
            applied_index=proxy.applied_index,
            sequence=proxy.sequence,
            down=tuple(self._find_down(proxy)),
            released=tuple(self._find_released(proxy)),
        )

    def _find_down(self, proxy):
        outage = self._outage
        oldest_ms = outage.now_ms - outage.settings.down_after_ms
        if oldest_ms < outage.lost_ms:
            return
        for name, probed_ms in proxy.probed_ms.items():
            endpoint = outage.core.fleet.endpoints[name]
            if probed_ms <= oldest_ms and outage.is_lost(endpoint.location):
                term = outage.core.fleet.groups[endpoint.group].term
                yield messages.DownEndpoint(name, Term(term))

    def _find_released(self, proxy):
        oldest_ms = self._outage.now_ms - RELEASE_MS
        return [n for n, ms in proxy.previous_ms.items() if ms <= oldest_ms]

    def on_entry(self, entry):
        """Follow the assignments of the endpoints."""
        if isinstance(entry, OwnersAssigned):
            for assignment in entry.assignments:
                self._record_assignment(assignment)

    def _record_assignment(self, assignment):
        now_ms = self._outage.now_ms
        name = assignment.endpoint
        for daemon in (assignment.owner, assignment.standby):
            if daemon is not None:
                self._proxies[daemon].probed_ms.setdefault(name, now_ms)
        if not now_ms:
            return
        named = (assignment.owner, assignment.standby)
        for daemon, proxy in self._proxies.items():
            if daemon not in named:
                proxy.probed_ms.pop(name, None)
            if daemon == assignment.previous:
                proxy.previous_ms.setdefault(name, now_ms)
            else:
                proxy.previous_ms.pop(name, None)

    def deliver(self, index):
        """Send the entries up to ``index`` to each proxy that stands."""
        due_ms = self._outage.busy_until_ms + self._outage.settings.hop_ms
        self._outage.at(due_ms, self._apply, index)

    def _apply(self, index):
        for proxy in self._proxies.values():
            if self._outage.is_lost(proxy.row.location):
                continue
            self.replies_count += 1
            proxy.applied_index = max(proxy.applied_index, index)
            self._renew_soon(proxy)

    def _renew_soon(self, proxy):
        """Renew at once, or when the least interval has passed."""
        outage = self._outage
        if proxy.is_early_due:
            return
        due_ms = proxy.renewed_ms + outage.settings.early_interval_ms
        if due_ms <= outage.now_ms:
            self._renew(proxy)
            return
        proxy.is_early_due = True
        outage.at(due_ms, self._renew_early, proxy)

    def _renew_early(self, proxy):
        if proxy.is_early_due and not self._outage.is_lost(proxy.row.location):
            self._renew(proxy)


def relay_core_percent(relay, replies_per_s, run_s, settings):
    """Return a relay's charged processor time, % of a core."""
    cpu_ms = relay.calls_count * settings.call_cpu_ms
    cpu_ms += relay.batches_count * settings.batch_cpu_ms
    return (cpu_ms / run_s + replies_per_s * settings.watch_cpu_ms) / 10


def counts_by_kind(entries):
    """Return a text such as ``3 TermRaised, 2 DaemonLeft``."""
    ordered = collections.Counter(entries).most_common()
    return ", ".join(f"{count} {kind}" for kind, count in ordered)
