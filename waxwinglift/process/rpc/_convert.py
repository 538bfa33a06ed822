"""Encoding of the types of ``version`` for gRPC.

Announcements and renewals become protobuf messages, answers to edits become
JSON, and snapshots, which are already encoded, are compressed.
"""

import zlib

import pydantic

from waxwinglift.process._checks import find_address_error
from waxwinglift.process._types import Address
from waxwinglift.process._types import DaemonId
from waxwinglift.process._types import DataCentre
from waxwinglift.process._types import Location
from waxwinglift.process._types import Region
from waxwinglift.process.rpc import control_pb2
from waxwinglift.version import EndpointId
from waxwinglift.version import GroupName
from waxwinglift.version import LogIndex
from waxwinglift.version import Term
from waxwinglift.version._announcements import Announcement
from waxwinglift.version._renewals import Renewal
from waxwinglift.version._renewals import DownEndpoint
from waxwinglift.version._fleet import EditAnswer
from waxwinglift.version._types import Incarnation

_ANSWER_ADAPTER = pydantic.TypeAdapter(EditAnswer)


def encode_answer(answer):
    """Return the JSON bytes of an `EditAnswer`."""
    return _ANSWER_ADAPTER.dump_json(answer)


def decode_answer(data):
    """Return the `EditAnswer` of JSON bytes.

    Raises
    ------
    ValueError
        If the bytes are not an answer to an edit.
    """
    return _ANSWER_ADAPTER.validate_json(data)


# Level of zlib: compresses the state of a fleet of the target size
# (docs/CAPACITY.md) from 1.56 MB to 98 KB in 6 ms.
SNAPSHOT_COMPRESSION_LEVEL = 1


def pack_snapshot(data):
    """Return an encoded fleet state, compressed for the proxies."""
    return zlib.compress(data, SNAPSHOT_COMPRESSION_LEVEL)


def unpack_snapshot(data):
    """Return the encoded fleet state that `pack_snapshot` compressed.

    Raises
    ------
    ValueError
        The bytes are not a compressed state.
    """
    try:
        return zlib.decompress(data)
    except zlib.error as error:
        raise ValueError(f"bad snapshot: {error}") from error


def _location(message):
    return Location(DataCentre(message.data_centre), Region(message.region))


def announcement_from_wire(message):
    """Return the `Announcement` of a protobuf message."""
    return Announcement(
        endpoint=EndpointId(message.endpoint),
        group=GroupName(message.group),
        address=Address(message.host, message.port),
        location=_location(message),
        slots_count=message.slots_count,
        connection_limit_count=message.connection_limit_count,
        group_size_count=message.group_size_count,
        term=Term(message.term),
        in_recovery=message.in_recovery,
        is_leaving=message.leaving,
        started_ms=message.started_ms,
        sequence=message.sequence,
        is_gone=message.gone,
    )


def announcement_to_wire(announcement):
    """Return the protobuf message of an `Announcement`."""
    return control_pb2.Announcement(
        endpoint=announcement.endpoint,
        group=announcement.group,
        host=announcement.address.host,
        port=announcement.address.port,
        data_centre=announcement.location.data_centre,
        region=announcement.location.region,
        slots_count=announcement.slots_count,
        connection_limit_count=announcement.connection_limit_count,
        group_size_count=announcement.group_size_count,
        term=announcement.term,
        in_recovery=announcement.in_recovery,
        leaving=announcement.is_leaving,
        started_ms=announcement.started_ms,
        sequence=announcement.sequence,
        gone=announcement.is_gone,
    )


def find_announcement_error(announcement):
    """Return the error in an announcement, an empty text if it is valid."""
    if not announcement.endpoint or not announcement.group:
        return "endpoint and group must be named"
    address_error = find_address_error(announcement.address)
    if address_error:
        return address_error
    if announcement.slots_count < 1:
        return "slots_count must be at least 1"
    if announcement.connection_limit_count < 3:
        return "connection_limit_count must be at least 3"
    if announcement.group_size_count < 1:
        return "group_size_count must be at least 1"
    return ""


def renewal_from_wire(message):
    """Return the `Renewal` of a protobuf message."""
    return Renewal(
        daemon=DaemonId(message.daemon),
        address=Address(message.host, message.port),
        location=_location(message),
        applied_index=LogIndex(message.applied_index),
        sequence=message.sequence,
        is_draining=message.draining,
        is_stopped=message.stopped,
        down=tuple(
            DownEndpoint(
                EndpointId(down.endpoint), Term(down.term), down.is_reachable
            )
            for down in message.down
        ),
        released=tuple(EndpointId(name) for name in message.released),
        incarnation=Incarnation(message.incarnation),
    )


def renewal_to_wire(renewal, traceparent=""):
    """Return the protobuf message of a `Renewal`."""
    return control_pb2.Renewal(
        daemon=renewal.daemon,
        host=renewal.address.host,
        port=renewal.address.port,
        data_centre=renewal.location.data_centre,
        region=renewal.location.region,
        applied_index=renewal.applied_index,
        draining=renewal.is_draining,
        stopped=renewal.is_stopped,
        down=[
            control_pb2.DownEndpoint(
                endpoint=down.endpoint,
                term=down.term,
                is_reachable=down.is_reachable,
            )
            for down in renewal.down
        ],
        released=list(renewal.released),
        sequence=renewal.sequence,
        traceparent=traceparent,
        incarnation=renewal.incarnation,
    )


def join_location_from_wire(message):
    """Return the `Location` of a `JoinRequest` message, None without one."""
    if not message.data_centre or not message.region:
        return None
    return Location(DataCentre(message.data_centre), Region(message.region))
