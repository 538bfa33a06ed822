"""Decoding of servers' heartbeats and deregistrations."""

from typing import Annotated
from typing import Literal

import pydantic
from result import Err
from result import Ok
from result import Result

from waxwinglift.platform._json import decode_json
from waxwinglift.platform._json import UINT32_MAX
from waxwinglift.platform._json import UINT64_MAX
from waxwinglift.process import _checks
from waxwinglift.process import Address
from waxwinglift.process import DataCentre
from waxwinglift.process import Location
from waxwinglift.process import Region
from waxwinglift.version import EndpointId
from waxwinglift.version import GroupName
from waxwinglift.version import Term
from waxwinglift.version._announcements import Announcement

_PRIMARY = "primary"
_LEAVING = "draining"


class _Heartbeat(pydantic.BaseModel):
    """Body of a heartbeat; it is not trusted: every field is validated."""

    model_config = pydantic.ConfigDict(
        defer_build=True,
        extra="ignore",
        strict=True,
        arbitrary_types_allowed=True,
    )

    service: str = pydantic.Field(min_length=1)
    address: Annotated[
        Address, pydantic.BeforeValidator(_checks.check_server_address)
    ]
    zone: str = pydantic.Field(min_length=1)
    # Of the server's software; not used, but servers always send it.
    version: str
    # Statements that the server runs concurrently.
    capacity: int = pydantic.Field(ge=1, le=UINT32_MAX)
    state: Literal["ready", "draining"]
    # Not used, but servers always send it.
    warmup_left_ms: float = pydantic.Field(
        alias="warmupLeftMs", ge=0, allow_inf_nan=False
    )
    role: Literal["primary", "replica"] = pydantic.Field(alias="dbRole")
    sequence: int = pydantic.Field(ge=0, le=UINT64_MAX)
    # Wall-clock milliseconds of the start.  Optional, because the examples of
    # the platform leave it out.
    born: int = pydantic.Field(0, ge=0, le=UINT64_MAX)


class _Deregistration(pydantic.BaseModel):
    """Body of a deregistration; other fields are ignored."""

    model_config = pydantic.ConfigDict(
        defer_build=True, extra="ignore", strict=True
    )

    born: int = pydantic.Field(0, ge=0, le=UINT64_MAX)


def decode_announcement(
    endpoint: str, body: bytes, regions: dict[str, str]
) -> Result[Announcement, str]:
    """Return the announcement of a heartbeat, or why it is invalid.

    Parameters
    ----------
    endpoint : str
        Id from the path.
    body : bytes
        JSON document.
    regions : dict of str to str
        Region of each data centre.
    """
    if not endpoint:
        return Err("the path has no endpoint id")
    try:
        heartbeat = _Heartbeat.model_validate(decode_json(body))
    except ValueError as error:
        return Err(f"not a valid heartbeat: {error}")
    region = regions.get(heartbeat.zone, heartbeat.zone)
    return Ok(
        Announcement(
            endpoint=EndpointId(endpoint),
            group=GroupName(heartbeat.service),
            address=heartbeat.address,
            location=Location(DataCentre(heartbeat.zone), Region(region)),
            slots_count=heartbeat.capacity,
            connection_limit_count=0,
            group_size_count=0,
            term=Term(0),
            in_recovery=heartbeat.role != _PRIMARY,
            is_leaving=heartbeat.state == _LEAVING,
            # At least 1, since 0 means that an endpoint does not report its
            # start.  Heartbeats without a start time are then ordered by the
            # sequence alone.
            started_ms=max(1, heartbeat.born),
            sequence=heartbeat.sequence,
        )
    )


def make_deregistration(endpoint: str, started_ms: int) -> Announcement:
    """Return the announcement of a server that leaves permanently.

    ``started_ms`` is the time of its start, 0 if unknown.
    """
    return Announcement(
        endpoint=EndpointId(endpoint),
        group=GroupName(""),
        address=Address("", 0),
        location=Location(DataCentre(""), Region("")),
        slots_count=0,
        connection_limit_count=0,
        group_size_count=0,
        term=Term(0),
        in_recovery=True,
        started_ms=started_ms,
        # At least the sequence of every heartbeat since the same start, so
        # that none of them is processed later.
        sequence=UINT64_MAX,
        is_gone=True,
    )


def decode_deregistration(
    endpoint: str, body: bytes
) -> Result[Announcement, str]:
    """Return the announcement of a deregistration, or why it is invalid.

    Without a body, or without ``born`` in it, the start time is unknown.
    """
    if not endpoint:
        return Err("the path has no endpoint id")
    try:
        values = decode_json(body) if body else {}
        started_ms = _Deregistration.model_validate(values).born
    except ValueError as error:
        return Err(f"not a valid deregistration: {error}")
    return Ok(make_deregistration(endpoint, started_ms))
