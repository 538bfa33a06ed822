"""Short form of the renewals that a relay forwards to the control leader.

Most renewals of a proxy differ only in their sequence and applied index.  The
leader gives each full renewal a handle; later ones with equal other fields are
sent as this handle and the two numbers.  Handles belong to one process of the
leader, which its epoch identifies, and are never assigned again: a handle that
the leader does not know makes the relay send the renewal in full.
"""

import collections
import dataclasses
import secrets

from waxwinglift.process.rpc import control_pb2

_EPOCH_BITS = 62
# Above the number of proxies of a fleet.
_HANDLES_LIMIT_COUNT = 4096


class RenewalHandles:
    """Renewals that the leader has received, by handle.

    A proxy has one handle at a time, which stands for its last full renewal.
    """

    def __init__(self):
        self.epoch = secrets.randbits(_EPOCH_BITS) | 1
        self._last_handle = 0
        self._renewals = collections.OrderedDict()
        self._handles_by_daemon = {}

    def add(self, renewal) -> int:
        """Return the handle of a full renewal."""
        self._remove(self._handles_by_daemon.get(renewal.daemon))
        self._last_handle += 1
        # The renewal itself would keep the memory of its whole batch.
        kept = control_pb2.Renewal()
        kept.CopyFrom(renewal)
        self._renewals[self._last_handle] = kept
        self._handles_by_daemon[renewal.daemon] = self._last_handle
        if len(self._renewals) > _HANDLES_LIMIT_COUNT:
            self._remove(next(iter(self._renewals)))
        return self._last_handle

    def expand(self, batch):
        """Return the renewals of a batch's short ones, None where unknown."""
        is_current = batch.epoch == self.epoch
        return [
            self._expand_one(*row) if is_current else None
            for row in zip(
                batch.handles, batch.sequence_steps, batch.applied_indexes
            )
        ]

    def _expand_one(self, handle, sequence_step, applied_index):
        known = self._renewals.get(handle)
        if known is None:
            return None
        renewal = control_pb2.Renewal()
        renewal.CopyFrom(known)
        renewal.sequence += sequence_step
        renewal.applied_index = applied_index
        return renewal

    def _remove(self, handle):
        renewal = self._renewals.pop(handle, None)
        if renewal is not None:
            del self._handles_by_daemon[renewal.daemon]


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    handle: int
    content: bytes
    sequence: int


class RenewalShortener:
    """Handles that a relay has got from the leader."""

    def __init__(self):
        self._epoch = 0
        self._sent: dict[str, _Sent] = {}

    def split(self, renewals):
        """Return the renewals to send in full, and those to send short.

        Parameters
        ----------
        renewals : list of (Renewal, object)
            In the order of their arrival.  The leader reads the full ones
            first, so several of one proxy are sent in full.
        """
        counts = collections.Counter(one.daemon for one, _ in renewals)
        full, short = [], []
        for row in renewals:
            is_short = counts[row[0].daemon] == 1 and self._has_handle(row[0])
            (short if is_short else full).append(row)
        return full, short

    def _has_handle(self, renewal):
        sent = self._sent.get(renewal.daemon)
        return (
            sent is not None
            and renewal.sequence >= sent.sequence
            and _content_of(renewal) == sent.content
        )

    def fill(self, batch, renewals):
        """Add renewals in their short form to a `RelayBatch`."""
        batch.epoch = self._epoch
        for renewal in renewals:
            sent = self._sent[renewal.daemon]
            batch.handles.append(sent.handle)
            batch.sequence_steps.append(renewal.sequence - sent.sequence)
            batch.applied_indexes.append(renewal.applied_index)

    def record(self, renewals, reply):
        """Record the handles of renewals that were sent in full."""
        if reply.epoch != self._epoch:
            self._sent.clear()
            self._epoch = reply.epoch
        for renewal, handle in zip(renewals, reply.handles):
            self._sent.pop(renewal.daemon, None)
            self._sent[renewal.daemon] = _Sent(
                handle, _content_of(renewal), renewal.sequence
            )
        while len(self._sent) > _HANDLES_LIMIT_COUNT:
            del self._sent[next(iter(self._sent))]

    def forget(self, renewal):
        """Forget the handle of a proxy, which the leader does not know."""
        self._sent.pop(renewal.daemon, None)


def _content_of(renewal):
    """Return the encoded fields that a handle stands for."""
    content = control_pb2.Renewal()
    content.CopyFrom(renewal)
    content.ClearField("sequence")
    content.ClearField("applied_index")
    return content.SerializeToString()


def answer_batch(batch, handles: RenewalHandles, renew):
    """Return the leader's `RelayReply` to the renewals of a batch.

    ``renew`` returns the `Grant` of a renewal.
    """
    reply = control_pb2.RelayReply(
        is_leader=True,
        grants=[renew(renewal) for renewal in batch.renewals],
        epoch=handles.epoch,
        handles=[handles.add(renewal) for renewal in batch.renewals],
    )
    expanded = handles.expand(batch)
    _encode_short_grants(
        reply, [None if one is None else renew(one) for one in expanded]
    )
    return reply


def _encode_short_grants(reply, grants):
    # The relay knows the sequences, and the lease and the commit index are
    # those of the reply.
    for grant in grants:
        short = reply.short_grants.add()
        if grant is None:
            short.is_unknown = True
            continue
        if grant.granted:
            reply.lease_ms = grant.lease_ms
            reply.commit_index = grant.commit_index
            short.granted = True
            continue
        short.refusal.CopyFrom(grant)


def decode_short_grants(reply, renewals):
    """Return the grants of short renewals, None where unknown."""
    # A leader of an older build does not answer them.
    grants = [None] * len(renewals)
    for number, (renewal, short) in enumerate(
        zip(renewals, reply.short_grants)
    ):
        if short.granted:
            grants[number] = control_pb2.Grant(
                granted=True,
                lease_ms=reply.lease_ms,
                commit_index=reply.commit_index,
                sequence=renewal.sequence,
            )
        elif not short.is_unknown:
            grants[number] = short.refusal
    return grants
