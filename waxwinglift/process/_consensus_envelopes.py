"""Encoding of consensus messages between control members.

Heartbeats and their answers, which are most of the messages, have a short form
for members that have stated in an answer that they read it.
"""

from collections.abc import Callable

from waxwinglift.process._registry import Registry
from waxwinglift.process._types import Address
from waxwinglift.process._types import DaemonId
from waxwinglift.process.rpc import control_pb2
from waxwinglift.version._consensus_messages import AppendRequest
from waxwinglift.version._consensus_messages import AppendResponse
from waxwinglift.version._consensus_messages import decode_message
from waxwinglift.version._consensus_messages import encode_message
from waxwinglift.version._consensus_messages import Message

# Functions that fill the short form of a message, by its class.
_SHORTENERS = Registry()


def encode_envelope(
    sender: DaemonId,
    recipient: DaemonId,
    message: Message,
    address: Address | None,
    is_short: bool,
):
    """Return the envelope of a message.

    Parameters
    ----------
    address : Address or None
        Where the sender listens; None if the recipient knows it.
    is_short : bool
        Whether the recipient reads the short form.
    """
    envelope = control_pb2.ConsensusEnvelope(
        sender=sender, recipient=recipient
    )
    if address is not None:
        envelope.sender_host = address.host
        envelope.sender_port = address.port
    shorten: Callable | None = _SHORTENERS.get(type(message))
    if not (is_short and shorten and shorten(envelope, message)):
        envelope.payload = encode_message(message)
    return envelope


def decode_envelope(envelope) -> Message:
    """Return the message of an envelope.

    Raises
    ------
    ValueError
        The bytes are not a message of a known kind.
    """
    if envelope.HasField("heartbeat"):
        wire = envelope.heartbeat
        return AppendRequest(
            term=wire.term,
            previous_index=wire.previous_index,
            previous_term=wire.previous_term,
            entries=(),
            commit_index=wire.commit_index,
            sent_ms=wire.sent_ms,
        )
    if envelope.HasField("append_answer"):
        wire = envelope.append_answer
        return AppendResponse(
            term=wire.term,
            is_accepted=wire.is_accepted,
            match_index=wire.match_index,
            sent_ms=wire.sent_ms,
        )
    return decode_message(envelope.payload)


@_SHORTENERS.register(AppendRequest)
def _shorten_append(envelope, message):
    if message.entries:
        return False
    wire = envelope.heartbeat
    wire.SetInParent()
    wire.term = message.term
    wire.previous_index = message.previous_index
    wire.previous_term = message.previous_term
    wire.commit_index = message.commit_index
    wire.sent_ms = message.sent_ms
    return True


@_SHORTENERS.register(AppendResponse)
def _shorten_answer(envelope, message):
    wire = envelope.append_answer
    wire.SetInParent()
    wire.term = message.term
    wire.is_accepted = message.is_accepted
    wire.match_index = message.match_index
    wire.sent_ms = message.sent_ms
    return True
