"""Handling of committed entries and snapshots in the control core."""

from result import Err

from waxwinglift.version import _control_core_messages as messages
from waxwinglift.version._apply import apply_entry
from waxwinglift.version._apply import RefusalCode
from waxwinglift.version._control_core_registry import COMMIT_FOLLOW_UPS
from waxwinglift.version._control_core_registry import on_commit
from waxwinglift.version._control_core_registry import on_event
from waxwinglift.version._entry_kinds import EntryKind


@on_event(messages.StateInstalled)
def _on_state_installed(core, event, now_ms):
    core.fleet = event.fleet
    core.initial_state_index = event.fleet.index
    core.assigned_index.clear()
    return []


@on_event(messages.EntryCommitted)
def _on_entry_committed(core, event, now_ms):
    if event.index <= core.fleet.index:
        return []
    group = core.group_of(event.entry)
    outcome = apply_entry(core.fleet, event.index, event.entry)
    core.last_outcome = outcome
    if isinstance(outcome, Err):
        if outcome.err_value.code is RefusalCode.WRONG_INDEX:
            raise ValueError(outcome.err_value.message)
        return []
    follow_up = COMMIT_FOLLOW_UPS.get(event.entry.kind)
    if follow_up is not None:
        follow_up(core, event, now_ms)
    if not core.is_leader:
        return []
    core.commit_times.append((now_ms, event.index))
    core.proposed_ms.pop(event.entry, None)
    if not core.may_act():
        return []
    group = group or core.group_of(event.entry)
    applied = core.observe_entry(event, group, now_ms)
    return applied + core.plan_owners(now_ms)


@on_commit(EntryKind.TERM_RAISED)
def _after_term_raised(core, event, now_ms):
    if not core.is_leader:
        return
    # The index is required at once, so that a proxy that stopped applying
    # entries does not delay the change of primary.  Terms that are raised
    # within ``raise_limit_ms`` after another one are required later.
    if not core.raised_times:
        core.leases.require(event.index)
    core.raised_times.append((now_ms, event.index))


@on_commit(EntryKind.ENDPOINT_JOINED, EntryKind.DAEMON_DRAINING)
def _after_fleet_change(core, event, now_ms):
    core.schedule_owner_planning(now_ms)


@on_commit(EntryKind.DAEMON_JOINED)
def _after_daemon_joined(core, event, now_ms):
    daemon = event.entry.daemon
    if core.may_act():
        # Proposed by this leader.  A new proxy gets its first lease only with
        # a later renewal.
        core.awaited_ms[daemon] = now_ms
    elif core.is_leader:
        # An earlier leader may have granted it a lease.
        core.leases.assume(daemon, now_ms)
    core.schedule_owner_planning(now_ms)


@on_commit(EntryKind.DAEMON_LEFT)
def _after_daemon_left(core, event, now_ms):
    core.leases.drop(event.entry.daemon)
    core.awaited_ms.pop(event.entry.daemon, None)
    core.leaving.discard(event.entry.daemon)
    core.drained_ms.pop(event.entry.daemon, None)
    core.sequences.pop(event.entry.daemon, None)
    core.incarnations.pop(event.entry.daemon, None)
    core.schedule_owner_planning(now_ms)


@on_commit(EntryKind.OWNERS_ASSIGNED)
def _after_owners_assigned(core, event, now_ms):
    for assignment in event.entry.assignments:
        core.assigned_index[assignment.endpoint] = event.index
        core.assigned_ms[assignment.endpoint] = now_ms
        core.released.discard(assignment.endpoint)
    core.owners_proposed_ms = None
    core.is_owner_repair_due = True
