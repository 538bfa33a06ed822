"""HTTP interface of a control daemon for operators and servers."""

import json

from result import Err

from waxwinglift.platform._announcements import decode_announcement
from waxwinglift.platform._announcements import decode_deregistration
from waxwinglift.platform._desired_state import decode_desired_state
from waxwinglift.platform._desired_state import encode_document
from waxwinglift.platform._http import BODY_LIMIT_BYTES
from waxwinglift.platform._http import HttpRequest
from waxwinglift.platform._http import HttpResponse
from waxwinglift.process import Registry
from waxwinglift.process._control import ControlService
from waxwinglift.process._operator_service import ReplaceOutcome

_HEARTBEAT_PATH = "/Instances.Heartbeat/"
_DEREGISTER_PATH = "/Instances.Deregister/"

# Functions ``(api, request, tail)`` by method and path; a path that ends in
# ``/`` is followed by an id, the tail.
_HANDLERS = Registry()
_handles = _HANDLERS.register


class ControlApi:
    """Handles the platform's calls to a control daemon.

    Parameters
    ----------
    service : ControlService
    regions : dict of str to str
        Region of each data centre.
    """

    def __init__(self, service: ControlService, regions: dict[str, str]):
        self.service = service
        self.regions = regions

    def body_limit_bytes(self, path: str) -> int:
        """Return the largest body of a call."""
        if path.startswith((_HEARTBEAT_PATH, _DEREGISTER_PATH)):
            return self.service.settings.http_limits.announcement_limit_bytes
        return BODY_LIMIT_BYTES

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call."""
        path = request.path.partition("?")[0]
        head, _, tail = path.rpartition("/")
        for key in ((request.method, path), (request.method, f"{head}/")):
            if key in _HANDLERS:
                return await _HANDLERS[key](self, request, tail)
        return _error(404, "unknown call")


@_handles(("POST", _HEARTBEAT_PATH))
async def _announce(api, request, endpoint):
    decoded = decode_announcement(endpoint, request.body, api.regions)
    return await _forward(api, decoded)


@_handles(("POST", _DEREGISTER_PATH))
async def _deregister(api, request, endpoint):
    return await _forward(api, decode_deregistration(endpoint, request.body))


async def _forward(api, decoded):
    if isinstance(decoded, Err):
        api.service.metrics.incr("control.bad_announcements")
        return _error(400, decoded.err_value)
    announcement = decoded.ok_value
    if not api.service.announce(announcement):
        return _error(503, "no control leader is known")
    is_departure = announcement.is_leaving or announcement.is_gone
    if is_departure and not await api.service.has_left(announcement):
        return _error(503, "the departure was not committed in time")
    return HttpResponse(200, b"{}")


@_handles(("POST", "/Config.Replace"))
async def _replace(api, request, _):
    decoded = decode_desired_state(request.body)
    if isinstance(decoded, Err):
        return _error(400, decoded.err_value)
    outcome = await api.service.operator_service.replace(decoded.ok_value)
    if outcome is not ReplaceOutcome.ACCEPTED:
        return _error(
            503,
            "the desired state may not have been replaced; "
            "send the request again",
        )
    return HttpResponse(200, b"{}")


@_handles(("GET", "/Config.Get"))
async def _read(api, request, _):
    desired = await api.service.operator_service.read()
    if desired is None:
        return _error(
            503,
            "the current desired state could not be confirmed; "
            "send the request again",
        )
    return HttpResponse(200, encode_document(desired.document))


def _error(status, message):
    return HttpResponse(status, json.dumps({"error": message}).encode())
