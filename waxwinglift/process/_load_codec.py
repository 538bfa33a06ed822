"""Conversion of the loads of endpoints to and from protobuf.

A record has its age, because the clocks of two proxies are not compared.
"""

from collections.abc import Iterable

from waxwinglift.process._peer_codec import decode_position
from waxwinglift.process._peer_codec import encode_position
from waxwinglift.process._types import DaemonId
from waxwinglift.process.rpc import peer_pb2
from waxwinglift.request._endpoint_load import EndpointLoad
from waxwinglift.version import EndpointId


def encode_loads(
    wire_loads,
    loads: Iterable[EndpointLoad],
    now_ms: float,
    endpoint: EndpointId | None = None,
):
    """Fill a list of EndpointLoad messages.

    ``endpoint`` is the one whose answer contains the list; its record needs
    no name.
    """
    for load in loads:
        wire = wire_loads.add()
        if load.endpoint != endpoint:
            wire.endpoint = load.endpoint
        wire.age_ms = max(0, round(now_ms - load.observed_ms))
        wire.slots_count = load.slots_count
        wire.running_count = load.running_count
        wire.wait_ms = round(load.expected_wait_ms)
        wire.lag_ms = round(load.lag_ms)
        wire.failure_percent = round(100 * load.failure_ratio)
        if load.position is not None:
            encode_position(wire.position, load.position)


def decode_loads(
    wire_loads, now_ms: float, endpoint: EndpointId | None = None
) -> tuple[EndpointLoad, ...]:
    """Return the loads of a list of EndpointLoad messages."""
    return tuple(
        EndpointLoad(
            endpoint=EndpointId(wire.endpoint) if wire.endpoint else endpoint,
            observed_ms=now_ms - wire.age_ms,
            slots_count=wire.slots_count,
            running_count=wire.running_count,
            expected_wait_ms=float(wire.wait_ms),
            position=(
                decode_position(wire.position)
                if wire.HasField("position")
                else None
            ),
            lag_ms=float(wire.lag_ms),
            failure_ratio=wire.failure_percent / 100,
        )
        for wire in wire_loads
        if wire.endpoint or endpoint is not None
    )


def encode_report(sender: DaemonId, loads, now_ms: float):
    """Return the message with which an owner reports loads to another."""
    message = peer_pb2.LoadReport(sender=sender)
    encode_loads(message.loads, loads, now_ms)
    return message
