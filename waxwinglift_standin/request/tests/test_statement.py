"""Tests the parsing of SQL that is also valid on a PostgreSQL server."""

import pytest

from waxwinglift_standin.request._statement import command_tag
from waxwinglift_standin.request._statement import parse_statements
from waxwinglift_standin.request._statement import StatementKind

READ = StatementKind.READ
WRITE = StatementKind.WRITE
LOCKING = StatementKind.LOCKING_READ
COMMAND = StatementKind.COMMAND


@pytest.mark.parametrize(
    ("text", "kind", "verb"),
    [
        ("select 1", READ, "SELECT"),
        ("/* c */ (select 1) -- end", READ, "SELECT"),
        ("with x as (select 1) select * from x", READ, "SELECT"),
        ("with x as (select 1) insert into t select 1", WRITE, "INSERT"),
        ("select * from t for update", LOCKING, "SELECT"),
        ("select * from t for no key update", LOCKING, "SELECT"),
        ("insert into t values (1)", WRITE, "INSERT"),
        ("create table t (a int)", WRITE, "CREATE"),
        ("begin read only", COMMAND, "BEGIN"),
        ("start transaction", COMMAND, "START TRANSACTION"),
        ("rollback to savepoint a", COMMAND, "ROLLBACK TO"),
        ("alter system set primary_conninfo = ''", COMMAND, "ALTER SYSTEM"),
        ("alter table t add b int", WRITE, "ALTER"),
    ],
)
def test_statements_are_classified(text, kind, verb):
    # A write classified as a read would run on a replica or not be logged.
    (statement,) = parse_statements(text)
    assert (statement.kind, statement.verb) == (kind, verb)


@pytest.mark.parametrize(
    ("text", "sql"),
    [
        ("select $1::int8", "SELECT CAST ( ?1 AS INTEGER )"),
        ("select a.b::text", "SELECT CAST ( a . b AS TEXT )"),
        ("select (1 + 2)::float8", "SELECT CAST ( ( 1 + 2 ) AS REAL )"),
        ("select f(x)::boolean", "SELECT standin_bool ( f ( x ) )"),
        ("select x::double precision", "SELECT CAST ( x AS REAL )"),
        ("select x::timestamp with time zone, 1",
         "SELECT standin_timestamptz ( x ) , 1"),
        ("select '1'::int4::text",
         "SELECT CAST ( CAST ( '1' AS INTEGER ) AS TEXT )"),
        ("select current_timestamp", "SELECT now ( )"),
        ("select 1 from public.t for share", "SELECT 1 FROM t"),
        ("select 'a::b $1 -- c'", "SELECT 'a::b $1 -- c'"),
        ("select $$it's$$", "SELECT 'it''s'"),
        ("select timeline_id from pg_control_checkpoint()",
         "SELECT timeline_id FROM pg_control_checkpoint"),
        ("select extract(epoch from (now() - x))",
         "SELECT ( standin_epoch ( now ( ) ) - standin_epoch ( x ) )"),
        ("truncate table t", "DELETE FROM t"),
        ("create table t (id bigserial primary key, at timestamptz default "
         "now())",
         "CREATE TABLE t ( id INTEGER PRIMARY KEY AUTOINCREMENT , "
         "at timestamptz default ( now ( ) ) )"),
    ],
)  # fmt: skip
def test_statements_are_rewritten_for_sqlite(text, sql):
    # If SQLite refused or misread valid PostgreSQL syntax, tests would have to
    # use SQL that is not valid on a real server.
    (statement,) = parse_statements(text)
    assert statement.sql.lower() == sql.lower()


@pytest.mark.parametrize(
    ("text", "count"),
    [("", 0), (" ; -- c", 0), ("a; b ;", 2), ("select ';'", 1)],
)
def test_text_is_split_into_statements(text, count):
    # A wrong split would run part of a statement.
    assert len(parse_statements(text)) == count


@pytest.mark.parametrize(
    ("text", "count", "tag"),
    [
        ("insert into t values (1)", 1, "INSERT 0 1"),
        ("update t set a = 1", 4, "UPDATE 4"),
        ("with x as (select 1) delete from t", 2, "DELETE 2"),
        ("select 1", 1, "SELECT 1"),
        ("create unique index i on t (a)", 0, "CREATE INDEX"),
        ("drop table t", 0, "DROP TABLE"),
    ],
)
def test_command_tag_contains_verb_and_row_count(text, count, tag):
    # Callers read the number of changed rows from the tag.
    (statement,) = parse_statements(text)
    assert command_tag(statement, count) == tag
