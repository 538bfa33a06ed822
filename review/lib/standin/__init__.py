"""Small stand-ins for the platform, and a runner for the project's programs.

Only the standard library is used.  The stand-ins follow PROTOCOL.md: servers
and requesters speak lines that end in CR LF; the operator, the check-ins and
the promotion service speak HTTP/1.1 with JSON bodies.
"""

from standin._common import CannotRun
from standin._common import http
from standin._deployment import deployment
from standin._deployment import main
from standin._requesters import Requester
from standin._servers import Service
from standin._session import ServerSession

__all__ = [
    "CannotRun",
    "Requester",
    "ServerSession",
    "Service",
    "deployment",
    "http",
    "main",
]
