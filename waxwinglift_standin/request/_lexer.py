"""Splits SQL text into tokens and statements."""

import dataclasses
import enum
import re

_PATTERN = re.compile(
    r"""
    (?P<space>\s+|--[^\n]*|/\*.*?\*/)
    |(?P<string>'(?:[^']|'')*')
    |(?P<dollar>\$(?P<tag>[A-Za-z_]*)\$.*?\$(?P=tag)\$)
    |(?P<quoted>"(?:[^"]|"")*")
    |(?P<param>\$\d+)
    |(?P<number>\d+(?:\.\d*)?(?:[eE][+-]?\d+)?|\.\d+)
    |(?P<word>[^\W\d][\w$]*)
    |(?P<op>::|<=|>=|<>|!=|\|\||->>|->|.)
    """,
    re.VERBOSE | re.DOTALL,
)


class TokenKind(enum.Enum):
    """Kind of a token; the value is the name of its group in _PATTERN."""

    SPACE = "space"
    STRING = "string"
    QUOTED = "quoted"
    PARAM = "param"
    NUMBER = "number"
    WORD = "word"
    OP = "op"


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """Token of a statement; `upper` is compared with keywords."""

    kind: TokenKind
    text: str
    upper: str

    @property
    def name(self):
        """Identifier in lower case, or as written if it is quoted."""
        if self.kind is TokenKind.QUOTED:
            return self.text[1:-1].replace('""', '"')
        return self.text.lower()


def make_token(kind, text):
    """Return a token; `upper` is empty except for words and operators."""
    is_plain = kind in (TokenKind.WORD, TokenKind.OP)
    return Token(kind, text, text.upper() if is_plain else "")


def _quote_dollar_body(text):
    body = text[text.index("$", 1) + 1 : text.rindex("$", 0, -1)]
    return "'" + body.replace("'", "''") + "'"


def tokenize(text):
    """Return the tokens of `text` without white space and comments."""
    tokens = []
    for match in _PATTERN.finditer(text):
        group = match.lastgroup
        if group == "space":
            continue
        if group in ("dollar", "tag"):
            body = _quote_dollar_body(match["dollar"])
            tokens.append(make_token(TokenKind.STRING, body))
            continue
        tokens.append(make_token(TokenKind(group), match.group()))
    return tokens


def split_statements(tokens):
    """Return the token list of each non-empty statement."""
    parts = [[]]
    for token in tokens:
        if token.upper == ";":
            parts.append([])
        else:
            parts[-1].append(token)
    return [part for part in parts if part]


def closing_index(tokens, opening):
    """Return the index of the parenthesis that closes the one at `opening`."""
    depth = 0
    for index in range(opening, len(tokens)):
        depth += {"(": 1, ")": -1}.get(tokens[index].upper, 0)
        if depth == 0:
            return index
    return len(tokens) - 1


def split_commas(tokens):
    """Split `tokens` at the commas outside parentheses."""
    parts, depth = [[]], 0
    for token in tokens:
        depth += {"(": 1, ")": -1}.get(token.upper, 0)
        if token.upper == "," and depth == 0:
            parts.append([])
        else:
            parts[-1].append(token)
    return parts


def find_word(tokens, words, start=0):
    """Return the index of the first of `words` outside parentheses, or None.

    The search begins at the index `start`.
    """
    depth = 0
    for index in range(start, len(tokens)):
        upper = tokens[index].upper
        depth += {"(": 1, ")": -1}.get(upper, 0)
        if depth == 0 and upper in words:
            return index
    return None


def join(tokens):
    """Return the SQL text of `tokens`."""
    return " ".join(token.text for token in tokens)
