"""Tests which records of endpoints are sent and used."""

import pytest

from waxwinglift.request._endpoint_load import EndpointLoad
from waxwinglift.request._endpoint_load import LoadBook
from waxwinglift.request._endpoint_load import LoadReports
from waxwinglift.request._primary_progress import PrimaryProgress
from waxwinglift.version import Position


def make_load(wait_ms=0.0, lag_ms=0.0, observed_ms=0.0, **fields):
    """Return a record of an endpoint with six slots."""
    running_count = 6 if wait_ms else 2
    return EndpointLoad(
        "s1", observed_ms, 6, running_count, wait_ms, lag_ms=lag_ms, **fields
    )


@pytest.mark.parametrize(
    "loads, expected",
    [
        # An endpoint in its normal state costs no bytes.
        ([{}, {"wait_ms": 20}, {"lag_ms": 150}], "---"),
        # It becomes full, and free again.
        ([{"wait_ms": 200}, {"wait_ms": 250}, {"wait_ms": 0}], "x-x"),
        # A queue that varies around a value is not reported each time.
        ([{"wait_ms": ms} for ms in (120, 80, 150, 70, 300)], "x---x"),
        # A replica falls behind and catches up.
        ([{"lag_ms": ms} for ms in (700, 800, 2000, 90)], "x-xx"),
        ([{"failure_ratio": 1.0}, {}], "xx"),
    ],
)
def test_only_notable_changes_are_sent(loads, expected):
    """Bytes between regions are charged."""
    reports = LoadReports()
    sent = [
        bool(reports.select([make_load(**load, observed_ms=n)], n))
        for n, load in enumerate(loads)
    ]
    assert "".join("x" if is_sent else "-" for is_sent in sent) == expected


@pytest.mark.parametrize(
    "fields, expected_count", [({"wait_ms": 300}, 5), ({}, 0)]
)
def test_state_that_is_not_normal_is_repeated(fields, expected_count):
    """Without repetition, the record would count as too old."""
    reports = LoadReports()
    times_ms = range(0, 5000, 100)
    sent_count = sum(
        len(reports.select([make_load(**fields, observed_ms=ms)], ms))
        for ms in times_ms
    )
    assert sent_count == expected_count


def test_required_record_is_sent_in_any_case():
    """A refusal must state its reason also to a proxy that was told it."""
    reports = LoadReports()
    load = make_load(wait_ms=300.0)
    for _ in range(2):
        assert reports.select([load], 1.0, ["s1"]) == (load,)


def test_end_of_a_reported_lag_is_reported():
    """A refused proxy would avoid a replica that has caught up.

    The route accepts only data that is younger than the usual lag.
    """
    reports = LoadReports()
    reports.select([make_load(lag_ms=300.0)], 0.0, ["s1"])
    assert reports.select([make_load(lag_ms=0.0, observed_ms=5.0)], 5.0)


@pytest.mark.parametrize(
    "load, age_ms, is_known, lag_ms",
    [
        (make_load(), 1999.0, True, None),
        (make_load(wait_ms=90.0), 2001.0, False, None),
        (make_load(lag_ms=200.0), 400.0, True, 200.0),
        (make_load(lag_ms=200.0), 1500.0, True, None),
        # The data of a replica that has stopped applying grows older.
        (make_load(lag_ms=900.0), 500.0, True, 1400.0),
        (make_load(lag_ms=900.0), 4900.0, False, 1900.0),
        (make_load(lag_ms=900.0), 5100.0, False, None),
    ],
)
def test_old_records_are_not_used(load, age_ms, is_known, lag_ms):
    """Proxies that nobody tells anything must ask the endpoint again."""
    book = LoadBook()
    book.record([load])
    assert (book.find("s1", age_ms) is not None) is is_known
    assert book.lag_ms("s1", age_ms) == lag_ms


def test_newer_record_is_kept():
    """Records arrive on several ways, and an older one may come last."""
    book = LoadBook()
    book.record([make_load(observed_ms=50.0)])
    book.record([make_load(wait_ms=400.0, observed_ms=20.0)])
    assert book.find("s1", 60.0).has_free_slot


@pytest.mark.parametrize(
    "samples, lsn, expected_ms",
    [
        ([], 5, 0.0),
        # Nothing that is known is missing.
        ([(100, 10), (400, 20)], 20, 0.0),
        ([(100, 10), (400, 20)], 15, 900.0),
        # Samples that were rare prove no greater age than the usual ones.
        ([(100, 10), (800, 20)], 15, 500.0),
        ([(100, 10), (400, 20), (700, 30)], 20, 600.0),
        # The replica has not even reached the first sample.
        ([(100, 10), (400, 20)], 5, 1200.0),
        ([(100, 10), (900, 10)], 5, 1200.0),
        # An idle primary makes no data older.
        ([(100, 10), (400, 10), (900, 10)], 10, 0.0),
        ([(100, 10), (500, 10), (750, 20)], 10, 500.0),
    ],
)
def test_lag_of_a_replica_follows_from_the_primary(samples, lsn, expected_ms):
    """A replica must count as behind exactly while its reads are refused."""
    progress = PrimaryProgress()
    for observed_ms, sample_lsn in samples:
        progress.record(observed_ms, Position(1, sample_lsn))
    assert progress.age_ms(Position(1, lsn), 1000.0) == expected_ms
