"""Handlers of a control member's actions, by type of action."""

import logging

from waxwinglift.process import Registry
from waxwinglift.process._clock import monotonic_ms
from waxwinglift.version import _consensus_types as consensus
from waxwinglift.version import _control_core_messages as core_messages
from waxwinglift.version import _failover_messages as failover
from waxwinglift.version._entry_codec import decode_entry
from waxwinglift.version._entry_codec import decode_fleet
from waxwinglift.version._entry_codec import encode_fleet

logger = logging.getLogger(__name__)

# Functions ``(node, action)`` by type of action.
ACTION_HANDLERS = Registry()
on_action = ACTION_HANDLERS.register

# The two answers to a renewal.  The control core returns one of them from the
# step that processes the renewal.
LEASE_ANSWERS = (core_messages.GrantLease, core_messages.RefuseLease)

# Entry fields that the log line of a proposal includes, if present.
_LOGGED_FIELDS = (
    "group",
    "endpoint",
    "daemon",
    "term",
    "primary",
    "old_term_end_lsn",
    "address",
    "assignments",
)


@on_action(consensus.Send)
def _send(node, action):
    node.send(action.recipient, action.message)


@on_action(consensus.Commit)
def _commit(node, action):
    for log_entry in action.entries:
        entry = decode_entry(log_entry.payload)
        event = core_messages.EntryCommitted(log_entry.index, entry)
        actions = node.core.step(event, monotonic_ms())
        node.proposals.commit(log_entry, node.core.last_outcome)
        node.execute_all(actions)
    node.metrics.incr("control.entries_committed", len(action.entries))
    node.notify()
    _take_snapshot_if_due(node)


def _take_snapshot_if_due(node):
    index = node.fleet.index
    if index - node.snapshot_index < node.settings.snapshot_entry_count:
        return
    node.snapshot_index = index
    data = encode_fleet(node.fleet)
    node.step_consensus(consensus.SnapshotTaken(index, data))
    logger.info("snapshot taken at log index %d", index)


@on_action(consensus.InstallSnapshot)
def _install_snapshot(node, action):
    fleet = decode_fleet(action.snapshot.data)
    node.snapshot_index = action.snapshot.index
    node.step_core(core_messages.StateInstalled(fleet))
    node.notify()
    logger.info("snapshot installed at log index %d", fleet.index)


@on_action(consensus.BecomeLeader)
def _become_leader(node, action):
    logger.info("elected control leader in term %d", action.term)
    node.metrics.incr("control.elections_won")
    node.step_core(core_messages.BecameLeader())


@on_action(consensus.StepDown)
def _step_down(node, action):
    logger.info("no longer control leader of term %d", action.term)
    node.proposals.fail_all()
    node.server_actions.drop_waiting()
    node.step_core(core_messages.SteppedDown())


@on_action(core_messages.GiveUpLeadership)
def _give_up_leadership(node, action):
    logger.warning(
        "this leader cannot reach servers that their owners can reach; "
        "giving up leadership"
    )
    node.metrics.incr("control.leadership_given_up")
    node.step_consensus(consensus.Resign())


@on_action(consensus.Accepted)
def _accept_proposal(node, action):
    node.proposals.accept(action)


@on_action(consensus.Refused)
def _refuse_proposal(node, action):
    node.proposals.refuse(action)


@on_action(failover.Propose)
def _propose(node, action):
    logger.info(
        "proposing an entry", extra=_describe_entry(node, action.entry)
    )
    node.propose_in_background(action.entry)


def _describe_entry(node, entry):
    """Return the log fields of an entry and the reason to propose it."""
    fields = {"entry_kind": entry.kind.value, "log_index": node.fleet.index}
    for name in _LOGGED_FIELDS:
        value = getattr(entry, name, None)
        if value is not None:
            fields[name] = str(value)
    status = node.core.statuses().get(getattr(entry, "group", None))
    if status:
        fields["reason"] = status
    return fields


@on_action(*LEASE_ANSWERS)
def _answer_renewal(node, action):
    node.lease_answers.append(action)


@on_action(
    failover.FenceServer,
    failover.ReadPosition,
    failover.PromoteServer,
    failover.RepointServer,
)
def _queue_server_action(node, action):
    node.server_actions.offer(action)
    _start_server_actions(node)


def _start_server_actions(node):
    for action in node.server_actions.start():
        node.metrics.incr(f"control.{type(action).__name__}")
        node.spawn(_run_and_report(node, action))


async def _run_and_report(node, action):
    try:
        outcome = await node.run_action(action, node.promotion_right(action))
    finally:
        node.server_actions.finish(action)
        _start_server_actions(node)
    if isinstance(outcome, failover.ActionFailed):
        logger.warning(
            "%s of %s failed: %s",
            type(action).__name__,
            action.endpoint,
            outcome.message,
        )
    if node.core.is_leader:
        node.step_core(outcome)
