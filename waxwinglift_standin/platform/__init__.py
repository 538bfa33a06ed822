"""Stand-in for the platform: database servers, its calls and callers."""

from waxwinglift_standin.platform._caller import Caller
from waxwinglift_standin.platform._caller import CallerAnswer
from waxwinglift_standin.platform._cloud import serving_promotions
from waxwinglift_standin.platform._group import ServerGroup
from waxwinglift_standin.platform._server import DatabaseServer
from waxwinglift_standin.platform._server import ServerSettings

__all__ = [
    "Caller",
    "CallerAnswer",
    "DatabaseServer",
    "ServerGroup",
    "ServerSettings",
    "serving_promotions",
]
