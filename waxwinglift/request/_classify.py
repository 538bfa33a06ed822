"""Classification of SQL statements by their first keywords.

The text is not parsed.  A wrong classification costs an extra hop but never
gives a wrong answer: a replica refuses a write with SQLSTATE 25006, and the
request is sent to the primary.  A text with several statements counts as a
write.
"""

import dataclasses
import enum
import functools
import re

from waxwinglift.process import Registry


class StatementKind(enum.Enum):
    """Kinds of statements that sessions and routing distinguish."""

    EMPTY = "empty"
    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET = "set"
    RESET = "reset"
    SHOW = "show"
    DISCARD_ALL = "discard_all"
    DEALLOCATE = "deallocate"
    UNSUPPORTED = "unsupported"


@dataclasses.dataclass(frozen=True, slots=True)
class ClassifiedStatement:
    """A classified statement.

    ``name`` is the parameter, prepared statement or keyword that the
    statement refers to (``"all"`` for RESET ALL and DEALLOCATE ALL).  For
    BEGIN it is the transaction mode that requires the primary, if any, and
    for UNSUPPORTED a description for the error message.  ``value`` is the
    text that SET assigns, as written.  ``further_assignments`` contains the
    names and values of further parameters that the same SET assigns.
    """

    kind: StatementKind
    name: str = ""
    value: str = ""
    further_assignments: tuple[tuple[str, str], ...] = ()

    @property
    def assignments(self) -> tuple[tuple[str, str], ...]:
        """Names and values of all parameters that SET assigns."""
        return ((self.name, self.value), *self.further_assignments)


# Number and maximum length of cached texts.  Callers repeat few distinct ones,
# because the values of parameters are not part of the text.
_CACHE_COUNT = 1024
_CACHED_LENGTH_LIMIT = 2000
_READ_KEYWORDS = frozenset(
    {"select", "with", "values", "table", "explain", "fetch"}
)
_SKIPPED = re.compile(r"(?:\s+|--[^\n]*(?:\n|$)|/\*.*?\*/|;)*", re.DOTALL)
_KEYWORD = re.compile(r"[A-Za-z_]+")
_LATER_STATEMENT = re.compile(r";\s*[^\s;]")
# Patterns must match in linear time on any text, because callers choose it.
_SET = re.compile(
    r"set\s+(?:session\s+)?([a-z_][a-z0-9_.]*)(?:\s*=\s*|\s+to\s+)(.+)",
    re.IGNORECASE | re.DOTALL,
)
_SET_ZONE = re.compile(
    r"set\s+(?:session\s+)?time\s+zone\s+(.+)", re.IGNORECASE | re.DOTALL
)
_OBJECT_NAME = re.compile(
    r"[a-z]+\s+(?:prepare\s+)?\"?([a-z_0-9.]+)\"?", re.IGNORECASE
)
_TRAILING_CHARACTERS = " \t\r\n\f;"
# Statements that asyncpg sends together when a connection returns to the
# caller's pool.  The proxy handles them as RESET ALL.
_CLEANUP_STATEMENTS = frozenset(
    {"select pg_advisory_unlock_all()", "close all", "unlisten *", "reset all"}
)
# Statements about the proxy's own settings, which the proxy answers only when
# sent one at a time; an endpoint would accept them without effect.
_PROXY_SETTING = re.compile(
    r"\b(?:set|show|reset)\s+(?:session\s+|local\s+)?waxwinglift\.",
    re.IGNORECASE,
)
_READ_ONLY = re.compile(r"\bread\s+only\b", re.IGNORECASE)
# Transaction modes that require the primary, because a replica refuses them
# or the writes in them.
_PRIMARY_MODES = re.compile(
    r"\b(?:(read)\s+(write)|(serializable))\b", re.IGNORECASE
)
_CHARACTERISTICS = re.compile(
    r"set\s+session\s+characteristics\s+as\s+transaction\s+(.+)",
    re.IGNORECASE | re.DOTALL,
)
_MODE = re.compile(
    r"[\s,]*(?:(?P<access>read\s+(?:only|write))"
    r"|isolation\s+level\s+(?P<level>serializable|repeatable\s+read"
    r"|read\s+(?:un)?committed)|(?P<deferrable>(?:not\s+)?deferrable))\b",
    re.IGNORECASE,
)
# Classifiers of statements by their first keyword.
_classifiers = Registry()
_first_keyword = _classifiers.register


def classify(text: str) -> ClassifiedStatement:
    """Classify the text of a simple query or of a prepared statement."""
    if len(text) > _CACHED_LENGTH_LIMIT:
        return _classify(text)
    return _classify_cached(text)


def _classify(text):
    start = _SKIPPED.match(text).end()
    keyword = _KEYWORD.match(text, start)
    if keyword is None:
        return _classify_without_keyword(text, start)
    if _LATER_STATEMENT.search(text, start):
        return _classify_several(text)
    word = keyword.group().lower()
    classifier = _classifiers.get(word)
    if classifier is None:
        return ClassifiedStatement(_kind_of_keyword(word))
    return classifier(text[start:])


_classify_cached = functools.lru_cache(maxsize=_CACHE_COUNT)(_classify)


def _classify_without_keyword(text, start):
    if start >= len(text):
        return ClassifiedStatement(StatementKind.EMPTY)
    is_read = text[start] == "("
    return ClassifiedStatement(
        StatementKind.READ if is_read else StatementKind.WRITE
    )


def _classify_several(text):
    parts = {part.strip().lower() for part in text.split(";")} - {""}
    if parts <= _CLEANUP_STATEMENTS and "reset all" in parts:
        return ClassifiedStatement(StatementKind.RESET, "all")
    if _PROXY_SETTING.search(text):
        name = "a waxwinglift setting among several statements"
        return ClassifiedStatement(StatementKind.UNSUPPORTED, name)
    return ClassifiedStatement(StatementKind.WRITE)


def _kind_of_keyword(word):
    if word in _READ_KEYWORDS:
        return StatementKind.READ
    return StatementKind.WRITE


@_first_keyword("begin", "start")
def _classify_begin(text):
    mode = _PRIMARY_MODES.search(text)
    if mode is not None:
        words = [word.lower() for word in mode.groups() if word]
        return ClassifiedStatement(StatementKind.BEGIN, " ".join(words))
    if _READ_ONLY.search(text):
        return ClassifiedStatement(StatementKind.BEGIN_READ_ONLY)
    return ClassifiedStatement(StatementKind.BEGIN)


@_first_keyword("commit", "end")
def _classify_commit(text):
    if re.match(r"commit\s+prepared", text, re.IGNORECASE):
        return ClassifiedStatement(StatementKind.WRITE)
    return ClassifiedStatement(StatementKind.COMMIT)


@_first_keyword("rollback", "abort")
def _classify_rollback(text):
    # ROLLBACK TO SAVEPOINT does not end the block; ROLLBACK PREPARED is a
    # write.
    if re.match(r"\w+\s+(?:work\s+)?(?:to|prepared)\b", text, re.IGNORECASE):
        return ClassifiedStatement(StatementKind.WRITE)
    return ClassifiedStatement(StatementKind.ROLLBACK)


@_first_keyword("set")
def _classify_set(text):
    text = text.rstrip(_TRAILING_CHARACTERS)
    zone = _SET_ZONE.fullmatch(text)
    if zone is not None:
        return ClassifiedStatement(
            StatementKind.SET, "timezone", zone.group(1)
        )
    modes = _CHARACTERISTICS.fullmatch(text)
    if modes is not None:
        return _classify_characteristics(modes.group(1))
    assignment = _SET.fullmatch(text)
    # SET LOCAL and SET TRANSACTION apply only to their block, so the endpoint
    # executes them and the session does not store them.
    if assignment is None:
        if _PROXY_SETTING.match(text):
            name = "SET LOCAL of a waxwinglift setting"
            return ClassifiedStatement(StatementKind.UNSUPPORTED, name)
        return ClassifiedStatement(StatementKind.WRITE)
    name = assignment.group(1).lower()
    return ClassifiedStatement(StatementKind.SET, name, assignment.group(2))


def _classify_characteristics(text):
    """Convert SET SESSION CHARACTERISTICS to a SET of defaults."""
    assignments = []
    position = 0
    while position < len(text):
        mode = _MODE.match(text, position)
        if mode is None:
            return ClassifiedStatement(StatementKind.WRITE)
        words = " ".join(mode.group(mode.lastgroup).lower().split())
        assignments.append(_default_of(mode.lastgroup, words))
        position = mode.end()
    (name, value), *further = assignments
    return ClassifiedStatement(StatementKind.SET, name, value, tuple(further))


def _default_of(mode, words):
    if mode == "level":
        return "default_transaction_isolation", f"'{words}'"
    if mode == "access":
        is_on = words == "read only"
        return "default_transaction_read_only", "on" if is_on else "off"
    is_on = words == "deferrable"
    return "default_transaction_deferrable", "on" if is_on else "off"


@_first_keyword("reset")
def _classify_reset(text):
    return ClassifiedStatement(StatementKind.RESET, _object_name(text))


@_first_keyword("show")
def _classify_show(text):
    return ClassifiedStatement(StatementKind.SHOW, _object_name(text))


@_first_keyword("discard")
def _classify_discard(text):
    # Every DISCARD gets this kind; the session refuses those whose name is not
    # "all".
    return ClassifiedStatement(StatementKind.DISCARD_ALL, _object_name(text))


@_first_keyword("deallocate")
def _classify_deallocate(text):
    return ClassifiedStatement(
        StatementKind.DEALLOCATE, _object_name(text, True)
    )


@_first_keyword("listen", "unlisten", "copy", "prepare", "execute", "load")
def _classify_unsupported(text):
    word = _KEYWORD.match(text).group().lower()
    # PREPARE TRANSACTION is an ordinary write.
    if re.match(r"prepare\s+transaction\b", text, re.IGNORECASE):
        return ClassifiedStatement(StatementKind.WRITE)
    return ClassifiedStatement(StatementKind.UNSUPPORTED, word.upper())


def _object_name(text, keeps_case=False):
    match = _OBJECT_NAME.fullmatch(text.rstrip(_TRAILING_CHARACTERS))
    if match is None:
        return ""
    return match.group(1) if keeps_case else match.group(1).lower()
