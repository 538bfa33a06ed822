"""Validation and application of pool table edits, with stored answers."""

from waxwinglift.version._entries import PoolEdited
from waxwinglift.version._entries import PoolTable
from waxwinglift.version._fleet import EditAnswer
from waxwinglift.version._fleet import FleetState
from waxwinglift.version._fleet import PastTable
from waxwinglift.version._fleet import Pool
from waxwinglift.version._types import TableVersion

# Answers kept for edits that are resent; a month at 310 edits a day.
EDIT_ANSWERS_COUNT = 10_000
# Replaced tables kept per pool, to which an operator can roll back.
PAST_TABLES_COUNT = 10
# PostgreSQL truncates database names to 63 bytes.
POOL_NAME_LIMIT_BYTES = 63
ROWS_LIMIT_COUNT = 64

_ROW_RANGES = {
    "weight": (1, 1_000_000),
    "floor_percent": (0, 100),
    "limit_count": (0, 1_000_000),
    "queue_limit_count": (0, 1_000_000),
    "deadline_ms": (1, 86_400_000),
}


def find_table_error(pool, table):
    """Return why ``table`` is not valid for ``pool``, or None.

    The result depends only on the arguments, so that a resent invalid edit
    gets the same refusal without a stored answer.
    """
    if not 0 < len(pool.encode()) <= POOL_NAME_LIMIT_BYTES:
        return (
            f"pool name has {len(pool.encode())} bytes;"
            f" 1 to {POOL_NAME_LIMIT_BYTES} expected"
        )
    if table is None:
        return None
    if table.pool != pool:
        return f"table is for pool {table.pool!r}, not {pool!r}"
    if not table.group:
        return "group name is empty"
    return _find_rows_error(table.rows)


def _find_rows_error(rows):
    if not 0 < len(rows) <= ROWS_LIMIT_COUNT:
        return f"table has {len(rows)} rows; 1 to {ROWS_LIMIT_COUNT} expected"
    ranks = [row.rank for row in rows]
    if len(set(ranks)) != len(ranks):
        return "a rank is listed twice"
    for row in rows:
        error = _find_row_error(row)
        if error:
            return error
    floors_percent = sum(row.floor_percent for row in rows)
    if floors_percent > 100:
        return f"floor_percent adds up to {floors_percent}, above 100"
    return None


def _find_row_error(row):
    if not row.rank:
        return "rank name is empty"
    for name, (low, high) in _ROW_RANGES.items():
        value = getattr(row, name)
        if not low <= value <= high:
            return (
                f"{name} of {row.rank!r} is {value}; {low} to {high} expected"
            )
    return None


def current_version(state, pool):
    """Return the table version of ``pool``; 0 if it never existed."""
    known = state.pools.get(pool)
    return known.version if known else TableVersion(0)


def apply_edit(state: FleetState, edit: PoolEdited) -> EditAnswer:
    """Apply a valid edit and return its answer.

    A resent edit gets the answer of its first application.  The answer to a
    conflicting edit contains the current version.  Deleting a pool that does
    not exist is answered as not applied.
    """
    known_answer = state.edit_answers.get(edit.edit_id)
    if known_answer is not None:
        return known_answer
    version = current_version(state, edit.pool)
    is_applied = edit.expected_version == version and _is_effective(
        state, edit
    )
    if is_applied:
        version = TableVersion(version + 1)
        _set_table(state, edit.pool, edit.table, version)
    answer = EditAnswer(edit.pool, is_applied, version)
    _store_answer(state, edit.edit_id, answer)
    return answer


def _is_effective(state, edit):
    """Return False for the deletion of a pool that does not exist."""
    known = state.pools.get(edit.pool)
    exists = known is not None and known.table is not None
    return edit.table is not None or exists


def _set_table(state, pool, table: PoolTable | None, version):
    history = ()
    known = state.pools.get(pool)
    if known is not None:
        history = known.history
        if known.table is not None:
            history += (PastTable(known.version, known.table),)
    kept = history[-PAST_TABLES_COUNT:]
    state.set_pool(pool, Pool(table, version, kept))


def _store_answer(state, edit_id, answer):
    state.edit_answers[edit_id] = answer
    while len(state.edit_answers) > EDIT_ANSWERS_COUNT:
        oldest = next(iter(state.edit_answers))
        del state.edit_answers[oldest]
