"""Parses statements, classifies them and rewrites them for SQLite."""

import dataclasses
import enum
import functools

from waxwinglift_standin.request._lexer import find_word
from waxwinglift_standin.request._lexer import join
from waxwinglift_standin.request._lexer import split_statements
from waxwinglift_standin.request._lexer import Token
from waxwinglift_standin.request._lexer import tokenize
from waxwinglift_standin.request._registries import command_name
from waxwinglift_standin.request._rewrite import rewrite

_READ_VERBS = {"SELECT", "VALUES", "TABLE", "WITH", "EXPLAIN"}
_ROW_VERBS = ("SELECT", "INSERT", "UPDATE", "DELETE", "VALUES")
_LOCK_WORDS = {"UPDATE", "SHARE", "NO", "KEY"}
_SCHEMA_VERBS = {"CREATE", "DROP", "ALTER"}


class StatementKind(enum.Enum):
    """How a statement is run."""

    READ = "read"
    LOCKING_READ = "locking_read"
    WRITE = "write"
    COMMAND = "command"


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Statement:
    """Parsed statement; hashed by identity, so that it is a fast cache key.

    Parameters
    ----------
    kind : StatementKind
        How the statement is run.
    verb : str
        Keyword that determines the command tag, or the name of the command.
    tokens : tuple of Token
        Tokens as written by the caller.
    sql : str
        Text for SQLite, empty for commands.
    """

    kind: StatementKind
    verb: str
    tokens: tuple[Token, ...]
    sql: str

    @property
    def returns_rows(self):
        """Whether the statement has result columns."""
        if self.kind in (StatementKind.READ, StatementKind.LOCKING_READ):
            return True
        if self.kind is StatementKind.COMMAND:
            return self.verb == "SHOW"
        return find_word(self.tokens, {"RETURNING"}) is not None

    def parameters_count(self):
        """Return the highest parameter number of the statement."""
        numbers = [
            int(token.text[1:])
            for token in self.tokens
            if token.kind.value == "param"
        ]
        return max(numbers, default=0)


def _find_lock_clause(tokens):
    index = find_word(tokens, {"FOR"})
    if index is None or index + 1 >= len(tokens):
        return None
    return index if tokens[index + 1].upper in _LOCK_WORDS else None


def _main_verb(tokens):
    verb = tokens[0].upper
    if verb == "(":
        return "SELECT"
    if verb != "WITH":
        return verb
    index = find_word(tokens, set(_ROW_VERBS))
    return tokens[index].upper if index is not None else verb


def _contains_write(tokens):
    words = {token.upper for token in tokens}
    return bool(words & {"INSERT", "DELETE"}) or (
        "UPDATE" in words and "SET" in words
    )


def _classify(tokens, verb):
    if verb not in _READ_VERBS:
        return StatementKind.WRITE
    if _find_lock_clause(tokens) is not None:
        return StatementKind.LOCKING_READ
    if tokens[0].upper == "WITH" and _contains_write(tokens):
        return StatementKind.WRITE
    return StatementKind.READ


def _make_statement(tokens):
    command = command_name(tokens)
    if command is not None:
        return Statement(StatementKind.COMMAND, command, tuple(tokens), "")
    verb = _main_verb(tokens)
    kind = _classify(tokens, verb)
    tokens_without_lock = tokens[: _find_lock_clause(tokens)]
    return Statement(
        kind, verb, tuple(tokens), join(rewrite(tokens_without_lock))
    )


@functools.lru_cache(maxsize=2000)
def parse_statements(text):
    """Return the statements of a query string."""
    parts = split_statements(tokenize(text))
    return tuple(_make_statement(tokens) for tokens in parts)


def command_tag(statement, rows_count):
    """Return the command tag for CommandComplete."""
    verb = statement.verb
    if verb == "INSERT":
        return f"INSERT 0 {rows_count}"
    if verb in ("UPDATE", "DELETE"):
        return f"{verb} {rows_count}"
    if verb in _READ_VERBS:
        return f"SELECT {rows_count}"
    if verb == "TRUNCATE":
        return "TRUNCATE TABLE"
    words = [token.upper for token in statement.tokens[1:4]]
    noun = "INDEX" if "INDEX" in words else words[0]
    return f"{verb} {noun}" if verb in _SCHEMA_VERBS else verb
