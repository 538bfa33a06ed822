"""Rewrites PostgreSQL syntax as syntax that SQLite accepts.

Each rule is a registered function from tokens to tokens.  Rules are applied
in the order of registration.
"""

from waxwinglift_standin.request._lexer import closing_index
from waxwinglift_standin.request._lexer import make_token
from waxwinglift_standin.request._lexer import split_commas
from waxwinglift_standin.request._lexer import Token
from waxwinglift_standin.request._lexer import tokenize
from waxwinglift_standin.request._lexer import TokenKind

REWRITE_RULES = []

_SCHEMAS = {"PUBLIC", "PG_CATALOG"}
_SERIAL_TYPES = {"SERIAL", "BIGSERIAL", "SMALLSERIAL"}
_RENAMED_KEYWORDS = {"ILIKE": "LIKE"}
# Keywords that are replaced by function calls.
_KEYWORD_CALLS = {
    "CURRENT_TIMESTAMP": "now()",
    "CURRENT_USER": "standin_user()",
}
# First word of an SQL type -> template of the cast; {} is the operand.
_CAST_TEMPLATES = {
    "BOOL": "standin_bool({})",
    "BOOLEAN": "standin_bool({})",
    "TIMESTAMPTZ": "standin_timestamptz({})",
    "TIMESTAMP": "standin_timestamptz({})",
    "SMALLINT": "CAST({} AS INTEGER)",
    "INT": "CAST({} AS INTEGER)",
    "INTEGER": "CAST({} AS INTEGER)",
    "BIGINT": "CAST({} AS INTEGER)",
    "INT2": "CAST({} AS INTEGER)",
    "INT4": "CAST({} AS INTEGER)",
    "INT8": "CAST({} AS INTEGER)",
    "REAL": "CAST({} AS REAL)",
    "FLOAT4": "CAST({} AS REAL)",
    "FLOAT8": "CAST({} AS REAL)",
    "DOUBLE": "CAST({} AS REAL)",
    "NUMERIC": "CAST({} AS NUMERIC)",
    "DECIMAL": "CAST({} AS NUMERIC)",
    "TEXT": "CAST({} AS TEXT)",
    "VARCHAR": "CAST({} AS TEXT)",
    "CHARACTER": "CAST({} AS TEXT)",
    "PG_LSN": "standin_lsn({})",
}
# Words after which a parenthesis begins an operand, not an argument list.
_WORDS_BEFORE_OPERANDS = {
    "SELECT",
    "DISTINCT",
    "WHERE",
    "HAVING",
    "BY",
    "ON",
    "AND",
    "OR",
    "NOT",
    "IN",
    "BETWEEN",
    "LIKE",
    "WHEN",
    "THEN",
    "ELSE",
    "RETURNING",
    "LIMIT",
    "OFFSET",
    "VALUES",
}
_SECOND_TYPE_WORDS = {"PRECISION", "VARYING"}


def rewrite_rule(function):
    """Register a rewrite rule."""
    REWRITE_RULES.append(function)
    return function


def rewrite(tokens):
    """Return `tokens` rewritten for SQLite."""
    for function in REWRITE_RULES:
        tokens = function(tokens)
    return tokens


def _replace(tokens, index, count, text):
    return tokens[:index] + tokenize(text) + tokens[index + count :]


def _upper(tokens, index):
    return tokens[index].upper if 0 <= index < len(tokens) else ""


def _is_string(tokens, index):
    return index < len(tokens) and tokens[index].kind is TokenKind.STRING


@rewrite_rule
def remove_prefixes(tokens):
    """Remove the schema of names and the E before escape strings."""
    remaining = []
    for index, token in enumerate(tokens):
        following = _upper(tokens, index + 1)
        if token.upper in _SCHEMAS and following == ".":
            continue
        if token.upper == "." and _upper(tokens, index - 1) in _SCHEMAS:
            continue
        if token.upper == "E" and _is_string(tokens, index + 1):
            continue
        remaining.append(token)
    return remaining


@rewrite_rule
def rename_keywords(tokens):
    """Replace keywords that have another name in SQLite."""
    return [
        Token(token.kind, _RENAMED_KEYWORDS[token.upper], "")
        if token.upper in _RENAMED_KEYWORDS
        else token
        for token in tokens
    ]


@rewrite_rule
def replace_keywords_by_calls(tokens):
    """Replace keywords by function calls.

    SQLite's own CURRENT_TIMESTAMP has a precision of only 1 s.
    """
    result = []
    for token in tokens:
        if token.upper in _KEYWORD_CALLS:
            result.extend(tokenize(_KEYWORD_CALLS[token.upper]))
        else:
            result.append(token)
    return result


@rewrite_rule
def replace_extract_epoch(tokens):
    """Replace EXTRACT(EPOCH FROM ...) by seconds or their difference."""
    for index in range(len(tokens) - 3):
        words = [token.upper for token in tokens[index : index + 4]]
        if words != ["EXTRACT", "(", "EPOCH", "FROM"]:
            continue
        end = closing_index(tokens, index + 1)
        inner = _strip_parentheses(tokens[index + 4 : end])
        parts = _split_at_minus(inner)
        calls = [
            f"standin_epoch({' '.join(t.text for t in part)})"
            for part in parts
        ]
        text = f"({' - '.join(calls)})"
        rest = _replace(tokens, index, end + 1 - index, text)
        return replace_extract_epoch(rest)
    return tokens


def _strip_parentheses(tokens):
    while tokens and tokens[0].upper == "(":
        if closing_index(tokens, 0) != len(tokens) - 1:
            break
        tokens = tokens[1:-1]
    return tokens


def _split_at_minus(tokens):
    depth = 0
    for index, token in enumerate(tokens):
        depth += {"(": 1, ")": -1}.get(token.upper, 0)
        if token.upper == "-" and depth == 0 and index:
            return [tokens[:index], tokens[index + 1 :]]
    return [tokens]


@rewrite_rule
def replace_functions_by_views(tokens):
    """Replace a set-returning system function in FROM by its view."""
    for index, token in enumerate(tokens):
        if token.upper != "PG_CONTROL_CHECKPOINT":
            continue
        if [_upper(tokens, index + 1), _upper(tokens, index + 2)] == [
            "(",
            ")",
        ]:
            rest = tokens[:index] + [token] + tokens[index + 3 :]
            return replace_functions_by_views(rest)
    return tokens


@rewrite_rule
def convert_casts(tokens):
    """Replace `operand::type` by a cast or a conversion function."""
    index = next((i for i, t in enumerate(tokens) if t.upper == "::"), None)
    if index is None:
        return tokens
    start = operand_start(tokens, index)
    end = type_end(tokens, index + 1)
    operand = " ".join(token.text for token in tokens[start:index])
    template = _CAST_TEMPLATES.get(_upper(tokens, index + 1), "{}")
    text = template.format(operand)
    return convert_casts(_replace(tokens, start, end - start, text))


def operand_start(tokens, end):
    """Return the index where the operand that ends before `end` starts."""
    index = end - 1
    if _upper(tokens, index) == ")":
        index = _opening_index(tokens, index)
        return index - 1 if _is_call(tokens, index) else index
    while _upper(tokens, index - 1) == ".":
        index -= 2
    return index


def _is_call(tokens, opening):
    if not opening or tokens[opening - 1].kind is not TokenKind.WORD:
        return False
    return tokens[opening - 1].upper not in _WORDS_BEFORE_OPERANDS


def _opening_index(tokens, closing):
    depth = 0
    for index in range(closing, -1, -1):
        depth += {")": 1, "(": -1}.get(tokens[index].upper, 0)
        if depth == 0:
            return index
    return 0


def type_end(tokens, start):
    """Return the index after the type name at `start`."""
    end = start + 1
    if _upper(tokens, end) in _SECOND_TYPE_WORDS:
        end += 1
    if _upper(tokens, end) == "(":
        end = closing_index(tokens, end) + 1
    words = [token.upper for token in tokens[end : end + 3]]
    if words[1:] == ["TIME", "ZONE"]:
        end += 3
    return end


@rewrite_rule
def number_parameters(tokens):
    """Replace $1 by ?1."""
    return [
        make_token(TokenKind.PARAM, "?" + token.text[1:])
        if token.kind is TokenKind.PARAM
        else token
        for token in tokens
    ]


@rewrite_rule
def replace_truncate_by_delete(tokens):
    """Replace TRUNCATE by DELETE."""
    if _upper(tokens, 0) != "TRUNCATE":
        return tokens
    skip = 2 if _upper(tokens, 1) == "TABLE" else 1
    return tokenize("DELETE FROM") + tokens[skip : skip + 1]


@rewrite_rule
def adapt_column_definitions(tokens):
    """Adapt the column definitions of CREATE TABLE to SQLite."""
    if [_upper(tokens, 0), _upper(tokens, 1)] != ["CREATE", "TABLE"]:
        return tokens
    opening = next((i for i, t in enumerate(tokens) if t.text == "("), None)
    if opening is None:
        return tokens
    end = closing_index(tokens, opening)
    parts = split_commas(tokens[opening + 1 : end])
    body = []
    for index, part in enumerate(parts):
        body += tokenize(",") if index else []
        body += _adapt_column(part)
    return tokens[: opening + 1] + body + tokens[end:]


def _adapt_column(tokens):
    words = [token.upper for token in tokens]
    if "GENERATED" in words:
        start = words.index("GENERATED")
        end = words.index("IDENTITY") + 1
        return _serial_column(tokens[:start] + tokens[end:])
    if len(words) > 1 and words[1] in _SERIAL_TYPES:
        return _serial_column(tokens)
    if "DEFAULT" in words:
        return _wrap_default(tokens, words.index("DEFAULT") + 1)
    return tokens


def _serial_column(tokens):
    # SQLite generates values only for primary keys of the exact type INTEGER.
    rest = tokens[2:]
    words = [token.upper for token in rest]
    text = "INTEGER" + (
        " PRIMARY KEY AUTOINCREMENT" if "PRIMARY" in words else ""
    )
    remaining = [t for t in rest if t.upper not in ("PRIMARY", "KEY")]
    return tokens[:1] + tokenize(text) + remaining


def _wrap_default(tokens, index):
    # SQLite accepts a function call as a default only in parentheses.
    if _upper(tokens, index + 1) != "(" or tokens[index].text == "(":
        return tokens
    end = closing_index(tokens, index + 1) + 1
    call = " ".join(token.text for token in tokens[index:end])
    return _replace(tokens, index, end - index, f"({call})")
