"""Infers the types of columns and parameters, which SQLite does not report."""

from waxwinglift_standin.connection import PgType
from waxwinglift_standin.request._lexer import closing_index
from waxwinglift_standin.request._lexer import find_word
from waxwinglift_standin.request._lexer import split_commas
from waxwinglift_standin.request._lexer import TokenKind
from waxwinglift_standin.request._registries import SQL_FUNCTIONS
from waxwinglift_standin.request._rewrite import operand_start
from waxwinglift_standin.request._rewrite import type_end

_TYPES = {
    "BOOL": PgType.BOOL,
    "BOOLEAN": PgType.BOOL,
    "BYTEA": PgType.BYTEA,
    "BLOB": PgType.BYTEA,
    "BIGINT": PgType.INT8,
    "INT8": PgType.INT8,
    "BIGSERIAL": PgType.INT8,
    "SMALLINT": PgType.INT2,
    "INT2": PgType.INT2,
    "INT": PgType.INT4,
    "INTEGER": PgType.INT4,
    "INT4": PgType.INT4,
    "SERIAL": PgType.INT4,
    "REAL": PgType.FLOAT4,
    "FLOAT4": PgType.FLOAT4,
    "FLOAT8": PgType.FLOAT8,
    "DOUBLE": PgType.FLOAT8,
    "NUMERIC": PgType.NUMERIC,
    "DECIMAL": PgType.NUMERIC,
    "TIMESTAMP": PgType.TIMESTAMP,
    "TIMESTAMPTZ": PgType.TIMESTAMPTZ,
    "UUID": PgType.UUID,
    "JSON": PgType.JSON,
    "JSONB": PgType.JSONB,
    "PG_LSN": PgType.PG_LSN,
}
_FUNCTION_TYPES = {
    "count": PgType.INT8,
    "avg": PgType.NUMERIC,
    "length": PgType.INT4,
    "round": PgType.NUMERIC,
    "extract": PgType.NUMERIC,
    "lower": PgType.TEXT,
    "upper": PgType.TEXT,
    "substr": PgType.TEXT,
    "concat": PgType.TEXT,
}
_SUM_TYPES = {
    PgType.INT2: PgType.INT8,
    PgType.INT4: PgType.INT8,
    PgType.INT8: PgType.NUMERIC,
}
# Functions whose result has the type of their first typed argument.
_ARGUMENT_TYPE_FUNCTIONS = {
    "min",
    "max",
    "coalesce",
    "nullif",
    "abs",
    "greatest",
}
# The result of arithmetic has the type of the operand whose type comes later
# in this list.
_NUMBER_ORDER = [
    PgType.INT2,
    PgType.INT4,
    PgType.INT8,
    PgType.NUMERIC,
    PgType.FLOAT4,
    PgType.FLOAT8,
]
_COMPARISONS = {"=", "<", ">", "<=", ">=", "<>", "!="}
_BOOL_WORDS = _COMPARISONS | {
    "AND",
    "OR",
    "NOT",
    "IS",
    "IN",
    "LIKE",
    "ILIKE",
    "BETWEEN",
    "EXISTS",
}
_ARITHMETIC = {"+", "-", "*", "/", "%"}
_CONSTANTS = {
    "TRUE": PgType.BOOL,
    "FALSE": PgType.BOOL,
    "NULL": PgType.TEXT,
    "CURRENT_TIMESTAMP": PgType.TIMESTAMPTZ,
    "CURRENT_USER": PgType.TEXT,
}
_NAME_KINDS = (TokenKind.WORD, TokenKind.QUOTED)
_OPERAND_END_KINDS = (
    *_NAME_KINDS,
    TokenKind.NUMBER,
    TokenKind.STRING,
    TokenKind.PARAM,
)
_INT4_LIMIT = 1 << 31


def type_of_name(tokens):
    """Return the PgType for the tokens of a type name."""
    first = tokens[0].upper if tokens else ""
    if first == "TIMESTAMP" and "WITH" in [t.upper for t in tokens]:
        return PgType.TIMESTAMPTZ
    return _TYPES.get(first, PgType.TEXT)


class Inference:
    """Infers the types of one statement's parameters and result columns.

    Parameters
    ----------
    statement : Statement
        The statement.
    columns_of : callable
        Returns a table's columns as a dictionary from name to type, empty if
        the table does not exist.
    """

    def __init__(self, statement, columns_of):
        self._tokens = list(statement.tokens)
        self._columns = {}
        for token in self._tokens:
            if token.kind in _NAME_KINDS:
                columns = columns_of(token.name)
                for name, pg_type in columns.items():
                    self._columns.setdefault(name, pg_type)
        self._columns_of = columns_of
        self._parameters = {}

    def parameters(self, count, parameter_oids):
        """Return the parameter types; an oid of 0 is unspecified."""
        known = {pg_type.value: pg_type for pg_type in PgType}
        for number in range(1, count + 1):
            oid = (
                parameter_oids[number - 1]
                if number <= len(parameter_oids)
                else 0
            )
            pg_type = known.get(oid)
            if pg_type in (None, PgType.UNKNOWN):
                pg_type = self._parameter_type(f"${number}")
            self._parameters[f"${number}"] = pg_type
        return tuple(self._parameters.values())

    def columns(self, names):
        """Return the types of the result columns, None where unknown."""
        types = self._select_types(self._result_list(self._tokens))
        if len(types) != len(names):
            types = [None] * len(names)
        return [
            pg_type or self._columns.get(name.lower())
            for name, pg_type in zip(names, types, strict=True)
        ]

    def returning_names(self):
        """Return the names of the columns that RETURNING lists."""
        names = []
        for part in split_commas(self._result_list(self._tokens)):
            if part[-1].text == "*":
                names.extend(self._columns)
            elif part[-1].kind in _NAME_KINDS:
                names.append(part[-1].name)
            else:
                names.append("?column?")
        return names

    def _result_list(self, tokens):
        start = find_word(tokens, {"RETURNING"})
        if start is not None:
            return tokens[start + 1 :]
        start = find_word(tokens, {"SELECT"})
        if start is None:
            return []
        end = find_word(
            tokens, {"FROM", "WHERE", "ORDER", "LIMIT", "UNION"}, start + 1
        )
        return tokens[start + 1 : end]

    def _select_types(self, tokens):
        if tokens and tokens[0].upper in ("DISTINCT", "ALL"):
            tokens = tokens[1:]
        types = []
        for part in split_commas(tokens):
            if part and part[-1].upper == "*" and len(part) in (1, 3):
                types.extend(self._star_types(part))
            else:
                types.append(self._infer(part))
        return types

    def _star_types(self, part):
        if len(part) == 3:
            columns = self._columns_of(part[0].name)
            return list((columns or self._columns).values())
        return list(self._columns.values())

    def _infer(self, tokens):
        tokens = _strip_alias(tokens)
        if not tokens:
            return None
        if len(tokens) == 1:
            return self._infer_single(tokens[0])
        if tokens[0].text == "(":
            if closing_index(tokens, 0) == len(tokens) - 1:
                return self._infer_parentheses(tokens[1:-1])
        if tokens[0].upper == "CASE":
            return self._infer_case(tokens)
        if find_word(tokens, _BOOL_WORDS) is not None:
            return PgType.BOOL
        if find_word(tokens, {"||", "->>"}) is not None:
            return PgType.TEXT
        index = find_word(tokens, _ARITHMETIC, 1)
        if index is not None:
            return self._infer_arithmetic(tokens, index)
        if tokens[0].upper == "-":
            return self._infer(tokens[1:])
        index = find_word(tokens, {"::"})
        if index is not None:
            return type_of_name(tokens[index + 1 :])
        return self._infer_name_or_call(tokens)

    def _infer_parentheses(self, tokens):
        if tokens and tokens[0].upper == "SELECT":
            types = self._select_types(self._result_list(tokens))
            return types[0] if types else None
        return self._infer(tokens)

    def _infer_case(self, tokens):
        start = find_word(tokens, {"THEN"})
        end = find_word(tokens, {"WHEN", "ELSE", "END"}, start + 1)
        return self._infer(tokens[start + 1 : end])

    def _infer_arithmetic(self, tokens, operator):
        sides = [
            self._infer(tokens[:operator]),
            self._infer(tokens[operator + 1 :]),
        ]
        if any(side not in _NUMBER_ORDER for side in sides):
            return sides[0]
        return max(sides, key=_NUMBER_ORDER.index)

    def _infer_single(self, token):
        if token.kind is TokenKind.NUMBER:
            return _number_type(token.text)
        if token.kind is TokenKind.STRING:
            return PgType.TEXT
        if token.kind is TokenKind.PARAM:
            return self._parameters.get(token.text)
        if token.upper in _CONSTANTS:
            return _CONSTANTS[token.upper]
        return self._columns.get(token.name)

    def _infer_name_or_call(self, tokens):
        if tokens[-2].text == "." and tokens[-1].kind in _NAME_KINDS:
            return self._infer_qualified(tokens)
        opening = next((i for i, t in enumerate(tokens) if t.text == "("), 0)
        if not opening:
            return None
        name = tokens[opening - 1].name
        end = closing_index(tokens, opening)
        arguments = split_commas(tokens[opening + 1 : end])
        return self._call_type(name, arguments)

    def _infer_qualified(self, tokens):
        table, name = tokens[-3].name, tokens[-1].name
        return self._columns_of(table).get(name) or self._columns.get(name)

    def _call_type(self, name, arguments):
        if name in SQL_FUNCTIONS:
            return SQL_FUNCTIONS[name].type
        if name == "cast":
            index = find_word(arguments[0], {"AS"})
            return type_of_name(arguments[0][index + 1 :])
        if name == "sum":
            inner = self._infer(arguments[0])
            return _SUM_TYPES.get(inner, inner)
        if name in _ARGUMENT_TYPE_FUNCTIONS:
            types = [self._infer(argument) for argument in arguments]
            return next((pg_type for pg_type in types if pg_type), None)
        return _FUNCTION_TYPES.get(name)

    def _parameter_type(self, text):
        for index, token in enumerate(self._tokens):
            if token.text != text:
                continue
            for infer_type in (
                self._type_from_cast,
                self._type_from_operator,
                self._type_from_list,
            ):
                pg_type = infer_type(index)
                if pg_type is not None:
                    return pg_type
        return PgType.TEXT

    def _word(self, index):
        if 0 <= index < len(self._tokens):
            return self._tokens[index].upper
        return ""

    def _type_from_cast(self, index):
        following = self._word(index + 1)
        if following not in ("::", "AS"):
            return None
        if following == "AS" and self._word(index - 2) != "CAST":
            return None
        end = type_end(self._tokens, index + 2)
        return type_of_name(self._tokens[index + 2 : end])

    def _type_from_operator(self, index):
        before = self._word(index - 1)
        if before in ("LIMIT", "OFFSET"):
            return PgType.INT8
        if before in ("LIKE", "ILIKE", "||"):
            return PgType.TEXT
        if before in _COMPARISONS | _ARITHMETIC | {"BETWEEN"}:
            return self._type_of_operand_before(index - 1)
        if before == "AND" and self._word(index - 3) == "BETWEEN":
            return self._type_of_operand_before(index - 3)
        if self._word(index + 1) in _COMPARISONS | _ARITHMETIC:
            return self._type_of_operand_after(index + 2)
        return None

    def _type_of_operand_before(self, end):
        start = operand_start(self._tokens, end)
        return self._infer(self._tokens[start:end])

    def _type_of_operand_after(self, start):
        end = start + 1
        while self._word(end) == ".":
            end += 2
        if self._word(end) == "(":
            end = closing_index(self._tokens, end) + 1
        return self._infer(self._tokens[start:end])

    def _type_from_list(self, index):
        opening = self._opening_before(index)
        if opening is None:
            return None
        before = self._word(opening - 1)
        if before == "IN":
            end = opening - 1
            end -= self._word(end - 1) == "NOT"
            return self._type_of_operand_before(end)
        if before in ("VALUES", ","):
            return self._inserted_column_type(opening, index)
        if before == "PG_SLEEP":
            return PgType.FLOAT8
        if before == "COALESCE":
            end = closing_index(self._tokens, opening)
            return self._infer(self._tokens[opening - 1 : end + 1])
        return None

    def _opening_before(self, index):
        depth = 0
        for opening in range(index, -1, -1):
            depth += {")": 1, "(": -1}.get(self._word(opening), 0)
            if depth < 0:
                return opening
        return None

    def _inserted_column_type(self, opening, index):
        into = find_word(self._tokens, {"INTO"})
        if into is None:
            return None
        position = len(split_commas(self._tokens[opening + 1 : index])) - 1
        columns = self._columns_of(self._tokens[into + 1].name)
        names = list(columns)
        if self._word(into + 2) == "(":
            end = closing_index(self._tokens, into + 2)
            parts = split_commas(self._tokens[into + 3 : end])
            names = [part[0].name for part in parts if part]
        if position >= len(names):
            return None
        return columns.get(names[position])


def _strip_alias(tokens):
    index = find_word(tokens, {"AS"})
    if index is not None:
        return tokens[:index]
    if len(tokens) < 2 or tokens[-1].kind not in _NAME_KINDS:
        return tokens
    before = tokens[-2]
    is_operand = before.kind in _OPERAND_END_KINDS or before.text == ")"
    is_word = before.upper in _BOOL_WORDS or tokens[-1].upper == "END"
    has_cast = len(tokens) > 2 and tokens[-3].text == "::"
    if not is_operand or is_word or has_cast or tokens[-1].upper == "NULL":
        return tokens
    return tokens[:-1]


def _number_type(text):
    if not text.isdigit():
        return PgType.NUMERIC
    return PgType.INT4 if int(text) < _INT4_LIMIT else PgType.INT8
