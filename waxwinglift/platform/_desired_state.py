"""Decoding of an operator's document with the whole desired state."""

import json
from typing import Annotated
from typing import Literal

import pydantic
from result import Err
from result import Ok
from result import Result

from waxwinglift.platform._json import decode_json
from waxwinglift.platform._json import UINT32_MAX
from waxwinglift.version import GroupName
from waxwinglift.version import PoolName
from waxwinglift.version import PoolTable
from waxwinglift.version._desired import DesiredStateRequest
from waxwinglift.version._desired_formats import DESIRED_FORMATS
from waxwinglift.version._entries import GroupSettings
from waxwinglift.version._entries import PoolPolicy
from waxwinglift.version._entries import ServingLimits
from waxwinglift.version._rank_rows import rank_row
from waxwinglift.version._types import Consistency
from waxwinglift.version._types import DesiredVersion
from waxwinglift.version._types import WorkspaceName
from waxwinglift.version._workspaces import WorkspaceSettings
from waxwinglift.version._workspaces import digest_key

# Longest duration in force.  The proxies send durations in uint32 fields and
# may round them up, so it stays below UINT32_MAX.  The document that operators
# read keeps the value that was sent.
_DURATION_LIMIT_MS = 2**31 - 1

_CONSISTENCIES = {
    "primary": Consistency.PRIMARY,
    "bounded_staleness": Consistency.BOUNDED_STALENESS,
    "read_your_writes": Consistency.SESSION,
}

_Count = Annotated[int, pydantic.Field(ge=0)]
_Positive = Annotated[int, pydantic.Field(gt=0)]
_Name = Annotated[str, pydantic.Field(min_length=1)]
# Servers are told the name and callers send the key as one field of a line.
_Field = Annotated[str, pydantic.Field(pattern=r"^[\x21-\x7e]+\z")]
_Amount = Annotated[float, pydantic.Field(ge=0)]


class _DocumentModel(pydantic.BaseModel):
    """Base of the document's models; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(
        defer_build=True, extra="ignore", strict=True
    )


class _Route(_DocumentModel):
    name: _Name
    # Name of the database that callers request.
    host: _Name
    path_prefix: str = pydantic.Field("/", alias="pathPrefix")
    kind: Literal["primary", "bounded_staleness", "read_your_writes"]
    # Limit for a statement, not for a transaction.
    timeout_ms: _Positive = pydantic.Field(alias="timeoutMs")
    # Target for a whole transaction, without the caller's pauses.
    target_latency_ms: _Positive = pydantic.Field(alias="targetLatencyMs")
    priority: _Count
    service: _Name
    max_attempts: _Positive = pydantic.Field(1, alias="maxAttempts")
    max_staleness_ms: _Count | None = pydantic.Field(
        None, alias="maxStalenessMs"
    )
    # None where the document does not say; see `_is_public`.
    is_public: bool | None = pydantic.Field(None, alias="public")


class _Service(_DocumentModel):
    name: _Name
    max_conns: _Positive = pydantic.Field(alias="maxConns")
    sync_replicas: _Count = pydantic.Field(0, alias="syncReplicas")


class _Tenant(_DocumentModel):
    """A workspace, in the words of the document."""

    name: _Field
    keys: list[_Field] = pydantic.Field(default_factory=list, alias="apiKeys")
    rate_per_s: _Amount | None = pydantic.Field(None, alias="ratePerS")
    burst_count: _Amount = pydantic.Field(0.0, alias="burst")


class _Limits(_DocumentModel):
    idle_block_ms: _Count = pydantic.Field(0, alias="txIdleMs")


class _Document(_DocumentModel):
    version: _Positive
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    # None where the deployment has no tenants.
    tenants: list[_Tenant] | None = None


@DESIRED_FORMATS.register("platform")
def decode_desired_state(body: bytes) -> Result[DesiredStateRequest, str]:
    """Return the request of an operator's document, or why it is invalid."""
    try:
        values = decode_json(body)
        document = _Document.model_validate(values)
        lines = _split_into_lines(values)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False)[0]
        key = ".".join(str(part) for part in first["loc"])
        return Err(f"{key}: {first['msg']}")
    except ValueError as error:
        return Err(f"not JSON: {error}")
    except RecursionError:
        # The encoder refuses nesting that the decoder has just accepted.
        return Err("not JSON: the document is nested too deeply")
    problem = _find_problem(document)
    if problem is not None:
        return Err(problem)
    return Ok(
        DesiredStateRequest(
            version=DesiredVersion(document.version),
            document=lines,
            pools=tuple(
                _make_pool(route, _is_public(route, document))
                for route in document.routes
            ),
            groups=tuple(
                _make_group_settings(one) for one in document.services
            ),
            limits=ServingLimits(
                _clip_duration(document.limits.idle_block_ms)
            ),
            workspaces=tuple(
                _make_workspace(one) for one in document.tenants or ()
            ),
        )
    )


def encode_document(lines: tuple[str, ...]) -> bytes:
    """Return the response body of a stored document."""
    return "\n".join(lines).encode()


def _find_problem(document):
    services = [service.name for service in document.services]
    if len(set(services)) != len(services):
        return "a service is listed twice"
    seen_prefixes = set()
    for route in document.routes:
        if route.service not in services:
            return f"route {route.name} names unknown service {route.service}"
        prefix = (route.host, route.path_prefix)
        if prefix in seen_prefixes:
            return (
                f"two routes have host {route.host} and path prefix "
                f"{route.path_prefix}"
            )
        seen_prefixes.add(prefix)
    return _find_tenant_problem(document.tenants or ())


def _find_tenant_problem(tenants):
    names = [tenant.name for tenant in tenants]
    if len(set(names)) != len(names):
        return "a tenant is listed twice"
    holders = {}
    for tenant in tenants:
        for key in tenant.keys:
            holder = holders.setdefault(key, tenant.name)
            if holder != tenant.name:
                return f"tenants {holder} and {tenant.name} share a key"
    return None


def _is_public(route, document):
    """Return whether a route needs no key.

    A route that does not say so needs one wherever there are tenants.
    """
    if route.is_public is None:
        return document.tenants is None
    return route.is_public


def _split_into_lines(values):
    """Return the document's lines, with each list entry on its own line.

    Successive versions then differ in few lines only.
    """
    lines = ["{"]
    for number, (key, value) in enumerate(values.items()):
        end = "," if number < len(values) - 1 else ""
        if isinstance(value, list) and value:
            lines.append(f"{json.dumps(key)}:[")
            lines += [_encode_compact(item) + "," for item in value[:-1]]
            lines += [_encode_compact(value[-1]), f"]{end}"]
        else:
            lines.append(f"{json.dumps(key)}:{_encode_compact(value)}{end}")
    lines.append("}")
    return tuple(lines)


def _encode_compact(value):
    return json.dumps(value, separators=(",", ":"))


def _clip_duration(value_ms):
    return min(value_ms, _DURATION_LIMIT_MS)


def _max_staleness_ms(route):
    """Return the limit in force; 0 stands for none in `PoolPolicy`.

    A limit of 0 excludes all older data.  1 ms does the same: it is below the
    margin for the answer, so that each read gets a new position of the
    primary.
    """
    if route.max_staleness_ms is None:
        return 0
    return max(1, _clip_duration(route.max_staleness_ms))


def _make_pool(route, is_public):
    policy = PoolPolicy(
        consistency=_CONSISTENCIES[route.kind],
        urgency_index=route.priority,
        statement_timeout_ms=_clip_duration(route.timeout_ms),
        target_latency_ms=_clip_duration(route.target_latency_ms),
        max_staleness_ms=_max_staleness_ms(route),
        attempt_limit_count=route.max_attempts,
        is_public=is_public,
    )
    return PoolTable(
        pool=PoolName(route.host),
        group=GroupName(route.service),
        rows=(rank_row(policy),),
        policy=policy,
    )


def _make_group_settings(service):
    return GroupSettings(
        group=GroupName(service.name),
        connection_limit_count=min(service.max_conns, UINT32_MAX),
        sync_replicas_count=service.sync_replicas,
    )


def _make_workspace(tenant):
    # The order of the keys has no meaning.
    digests = sorted({digest_key(key.encode()) for key in tenant.keys})
    return WorkspaceSettings(
        workspace=WorkspaceName(tenant.name),
        keys=tuple(digests),
        rate_per_s=tenant.rate_per_s,
        burst_count=tenant.burst_count,
    )
