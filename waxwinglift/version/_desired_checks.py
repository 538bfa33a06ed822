"""Checks of a desired state before it is sent, and its differences.

A state that these checks complain about may still be accepted: they find what
an operator can hardly have meant.
"""

import collections
from collections.abc import Iterator
import dataclasses
import enum

from waxwinglift.process._registry import Registry
from waxwinglift.version._apply_desired import desired_version
from waxwinglift.version._desired import DesiredStateRequest
from waxwinglift.version._desired import plan_replacement
from waxwinglift.version._edits import find_table_error
from waxwinglift.version._fleet import FleetState
from waxwinglift.version._types import Consistency
from waxwinglift.version._types import DesiredVersion

# Fewest connections of an endpoint: one each for its owner, its standby owner
# and control.
_CONNECTIONS_MIN_COUNT = 3
# Functions that yield the problems of a request, by what they check.
_CHECKS = Registry()


class ProblemKind(enum.Enum):
    """What is wrong with an entry of a desired state."""

    INVALID = "invalid"
    UNMATCHED = "never matches"
    CONTRADICTION = "contradiction"
    OUTDATED = "outdated"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One problem; ``entry`` names a pool, a group or a workspace."""

    kind: ProblemKind
    entry: str
    text: str


class ChangeKind(enum.Enum):
    """How an entry differs from the state in force."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One entry that differs from the state in force."""

    kind: ChangeKind
    entry: str


def find_problems(
    request: DesiredStateRequest, fleet: FleetState | None
) -> tuple[Problem, ...]:
    """Return all problems of a request.

    Parameters
    ----------
    request : DesiredStateRequest
    fleet : FleetState or None
        State in force, if it is known.
    """
    return tuple(
        problem
        for check in _CHECKS.values()
        for problem in check(request, fleet)
    )


def find_changes(
    request: DesiredStateRequest, fleet: FleetState
) -> tuple[Change, ...]:
    """Return the entries that a request changes, whatever its version."""
    next_version = DesiredVersion(desired_version(fleet) + 1)
    entry = plan_replacement(
        fleet, dataclasses.replace(request, version=next_version)
    )
    known_pools = fleet.desired.pool_names if fleet.desired else ()
    limits = None if fleet.desired is None else fleet.desired.limits
    changes = [
        _added_or_changed(f"pool {table.pool}", table.pool in known_pools)
        for table in entry.pools
    ]
    changes += _removed("pool", entry.removed_pools)
    changes += _group_changes(entry.groups, fleet)
    changes += [
        _added_or_changed(
            f"workspace {one.workspace}", one.workspace in fleet.workspaces
        )
        for one in entry.workspaces
    ]
    changes += _removed("workspace", entry.removed_workspaces)
    if entry.limits != limits:
        changes.append(_added_or_changed("limits", limits is not None))
    return tuple(changes)


def _group_changes(groups, fleet):
    known = {
        name: group.settings
        for name, group in fleet.groups.items()
        if group.settings is not None
    }
    for settings in groups:
        current = known.get(settings.group)
        if current != settings:
            yield _added_or_changed(
                f"group {settings.group}", current is not None
            )
    listed = {settings.group for settings in groups}
    yield from _removed("group", sorted(known.keys() - listed))


def _added_or_changed(entry, is_known):
    return Change(ChangeKind.CHANGED if is_known else ChangeKind.ADDED, entry)


def _removed(kind, names):
    return [Change(ChangeKind.REMOVED, f"{kind} {name}") for name in names]


@_CHECKS.register("names")
def _check_names(request, fleet) -> Iterator[Problem]:
    names = {
        "pool": [table.pool for table in request.pools],
        "group": [settings.group for settings in request.groups],
        "workspace": [one.workspace for one in request.workspaces],
    }
    for kind, listed in names.items():
        for name, count in collections.Counter(listed).items():
            if count > 1:
                text = f"is listed {count} times; only the last one is used"
                yield Problem(ProblemKind.UNMATCHED, f"{kind} {name}", text)


@_CHECKS.register("tables")
def _check_tables(request, fleet):
    for table in request.pools:
        error = find_table_error(table.pool, table)
        if error:
            yield Problem(ProblemKind.INVALID, f"pool {table.pool}", error)


@_CHECKS.register("groups")
def _check_groups(request, fleet):
    groups = {settings.group for settings in request.groups}
    used = {table.group for table in request.pools}
    for table in request.pools:
        if table.group not in groups:
            text = f"its group {table.group} is not listed"
            yield Problem(ProblemKind.INVALID, f"pool {table.pool}", text)
    for name in sorted(groups - used):
        text = "no pool uses it"
        yield Problem(ProblemKind.UNMATCHED, f"group {name}", text)


@_CHECKS.register("keys")
def _check_keys(request, fleet):
    holders = {}
    for one in request.workspaces:
        entry = f"workspace {one.workspace}"
        if not one.keys:
            text = "has no key, so that no caller belongs to it"
            yield Problem(ProblemKind.UNMATCHED, entry, text)
        for key in one.keys:
            holder = holders.setdefault(key, one.workspace)
            if holder != one.workspace:
                text = f"shares a key with workspace {holder}"
                yield Problem(ProblemKind.INVALID, entry, text)
    private = [t for t in request.pools if t.policy and not t.policy.is_public]
    for table in private if not holders else ():
        text = "needs a key, but no workspace has one"
        yield Problem(ProblemKind.UNMATCHED, f"pool {table.pool}", text)
    if holders and request.pools and not private:
        text = "no pool needs a key, so that no workspace is used"
        yield Problem(ProblemKind.UNMATCHED, "workspaces", text)


@_CHECKS.register("ages")
def _check_ages(request, fleet):
    for table in request.pools:
        policy = table.policy
        if policy is None:
            continue
        has_age = policy.max_staleness_ms > 0
        entry = f"pool {table.pool}"
        if policy.consistency is Consistency.PRIMARY and has_age:
            text = "states a largest age, but reads at the primary only"
            yield Problem(ProblemKind.CONTRADICTION, entry, text)
        if policy.consistency is Consistency.BOUNDED_STALENESS and not has_age:
            text = "bounds the age of its reads, but states no largest age"
            yield Problem(ProblemKind.CONTRADICTION, entry, text)


@_CHECKS.register("rates")
def _check_rates(request, fleet):
    for one in request.workspaces:
        entry = f"workspace {one.workspace}"
        if one.rate_per_s is None and one.burst_count > 0:
            text = "states a burst, but no rate, so that nothing is limited"
            yield Problem(ProblemKind.CONTRADICTION, entry, text)
        if one.rate_per_s == 0 and one.keys:
            text = "has keys, but a rate of 0"
            yield Problem(ProblemKind.CONTRADICTION, entry, text)


@_CHECKS.register("connections")
def _check_connections(request, fleet):
    for settings in request.groups:
        limit_count = settings.connection_limit_count
        entry = f"group {settings.group}"
        if limit_count < _CONNECTIONS_MIN_COUNT:
            text = (
                f"allows {limit_count} connections; owner, standby owner and "
                f"control need {_CONNECTIONS_MIN_COUNT}"
            )
            yield Problem(ProblemKind.CONTRADICTION, entry, text)
        for endpoint in fleet.endpoints.values() if fleet else ():
            if endpoint.group != settings.group:
                continue
            if endpoint.slots_count > limit_count:
                text = (
                    f"allows {limit_count} connections, but endpoint "
                    f"{endpoint.endpoint} has {endpoint.slots_count} slots"
                )
                yield Problem(ProblemKind.CONTRADICTION, entry, text)


@_CHECKS.register("replicas")
def _check_replicas(request, fleet):
    for settings in request.groups if fleet else ():
        counts = collections.Counter(
            endpoint.group for endpoint in fleet.endpoints.values()
        )
        servers_count = counts[settings.group]
        if servers_count and settings.sync_replicas_count >= servers_count:
            text = (
                f"waits for {settings.sync_replicas_count} replicas, but has "
                f"{servers_count - 1}"
            )
            entry = f"group {settings.group}"
            yield Problem(ProblemKind.CONTRADICTION, entry, text)


@_CHECKS.register("version")
def _check_version(request, fleet):
    if fleet is None or request.version > desired_version(fleet):
        return
    is_in_force = (
        request.version == desired_version(fleet)
        and request.document == fleet.desired.document
        and not find_changes(request, fleet)
    )
    if not is_in_force:
        text = (
            f"version {request.version} would change nothing: version "
            f"{desired_version(fleet)} is in force"
        )
        yield Problem(ProblemKind.OUTDATED, "version", text)
