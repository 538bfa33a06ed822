"""Promotions by a stand-in for the cloud API, and announcements of servers."""

import contextlib
import json

from waxwinglift.platform._http import call_http
from waxwinglift.platform._http import HttpFailed
from waxwinglift.platform._http import HttpRequest
from waxwinglift.platform._http import HttpResponse
from waxwinglift.platform._http import serving_http
from waxwinglift.process import Address
from waxwinglift_standin.platform._server import ServerState

_CALL_TIMEOUT_S = 1.0


@contextlib.asynccontextmanager
async def serving_promotions(groups, next_token):
    """Yield the address of an HTTP server for promotions in ``groups``.

    Parameters
    ----------
    groups : dict of str to ServerGroup
    next_token : callable
        Returns the next fencing token.  The real platform reads it from a
        header, which the HTTP server used here does not pass on.
    """

    async def handle_promotion(request: HttpRequest):
        promotion = json.loads(request.body)
        group = groups.get(promotion["service"])
        if group is None:
            return HttpResponse(404)
        status = await group.promote(promotion["id"], next_token())
        return HttpResponse(status, b"{}")

    async with serving_http(
        Address("127.0.0.1", 0), handle_promotion
    ) as server:
        host, port = server.sockets[0].getsockname()[:2]
        yield Address(host, port)


async def announce(server, sequence, addresses, born_ms=1):
    """Announce a server to the first daemon that accepts the announcement.

    ``born_ms`` is the wall-clock time of the server's start in ms.

    Returns
    -------
    bool
        Whether a daemon has accepted it.
    """
    if server.state is not ServerState.UP:
        return False
    fields = {
        "service": server.group.name,
        "address": str(server.address),
        "zone": server.data_centre,
        "version": "v1",
        "capacity": server.settings.slots_count,
        "state": "draining" if server.is_draining else "ready",
        "warmupLeftMs": 0,
        "dbRole": "primary" if server.is_primary else "replica",
        "sequence": sequence,
        "born": born_ms,
    }
    request = HttpRequest(
        "POST",
        f"/Instances.Heartbeat/{server.name}",
        json.dumps(fields).encode(),
    )
    for address in addresses:
        with contextlib.suppress(HttpFailed):
            response = await call_http(address, request, {}, _CALL_TIMEOUT_S)
            if response.status == 200:
                return True
    return False
