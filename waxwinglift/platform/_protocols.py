"""Registration of the platform's protocols."""

import json

from waxwinglift.connection._endpoint_errors import PromotionRefused
from waxwinglift.connection._protocol_registry import caller_protocol
from waxwinglift.connection._protocol_registry import ENDPOINT_PROTOCOLS
from waxwinglift.platform import _lines
from waxwinglift.platform._caller_connection import CallerConnection
from waxwinglift.platform._endpoint_connection import open_connection
from waxwinglift.platform._http import call_http
from waxwinglift.platform._http import HttpFailed
from waxwinglift.platform._http import HttpRequest
from waxwinglift.process._statement_callers import StatementCallers
from waxwinglift.process._statement_endpoints import StatementEndpoints
from waxwinglift.request._statements import EndpointStatus
from waxwinglift.version import Term

PROTOCOL = "platform"

_PRIMARY = b"primary"
_OK = 200
# Status of the response if the server to promote is not running.
_CONFLICT = 409
# Timeout for the response to a promotion request.
_CALL_TIMEOUT_S = 2.0


@caller_protocol(PROTOCOL)
def make_callers(entry):
    """Return the object that serves the platform's callers for ``entry``."""
    return StatementCallers(entry, CallerConnection)


def decode_status(row: bytes) -> EndpointStatus:
    """Return the status of a row.

    Raises
    ------
    ValueError
        The row is not a status.
    """
    # Lag, running statements and connections follow.
    role, term, received, fenced_term, *_ = row.split(b" ")
    position = _lines.decode_position(received)
    if position is None:
        raise ValueError("the status has no position")
    return EndpointStatus(
        role == _PRIMARY,
        Term(_lines.decode_number(term)),
        position,
        _lines.decode_number(fenced_term),
    )


def _make_promote(settings):
    async def promote(action, promotion_right):
        if settings.promotion_address is None:
            raise PromotionRefused(
                "no address of a promotion service is configured", False
            )
        body = {"service": action.group, "id": action.endpoint}
        headers = {
            "Lease-Holder": promotion_right.holder,
            "Fencing-Token": str(promotion_right.token),
        }
        request = HttpRequest("POST", "/promote", json.dumps(body).encode())
        try:
            response = await call_http(
                settings.promotion_address, request, headers, _CALL_TIMEOUT_S
            )
        except HttpFailed as error:
            raise OSError(str(error)) from error
        if response.status != _OK:
            message = f"promotion refused with HTTP status {response.status}"
            is_not_running = response.status == _CONFLICT
            raise PromotionRefused(message, is_not_running)

    return promote


ENDPOINT_PROTOCOLS.register(PROTOCOL)(
    StatementEndpoints(open_connection, decode_status, _make_promote)
)
