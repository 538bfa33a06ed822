"""Tests the inference of parameter and column types."""

import pytest

from waxwinglift_standin import process
from waxwinglift_standin.connection import PgType
from waxwinglift_standin.request._inference import Inference
from waxwinglift_standin.request._statement import parse_statements

_ = process  # importing it registers the SQL functions
TABLES = {
    "t": {"id": PgType.INT8, "name": PgType.TEXT, "n": PgType.NUMERIC},
    "u": {"id": PgType.INT4, "ok": PgType.BOOL},
}


def infer(text):
    (statement,) = parse_statements(text)
    return Inference(statement, lambda table: TABLES.get(table, {}))


@pytest.mark.parametrize(
    ("text", "types"),
    [
        ("select $1", ["TEXT"]),
        ("select $1::int8, cast($2 as bool)", ["INT8", "BOOL"]),
        ("select * from t where id = $1 and $2 = name", ["INT8", "TEXT"]),
        ("select * from t where t.id in ($1, $2)", ["INT8", "INT8"]),
        ("select * from t where id not in ($1)", ["INT8"]),
        ("select * from t where id between $1 and $2", ["INT8", "INT8"]),
        ("select * from t limit $1 offset $2", ["INT8", "INT8"]),
        ("insert into t values ($1, $2)", ["INT8", "TEXT"]),
        ("insert into t (n, id) values ($1, $2), (1, $3)",
         ["NUMERIC", "INT8", "INT8"]),
        ("update t set n = n + $1 where id = $2", ["NUMERIC", "INT8"]),
        ("select pg_sleep($1)", ["FLOAT8"]),
        ("select * from u where ok = $1", ["BOOL"]),
    ],
)  # fmt: skip
def test_parameter_types_are_inferred(text, types):
    # asyncpg encodes in binary by these types; a wrong type alters the value.
    found = infer(text).parameters(len(types), ())
    assert [pg_type.name for pg_type in found] == types


@pytest.mark.parametrize(
    ("parameter_oids", "types"),
    [((23,), ["INT4"]), ((0,), ["INT8"]), ((705,), ["INT8"])],
)
def test_specified_types_take_precedence(parameter_oids, types):
    # psycopg specifies the types of numbers but leaves those of text unknown.
    found = infer("select 1 from t where id = $1").parameters(
        1, parameter_oids
    )
    assert [pg_type.name for pg_type in found] == types


@pytest.mark.parametrize(
    ("text", "names", "types"),
    [
        ("select * from t", "id name n", ["INT8", "TEXT", "NUMERIC"]),
        ("select t.name, u.ok from t, u", "name ok", ["TEXT", "BOOL"]),
        ("select u.id from t, u", "id", ["INT4"]),
        ("select id + 1, -id as m from t", "x m", ["INT8", "INT8"]),
        ("select 1, 'a', 1.5, true, null", "a b c d e",
         ["INT4", "TEXT", "NUMERIC", "BOOL", "TEXT"]),
        ("select 3000000000 big", "big", ["INT8"]),
        ("select count(*), sum(id), max(name) from t", "c s m",
         ["INT8", "NUMERIC", "TEXT"]),
        ("select coalesce(null, 1), id > 2 and ok from u", "c a",
         ["TEXT", "BOOL"]),
        ("select case when ok then id else 0 end from u", "c", ["INT4"]),
        ("select (select id from u), exists (select 1)", "a b",
         ["INT4", "BOOL"]),
        ("select now(), pg_is_in_recovery(), not pg_is_in_recovery()",
         "n p q", ["TIMESTAMPTZ", "BOOL", "BOOL"]),
        ("insert into t values (1) returning id, name as x", "id x",
         ["INT8", "TEXT"]),
        ("with w as (select id from u) select id from w", "id", ["INT4"]),
    ],
)  # fmt: skip
def test_column_types_are_inferred(text, names, types):
    # With a wrong type, callers would decode rows as other values.
    found = infer(text).columns(names.split())
    assert [pg_type and pg_type.name for pg_type in found] == types
