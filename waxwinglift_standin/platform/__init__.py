"""Stand-in for the platform: servers, cloud API, operator and callers."""

from waxwinglift_standin.platform._caller import Caller
from waxwinglift_standin.platform._caller import CallerAnswer
from waxwinglift_standin.platform._cloud import announce
from waxwinglift_standin.platform._cloud import serving_promotions
from waxwinglift_standin.platform._group import ServerGroup
from waxwinglift_standin.platform._operator import caller_address
from waxwinglift_standin.platform._operator import control_address
from waxwinglift_standin.platform._operator import make_desired_state
from waxwinglift_standin.platform._operator import replace_desired_state
from waxwinglift_standin.platform._operator import write_settings
from waxwinglift_standin.platform._server import DatabaseServer
from waxwinglift_standin.platform._server import ServerSettings

__all__ = [
    "Caller",
    "CallerAnswer",
    "DatabaseServer",
    "ServerGroup",
    "ServerSettings",
    "announce",
    "caller_address",
    "control_address",
    "make_desired_state",
    "replace_desired_state",
    "serving_promotions",
    "write_settings",
]
