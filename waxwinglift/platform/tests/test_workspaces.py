"""Tests of workspaces' keys from a caller's session to the servers."""

import asyncio
import contextlib
import dataclasses
import math

import pytest

from waxwinglift.platform.tests.statement_fleet import GROUP
from waxwinglift.platform.tests.statement_fleet import running_statement_fleet
from waxwinglift.version import GroupPhase
from waxwinglift.version import PoolName
from waxwinglift.version import TableVersion
from waxwinglift.version._fleet import Pool
from waxwinglift.version._workspaces import WorkspaceSettings
from waxwinglift.version._workspaces import digest_key
from waxwinglift_standin.platform import Caller

_AGE_LIMIT_MS = 3000.0
_POOLS = ("pay", "look", "refill")


def _set_workspaces(state, **keys):
    """Give each workspace its keys; other workspaces are removed."""
    for workspace in list(state.workspaces):
        state.remove_workspace(workspace)
    for workspace, names in keys.items():
        digests = tuple(digest_key(name.encode()) for name in names)
        state.set_workspace(WorkspaceSettings(workspace, digests))


def _set_public(state, names, is_public):
    for name in names:
        table = state.pools[PoolName(name)].table
        policy = dataclasses.replace(table.policy, is_public=is_public)
        changed = dataclasses.replace(table, policy=policy)
        state.set_pool(PoolName(name), Pool(changed, TableVersion(1)))


@contextlib.asynccontextmanager
async def running_workspaces(proxy_count=1, **keys):
    """Yield a fleet whose pools need the keys of workspaces."""
    entry = {"view_age_limit_ms": _AGE_LIMIT_MS}
    async with running_statement_fleet(proxy_count, entry=entry) as fleet:
        _set_public(fleet.state, _POOLS, False)
        _set_workspaces(fleet.state, **keys)
        for proxy in fleet.proxies:
            proxy.view.notify()
        yield fleet


def _statements(fleet):
    """Return the client's name by request id, proxies' commands excluded."""
    return {
        request: client
        for server in fleet.group.servers.values()
        for request, client in server.clients
        if request != b"-"
    }


def run(work):
    asyncio.run(work())


@pytest.mark.parametrize("pool", _POOLS)
@pytest.mark.parametrize("key", ["other", "acme", "K1"])
def test_unknown_key_is_refused_at_the_start(pool, key):
    # A workspace's name is no secret, so it must not serve as a key.
    async def work():
        async with running_workspaces(acme=["k1"]) as fleet:
            with pytest.raises(ConnectionError, match="^NOAUTH "):
                async with fleet.connected(pool, key):
                    pass
            assert not _statements(fleet)

    run(work)


@pytest.mark.parametrize("proxy_count", [1, 2])
def test_servers_are_told_the_workspace_and_never_the_key(proxy_count, caplog):
    # A statement under another workspace's name would be charged to it, also
    # when it is forwarded or uses a connection that another one has left.
    async def work():
        keys = {"acme": ["secret-1", "secret-2"], "birch": ["secret-3"]}
        expected = {}
        async with running_workspaces(proxy_count, **keys) as fleet:
            for number in range(4):
                for workspace, names in keys.items():
                    for name in names:
                        for pool in _POOLS:
                            async with fleet.connected(pool, name) as caller:
                                text = f"WRITE i{number} {workspace}"
                                answer = await caller.query(text)
                                assert answer.is_success, answer
                                expected[answer.request] = workspace.encode()
                                answer = await caller.query("BEGIN")
                                answer = await caller.query(f"READ i{number}")
                                assert answer.is_success, answer
                                expected[answer.request] = workspace.encode()
            assert _statements(fleet) == expected
            for server in fleet.group.servers.values():
                clients = {client for _, client in server.clients}
                assert not any(b"secret" in client for client in clients)
            with pytest.raises(ConnectionError) as refused:
                async with fleet.connected("pay", "secret-4"):
                    pass
            assert "secret" not in str(refused.value)

    caplog.set_level("DEBUG")
    run(work)
    assert caplog.records
    assert not any("secret" in str(r.__dict__) for r in caplog.records)


def _withdraw(fleet):
    _set_workspaces(fleet.state, acme=["k2"], birch=["k3"])


def _move(fleet):
    _set_workspaces(fleet.state, birch=["k1", "k3"], acme=["k2"])


def _age(fleet):
    for proxy in fleet.proxies:
        proxy.view.age_ms = lambda: _AGE_LIMIT_MS + 1


# What happens to a key in use, and the error of the next statement outside of
# a block and inside one.
_ENDINGS = {
    "withdrawn": (_withdraw, b"NOAUTH", b"NOAUTH"),
    "moved": (_move, None, b"ABORTED"),
    "unconfirmed": (_age, b"BUSY", b"BUSY"),
}


@pytest.mark.parametrize("ending", _ENDINGS)
@pytest.mark.parametrize("pool", _POOLS)
def test_open_session_cannot_go_on_with_a_lost_key(pool, ending):
    # Sessions stay open for hours, so a check at their start is not enough.
    change, error, _ = _ENDINGS[ending]

    async def work():
        async with running_workspaces(acme=["k1"], birch=["k3"]) as fleet:
            async with fleet.connected(pool, "k1") as caller:
                assert (await caller.query("WRITE a 1")).is_success
                change(fleet)
                answer = await caller.query("WRITE a 2")
                assert answer.error.split(b" ")[0] == (error or b"")
                if error is not None:
                    assert answer.request not in _statements(fleet)

    run(work)


@pytest.mark.parametrize("ending", _ENDINGS)
@pytest.mark.parametrize("text", ["WRITE a 2", "READ a", "COMMIT"])
def test_open_transaction_cannot_commit_with_a_lost_key(text, ending):
    # A transaction that was begun in time must not write for a workspace that
    # no longer lets the caller in.
    change, _, error = _ENDINGS[ending]

    async def work():
        async with running_workspaces(acme=["k1"], birch=["k3"]) as fleet:
            async with fleet.connected("pay", "k1") as caller:
                await caller.query("BEGIN")
                written = await caller.query("WRITE a 1")
                assert written.is_success
                change(fleet)
                answer = await caller.query(text)
                assert answer.error.split(b" ")[0] == error
                assert answer.state == b"I"
                assert answer.request not in _statements(fleet)
            primary = fleet.server("s1")
            assert written.request not in primary.log.requests()

    run(work)


def test_view_of_unknown_age_refuses_a_key_without_calling_it_unknown():
    # A proxy that has just started may lack a key that was added meanwhile.
    async def work():
        async with running_workspaces(acme=["k1"]) as fleet:
            _age(fleet)
            for key in ("k1", "new"):
                with pytest.raises(ConnectionError, match="^BUSY "):
                    async with fleet.connected("pay", key):
                        pass

    run(work)


def test_public_pool_needs_no_key_and_names_no_workspace():
    # Statements of anonymous callers must not run on a workspace's connection.
    async def work():
        async with running_workspaces(acme=["k1"]) as fleet:
            async with fleet.connected("pay", "k1") as caller:
                assert (await caller.query("WRITE a 1")).is_success
            _set_public(fleet.state, ["look"], True)
            _age(fleet)
            async with fleet.connected("look", "anyone") as caller:
                answer = await caller.query("WRITE a 2")
                assert answer.is_success
            assert _statements(fleet)[answer.request] == b"waxwinglift"

    run(work)


def _limit(fleet, name, burst_count):
    """Let a workspace start a few operations and then hardly any."""
    settings = fleet.state.workspaces[name]
    limited = dataclasses.replace(
        settings, rate_per_s=0.001, burst_count=burst_count
    )
    fleet.state.set_workspace(limited)


@pytest.mark.parametrize("proxy_count", [1, 2, 3])
def test_limit_of_a_workspace_holds_for_all_proxies_together(proxy_count):
    # Proxies that each count for themselves would grant it several times;
    # one that cannot ask the workspace's home would refuse everything.
    async def work():
        keys = {f"t{number}": [f"k{number}"] for number in range(4)}
        async with running_workspaces(proxy_count, **keys) as fleet:
            for name in keys:
                _limit(fleet, name, 3.0)
            for proxy in fleet.proxies:
                # The counts of a new home start at the rate of the limit.
                proxy.owners._homes.changed_ms = -math.inf
            served = dict.fromkeys(keys, 0)
            for workspace, (key,) in keys.items():
                for number in range(9):
                    entry = fleet.proxies[number % proxy_count].entry
                    async with Caller.connected(
                        entry.address, "pay", key
                    ) as caller:
                        answer = await caller.query("READ a")
                    served[workspace] += answer.is_success
                    if not answer.is_success:
                        assert answer.error.startswith(b"TOOMANY ")
                        assert answer.state == b"I"
            assert served == dict.fromkeys(keys, 3)

    run(work)


def test_statements_of_a_transaction_count_once():
    # The limit counts operations, not the statements of a transaction.
    async def work():
        async with running_workspaces(acme=["k1"]) as fleet:
            _limit(fleet, "acme", 1.0)
            async with fleet.connected("pay", "k1") as caller:
                assert (await caller.query("BEGIN")).is_success
                for text in ("READ a", "WRITE a 1", "READ a", "COMMIT"):
                    assert (await caller.query(text)).is_success
                answer = await caller.query("READ a")
                assert answer.error.startswith(b"TOOMANY ")

    run(work)


def test_operation_that_has_not_run_is_not_counted():
    # Callers repeat what was refused; the limit must not run out meanwhile.
    async def work():
        async with running_workspaces(acme=["k1"]) as fleet:
            _limit(fleet, "acme", 1.0)
            group = fleet.state.groups[GROUP]
            group.phase = GroupPhase.PROMOTING
            async with fleet.connected("pay", "k1") as caller:
                answer = await caller.query("WRITE a 1")
                assert answer.error.startswith(b"BUSY ")
                group.phase = GroupPhase.ACTIVE
                fleet.proxies[0].view.notify()
                assert (await caller.query("WRITE a 1")).is_success

    run(work)
