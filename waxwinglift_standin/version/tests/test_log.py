"""Tests log positions, the divergence check and the log store."""

import pytest

from waxwinglift_standin.version import find_divergence
from waxwinglift_standin.version import format_lsn
from waxwinglift_standin.version import open_store
from waxwinglift_standin.version import parse_lsn
from waxwinglift_standin.version._log import decode_transaction
from waxwinglift_standin.version._log import encode_transaction
from waxwinglift_standin.version._log import LoggedStatement
from waxwinglift_standin.version._log import LoggedTransaction
from waxwinglift_standin.version._log import StatementLog

TRANSACTION = LoggedTransaction(
    6, [LoggedStatement("INSERT", (1, "a", b"\x00", None), (0.5, b"\x01"))]
)


@pytest.mark.parametrize(
    ("lsn", "text"),
    [(0x1000000, "0/01000000"), ((3 << 32) + 0xAB, "3/000000AB")],
)
def test_lsn_is_formatted_and_parsed(lsn, text):
    # Clients parse this text form to compare positions.
    assert format_lsn(lsn) == text
    assert parse_lsn(text) == lsn


def test_short_lsn_text_is_accepted():
    # PostgreSQL versions differ in whether they pad the second number.
    assert parse_lsn("0/16B3748") == 0x16B3748


def test_transaction_survives_encoding():
    # A replica replays decoded records, so bytes and NULL must be preserved.
    assert decode_transaction(encode_transaction(TRANSACTION)) == TRANSACTION


def make_log(terms):
    log = StatementLog()
    for term in terms:
        payload = encode_transaction(TRANSACTION)
        log.append(log.make_record(payload, term))
    return log


def test_same_transactions_have_the_same_positions():
    # Acknowledgement compares positions between the servers of a group.
    first, second = make_log([1, 1, 2]), make_log([1, 1, 2])
    assert first.records == second.records
    assert first.history == second.history
    assert all(r.end_lsn % 8 == 0 for r in first.records)


def test_record_with_a_gap_is_refused():
    # A gap would let a replica skip a transaction.
    record = make_log([1, 1]).records[1]
    with pytest.raises(ValueError, match="log ends at"):
        StatementLog().append(record)


@pytest.mark.parametrize(("offset", "index"), [(0, 0), (None, 2)])
def test_index_at_a_record_boundary_is_found(offset, index):
    log = make_log([1, 1])
    lsn = log.end_lsn if offset is None else log.records[0].start_lsn
    assert log.index_at(lsn) == index


def test_position_inside_a_record_is_refused():
    # Streaming from such a position would send part of a transaction.
    log = make_log([1, 1])
    with pytest.raises(ValueError, match="no record starts"):
        log.index_at(log.end_lsn - 8)


@pytest.mark.parametrize(
    ("own", "upstream", "reason"),
    [
        ([1], [1, 1], None),
        ([1], [1, 2], None),
        ([1, 2], [1, 2, 2], None),
        ([1, 1], [1, 1, 2], None),
        ([1, 1], [1, 2], "timeline 2 forked off"),
        ([1, 1, 1], [1, 2, 3, 3, 3], "timeline 2 forked off"),
        ([1, 1], [1], "ahead of the flush position"),
        ([1, 2], [1, 1], "is behind recovery timeline 2"),
        ([1, 1, 2], [1, 2, 2], "another starting point"),
        ([2], [1, 3], "is not in this server's history"),
    ],
)
def test_divergence_is_found(own, upstream, reason):
    # A replica that follows a log which forked earlier would mix histories.
    log, other = make_log(own), make_log(upstream)
    found = find_divergence(
        log.history, log.end_lsn, other.history, other.end_lsn
    )
    assert (found is None) == (reason is None)
    assert reason is None or reason in found


def test_store_returns_appended_records(tmp_path):
    # A restarted server needs its log, term and role.
    path = tmp_path / "log.db"
    log = make_log([1, 2])
    with open_store(path) as store:
        for record in log.records:
            store.append(record)
        store.save_value("role", "replica")
    with open_store(path) as store:
        assert store.load_records() == log.records
        assert store.load_value("role") == "replica"
        assert store.load_value("other") is None
