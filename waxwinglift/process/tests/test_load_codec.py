"""Tests the records of endpoints between proxies."""

import asyncio

import pytest

from waxwinglift.process import Location
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.process._data_path_types import NoMetrics
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._group_load import GroupLoads
from waxwinglift.process._load_codec import decode_loads
from waxwinglift.process._load_codec import encode_loads
from waxwinglift.process.rpc import peer_pb2
from waxwinglift.process.tests.peer_pair import peer_pair
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request._endpoint_load import EndpointLoad
from waxwinglift.request._endpoint_load import LoadReports
from waxwinglift.request.tests.test_routing_fastest import make_fleet
from waxwinglift.version import Position

FULL = EndpointLoad("b", 900.0, 6, 6, 312.0, Position(2, 70_000), 1800.0)
FREE = EndpointLoad("c", 950.0, 6, 3, 0.0, Position(2, 90_000), 150.0)


@pytest.mark.parametrize("asked", ["b", None])
def test_records_keep_their_age_on_another_clock(asked):
    """The clocks of two proxies differ by any amount."""
    end = peer_pb2.ExchangeEnd()
    encode_loads(end.loads, [FULL, FREE], 1000.0, asked)
    received = decode_loads(end.loads, 51_000.0, asked)
    ages_ms = [51_000.0 - load.observed_ms for load in received]
    assert ages_ms == [100.0, 50.0]
    assert [load.endpoint for load in received] == ["b", "c"]
    assert received[0].lag_ms == FULL.lag_ms
    assert received[0].expected_wait_ms == FULL.expected_wait_ms
    assert received[1].position == FREE.position


def test_record_of_the_asked_endpoint_is_small():
    """Bytes between regions are charged."""
    end = peer_pb2.ExchangeEnd()
    encode_loads(end.loads, [FULL], 1000.0, "b")
    assert end.ByteSize() <= 24


def _header(floor=None):
    return ExecuteHeader(
        endpoint="b",
        group="g",
        epoch=4,
        term=1,
        pool="look",
        rank="low",
        caller="c",
        floor=floor,
        max_age_ms=1500,
        deadline_left_ms=800,
        read_only=True,
        traceparent="",
        settings={},
        applied_index=1,
        in_block=False,
        to_standby=False,
        statement_timeout_ms=800,
        workspace=None,
        idempotency_key="",
    )


@pytest.mark.parametrize(
    "code, floor, expected",
    [
        # The answer of a normal endpoint has no record.
        (None, None, {}),
        # The refusal of a full queue names an endpoint with a free slot.
        (FailureCode.REJECTED, None, {"b": 150.0, "c": 150.0}),
        # The data is too old for the read, whatever the known positions show.
        (FailureCode.BEHIND, None, {"b": 1500.0}),
        # It may be recent and still lack the writes of the session.
        (FailureCode.BEHIND, Position(2, 99_000), {"b": 150.0}),
    ],
)
def test_refusal_states_its_reason_and_an_alternative(code, floor, expected):
    """The proxy would ask the same endpoint again, or refuse the read."""
    view = FleetView("pa", Location("dc-a", "region-a"), bool, make_fleet())
    loads = GroupLoads(view, lambda _: None, lambda: 1000.0, NoMetrics())
    asked = EndpointLoad("b", 950.0, 6, 6, 0.0, Position(2, 90_000), 150.0)
    loads.book.record([asked, FREE])
    failure = None if code is None else not_run(code, "refused")
    position = asked.position if code is FailureCode.BEHIND else None
    end = ExchangeEnd(failure=failure, failed_position=position)
    selected = loads.records_of_answer(_header(floor), end, LoadReports())
    assert {load.endpoint: load.lag_ms for load in selected} == expected


def test_replica_without_a_recent_position_of_the_primary_is_not_behind():
    """Entry proxies would pass it over for 5 s after the primary is back."""
    view = FleetView("pa", Location("dc-a", "region-a"), bool, make_fleet())
    loads = GroupLoads(view, lambda _: None, lambda: 1000.0, NoMetrics())
    asked = EndpointLoad("b", 950.0, 6, 6, 0.0, Position(2, 90_000), 150.0)
    loads.book.record([asked])
    end = ExchangeEnd(failure=not_run(FailureCode.BEHIND, "no position"))
    (told,) = loads.records_of_answer(_header(), end, LoadReports())
    assert told.lag_ms == 150.0


def test_report_does_not_disturb_a_proxy_that_shares_no_loads():
    """The setting of two proxies may differ while it is changed."""

    async def scenario():
        async with peer_pair() as pair:
            pair.client.send_loads(peer_pb2.LoadReport(sender="p1"))
            await asyncio.sleep(0.05)
            return await pair.client.group_position("g", 3)

    assert asyncio.run(scenario()).is_ok()
