"""Handling of lease renewals in the control core."""

from waxwinglift.version import _control_core_messages as messages
from waxwinglift.version import _failover_messages as failover
from waxwinglift.version._control_core_registry import on_event
from waxwinglift.version._entries import DaemonDraining
from waxwinglift.version._entries import DaemonJoined
from waxwinglift.version._entries import DaemonLeft
from waxwinglift.version._types import DaemonState


@on_event(messages.RenewalReceived)
def _on_renewal(core, event, now_ms):
    core.record_quorum(event.has_quorum)
    renewal = event.renewal
    if not core.may_act():
        # Members that do not lead refuse as well.
        return [_refuse(core, renewal, "no control quorum")]
    if not _is_in_order(core, renewal):
        # A delayed renewal may report the stop of an earlier process.
        return [_refuse(core, renewal, "out of order")]
    core.sequences[renewal.daemon] = renewal.sequence
    core.incarnations[renewal.daemon] = renewal.incarnation
    known = core.fleet.daemons.get(renewal.daemon)
    if renewal.is_stopped:
        return _stop_daemon(core, renewal, known, now_ms)
    if known is None or not _is_unchanged(known, renewal):
        return _join_daemon(core, renewal, now_ms)
    if renewal.daemon in core.leaving:
        # Its removal is pending, because its lease has expired or because an
        # earlier process of it has reported a stop.
        return [_refuse(core, renewal, "proxy is being removed")]
    actions = _update_draining(core, renewal, known, now_ms)
    applied_index = core.leases.applied_index(renewal.daemon)
    actions.append(_renew(core, renewal, now_ms))
    _record_released(core, renewal)
    if renewal.applied_index > applied_index and _may_unblock_group(
        core.planner, applied_index
    ):
        actions.extend(core.observe_min_applied_index(now_ms))
    report = failover.HealthReported(renewal.daemon, renewal.down)
    actions.extend(core.planner.step(core.fleet, report, now_ms))
    return actions


def _is_in_order(core, renewal):
    """Return whether a renewal is newer than the previous one.

    A new process starts its sequence from its own clock, which may be behind
    that of the previous process.  The incarnation distinguishes the two: a
    renewal of another incarnation counts as newer, unless it reports a stop,
    which may be that of an earlier process.
    """
    known = core.incarnations.get(renewal.daemon, renewal.incarnation)
    if renewal.incarnation != known:
        return not renewal.is_stopped
    return renewal.sequence > core.sequences.get(renewal.daemon, -1)


def _may_unblock_group(planner, applied_index):
    """Return whether a group may be waiting for a proxy with this index."""
    min_applied_index = planner.min_applied_index
    if not planner.has_fencing_groups:
        return False
    return min_applied_index is None or applied_index <= min_applied_index


def _is_unchanged(known, renewal):
    return (known.address, known.location) == (
        renewal.address,
        renewal.location,
    )


def _refuse(core, renewal, reason):
    return messages.RefuseLease(
        renewal.daemon, renewal.sequence, reason, core.fleet.index
    )


def _lag_reason(core):
    return f"has not applied log index {core.leases.required_index}"


def _stop_daemon(core, renewal, known, now_ms):
    """Drop the lease of a stopped proxy and propose its removal.

    It has closed its connections, so nothing needs to wait for the lease.
    """
    core.leases.drop(renewal.daemon)
    core.planner.daemon_reports.drop(renewal.daemon)
    actions = [_refuse(core, renewal, "stopped")]
    if known is not None:
        core.leaving.add(renewal.daemon)
        actions += core.propose_once(DaemonLeft(renewal.daemon), now_ms)
    core.update_live_daemons(now_ms)
    return actions + core.plan_owners(now_ms)


def _join_daemon(core, renewal, now_ms):
    """Let a proxy join if it has applied enough entries to get a lease.

    Otherwise a proxy that applies no entries would join and leave repeatedly.
    """
    if renewal.applied_index < core.leases.required_index:
        return [_refuse(core, renewal, _lag_reason(core))]
    entry = DaemonJoined(renewal.daemon, renewal.address, renewal.location)
    actions = [_refuse(core, renewal, "joining the fleet")]
    return actions + core.propose_once(entry, now_ms)


def _update_draining(core, renewal, known, now_ms):
    if renewal.is_draining:
        core.drained_ms[renewal.daemon] = now_ms
        if known.state is DaemonState.ACTIVE:
            return core.propose_once(DaemonDraining(renewal.daemon), now_ms)
        return []
    if known.state is not DaemonState.DRAINING:
        return []
    drained_ms = core.drained_ms.setdefault(renewal.daemon, now_ms)
    if now_ms - drained_ms < core.settings.undrain_ms:
        return []
    entry = DaemonJoined(renewal.daemon, renewal.address, renewal.location)
    return core.propose_once(entry, now_ms)


def _renew(core, renewal, now_ms):
    leases = core.leases
    if not leases.renew(renewal.daemon, renewal.applied_index, now_ms):
        return _refuse(core, renewal, _lag_reason(core))
    core.awaited_ms.pop(renewal.daemon, None)
    return messages.GrantLease(
        renewal.daemon,
        renewal.sequence,
        core.settings.leases.lease_ms,
        core.fleet.index,
    )


def _record_released(core, renewal):
    """Record released endpoints, except from outdated reports."""
    for endpoint in renewal.released:
        assignment = core.fleet.owners.get(endpoint)
        assigned_index = core.assigned_index.get(
            endpoint, core.initial_state_index
        )
        if assignment is None or assignment.previous != renewal.daemon:
            continue
        if renewal.applied_index >= assigned_index:
            core.released.add(endpoint)
            core.is_owner_repair_due = True
