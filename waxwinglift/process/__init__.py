"""What lives as long as a process: identifiers, settings, services.

Only light-weight types are re-exported here, so that importing them
from a shorter-lived folder does not load the services.
"""

from waxwinglift.process._registry import Registry
from waxwinglift.process._types import Address
from waxwinglift.process._types import DaemonId
from waxwinglift.process._types import DataCentre
from waxwinglift.process._types import Location
from waxwinglift.process._types import Region

__all__ = [
    "Address",
    "DaemonId",
    "DataCentre",
    "Location",
    "Region",
    "Registry",
]
