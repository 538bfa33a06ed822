"""Soft state of the endpoints that announce themselves.

An announcement becomes a log entry only when it differs from the state in
the log.  Joins of a flapping endpoint are delayed with exponential back-off.
"""

import dataclasses
import math


from waxwinglift.process import Address
from waxwinglift.process import Location
from waxwinglift.version._entries import EndpointJoined
from waxwinglift.version._entries import EndpointLeaving
from waxwinglift.version._entries import EndpointLost
from waxwinglift.version._entries import EndpointRemoved
from waxwinglift.version._entries import GroupFormed
from waxwinglift.version._types import EndpointId
from waxwinglift.version._types import EndpointRole
from waxwinglift.version._types import EndpointState
from waxwinglift.version._types import GroupName
from waxwinglift.version._types import GroupPhase
from waxwinglift.version._types import Term

# First term of a server-fenced group.  Its terms are independent of the
# servers' timelines.
FIRST_TERM = Term(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Self-description that an endpoint sends at regular intervals.

    Parameters
    ----------
    connection_limit_count, group_size_count, term
        0 if the endpoint does not report them.  ``term`` is its timeline.
    started_ms : int
        Wall-clock time at which the endpoint started; 0 if not reported.
    sequence : int
        Increases with each announcement since that start; 0 if not counted.
    is_gone : bool
        Whether the endpoint has left permanently.
    """

    endpoint: EndpointId
    group: GroupName
    address: Address
    location: Location
    slots_count: int
    connection_limit_count: int
    group_size_count: int
    term: Term
    in_recovery: bool
    is_leaving: bool = False
    started_ms: int = 0
    sequence: int = 0
    is_gone: bool = False

    @property
    def order(self):
        """Sort key: increases with each announcement of the endpoint.

        Needed because announcements may arrive late and out of order.
        """
        return self.started_ms, self.sequence


@dataclasses.dataclass(slots=True)
class _Record:
    """Last announcement of an endpoint and its recent changes.

    The time to live runs from ``last_ms``, the time of the last announcement
    or, without one, of the record's creation.  ``changes_count`` is the number
    of proposed changes without a steady period between them, ``changed_ms``
    the time of the last one, and ``repeats_count`` the number of repetitions
    of ``proposed``.  ``outdated`` is the last announcement that was ignored.
    """

    last_ms: float
    announcement: Announcement | None = None
    changes_count: int = 0
    changed_ms: float | None = None
    repeats_count: int = 0
    proposed: object = None
    proposed_ms: float = 0.0
    outdated: Announcement | None = None

    def has_outdated_before(self, announcement):
        """Return whether an earlier one of the same start was ignored."""
        before = self.outdated
        if before is None or before.started_ms != announcement.started_ms:
            return False
        return before.sequence < announcement.sequence


class AnnouncementTable:
    """Endpoints that have announced themselves to this control leader.

    Parameters
    ----------
    settings : AnnouncementSettings
    """

    def __init__(self, settings):
        self.settings = settings
        self._records = {}
        self._formation_proposed_ms = {}
        # Time at which this leader learned of each departure in the log.
        self._departed_ms = {}

    def start_leadership(self, fleet, now_ms):
        """Restart the time to live of each known endpoint."""
        self._records = {e: _Record(now_ms) for e in fleet.endpoints}
        self._departed_ms = {}
        self._formation_proposed_ms = {}

    def announce(self, announcement, fleet, now_ms):
        """Record an announcement; return the entries to propose."""
        name = announcement.endpoint
        record = self._records.setdefault(name, _Record(now_ms))
        if self._is_outdated(announcement, record, fleet, now_ms):
            record.outdated = announcement
            return []
        if announcement.is_gone:
            return self._remove(announcement, record, fleet, now_ms)
        record.last_ms = now_ms
        record.announcement = announcement
        entry = _find_update(announcement, fleet)
        entries = self._remove_predecessors(announcement, fleet, now_ms)
        if entry is not None and self._may_propose(record, entry, now_ms):
            entries.append(entry)
        formed = self._plan_formation(announcement, fleet, now_ms)
        if formed is not None:
            entries.append(formed)
        return entries

    def _is_outdated(self, announcement, record, fleet, now_ms):
        """Return whether newer information than this announcement is known.

        The announcement may be from before the endpoint's last restart, or
        from an endpoint whose address a later endpoint has taken over.  The
        newer information may be from another writer, with a start or a
        sequence that the endpoint itself never reaches.  It no longer counts
        if it was not announced again within the time to live, and the
        endpoint goes on to announce itself.
        """
        if announcement.is_gone and not announcement.started_ms:
            # Without a start time there is nothing to compare.
            return False
        if self._has_departed(announcement, fleet, now_ms):
            return True
        last = record.announcement
        is_overtaken = last is not None and announcement.order < last.order
        later = _find_later_starts(announcement, fleet)
        if not is_overtaken and not later:
            return False
        if announcement.is_gone:
            return True
        if is_overtaken and last.is_gone:
            # A departure ends its own start for ever.
            if announcement.started_ms == last.started_ms:
                return True
        if is_overtaken and not self._is_expired(record, now_ms):
            return True
        if any(one.state is not EndpointState.LOST for one in later):
            return True
        return not record.has_outdated_before(announcement)

    def _has_departed(self, announcement, fleet, now_ms):
        """Return whether the endpoint has ended this start not long ago.

        The departure is in the log, so that a leader that did not receive it
        ignores late announcements too.  It is ignored after a while, since
        any client may send one for an endpoint that stays.
        """
        name = announcement.endpoint
        ended_start_ms = fleet.departed.get(name)
        if ended_start_ms is None:
            self._departed_ms.pop(name, None)
            return False
        if announcement.started_ms > ended_start_ms:
            return False
        since_ms = self._departed_ms.setdefault(name, now_ms)
        return now_ms - since_ms < self.settings.departed_ms

    def _is_expired(self, record, now_ms):
        return now_ms - record.last_ms >= self.settings.ttl_ms

    def _remove(self, announcement, record, fleet, now_ms):
        """Return the removal of an endpoint that announced it has left."""
        record.announcement = announcement
        known = fleet.endpoints.get(announcement.endpoint)
        if known is None:
            return []
        is_own = announcement.started_ms in (0, known.started_ms)
        entry = EndpointRemoved(
            announcement.endpoint, known.started_ms if is_own else 0
        )
        return [entry] if self._may_propose(record, entry, now_ms) else []

    def _remove_predecessors(self, announcement, fleet, now_ms):
        """Return the removals of earlier endpoints at the same address.

        Addresses are reused.  Requests for the old endpoint at this address
        would be refused or, worse, served by a server of another group.
        """
        entries = []
        if not announcement.started_ms:
            return entries
        for endpoint in fleet.endpoints.values():
            is_other = endpoint.endpoint != announcement.endpoint
            if not is_other or endpoint.address != announcement.address:
                continue
            if 0 < endpoint.started_ms < announcement.started_ms:
                entry = EndpointRemoved(endpoint.endpoint)
                record = self._records.setdefault(
                    endpoint.endpoint, _Record(now_ms)
                )
                if self._may_propose(record, entry, now_ms):
                    entries.append(entry)
        return entries

    def expire(self, fleet, now_ms):
        """Return the EndpointLost entries to propose for expired endpoints."""
        entries = []
        for name, endpoint in fleet.endpoints.items():
            record = self._records.setdefault(name, _Record(now_ms))
            is_expired = self._is_expired(record, now_ms)
            if not is_expired or endpoint.state is EndpointState.LOST:
                continue
            entry = EndpointLost(name)
            if self._may_propose(record, entry, now_ms):
                entries.append(entry)
        self._drop_unknown(fleet, now_ms)
        return entries

    def _drop_unknown(self, fleet, now_ms):
        """Drop expired records of endpoints that are not in the log."""
        # Each endpoint in the log has a record, so there are no others.
        if len(self._records) == len(fleet.endpoints):
            return
        for name, record in list(self._records.items()):
            is_expired = self._is_expired(record, now_ms)
            if is_expired and name not in fleet.endpoints:
                del self._records[name]

    def is_fresh(self, endpoint, now_ms):
        """Return whether ``endpoint`` announced itself within its TTL."""
        record = self._records.get(endpoint)
        if record is None or record.announcement is None:
            return False
        return now_ms - record.last_ms < self.settings.ttl_ms

    def _may_propose(self, record, entry, now_ms):
        """Return whether to propose ``entry`` now; if so, record it."""
        if record.proposed == entry:
            # The same entry was already proposed.  It is in flight, was lost
            # or refused, or did not have the announced effect: retry with
            # exponential back-off.
            settings = self.settings
            wait_ms = settings.retry_ms * 2**record.repeats_count
            if now_ms - record.proposed_ms < wait_ms:
                return False
            if wait_ms < settings.max_backoff_ms:
                record.repeats_count += 1
        elif self._count_change(record, entry, now_ms):
            record.repeats_count = 0
        else:
            return False
        record.proposed = entry
        record.proposed_ms = now_ms
        return True

    def _count_change(self, record, entry, now_ms):
        """Count a change; return False while back-off delays it."""
        settings = self.settings
        since_ms = (
            None if record.changed_ms is None else now_ms - record.changed_ms
        )
        if since_ms is not None and since_ms >= settings.steady_ms:
            record.changes_count = 0
        # Only joins are delayed.  Losses and departures never are: each one
        # follows a join, which was delayed if necessary.
        if isinstance(entry, EndpointJoined) and record.changes_count > 1:
            backoff_ms = min(
                settings.first_backoff_ms * 2 ** (record.changes_count - 2),
                settings.max_backoff_ms,
            )
            if since_ms < backoff_ms:
                return False
        record.changes_count += 1
        record.changed_ms = now_ms
        return True

    def _plan_formation(self, announcement, fleet, now_ms):
        group = fleet.groups.get(announcement.group)
        if group is None or group.phase is not GroupPhase.FORMING:
            self._formation_proposed_ms.pop(announcement.group, None)
            return None
        fresh = self._fresh_announcements(announcement.group, fleet, now_ms)
        primaries = [a for a in fresh if not a.in_recovery]
        is_complete = group.is_server_fenced or len(fresh) == group.size_count
        if not is_complete or len(primaries) != 1:
            return None
        proposed_ms = self._formation_proposed_ms.get(
            announcement.group, -math.inf
        )
        if now_ms - proposed_ms < self.settings.retry_ms:
            return None
        self._formation_proposed_ms[announcement.group] = now_ms
        primary = primaries[0]
        term = FIRST_TERM if group.is_server_fenced else primary.term
        return GroupFormed(primary.group, term, primary.endpoint)

    def _fresh_announcements(self, group, fleet, now_ms):
        names = sorted(
            endpoint.endpoint
            for endpoint in fleet.endpoints_of(group)
            if endpoint.state is EndpointState.JOINED
        )
        return [
            self._records[name].announcement
            for name in names
            if self.is_fresh(name, now_ms)
        ]


def _find_later_starts(announcement, fleet):
    """Return the endpoints in the log that have started later.

    They have the announcement's name or address.
    """
    if not announcement.started_ms:
        return []
    return [
        endpoint
        for endpoint in fleet.endpoints.values()
        if endpoint.started_ms > announcement.started_ms
        and (
            endpoint.endpoint == announcement.endpoint
            or endpoint.address == announcement.address
        )
    ]


def _find_update(announcement, fleet):
    """Return the entry that updates the log, or None if it is up to date.

    The group of an endpoint that reports its start time must have been
    declared by an operator; until then there is no entry.
    """
    known = fleet.endpoints.get(announcement.endpoint)
    is_declared = announcement.group in fleet.groups
    if announcement.started_ms and not is_declared:
        return None
    if announcement.is_leaving:
        if known is None or known.state is not EndpointState.JOINED:
            return None
        return EndpointLeaving(announcement.endpoint)
    entry = EndpointJoined(
        endpoint=announcement.endpoint,
        group=announcement.group,
        address=announcement.address,
        location=announcement.location,
        role=_role(announcement),
        term=announcement.term,
        slots_count=announcement.slots_count,
        connection_limit_count=announcement.connection_limit_count,
        group_size_count=announcement.group_size_count,
        started_ms=announcement.started_ms,
    )
    return None if _is_up_to_date(entry, known) else entry


def _role(announcement):
    if announcement.in_recovery:
        return EndpointRole.REPLICA
    return EndpointRole.PRIMARY


def _is_up_to_date(entry, known):
    return (
        known is not None
        and known.state is EndpointState.JOINED
        and known.group == entry.group
        and known.address == entry.address
        and known.location == entry.location
        and known.role is entry.role
        and known.term == entry.term
        and known.slots_count == entry.slots_count
        and known.connection_limit_count == entry.connection_limit_count
        and known.started_ms == entry.started_ms
    )
