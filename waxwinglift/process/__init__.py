"""Identifiers, settings and services that live as long as a process.

Only light-weight types are re-exported here, so that packages for shorter
life spans can import them without loading the services.
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
