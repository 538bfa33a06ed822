"""Tests a change of primary, traces, large answers, standby owners."""

import asyncio

import psycopg
import pytest
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from waxwinglift.connection._token import encode_token
from waxwinglift.process.tests.data_path_fleet import GROUP
from waxwinglift.process.tests.data_path_fleet import SECRET
from waxwinglift.process.tests.test_data_path import connect
from waxwinglift.process.tests.test_data_path import fetch
from waxwinglift.process.tests.test_data_path import run
from waxwinglift.request._floors import FloorState
from waxwinglift.version import EndpointId
from waxwinglift.version import GroupPhase
from waxwinglift.version import Lsn
from waxwinglift.version import Position
from waxwinglift.version import Term
from waxwinglift.version import Timeline


async def change_primary(servers, proxies, skipped_terms_count=0):
    """Promote the second server and return the end of the old term.

    ``skipped_terms_count`` is the number of terms in between in which no
    server was promoted.
    """
    fleet = proxies[0].view.fleet
    group = fleet.groups[GROUP]
    old_term = group.term

    def notify():
        for proxy in proxies:
            proxy.view.notify()

    group.term = Term(old_term + 1 + skipped_terms_count)
    group.phase = GroupPhase.FENCING
    notify()
    servers[0].set_fault("cut_replication", "on")
    new = servers[1]
    address = new.address
    conninfo = f"host={address.host} port={address.port} user=t dbname=group"
    async with await psycopg.AsyncConnection.connect(
        conninfo, autocommit=True
    ) as direct:
        rows = await fetch(direct, "SELECT pg_last_wal_replay_lsn()")
        high, _, low = rows[0][0].partition("/")
        end_lsn = Lsn((int(high, 16) << 32) | int(low, 16))
        await fetch(direct, "SELECT pg_promote()")
        host = f"host={address.host} port={address.port}"
    address = servers[2].address
    conninfo = f"host={address.host} port={address.port} user=t dbname=group"
    async with await psycopg.AsyncConnection.connect(
        conninfo, autocommit=True
    ) as direct:
        await direct.execute(f"ALTER SYSTEM SET primary_conninfo = '{host}'")
        await fetch(direct, "SELECT pg_reload_conf()")
    group.primary = EndpointId(new.settings.id)
    group.term_ends[old_term] = end_lsn
    group.phase = GroupPhase.ACTIVE
    timeline = Timeline(new.state.log.term)
    group.timelines[timeline] = group.term
    for server in servers[1:]:
        fleet.endpoints[EndpointId(server.settings.id)].term = timeline
    fleet.remove_endpoint(EndpointId(servers[0].settings.id))
    notify()
    return Position(old_term, end_lsn)


@pytest.mark.parametrize("skipped_terms_count", [0, 1])
def test_replica_serves_floors_of_the_new_term(skipped_terms_count):
    # Timeline and term differ if a chosen server was replaced before its
    # promotion.  A replica whose timeline is used as its term would then never
    # reach a floor of the new term.
    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            await caller.execute("CREATE TABLE t (id int)")
            await change_primary(servers, proxies, skipped_terms_count)
            await caller.execute("INSERT INTO t VALUES (1)")
        fleet = proxies[0].view.fleet
        term = fleet.groups[GROUP].term
        replica = EndpointId(servers[2].settings.id)
        positions = proxies[0].owners.owner(replica).positions
        floor = Position(term, Lsn(servers[1].state.log.end_lsn))
        state = await positions.wait_for_floor(floor, 0, 3000.0)
        assert state is FloorState.MET

    run(scenario, proxy_count=1)


@pytest.mark.parametrize("proxy_count", [1, 2])
def test_session_keeps_its_writes_across_a_change_of_primary(proxy_count):
    # The session must be able to read its acknowledged write from the new
    # primary, and to write again.
    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            await caller.execute("CREATE TABLE t (id int)")
            await caller.execute("INSERT INTO t VALUES (1)")
            await change_primary(servers, proxies)
            assert await fetch(caller, "SELECT count(*) FROM t") == [(1,)]
            await caller.execute("INSERT INTO t VALUES (2)")
            assert await fetch(caller, "SELECT count(*) FROM t") == [(2,)]

    run(scenario, proxy_count=proxy_count)


@pytest.mark.parametrize(
    ("bytes_past_end", "sqlstate"), [(0, None), (1, "WX002"), (2**40, "WX002")]
)
def test_request_is_refused_if_its_floor_was_discarded(
    bytes_past_end, sqlstate
):
    # The session may have seen rows that the change of primary discarded;
    # running the statement would hide that.
    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            await caller.execute("CREATE TABLE t (id int)")
        end = await change_primary(servers, proxies)
        floor = Position(end.term, Lsn(end.lsn + bytes_past_end))
        token = encode_token(SECRET.encode(), GROUP, floor)
        async with await connect(proxies[0], f"token={token}") as caller:
            for text in ("SELECT count(*) FROM t", "INSERT INTO t VALUES (1)"):
                if sqlstate is None:
                    await caller.execute(text)
                    continue
                with pytest.raises(psycopg.Error) as caught:
                    await caller.execute(text)
                assert caught.value.sqlstate == sqlstate
                detail = caught.value.diag.message_detail
                assert detail == "verdict=not_run"

    run(scenario, proxy_count=1)


def test_trace_context_reaches_the_endpoint():
    # Without the trace context, the owner's spans would not be linked to the
    # request.
    exporter = InMemorySpanExporter()
    provider = TracerProvider()
    provider.add_span_processor(SimpleSpanProcessor(exporter))

    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            await fetch(caller, "SELECT 1")

    run(scenario, proxy_count=2, tracer=provider.get_tracer("test"))
    spans = {span.name: span for span in exporter.get_finished_spans()}
    names = ["caller.request", "owner.execute", "endpoint.statement"]
    for parent, child in zip(names, names[1:], strict=False):
        assert spans[child].parent.span_id == spans[parent].context.span_id


@pytest.mark.parametrize("access", ["auto", "write"])
def test_large_answers_pass_through_two_proxies(access):
    # A large answer exceeds the flow-control windows, frames and buffers.
    async def scenario(servers, proxies):
        async with await connect(proxies[0], f"access={access}") as caller:
            await caller.execute("CREATE TABLE t (id int, v text)")
            async with caller.transaction():
                for number in range(8):
                    await caller.execute(
                        "INSERT INTO t VALUES (%s, %s)",
                        (number, str(number) * 700_000),
                    )
            rows = await fetch(caller, "SELECT v FROM t ORDER BY id")
            assert [row[0][0] for row in rows] == list("01234567")
            assert {len(row[0]) for row in rows} == {700_000}

    run(scenario, proxy_count=2)


def test_answer_too_large_to_buffer_is_reported():
    # Sending the answer before a quorum has reached its position could
    # acknowledge a write that a change of primary discards.
    async def scenario(servers, proxies):
        async with await connect(proxies[0], "access=write") as caller:
            with pytest.raises(psycopg.Error) as caught:
                await fetch(caller, "SELECT %s", "x" * 5000)
            assert caught.value.sqlstate == "08007"
            assert await fetch(caller, "SELECT 1") == [(1,)]

    run(scenario, size=1, owner={"held_answer_limit_bytes": 2000})


def test_standby_owner_probes_but_does_not_serve():
    # Two owners that serve would exceed the endpoint's connection limit.
    async def scenario(servers, proxies):
        fleet = proxies[0].view.fleet
        standby = proxies[0].view.daemon
        for endpoint, assignment in list(fleet.owners.items()):
            fleet.owners[endpoint] = type(assignment)(
                endpoint, assignment.owner, standby, assignment.epoch
            )
        for proxy in proxies:
            proxy.view.notify()
        await asyncio.sleep(0.1)
        owners = proxies[0].owners
        assert {h.value for h in owners.health().values()} == {"up"}
        assert owners.released() == set(fleet.endpoints)
        async with await connect(proxies[0]) as caller:
            assert await fetch(caller, "SELECT 1") == [(1,)]

    run(scenario, proxy_count=2)
