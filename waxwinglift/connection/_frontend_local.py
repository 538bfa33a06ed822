"""Encodes answers that the proxy gives without an endpoint."""

from collections.abc import Sequence

from pygwire.messages import BindComplete
from pygwire.messages import CloseComplete
from pygwire.messages import CommandComplete
from pygwire.messages import DataRow
from pygwire.messages import FieldDescription
from pygwire.messages import NoData
from pygwire.messages import ParameterDescription
from pygwire.messages import ParseComplete
from pygwire.messages import RowDescription

from waxwinglift.connection._session_types import LocalAnswer
from waxwinglift.process import Registry

_TEXT_OID = 25
# Encoders of local answers, by message type.
_encoders = Registry()
_answers = _encoders.register


def encode_local_answer(answer: LocalAnswer, kinds: Sequence[bytes]) -> bytes:
    """Return the encoded answers to messages of the types ``kinds``."""
    return b"".join(_encoders[kind](answer) for kind in kinds)


@_answers(b"Q")
def _answer_query(answer):
    return _describe_rows(answer, b"") + _answer_execute(answer)


@_answers(b"P")
def _answer_parse(answer):
    return ParseComplete().to_wire()


@_answers(b"B")
def _answer_bind(answer):
    return BindComplete().to_wire()


@_answers(b"CS")
@_answers(b"C")
def _answer_close(answer):
    return CloseComplete().to_wire()


@_answers(b"DS")
def _answer_describe_statement(answer):
    return ParameterDescription().to_wire() + _answer_describe(answer)


@_answers(b"D")
def _answer_describe(answer):
    return _describe_rows(answer, NoData().to_wire())


@_answers(b"E")
def _answer_execute(answer):
    row = b""
    if answer.column:
        row = DataRow(columns=[answer.value.encode()]).to_wire()
    return row + CommandComplete(tag=answer.tag).to_wire()


def _describe_rows(answer, otherwise):
    if not answer.column:
        return otherwise
    field = FieldDescription(
        name=answer.column, type_oid=_TEXT_OID, type_size=-1
    )
    return RowDescription(fields=[field]).to_wire()
